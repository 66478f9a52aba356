package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

// refusal is what keeps a call from another replica while its own is silent.
type refusal string

const (
	noRetry     refusal = "the retry budget is short"
	refuses     refusal = "the next replica refuses the call"
	fails       refusal = "the next replica fails the call"
	closes      refusal = "the next replica closes the connection"
	breaksOff   refusal = "the next replica breaks off after its head"
	breaksEvent refusal = "the next replica breaks off in its first event"
	saysNothing refusal = "the next replica is silent for longer"
	unsigned    refusal = "the next replica's response lacks a signature"
	notListed   refusal = "the next replica has left the list"
	notReached  refusal = "the next replica can't be connected to"
	unproven    refusal = "the configuration can't be proved any more"
	resting     refusal = "the next replica has asked for a rest"
)

var refusals = []refusal{noRetry, refuses, fails, closes, breaksOff, breaksEvent, saysNothing, unsigned, notListed, notReached, unproven, resting}

// silentCase is a set of calls whose replicas fall silent and go on.
type silentCase struct {
	refusal  refusal
	kind     catalog.Kind
	attempts int
	calls    int // at the same time
	silentAt int // event of a stream before which its replica is silent; zero: before the head
	torn     bool
	silence  time.Duration
	burst    float64 // of the retry budget
}

const silentCaseEvents = 6

func drawSilentCase(rng *rand.Rand, why refusal) silentCase {
	c := silentCase{
		refusal: why, kind: catalog.Stream, attempts: 2 + rng.IntN(2), calls: 1 + rng.IntN(8), silentAt: rng.IntN(silentCaseEvents + 1),
		torn: rng.IntN(3) == 0, silence: time.Duration(500+rng.IntN(400)) * time.Millisecond, burst: 100,
	}
	if rng.IntN(4) == 0 {
		c.kind, c.silentAt = catalog.Idempotent, 0
	}
	switch why {
	case noRetry:
		c.calls, c.burst = 8, float64(1+rng.IntN(4))
	case notListed, notReached:
		c.calls = 1 // other calls would begin where this one may not go
	}
	return c
}

// silentReplicas are replicas of which the first that gets a call is silent for a while and goes on.
type silentReplicas struct {
	c    silentCase
	tf   *testFleet
	all  []*fakeReplica
	mu   sync.Mutex
	seen map[string]int // arrivals, by call
}

func newSilentReplicas(t *testing.T, c silentCase) *silentReplicas {
	s := &silentReplicas{c: c, seen: map[string]int{}}
	for i := range 3 {
		s.all = append(s.all, nil)
		s.all[i] = newFakeReplica(t, ids.Target(fmt.Sprint("r", i)), func(conn net.Conn, r *http.Request) bool { return s.respond(i, conn, r) })
	}
	r := route(c.kind, c.attempts)
	r.Timeout, r.Public = 6*time.Second, false
	s.tf = newFleet(t, r, s.all...)
	s.tf.f.Catalog.Adopt(catalog.New(catalog.Declaration{
		Version: 2, Routes: []catalog.Route{r}, Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}}},
	}))
	s.tf.f.Catalog.Prove(clock.Now())
	s.tf.f.KeyTTL.Store(int64(time.Minute))
	s.tf.f.Budgets.SetBounds(0, c.burst)
	return s
}

// respond has the first replica of a call fall silent, and the later ones do what keeps the call from them.
func (s *silentReplicas) respond(i int, conn net.Conn, r *http.Request) bool {
	s.mu.Lock()
	s.seen[r.Header.Get("Id")]++
	first, all := s.seen[r.Header.Get("Id")] == 1, len(s.seen) == s.c.calls
	s.mu.Unlock()
	if !first {
		return s.refuse(conn, r)
	}
	switch s.c.refusal {
	case notListed:
		s.tf.f.Fleet.Members.ApplyPlatform(records(s.all[i]), time.Now())
		s.tf.f.Fleet.Refresh()
	case notReached:
		for j, other := range s.all {
			if j != i {
				other.stop()
			}
		}
	case unproven:
		if all { // the first sends need the proof
			s.tf.f.KeyTTL.Store(1)
		}
	}
	return s.answer(conn, r)
}

// answer gives the whole response, with a silence in it.
func (s *silentReplicas) answer(conn net.Conn, r *http.Request) bool {
	if s.c.kind != catalog.Stream {
		time.Sleep(s.c.silence)
		return ok("fine")(conn, r)
	}
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nBy: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Id"), r.Header.Get("Replica"))
	if s.c.silentAt == 0 {
		time.Sleep(s.c.silence)
	}
	after, _ := strconv.Atoi(r.Header.Get("After"))
	for n := after + 1; n <= silentCaseEvents; n++ {
		ev := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if n == s.c.silentAt {
			if s.c.torn {
				_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", 5, ev[:5])
				ev = ev[5:]
			}
			if _, err := conn.Write(out.Bytes()); err != nil {
				return false
			}
			out.Reset()
			time.Sleep(s.c.silence)
		}
		_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", len(ev), ev)
	}
	_, _ = fmt.Fprint(&out, "0\r\n\r\n")
	_, err := conn.Write(out.Bytes())
	return err == nil
}

// refuse is what a replica does to a call that has been sent to another one before.
func (s *silentReplicas) refuse(conn net.Conn, r *http.Request) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	switch s.c.refusal {
	case refuses:
		return status(503, notRun)(conn, r)
	case fails:
		return status(500, signed)(conn, r)
	case closes:
		return false
	case breaksOff:
		_, _ = conn.Write([]byte(head))
		return false
	case breaksEvent:
		_, _ = conn.Write([]byte(head + "4\r\nid: \r\n"))
		return false
	case saysNothing:
		time.Sleep(10 * s.c.silence)
		return false
	case unsigned:
		return status(200)(conn, r)
	case resting:
		return status(503, notRun, "Rest: 1s\r\n")(conn, r)
	}
	return s.answer(conn, r)
}

// TestSilentReplicaKeepsItsCall has replicas fall silent in the middle of a response, or before it, and go on, while something keeps
// the call from another replica. It guards against calls that were given up first, on a look at whether they could go on elsewhere.
func TestSilentReplicaKeepsItsCall(t *testing.T) {
	const plays = 6 // of each refusal
	for i, why := range refusals {
		for play := range plays {
			c := drawSilentCase(rand.New(rand.NewPCG(uint64(play), uint64(i))), why)
			t.Run(fmt.Sprintf("%s/%d", strings.ReplaceAll(string(why), " ", "_"), play), func(t *testing.T) {
				t.Parallel()
				s := newSilentReplicas(t, c)
				s.askAll(t)
				s.check(t)
			})
		}
	}
}

// askAll makes the calls at the same time, and checks that each gets its whole answer.
func (s *silentReplicas) askAll(t *testing.T) {
	var wg sync.WaitGroup
	for range s.c.calls {
		wg.Go(func() {
			resp, err := s.tf.begin(t, "Key", "k")
			if err != nil {
				t.Errorf("%+v: %v", s.c, err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			whole := string(body) == "fine"
			if s.c.kind == catalog.Stream {
				whole = eventIDs(string(body)) == "1 2 3 4 5 6"
			}
			if err != nil || resp.StatusCode != http.StatusOK || !whole {
				t.Errorf("%+v: got status %d, %q, %v, want the whole answer", s.c, resp.StatusCode, body, err)
			}
		})
	}
	wg.Wait()
}

// check checks the bounds on sends: the attempts of each call, and the retry budget.
func (s *silentReplicas) check(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := 0
	for id, n := range s.seen {
		again += n - 1
		most := s.c.attempts
		if s.c.refusal == refuses || s.c.refusal == resting {
			most = maxSends // sends that did not run are no attempts
		}
		if n > most {
			t.Errorf("%+v: call %s arrived %d times", s.c, id, n)
		}
	}
	if float64(again) > s.c.burst {
		t.Errorf("%+v: %d retries, allowed are %v", s.c, again, s.c.burst)
	}
}

// silentAfter writes n events of a stream and is then silent until its connection is closed. It reports the time of that.
func silentAfter(n int, closed chan<- time.Time) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		if n > 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		}
		for i := 1; i <= n; i++ {
			ev := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		}
		_, _ = io.Copy(io.Discard, c) // until the VM closes the connection
		closed <- time.Now()
		return false
	}
}

// firstOf has whichever of the replicas gets the first request respond with first, and all later requests with later.
func firstOf(first, later func(net.Conn, *http.Request) bool) func(net.Conn, *http.Request) bool {
	var once sync.Once
	return func(c net.Conn, r *http.Request) bool {
		respond := later
		once.Do(func() { respond = first })
		return respond(c, r)
	}
}

// TestCallLeavesReplicaThatStaysSilent has a replica fall silent for good: the call goes on at another one when the timeout has
// passed, and the silent one is told to stop once that one has begun.
func TestCallLeavesReplicaThatStaysSilent(t *testing.T) {
	const stopTime = 400 * time.Millisecond // until the silent replica must be told to stop
	for begun := range 3 {
		closed, answered := make(chan time.Time, 1), make(chan time.Time, 1)
		respond := firstOf(silentAfter(begun, closed), func(c net.Conn, r *http.Request) bool {
			answered <- time.Now()
			return events(6, 0, false)(c, r)
		})
		tf := newFleet(t, route(catalog.Stream, 2), newFakeReplica(t, "a", respond), newFakeReplica(t, "b", respond))
		sent := time.Now()
		resp, body, err := tf.ask(t)
		if err != nil || resp.StatusCode != http.StatusOK || eventIDs(body) != "1 2 3 4 5 6" {
			t.Fatalf("silent after %d events: got %v, %q, %v, want events 1 to 6", begun, resp, eventIDs(body), err)
		}
		at := <-answered
		if took := at.Sub(sent); took > loadSlack {
			t.Errorf("silent after %d events: the other replica got the call after %v", begun, took)
		}
		if late := (<-closed).Sub(at); late > stopTime {
			t.Errorf("silent after %d events: the silent replica was told to stop %v after the other one had begun", begun, late)
		}
	}
}

// TestCallerLeavesDuringMove has a caller leave while two replicas have its call, both silent: both are told so.
func TestCallerLeavesDuringMove(t *testing.T) {
	closed := make(chan time.Time, 2)
	respond := silentAfter(0, closed)
	a, b := newFakeReplica(t, "a", respond), newFakeReplica(t, "b", respond)
	tf := newFleet(t, route(catalog.Stream, 2), a, b)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	go func() {
		for len(a.requests())+len(b.requests()) < 2 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tf.url+"/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", fmt.Sprint("c", callNumber.Add(1)))
	if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
		_ = resp.Body.Close()
		t.Fatalf("got %v, want the error of a caller that left", resp)
	}
	left := time.Now()
	for range 2 {
		if late := (<-closed).Sub(left); late > 500*time.Millisecond {
			t.Errorf("a replica was told %v after the caller had left", late)
		}
	}
	for tf.f.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := tf.f.Stats.Attempts.Load(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// TestBareEndDoesNotReplaceSilentReplica has the next replica end a response without length or chunks before its first event, as when
// it crashes, while the call's own replica is silent and goes on. Such an end is no answer, and must not look like the end of the stream.
func TestBareEndDoesNotReplaceSilentReplica(t *testing.T) {
	silent := &silentReplicas{c: silentCase{kind: catalog.Stream, silentAt: 4, silence: 600 * time.Millisecond}}
	respond := firstOf(silent.answer, func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
		return false
	})
	tf := newFleet(t, route(catalog.Stream, 2), newFakeReplica(t, "a", respond), newFakeReplica(t, "b", respond))
	if _, body, err := tf.ask(t); err != nil || eventIDs(body) != "1 2 3 4 5 6" {
		t.Errorf("got events %q, %v, want 1 to 6", eventIDs(body), err)
	}
}
