package mirror

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/mirrorpb"
)

// lateServer freezes after it has worked out an answer and before it sends it.
type lateServer struct {
	mirrorpb.UnimplementedMirrorServer
	inner *Server
}

// frozen is shorter than a question may take.
const frozen = 200 * time.Millisecond

func (s *lateServer) Read(ctx context.Context, r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	a, err := s.inner.Read(ctx, r)
	time.Sleep(frozen)
	return a, err
}

// TestProofOfALateAnswer lets a peer freeze between working out how old its proof is and
// sending that: at its reader the proof is no younger for it, over one peer and over two.
func TestProofOfALateAnswer(t *testing.T) {
	first := &Space{Prefix: "p/", Next: &testVM{}, Notifier: &Notifier{}}
	sent := time.Now()
	first.Listed(nil, follow.At{Revision: 1, Sent: sent, Answered: sent}, false)
	for hop := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := grpc.NewServer()
		mirrorpb.RegisterMirrorServer(srv, &lateServer{inner: &Server{Spaces: []*Space{first}, Notifier: first.Notifier}})
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(srv.Stop)
		next := &testVM{}
		space := &Space{Prefix: "p/", Next: next, Notifier: &Notifier{}}
		c, err := dial(Peer{VM: "a", Addr: l.Addr().String()}, []*Space{space}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.close)
		if err := c.read(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		if at, _ := space.At(); at.Sent.After(sent) {
			t.Errorf("after %d readers the proof is %v too young", hop+1, at.Sent.Sub(sent))
		}
		first = space
	}
}
