package mirror

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestPeersAskedAtStart checks what a VM that starts takes from its peers: their copies, with when they
// saw the store's era begin. If a peer exists but does not answer, the store counts as having come back
// just now; if none runs, as never.
func TestPeersAskedAtStart(t *testing.T) {
	log := eventlog.New(io.Discard, nil)
	defer log.Close()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	silent := listen() // accepts connections, and never answers
	down := listen()
	_ = down.Close()
	peer := &Space{Prefix: "p/", Next: &recorder{}, Notifier: &Notifier{}, Log: log}
	peer.Listed(nil, follow.At{Revision: 30}, false)
	era := objectapi.StartOf(1)
	peer.Listed([]objectapi.Object{{Key: "p/a", Value: []byte("1"), Version: era + 9}}, follow.At{Revision: era + 20, Sent: time.Now(), Answered: time.Now()}, false)
	server, running := grpc.NewServer(), listen()
	mirrorpb.RegisterMirrorServer(server, &Server{Spaces: []*Space{peer}, Notifier: peer.Notifier})
	go func() { _ = server.Serve(running) }()
	t.Cleanup(server.Stop)

	for name, c := range map[string]struct {
		peers    []net.Listener
		has      string // the value that the VM has before it has read the store
		restored bool   // the store counts as having come back from a copy
	}{
		"one answers":              {[]net.Listener{silent, running, down}, "1", true},
		"one does not answer":      {[]net.Listener{silent, down}, "", true},
		"none runs":                {[]net.Listener{down}, "", false},
		"there is none":            {nil, "", false},
		"more than may be asked":   {[]net.Listener{down, down, down, running}, "", false},
		"the only one is starting": {[]net.Listener{startingPeer(t, listen())}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			next := &recorder{}
			s := &Space{Prefix: "p/", Next: next, Notifier: &Notifier{}, Log: log}
			r := &Reader{Spaces: []*Space{s}, Log: log, StartPeers: func() (all []Peer) {
				for _, l := range c.peers {
					all = append(all, Peer{VM: "vm1", Addr: l.Addr().String()})
				}
				return all
			}}
			r.askPeers(context.Background())
			if got := next.objects["p/a"]; got != c.has {
				t.Errorf("the VM has %q, want %q", got, c.has)
			}
			s.Listed(nil, follow.At{Revision: era + 25, Sent: time.Now(), Answered: time.Now()}, false)
			if got := !next.at.EraSince.IsZero(); got != c.restored {
				t.Errorf("the store has come back from a copy: %v, want %v", got, c.restored)
			}
		})
	}
}

// startingPeer serves a space that has not been read yet.
func startingPeer(t *testing.T, l net.Listener) net.Listener {
	server := grpc.NewServer()
	mirrorpb.RegisterMirrorServer(server, &Server{Spaces: []*Space{{Prefix: "p/"}}, Notifier: &Notifier{}})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l
}
