package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/lab/endless"
)

// endlessStream sends a response of endless.Streams, and reports how many bytes it could send.
func endlessStream(form [2]string, sent chan<- int64) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		sent <- endless.Write(c, withHeaders(form[0], r), form[1], endless.Limit)
		return false
	}
}

// withHeaders returns the beginning of a response to a request.
func withHeaders(start string, r *http.Request) string {
	return strings.ReplaceAll(start, endless.Headers, "Id: "+r.Header.Get("Id")+"\r\nSigned: yes\r\n")
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\n" + endless.Headers + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\n" + endless.Headers + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// mostUnusedBytes is what a replica may send of which nothing can be passed on, in bytes: a bound of the VM of 1.5 MiB and what
// the kernel holds.
const mostUnusedBytes = 3 << 20

// TestAnswerWithoutAnEndIsClosed has a replica send bytes without an end, in a head or a body, of which nothing can be passed on. It guards
// against a VM that reads them at the speed of its link for as long as the call lasts, and against callers that lose their
// stream by it.
func TestAnswerWithoutAnEndIsClosed(t *testing.T) {
	for name, form := range endless.Streams {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int64, 1)
			respond := firstOf(endlessStream(form, sent), threeEvents)
			rt := route(catalog.Stream, 2)
			rt.MaxEventGap, rt.Objective, rt.Timeout = 5*time.Second, 5*time.Second, 10*time.Second
			tf := newFleet(t, rt, newFakeReplica(t, "a", respond), newFakeReplica(t, "b", respond))
			_, body, err := tf.ask(t)
			if err != nil || strings.Count(body, "data: one") != 3 {
				t.Errorf("got %.200q, %v, want three events", body, err)
			}
			if n := <-sent; n > mostUnusedBytes {
				t.Errorf("the replica could send %d bytes, want %d at most", n, mostUnusedBytes)
			}
		})
	}
}

// TestTrickleOfNothingCountsAsSilence has a replica send, slowly and without an end, bytes of which nothing can be passed on: the call moves
// to another replica as it does when the first one is silent. It guards against timeouts that such bytes restart.
func TestTrickleOfNothingCountsAsSilence(t *testing.T) {
	for _, name := range []string{
		"interim responses", "blank lines", "comments", "blocks of comments", "blocks without data", "event without an end", "blank lines in chunks",
		"the same event", "comments after an event", "blank lines after an event",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			form := endless.Streams[name]
			respond := firstOf(trickle(form[0], form[1]), threeEvents)
			rt := route(catalog.Stream, 2)
			rt.Timeout = 5 * time.Second
			tf := newFleet(t, rt, newFakeReplica(t, "a", respond), newFakeReplica(t, "b", respond))
			began := time.Now()
			_, body, err := tf.ask(t)
			if took := time.Since(began); err != nil || strings.Count(body, "data: one") != 3 || took > 3*time.Second {
				t.Errorf("got %.200q, %v after %v, want three events within 3 s", body, err, took)
			}
		})
	}
}

// trickle sends start and then part every 20 ms without an end.
func trickle(start, part string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, withHeaders(start, r))
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, part)
		}
		return false
	}
}

// threeEvents responds with the events 1 to 3, or with those after the one that the call has.
func threeEvents(c net.Conn, r *http.Request) bool {
	from := 1
	if r.Header.Get("After") == "1" {
		from = 2
	}
	_, _ = io.WriteString(c, withHeaders(streamHead, r))
	for n := from; n <= 3; n++ {
		_, _ = fmt.Fprintf(c, "id: %d\ndata: one\n\n", n)
	}
	return false
}

// TestPartsWithoutAnEndAreCutAtTheDeadline has a replica send a whole answer of which parts can be passed on, without an end: the caller gets them until the
// call's deadline, and the response does not look complete.
func TestPartsWithoutAnEndAreCutAtTheDeadline(t *testing.T) {
	const timeout = time.Second
	rt := route(catalog.Idempotent, 1)
	rt.Timeout = timeout
	for name, length := range map[string]string{"until the close": "", "with a length": "Content-Length: 1000000000\r\n"} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + endless.Headers + length + "\r\n"
			tf := newFleet(t, rt, newFakeReplica(t, "a", trickle(head, strings.Repeat("x", 64<<10))))
			began := time.Now()
			resp, err := tf.begin(t)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			n, err := io.Copy(io.Discard, resp.Body)
			if took := time.Since(began); err == nil || resp.StatusCode == http.StatusOK && n == 0 || took > timeout+500*time.Millisecond {
				t.Errorf("status %d, %d bytes, %v after %v, want a cut response at the deadline", resp.StatusCode, n, err, took)
			}
		})
	}
}

// TestBytesAfterAnAnswerWithoutAnEnd has a replica go on sending after a complete answer: the VM leaves what the kernel holds unread, and
// sends the next call over another connection.
func TestBytesAfterAnAnswerWithoutAnEnd(t *testing.T) {
	sent := make(chan int64, 2)
	var first atomic.Bool
	tf := newFleet(t, route(catalog.Idempotent, 1), newFakeReplica(t, "a", func(c net.Conn, r *http.Request) bool {
		if !first.CompareAndSwap(false, true) {
			return ok("fine")(c, r)
		}
		head := "HTTP/1.1 200 OK\r\n" + endless.Headers + "Content-Length: 4\r\n\r\nfine"
		sent <- endless.Write(c, withHeaders(head, r), "x", endless.Limit)
		return false
	}))
	for range 2 {
		if _, body, err := tf.ask(t); err != nil || body != "fine" {
			t.Fatalf("got %q, %v, want fine", body, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if n := <-sent; n > mostUnusedBytes {
		t.Errorf("the replica could send %d bytes, want %d at most", n, mostUnusedBytes)
	}
}
