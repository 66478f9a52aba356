package services

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/claims"
	"github.com/threadwall/threadwall/internal/lab/rawreply"
	"github.com/threadwall/threadwall/internal/routing"
)

// plays is how often a test of a race is repeated.
const plays = 10

// send sends a call with a long body to a target that answers with bytes of the test's choice and reads no bodies.
func send(t *testing.T, reply func(c *net.TCPConn, r rawreply.Request)) (*claims.Response, error) {
	t.Helper()
	s, err := rawreply.Start(reply)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	var r Runner
	r.Init(time.Second)
	c := &Call{Method: http.MethodPost, Path: "/bookings", Body: make([]byte, 4<<20)}
	return r.send(t.Context(), c, "a1", routing.Target{ID: "s1", Addr: s.Addr})
}

// TestResetOfServiceIsNoEnd has a target answer a long body without a length, and reset the connection while the body is written.
func TestResetOfServiceIsNoEnd(t *testing.T) {
	for range plays {
		a, err := send(t, func(c *net.TCPConn, _ rawreply.Request) {
			rawreply.Write(c, "HTTP/1.1 200 OK\n\npart of it")
			time.Sleep(20 * time.Millisecond)
			rawreply.Reset(c)
		})
		if err == nil {
			t.Errorf("got status %d, %q as a whole response", a.Status, a.Body)
		}
	}
}

// TestWholeResponseOfService has a target close its side after a whole response to a long body, and then reset the connection.
func TestWholeResponseOfService(t *testing.T) {
	for range plays {
		a, err := send(t, func(c *net.TCPConn, _ rawreply.Request) {
			rawreply.Write(c, "HTTP/1.1 200 OK\n\nall of it")
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			rawreply.Reset(c)
		})
		if err != nil || string(a.Body) != "all of it" {
			t.Errorf("got %v, %v; want all of it", a, err)
		}
	}
}

// TestWholeResponseOfServiceResetAtOnce has a target close its side after a whole response to a long body, and reset the connection at once.
func TestWholeResponseOfServiceResetAtOnce(t *testing.T) {
	for range plays {
		a, err := send(t, func(c *net.TCPConn, _ rawreply.Request) {
			rawreply.Write(c, "HTTP/1.1 200 OK\n\nall of it")
			_ = c.CloseWrite()
			rawreply.Reset(c)
		})
		if err != nil || string(a.Body) != "all of it" {
			t.Errorf("got %v, %v; want all of it", a, err)
		}
	}
}
