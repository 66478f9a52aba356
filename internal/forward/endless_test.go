package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
)

// endlessLimit is where a fake replica stops sending bytes that are no response, if the VM still reads them, in bytes.
const endlessLimit = 32 << 20

// endless sends start and then part again and again, and reports how many bytes it could send.
func endless(start, part string, sent chan<- int) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // so that what the kernel holds is little beside the bound
		_, _ = io.WriteString(c, strings.ReplaceAll(start, "{id}", r.Header.Get("Id")))
		block := strings.Repeat(part, max(1, 16<<10/len(part)))
		n := 0
		for n < endlessLimit {
			m, err := io.WriteString(c, block)
			n += m
			if err != nil {
				break
			}
		}
		sent <- n
		return false
	}
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// endlessForms are responses without an end of which nothing can be passed on.
var endlessForms = map[string]struct {
	start, part string
}{
	"status line":                 {"HTTP/1.1 200 ", "x"},
	"header lines":                {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"},
	"interim responses":           {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"short interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"responses to other requests": {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold"},
	"blank lines":                 {streamHead, "\n"},
	"blank lines, CRLF":           {streamHead, "\r\n"},
	"comments":                    {streamHead, ": 0123456789\n"},
	"blocks of comments":          {streamHead, ": 0123456789\n\n"},
	"blocks without data":         {streamHead, "event: ping\n\n"},
	"line without an end":         {streamHead + "data: ", "x"},
	"event without an end":        {streamHead, "data: 0123456789\n"},
	"blank lines in chunks":       {chunkedHead, "2\r\n\n\n\r\n"},
	"comments in chunks":          {chunkedHead, "f\r\n: 0123456789\n\n\r\n"},
	"chunk extension":             {chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\n\n\r\n"},
	"trailers":                    {chunkedHead + "0\r\n", "X-Filler: 0123456789\r\n"},
	"the same event":              {streamHead + "id: 1\ndata: one\n\n", "id: 1\ndata: one\n\n"},
	"comments after an event":     {streamHead + "id: 1\ndata: one\n\n", ": 0123456789\n\n"},
	"blank lines after an event":  {streamHead + "id: 1\ndata: one\n\n", "\n"},
}

// mostUnusedBytes is what a replica may send of which nothing can be passed on, in bytes: a bound of the VM of 1.5 MiB and what
// the kernel holds.
const mostUnusedBytes = 3 << 20

// TestAnswerWithoutAnEndIsClosed has a replica send bytes without an end, in a head or a body, of which nothing can be passed on. It guards
// against a VM that reads them at the speed of its link for as long as the call lasts, and against callers that lose their
// stream by it.
func TestAnswerWithoutAnEndIsClosed(t *testing.T) {
	for name, form := range endlessForms {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			respond := firstOf(endless(form.start, form.part, sent), threeEvents)
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
			form := endlessForms[name]
			respond := firstOf(trickle(form.start, form.part), threeEvents)
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
		_, err := io.WriteString(c, strings.ReplaceAll(start, "{id}", r.Header.Get("Id")))
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
	_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "{id}", r.Header.Get("Id")))
	for n := from; n <= 3; n++ {
		_, _ = fmt.Fprintf(c, "id: %d\ndata: one\n\n", n)
	}
	return false
}
