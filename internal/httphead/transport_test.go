package httphead

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab/rawreply"
)

// TestConnectionOfMalformedHeadIsClosed has a server send malformed heads, of final responses without a body and of interim ones: no response is
// returned, and the connection is not used again.
func TestConnectionOfMalformedHeadIsClosed(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\nContent-Length: 0\n\n"
	for _, head := range []string{
		"HTTP/1.1 000 \nContent-Length: 0\n\n", "HTTP/1.1 600 \nContent-Length: 0\n\n", "HTTP/9.9 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nX Odd: 1\nContent-Length: 0\n\n", "HTTP/1.1 103 Early Hints\nX Odd: 1\n\n" + sound,
	} {
		t.Run(head, func(t *testing.T) {
			closed := make(chan bool, 1)
			s, err := rawreply.Start(func(c *net.TCPConn, _ rawreply.Request) {
				rawreply.Write(c, head)
				rest, _ := io.ReadAll(c) // until the client closes the connection
				closed <- len(rest) == 0
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			base := &http.Transport{}
			defer base.CloseIdleConnections()
			c := &http.Client{Transport: Transport(base)}
			for range 2 {
				resp, err := c.Get("http://" + s.Addr)
				if err == nil {
					t.Errorf("got status %d, %v", resp.StatusCode, resp.Header)
					_ = resp.Body.Close()
				}
				select {
				case unused := <-closed:
					if !unused {
						t.Error("the connection was used again")
					}
				case <-time.After(time.Second):
					t.Fatal("the connection is open")
				}
			}
		})
	}
}
