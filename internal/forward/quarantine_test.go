package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/upstream"
)

// watchCrashes has the fleet remember which requests replicas crashed under.
func (tf *testFleet) watchCrashes() *quarantine.Ledger {
	ledger := quarantine.NewLedger(nil, nil)
	tf.f.Guard = &quarantine.Guard{Watch: &quarantine.Watch{
		Ledger: ledger,
		Check: func(ctx context.Context, t ids.Target, addr string) quarantine.Liveness {
			return tf.f.Upstream.Check(ctx, upstream.Replica{ID: t, Addr: addr})
		},
	}}
	return ledger
}

// hello is the request that ask sends.
var hello = quarantine.Request{Method: http.MethodPost, Host: "h.example", URI: "/x?q=1", Body: []byte("hello")}

// maxCrashes bounds the crashes of quarantineHello; they are a second apart.
const maxCrashes = 5

// quarantineHello makes replicas crash under the request that ask sends.
func quarantineHello(l *quarantine.Ledger, crashes int) {
	for i := range crashes {
		at := time.Now().Add(time.Duration(i-maxCrashes) * time.Second)
		l.Crashed(quarantine.Finding{Request: hello.Fingerprint(), Crash: quarantine.Crash{Replica: quarantine.Replica(i), Sent: at, Ended: at}})
	}
}

// waitForSuspects waits until a number of requests is remembered, or d is over.
func waitForSuspects(l *quarantine.Ledger, want int, d time.Duration) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n, _ = l.Counts(); n == want && want > 0 {
			return n
		}
	}
	return n
}

// TestQuarantinedIsRefusedForGood asks for what crashes replicas: it is refused at once, as
// not run, with no invitation to come back; a request that differs in a byte is served.
func TestQuarantinedIsRefusedForGood(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Once, catalog.Idempotent, catalog.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			s := newFakeReplica(t, "a", ok("data: fine\n\n"))
			tf := newFleet(t, route(kind, 2), s)
			quarantineHello(tf.watchCrashes(), 3)
			resp, body, err := tf.ask(t)
			if err != nil || resp.StatusCode != http.StatusBadRequest || resp.Header.Get("Retry-After") != "" {
				t.Fatalf("got %v, %v", resp, err)
			}
			if !strings.Contains(body, "3 replicas crashed") || !strings.Contains(body, "(not-run)") {
				t.Errorf("the caller is told %q", body)
			}
			if n := len(s.requests()); n != 0 {
				t.Errorf("it was sent %d times", n)
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tf.url+"/x?q=1", strings.NewReader("hellp"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Id", "other")
			other, err := http.DefaultTransport.RoundTrip(req)
			if err != nil || other.StatusCode != http.StatusOK {
				t.Fatalf("a request that differs in a byte got %v, %v", other, err)
			}
			_ = other.Body.Close()
		})
	}
}

// TestNoFurtherReplica crashes the replica that runs a call which others crashed under
// before: it is not tried again, and fails as unknown, since it has run.
func TestNoFurtherReplica(t *testing.T) {
	var tf *testFleet
	var ledger *quarantine.Ledger
	crash := func(net.Conn, *http.Request) bool {
		quarantineHello(ledger, 3) // a peer tells of it meanwhile
		return false
	}
	first, second := newFakeReplica(t, "a", crash), newFakeReplica(t, "b", crash)
	tf = newFleet(t, route(catalog.Idempotent, 2), first, second)
	ledger = tf.watchCrashes()
	resp, body, err := tf.ask(t)
	if err != nil || resp.StatusCode != http.StatusBadGateway || !strings.Contains(body, "(unknown)") {
		t.Fatalf("got %v, %q, %v", resp, body, err)
	}
	if n := len(first.requests()) + len(second.requests()); n != 1 {
		t.Errorf("it was sent %d times", n)
	}
}

// TestBlame lets a replica fail a call in many ways, and asks whether it is held against the
// request: only the end of the replica is.
func TestBlame(t *testing.T) {
	var tf *testFleet
	part := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: 20\r\n\r\nhalf", r.Header.Get("Id"))
	}
	for _, c := range []struct {
		name   string
		answer func(s *fakeReplica) func(net.Conn, *http.Request) bool
		blamed int
	}{
		{"it ends", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool { s.stop(); return false }
		}, 1},
		{"it ends after a part of its answer", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(c net.Conn, r *http.Request) bool { part(c, r); s.stop(); return false }
		}, 1},
		{"its connection ends first, and it soon after", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool {
				time.AfterFunc(30*time.Millisecond, s.stop)
				return false
			}
		}, 1},
		{"it starts again under its name", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool {
				tf.f.Fleet.Members.Platform([]platform.Record{recordOf("a", s.addr, 2)}, time.Now())
				return false
			}
		}, 1},
		{"it breaks off and goes on", func(*fakeReplica) func(net.Conn, *http.Request) bool {
			return func(c net.Conn, r *http.Request) bool { part(c, r); return false }
		}, 0},
		{"it hangs up and goes on", func(*fakeReplica) func(net.Conn, *http.Request) bool { return hangUp }, 0},
		{"it sends what is no answer, and ends", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(c net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(c, "garbage\r\n\r\n")
				s.stop()
				return false
			}
		}, 0},
		{"it refuses", func(*fakeReplica) func(net.Conn, *http.Request) bool {
			return status(http.StatusServiceUnavailable, notRun)
		}, 0},
		{"it fails", func(*fakeReplica) func(net.Conn, *http.Request) bool {
			return status(http.StatusInternalServerError, signed)
		}, 0},
		{"it is leaving", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool {
				tf.f.Fleet.Members.Leaves("a", 1)
				s.stop()
				return false
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeReplica(t, "a", hangUp)
			s.respond = c.answer(s)
			tf = newFleet(t, route(catalog.Once, 1), s)
			ledger := tf.watchCrashes()
			if _, _, err := tf.ask(t); err != nil {
				t.Fatal(err)
			}
			if n := waitForSuspects(ledger, c.blamed, 400*time.Millisecond); n != c.blamed {
				t.Errorf("%d requests are suspected, want %d", n, c.blamed)
			}
		})
	}
}

// TestAnswerClears answers a request under which replicas crashed: what was held against it
// is dropped, unless the answer is the replica's failure.
func TestAnswerClears(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(net.Conn, *http.Request) bool
		cleared bool
	}{
		"answered": {ok("fine"), true},
		"failed":   {status(http.StatusInternalServerError, signed), false},
		"no known length": {func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n\r\nperhaps a part", r.Header.Get("Id"))
			return false
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeReplica(t, "a", c.answer)
			tf := newFleet(t, route(catalog.Once, 1), s)
			ledger := tf.watchCrashes()
			quarantineHello(ledger, 2)
			if _, _, err := tf.ask(t); err != nil {
				t.Fatal(err)
			}
			quarantineHello(ledger, 3)
			if _, yes := ledger.Quarantined(hello.Fingerprint()); yes == c.cleared {
				t.Errorf("quarantined by a third crash: %v", yes)
			}
		})
	}
}

// TestTrialWaitsForAReplica asks for a quarantined request whose trial is due while no replica
// can take it: the trial is kept for a time when one can, and lifts the quarantine.
func TestTrialWaitsForAReplica(t *testing.T) {
	const trialDue = 15 * time.Second
	clock.Skip(trialDue)
	defer clock.Skip(-trialDue)
	s := newFakeReplica(t, "a", ok("fine"))
	tf := newFleet(t, route(catalog.Once, 1), s)
	ledger := tf.watchCrashes()
	quarantineHello(ledger, 3)
	tf.f.Fleet.Members.Platform(nil, clock.Now()) // with what follows it counts as dead
	tf.f.Fleet.Members.Busy("a", clock.Now().Add(time.Hour))
	tf.f.Fleet.Refresh()
	if resp, _, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("without a replica: got %v, %v", resp, err)
	}
	tf.f.Fleet.Members.Platform([]platform.Record{recordOf("a", s.addr, 1)}, clock.Now())
	tf.f.Fleet.Members.Ready("a")
	tf.f.Fleet.Refresh()
	for i := range 3 {
		if resp, _, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("call %d with a replica: got %v, %v", i, resp, err)
		}
	}
}
