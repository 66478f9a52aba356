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

// delayedServer sends each response responseDelay after it was computed.
type delayedServer struct {
	mirrorpb.UnimplementedMirrorServer
	inner *Server
}

// responseDelay is shorter than the time limit of a read.
const responseDelay = 200 * time.Millisecond

func (s *delayedServer) Read(ctx context.Context, r *mirrorpb.ReadRequest) (*mirrorpb.ReadAnswer, error) {
	a, err := s.inner.Read(ctx, r)
	time.Sleep(responseDelay)
	return a, err
}

// TestProofAgeOfDelayedResponse guards against a peer that stalls between computing the age of
// its proof and sending that age: the reader must not take the proof for younger than it is, with
// one peer and with two peers in a row.
func TestProofAgeOfDelayedResponse(t *testing.T) {
	first := &Space{Prefix: "p/", Next: &testVM{}, Notifier: &Notifier{}}
	sent := time.Now()
	first.Listed(nil, follow.At{Revision: 1, Sent: sent, Answered: sent}, false)
	for hop := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := grpc.NewServer()
		mirrorpb.RegisterMirrorServer(srv, &delayedServer{inner: &Server{Spaces: []*Space{first}, Notifier: first.Notifier}})
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
			t.Errorf("after %d readers the proof age is understated by %v", hop+1, at.Sent.Sub(sent))
		}
		first = space
	}
}
