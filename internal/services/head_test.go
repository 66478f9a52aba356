package services

import (
	"io"
	"net"
	"testing"

	"github.com/threadwall/threadwall/internal/lab/rawreply"
	"github.com/threadwall/threadwall/internal/outcome"
)

// refuses checks that a head is taken for no response of a service.
func refuses(t *testing.T, head string) {
	t.Helper()
	a, err := send(t, func(c *net.TCPConn, _ rawreply.Request) {
		rawreply.Write(c, head+"\nok")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c) // so that the connection is not reset
	})
	if err == nil {
		t.Errorf("got status %d, %q as a response", a.Status, a.Body)
	} else if got := outcome.Of(err).Outcome; got != outcome.Unknown {
		t.Errorf("got %v, want unknown", got)
	}
}

// TestStatusOfServiceOutOfRangeIsNoResponse has a service send status lines that HTTP/1.1 does not allow.
func TestStatusOfServiceOutOfRangeIsNoResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 ", "HTTP/1.1 +20 ", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 ", "HTTP/9.9 200 OK"} {
		t.Run(line, func(t *testing.T) { refuses(t, line+"\nContent-Length: 2\n") })
	}
}

// TestBlankInFieldNameOfServiceIsNoResponse has a service send names of fields that HTTP/1.1 does not allow.
func TestBlankInFieldNameOfServiceIsNoResponse(t *testing.T) {
	for _, fields := range []string{"X Odd: 1\nContent-Length: 2\n", "X-Odd : 1\nContent-Length: 2\n", "Content-Length : 200\n", "Transfer-Encoding : chunked\n", "X\x01Odd: 1\nContent-Length: 2\n"} {
		t.Run(fields, func(t *testing.T) { refuses(t, "HTTP/1.1 200 OK\n"+fields) })
	}
}

// TestCodingOfOldServiceIsNoBody has a service send a response of HTTP/1.0 in chunks.
func TestCodingOfOldServiceIsNoBody(t *testing.T) {
	refuses(t, "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n")
}

// TestHeadOfServiceCutOffIsNoResponse has a service close the connection at each byte of a head.
func TestHeadOfServiceCutOffIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Long: 123\r\n\r\n"
	for n := range len(head) {
		a, err := send(t, func(c *net.TCPConn, _ rawreply.Request) {
			_, _ = io.WriteString(c, head[:n])
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c) // so that the connection is not reset
		})
		if err == nil {
			t.Errorf("%q: got status %d, %q as a response", head[:n], a.Status, a.Body)
		}
	}
}
