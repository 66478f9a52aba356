package upstream

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab/rawreply"
	"github.com/threadwall/threadwall/internal/outcome"
)

// refuses checks that a head is taken for no response, and that its connection is not used again.
func refuses(t *testing.T, head string) {
	t.Helper()
	to := replyRaw(t, func(c *net.TCPConn, _ rawreply.Request) { rawreply.Write(c, head+"\nok") })
	c := client()
	if a, err := c.Send(t.Context(), to, request("a", nil)); err == nil {
		t.Errorf("got status %d, %v as a response", a.Status, a.Header)
		a.Close()
	} else if got := outcome.Of(err).Outcome; got != outcome.Unknown {
		t.Errorf("got %v, want unknown", got)
	}
	if c.pool("r1").anyOpen() {
		t.Error("the connection is kept")
	}
}

// TestStatusOutOfRangeIsNoResponse has a replica send status lines that HTTP/1.1 does not allow, with a sound response after some.
func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n"
	for _, head := range []string{
		"HTTP/1.1 000 \n\n" + sound, "HTTP/1.1 001 \n\n" + sound, "HTTP/1.1 099 \n\n" + sound, "HTTP/1.1 +20 \n\n" + sound,
		"HTTP/1.1 101 Switching Protocols\n\n" + sound,
		"HTTP/1.1 000 \nId: a\nContent-Length: 2\n", "HTTP/1.1 600 \nId: a\nContent-Length: 2\n", "HTTP/1.1 999 \nId: a\nContent-Length: 2\n",
		"HTTP/9.9 200 OK\nId: a\nContent-Length: 2\n", "HTTP/2.0 200 OK\nId: a\nContent-Length: 2\n",
	} {
		t.Run(head, func(t *testing.T) { refuses(t, head) })
	}
}

// TestBlankInFieldNameIsNoResponse has a replica send names of fields that HTTP/1.1 does not allow.
func TestBlankInFieldNameIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n"
	for _, head := range []string{
		sound + "X Odd: 1\n", sound + "X-Odd : 1\n", "HTTP/1.1 200 OK\nId: a\nContent-Length : 200\n", "HTTP/1.1 200 OK\nId: a\nTransfer-Encoding : chunked\n",
		"HTTP/1.1 103 Early Hints\nX Odd: 1\n\n" + sound, sound + ": 1\n", sound + "X\x01Odd: 1\n", sound + "X\tOdd: 1\n",
	} {
		t.Run(head, func(t *testing.T) { refuses(t, head) })
	}
}

// TestCodingOfOldVersionIsNoBody has a replica send a response of HTTP/1.0 in chunks.
func TestCodingOfOldVersionIsNoBody(t *testing.T) {
	refuses(t, "HTTP/1.0 200 OK\nId: a\ntransfer-encoding: chunked\n")
	refuses(t, "HTTP/1.0 200 OK\nX-Long: "+strings.Repeat("x", 4000)+"\nTransfer-Encoding: chunked\nId: a\n")
}

// TestOldVersionIsAResponse has a replica send a response of HTTP/1.0 in pieces, with a body that looks like a field.
func TestOldVersionIsAResponse(t *testing.T) {
	const body = "\r\nTransfer-Encoding: chunked\r\n"
	to := replyRaw(t, func(c *net.TCPConn, _ rawreply.Request) {
		for _, piece := range []string{"HTT", "P/1.0 200 OK\n", "Id: a\nX-Long: " + strings.Repeat("x", 4000), strings.Repeat("x", 20_000) + "\n", "\n"} {
			rawreply.Write(c, piece)
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = io.WriteString(c, body)
	})
	if got, err := roundTrip(t, client(), to, request("a", nil)); err != nil || got != body {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestHeadCutOffIsNoResponse has a replica close the connection at each byte of a head.
func TestHeadCutOffIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nX-Long: 123\r\n\r\n"
	for n := range len(head) {
		to := replyRaw(t, func(c *net.TCPConn, _ rawreply.Request) { _, _ = io.WriteString(c, head[:n]) })
		if a, err := client().Send(t.Context(), to, request("a", nil)); err == nil {
			t.Errorf("%q: got %v as a response", head[:n], a.Header)
			a.Close()
		}
	}
}
