package engine

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab/rawreply"
	"github.com/threadwall/threadwall/internal/outcome"
)

// TestBrokenRejectionIsUnknown has an engine reject a call with a body that breaks off: no caller gets the part as the engine's answer.
func TestBrokenRejectionIsUnknown(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 100\n", "chunks": "Transfer-Encoding: chunked\n", "none": ""} {
		t.Run(name, func(t *testing.T) {
			s, err := rawreply.Start(func(c *net.TCPConn, _ rawreply.Request) {
				rawreply.Write(c, "HTTP/1.1 400 Bad Request\n"+framing+"\n")
				rawreply.Write(c, "5\npart")
				time.Sleep(20 * time.Millisecond)
				rawreply.Reset(c)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			_, err = NewClient(time.Second).Start(t.Context(), &Call{Target: "e1", Addr: s.Addr, Path: "/", Attempt: "a1", Body: make([]byte, 4<<20)})
			var rejected *StatusError
			if got := outcome.Of(err); got.Outcome != outcome.Unknown || errors.As(err, &rejected) {
				t.Errorf("got %v, want an unknown outcome", got)
			}
		})
	}
}
