package news

import (
	"context"
	"net"
	"testing"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// TestSocketIsClosedWhenReceiveEnds starts an exchange again on its address as soon as Receive has
// returned, while datagrams keep coming in.
func TestSocketIsClosedWhenReceiveEnds(t *testing.T) {
	addr := loopback.Addr()
	peer, err := net.Dial("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	flooding, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for flooding.Err() == nil {
			_, _ = peer.Write([]byte("x")) // refused while nobody listens
		}
	}()
	for i := range 300 {
		x := &Exchange{VM: "vm0", Listen: addr}
		if err := x.Start(); err != nil {
			t.Fatalf("start %d: %v", i, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); x.Receive(ctx) }()
		cancel()
		<-done
	}
}
