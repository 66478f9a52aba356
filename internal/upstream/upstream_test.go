package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab/loopback"
	"github.com/threadwall/threadwall/internal/outcome"
)

// replica starts a server that runs script for each connection; n is the connection's number,
// from 0.
func replica(t *testing.T, script func(n int, c net.Conn, in *bufio.Reader)) Replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return Replica{ID: "r1", Addr: l.Addr().String()}
}

// readID reads one request and returns its Id header, or an empty string on an error.
func readID(in *bufio.Reader) string {
	req, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

func writeString(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func request(id string, body []byte) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/a?b=1", Host: "h.example", Header: http.Header{"Id": {id}}, Body: [][]byte{body},
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func roundTrip(t *testing.T, c *Client, to Replica, r *Request) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), to, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	data, err := io.ReadAll(a.Body)
	return string(data), err
}

func client() *Client { return NewClient(300 * time.Millisecond) }

func TestRefusedConnectionIsNotRun(t *testing.T) {
	_, err := client().Send(t.Context(), Replica{ID: "r1", Addr: loopback.Addr()}, request("a", nil))
	if got := outcome.Of(err).Outcome; got != outcome.NotRun {
		t.Fatalf("got %v, want not-run: no connection was made", got)
	}
}

func TestCloseAfterReadIsUnknown(t *testing.T) {
	to := replica(t, func(_ int, _ net.Conn, in *bufio.Reader) { readID(in) })
	_, err := client().Send(t.Context(), to, request("a", nil))
	if got := outcome.Of(err).Outcome; got != outcome.Unknown {
		t.Fatalf("got %v, want unknown: the replica had read the request", got)
	}
}

// TestReusedConnectionNeverReplays closes a reused connection after the replica has read the
// second request. The client must not send that request again.
func TestReusedConnectionNeverReplays(t *testing.T) {
	got := make(chan string, 10)
	to := replica(t, func(n int, c net.Conn, in *bufio.Reader) {
		got <- readID(in)
		writeString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
		if id := readID(in); id != "" {
			got <- id
		}
	})
	c := client()
	if _, err := roundTrip(t, c, to, request("a", nil)); err != nil {
		t.Fatal(err)
	}
	r := request("b", nil)
	r.Method = http.MethodGet
	_, err := c.Send(t.Context(), to, r)
	if outcome.Of(err).Outcome != outcome.Unknown {
		t.Fatalf("got error %v, want one with outcome unknown", err)
	}
	time.Sleep(50 * time.Millisecond)
	if len(got) != 2 {
		t.Fatalf("the replica read %d requests, want 2", len(got))
	}
}

// TestStrayResponseIsDiscarded sends the response to an earlier request first.
func TestStrayResponseIsDiscarded(t *testing.T) {
	to := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readID(in)
		writeString(c, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold")
		writeString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nnew")
		readID(in)
	})
	body, err := roundTrip(t, client(), to, request("a", nil))
	if err != nil || body != "new" {
		t.Fatalf("got body %q, error %v; want \"new\" and no error", body, err)
	}
}

// TestExtraResponseClosesConnection sends a second response after the first. The next request
// must use another connection.
func TestExtraResponseClosesConnection(t *testing.T) {
	conns := make(chan int, 10)
	to := replica(t, func(n int, c net.Conn, in *bufio.Reader) {
		conns <- n
		id := readID(in)
		writeString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(20 * time.Millisecond)
		writeString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nno")
		readID(in)
	})
	c := client()
	for _, id := range []string{"a", "b"} {
		if body, err := roundTrip(t, c, to, request(id, nil)); err != nil || body != "ok" {
			t.Fatalf("got body %q, error %v; want \"ok\" and no error", body, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
	if len(conns) != 2 {
		t.Fatalf("%d connections were used, want 2", len(conns))
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := replica(t, func(_ int, c net.Conn, in *bufio.Reader) { readID(in); writeString(c, response) })
			if _, err := roundTrip(t, client(), to, request("a", nil)); err == nil {
				t.Fatal("a truncated body was read without an error")
			}
		})
	}
}

// TestUnframedResponse checks that a response without framing is complete after a close of the
// connection and an error after a reset.
func TestUnframedResponse(t *testing.T) {
	for _, reset := range []bool{false, true} {
		to := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
			readID(in)
			writeString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := roundTrip(t, client(), to, request("a", nil))
		if reset == (err == nil) {
			t.Fatalf("reset %v: got body %q, error %v; want an error only after a reset", reset, body, err)
		}
	}
}

// TestEarlyResponse responds before a long request body is read. The client must accept the
// response, and must not reuse the connection, since the body has not been written completely.
func TestEarlyResponse(t *testing.T) {
	conns := make(chan int, 10)
	to := replica(t, func(n int, c net.Conn, in *bufio.Reader) {
		conns <- n
		id := ""
		for line, err := in.ReadString('\n'); err == nil && line != "\r\n"; line, err = in.ReadString('\n') {
			if v, ok := strings.CutPrefix(line, "Id: "); ok {
				id = strings.TrimSpace(v)
			}
		}
		writeString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 5\r\n\r\nearly")
		time.Sleep(200 * time.Millisecond) // the body stays unread
	})
	c := client()
	for _, id := range []string{"a", "b"} {
		if body, err := roundTrip(t, c, to, request(id, make([]byte, 8<<20))); err != nil || body != "early" {
			t.Fatalf("got body %q, error %v; want \"early\" and no error", body, err)
		}
	}
	if len(conns) != 2 {
		t.Fatalf("%d connections were used, want 2", len(conns))
	}
}

// TestCancelClosesTheConnection checks that a cancelled call closes its connection at once, so
// that the replica notices.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	to := replica(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		readID(in)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := client().Send(ctx, to, request("a", nil)); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was still open 1 s after the call was cancelled")
	}
}

// TestIdleLimits checks that a connection is not reused when the replica may be about to close
// it.
func TestIdleLimits(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		timeout time.Duration // announced by the replica
		idle    time.Duration
		fresh   bool
	}{
		{0, 9 * time.Second, true},
		{0, 11 * time.Second, false},
		{2 * time.Second, time.Second, true},
		{2 * time.Second, 1500 * time.Millisecond, false},
		{time.Second, 200 * time.Millisecond, true},
		{time.Second, 400 * time.Millisecond, false},
	} {
		cn := &conn{idleSince: now.Add(-c.idle), idleTimeout: c.timeout}
		if cn.fresh(now) != c.fresh {
			t.Errorf("idle timeout %v, idle for %v: fresh is %v", c.timeout, c.idle, !c.fresh)
		}
	}
}

// TestHeaderCannotSplit checks that a header value cannot start another header.
func TestHeaderCannotSplit(t *testing.T) {
	r := request("a", nil)
	r.Header.Set("Evil", "x\r\nContent-Length: 9")
	if head := string(r.head()); strings.Contains(head, "\r\nContent-Length: 9") {
		t.Fatalf("the head was split: %q", head)
	}
}

// TestHeadWithoutEnd has a replica send a head that does not end, in one line or in many. It
// guards against a head that was collected in memory until the VM exceeded its limit.
func TestHeadWithoutEnd(t *testing.T) {
	const most = 8 << 20 // bytes that the replica sends if nobody stops it
	for name, part := range map[string]string{
		"one line":   strings.Repeat("x", 1024),
		"many lines": "X-Filler: " + strings.Repeat("x", 1000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			to := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
				readID(in)
				writeString(c, "HTTP/1.1 200 OK\r\nX-Long: ")
				n := 0
				for n < most {
					m, err := io.WriteString(c, part)
					if n += m; err != nil {
						break
					}
				}
				sent <- n
			})
			_, err := client().Send(t.Context(), to, request("a", nil))
			if got := outcome.Of(err).Outcome; err == nil || got != outcome.Unknown {
				t.Errorf("got %v, %v, want an error with an unknown outcome", got, err)
			}
			// The kernel's buffers hold some of what the replica sends.
			if n := <-sent; n >= most {
				t.Errorf("the replica could send all %d bytes of the head", n)
			}
		})
	}
}

// TestLongHead has a replica send a head that is nearly as long as allowed, after an interim response: the call gets its response, and
// the connection is used again.
func TestLongHead(t *testing.T) {
	to := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for id := readID(in); id != ""; id = readID(in) {
			writeString(c, "HTTP/1.1 103 Early Hints\r\nX-Long: "+strings.Repeat("x", maxHeadBytes/2)+"\r\n\r\n")
			writeString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nX-Long: "+strings.Repeat("x", maxHeadBytes-1024)+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := client()
	for range 3 {
		if body, err := roundTrip(t, c, to, request("a", nil)); err != nil || body != "ok" {
			t.Fatalf("got %q, %v, want ok", body, err)
		}
	}
	if n := c.Dials.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}
