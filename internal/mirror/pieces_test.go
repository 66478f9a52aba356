package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// measuringServer records the size of the largest response and changes the copy after each.
type measuringServer struct {
	mirrorpb.UnimplementedMirrorServer
	inner   *Server
	change  func()
	largest int
}

func (s *measuringServer) Read(ctx context.Context, r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	a, err := s.inner.Read(ctx, r)
	n := 0
	for _, p := range a.GetParts() {
		for _, o := range p.Objects {
			n += len(o.Key) + len(o.Value)
		}
		n += len(p.Packed)
	}
	s.largest = max(s.largest, n)
	s.change()
	return a, err
}

// TestCopyInChunks reads 10,002 entries of 300 bytes while entries change, appear and disappear. No
// response may be larger than a chunk, and the copy must end up equal to its source.
//
// Without chunks, a VM that started together with 985 others in a fleet of 10,002 replicas got the
// list as one response of 3 MB, which a link of 20 Mbit/s does not carry within the time limit of a
// read. Its reads from one peer after the other failed with DeadlineExceeded, and it read the store
// itself, 21 pages, as did all VMs.
func TestCopyInChunks(t *testing.T) {
	const entries = 10_002
	rng := rand.New(rand.NewPCG(1, 1))
	source := &Space{Prefix: "p/", Next: &testVM{}, Notifier: &Notifier{}}
	rev := objectapi.Revision(1)
	entry := func(i int) objectapi.Object {
		rev++
		return objectapi.Object{Key: fmt.Sprintf("p/i-%05d", i), Value: []byte(strings.Repeat("x", 290) + fmt.Sprint(rev)), Version: rev}
	}
	var all []objectapi.Object
	for i := range entries {
		all = append(all, entry(i))
	}
	now := time.Now()
	source.Listed(all, follow.At{Revision: rev, Sent: now, Answered: now}, false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	changes := 0
	s := &measuringServer{inner: &Server{Spaces: []*Space{source}, Notifier: source.Notifier}, change: func() {
		if changes++; changes > 60 {
			return
		}
		o := entry(rng.IntN(entries + 100))
		o.Deleted = rng.IntN(3) == 0
		source.Changed([]objectapi.Object{o}, follow.At{Revision: rev, Sent: time.Now(), Answered: time.Now()})
	}}
	srv := grpc.NewServer()
	mirrorpb.RegisterMirrorServer(srv, s)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	dst := &Space{Prefix: "p/", Next: &testVM{}, Notifier: &Notifier{}}
	c, err := dial(Peer{VM: "a", Addr: l.Addr().String()}, []*Space{dst}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	for range 100 {
		if err := c.read(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
	}
	if s.largest > chunkBytes {
		t.Errorf("largest response has %d bytes, want at most %d", s.largest, chunkBytes)
	}
	if len(dst.objects) != len(source.objects) {
		t.Errorf("the copy has %d objects, its source has %d", len(dst.objects), len(source.objects))
	}
	for key, o := range source.objects {
		if got := dst.objects[key]; got.Version != o.Version || string(got.Value) != string(o.Value) {
			t.Fatalf("%s differs: the copy has version %d, its source has %d", key, got.Version, o.Version)
		}
	}
}
