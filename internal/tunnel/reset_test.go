package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/rawreply"
	"github.com/threadwall/threadwall/internal/tunnelpb"
)

// upload opens a tunnel to a target that answers without reading what follows the head of a request, sends it 4 MB, and returns what it
// reads until the connection ends.
func upload(t *testing.T, reply func(c *net.TCPConn)) (string, error) {
	t.Helper()
	s, err := rawreply.Start(func(c *net.TCPConn, _ rawreply.Request) { reply(c) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	p := startPeer(t, func(ctx context.Context, _ ids.Target) (net.Conn, tunnelpb.Result) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Addr)
		if err != nil {
			return nil, tunnelpb.Result_NO_ANSWER
		}
		return c, tunnelpb.Result_CONNECTED
	})
	conn, err := dial(t, newClient(t), p, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		rawreply.Write(conn, "POST / HTTP/1.1\n\n")
		_, _ = conn.Write(make([]byte, 4<<20)) // fails when the tunnel ends
	}()
	got, err := io.ReadAll(conn)
	return string(got), err
}

// TestResetBehindTunnelIsNoEnd has a target answer, and reset the connection while the peer writes to it.
func TestResetBehindTunnelIsNoEnd(t *testing.T) {
	for range 10 {
		got, err := upload(t, func(c *net.TCPConn) {
			rawreply.Write(c, "part")
			time.Sleep(20 * time.Millisecond)
			rawreply.Reset(c)
		})
		if err == nil || errors.Is(err, io.EOF) {
			t.Errorf("got %q, which looks complete", got)
		}
	}
}

// TestWholeResponseBehindTunnel has a target close its side after a response, and then reset the connection.
func TestWholeResponseBehindTunnel(t *testing.T) {
	for range 10 {
		got, err := upload(t, func(c *net.TCPConn) {
			rawreply.Write(c, "all of it")
			_ = c.CloseWrite()
			rawreply.Reset(c)
		})
		if err != nil || got != "all of it" {
			t.Errorf("got %q, %v; want all of it", got, err)
		}
	}
}

// TestHeadCutOffBehindTunnel has a target close its side within the head of a response: the tunnel passes on what came, and the end.
func TestHeadCutOffBehindTunnel(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nX-Lo"
	for _, reset := range []bool{false, true} {
		got, err := upload(t, func(c *net.TCPConn) {
			rawreply.Write(c, "HTTP/1.1 200 OK\nX-Lo")
			if reset {
				time.Sleep(20 * time.Millisecond)
				rawreply.Reset(c)
				return
			}
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		if got != part || (err != nil) != reset {
			t.Errorf("reset %v: got %q, %v", reset, got, err)
		}
	}
}
