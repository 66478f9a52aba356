package upstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab/rawreply"
)

// replyRaw starts a replica that answers with bytes of the test's choice and reads no bodies.
func replyRaw(t *testing.T, reply func(c *net.TCPConn, r rawreply.Request)) Replica {
	t.Helper()
	s, err := rawreply.Start(reply)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return Replica{ID: "r1", Addr: s.Addr}
}

// earlyHeads are heads of responses without a length.
var earlyHeads = map[string]string{
	"ok":       "HTTP/1.1 200 OK\nId: a\n\n",
	"created":  "HTTP/1.1 201 Created\nId: a\n\n",
	"failure":  "HTTP/1.1 404 Not Found\nId: a\n\n",
	"old":      "HTTP/1.0 200 OK\nId: a\n\n",
	"close":    "HTTP/1.1 200 OK\nId: a\nConnection: close\n\n",
	"interim":  "HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\nId: a\n\n",
	"no event": "HTTP/1.1 200 OK\nId: a\nContent-Type: text/event-stream\n\n",
}

// plays is how often a test of a race is repeated.
const plays = 10

// TestResetDuringUploadIsNoEnd has a replica answer a long body without a length, and reset the connection while the body is written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, head := range earlyHeads {
		for _, part := range []string{"", "part of it"} {
			for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
				t.Run(name+"/"+part+pause.String(), func(t *testing.T) {
					to := replyRaw(t, func(c *net.TCPConn, _ rawreply.Request) {
						rawreply.Write(c, head+part)
						time.Sleep(pause)
						rawreply.Reset(c)
					})
					for range plays {
						if body, err := roundTrip(t, client(), to, request("a", make([]byte, 4<<20))); err == nil {
							t.Errorf("got %q as a whole response", body)
						}
					}
				})
			}
		}
	}
}

// TestWholeResponseBeforeReset has a replica close its side after a whole response to a long body, and then reset the connection, before
// the response was read or after.
func TestWholeResponseBeforeReset(t *testing.T) {
	for name, head := range earlyHeads {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset after it was read %v", name, late), func(t *testing.T) {
				read := make(chan struct{})
				to := replyRaw(t, func(c *net.TCPConn, _ rawreply.Request) {
					rawreply.Write(c, head+"all of it")
					_ = c.CloseWrite()
					if late {
						<-read
					}
					rawreply.Reset(c)
				})
				for range plays {
					body, err := roundTrip(t, client(), to, request("a", make([]byte, 4<<20)))
					if err != nil || body != "all of it" {
						t.Errorf("got %q, error %v; want all of it", body, err)
					}
					if late {
						read <- struct{}{}
					}
				}
			})
		}
	}
}
