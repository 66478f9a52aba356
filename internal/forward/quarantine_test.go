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

// watchCrashes makes the fleet record the requests that replicas were running when they crashed.
func (tf *testFleet) watchCrashes() *quarantine.Ledger {
	ledger := quarantine.NewLedger(nil, nil)
	tf.f.Guard = &quarantine.Guard{Detector: &quarantine.Detector{
		Ledger: ledger,
		Check: func(ctx context.Context, t ids.Target, addr string) quarantine.Liveness {
			return tf.f.Upstream.Check(ctx, upstream.Replica{ID: t, Addr: addr})
		},
	}}
	return ledger
}

// hello is the request that ask sends.
var hello = quarantine.Request{Method: http.MethodPost, Host: "h.example", URI: "/x?q=1", Body: [][]byte{[]byte("hello")}}

// maxCrashes bounds the crashes of quarantineHello, which are a second apart.
const maxCrashes = 5

// quarantineHello records crashes of replicas while they ran the request that ask sends.
func quarantineHello(l *quarantine.Ledger, crashes int) {
	for i := range crashes {
		at := time.Now().Add(time.Duration(i-maxCrashes) * time.Second)
		l.Crashed(quarantine.Finding{Request: hello.Fingerprint(), Crash: quarantine.Crash{Replica: quarantine.Replica(i), Sent: at, Ended: at}})
	}
}

// waitForSuspects waits until the ledger holds the given number of requests, at most for d, and
// returns the number.
func waitForSuspects(l *quarantine.Ledger, want int, d time.Duration) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n, _ = l.Counts(); n == want && want > 0 {
			return n
		}
	}
	return n
}

// TestQuarantinedRequestRefusedWithoutRetryAfter sends a request that crashes replicas: it is
// refused at once, as not run and without Retry-After. A request that differs in one byte is
// served.
func TestQuarantinedRequestRefusedWithoutRetryAfter(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Once, catalog.Idempotent, catalog.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			s := newFakeReplica(t, "a", ok("data: fine\n\n"))
			tf := newFleet(t, route(kind, 2), s)
			quarantineHello(tf.watchCrashes(), 3)
			resp, body, err := tf.ask(t)
			if err != nil || resp.StatusCode != http.StatusBadRequest || resp.Header.Get("Retry-After") != "" {
				t.Fatalf("got %v, %v, want 400 without a Retry-After", resp, err)
			}
			if !strings.Contains(body, "3 replicas crashed") || !strings.Contains(body, "(not-run)") {
				t.Errorf("the caller gets %q, want the number of crashes and (not-run)", body)
			}
			if n := len(s.requests()); n != 0 {
				t.Errorf("the call was sent %d times, want 0", n)
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tf.url+"/x?q=1", strings.NewReader("hellp"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Id", "other")
			other, err := http.DefaultTransport.RoundTrip(req)
			if err != nil || other.StatusCode != http.StatusOK {
				t.Fatalf("a request that differs in a byte got %v, %v, want 200", other, err)
			}
			_ = other.Body.Close()
		})
	}
}

// TestNoRetryAfterQuarantine crashes the replica that runs a call whose request crashed other
// replicas before: the call is not retried, and its outcome is unknown, since it may have run.
func TestNoRetryAfterQuarantine(t *testing.T) {
	var tf *testFleet
	var ledger *quarantine.Ledger
	crash := func(net.Conn, *http.Request) bool {
		quarantineHello(ledger, 3) // a peer reports it in the meantime
		return false
	}
	first, second := newFakeReplica(t, "a", crash), newFakeReplica(t, "b", crash)
	tf = newFleet(t, route(catalog.Idempotent, 2), first, second)
	ledger = tf.watchCrashes()
	resp, body, err := tf.ask(t)
	if err != nil || resp.StatusCode != http.StatusBadGateway || !strings.Contains(body, "(unknown)") {
		t.Fatalf("got %v, %q, %v, want 502 and (unknown)", resp, body, err)
	}
	if n := len(first.requests()) + len(second.requests()); n != 1 {
		t.Errorf("the call was sent %d times, want 1", n)
	}
}

// TestCrashDetection lets a replica fail a call in many ways, and checks that the failure counts
// against the request only if the replica stops or restarts without having been leaving.
func TestCrashDetection(t *testing.T) {
	var tf *testFleet
	part := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: 20\r\n\r\nhalf", r.Header.Get("Id"))
	}
	for _, c := range []struct {
		name     string
		respond  func(s *fakeReplica) func(net.Conn, *http.Request) bool
		suspects int
	}{
		{"stops", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool { s.stop(); return false }
		}, 1},
		{"stops after a part of its response", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(c net.Conn, r *http.Request) bool { part(c, r); s.stop(); return false }
		}, 1},
		{"closes the connection and stops soon after", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool {
				time.AfterFunc(30*time.Millisecond, s.stop)
				return false
			}
		}, 1},
		{"restarts under its id", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool {
				tf.f.Fleet.Members.ApplyPlatform([]platform.Record{recordOf("a", s.addr, 2)}, time.Now())
				return false
			}
		}, 1},
		{"breaks the response off and keeps running", func(*fakeReplica) func(net.Conn, *http.Request) bool {
			return func(c net.Conn, r *http.Request) bool { part(c, r); return false }
		}, 0},
		{"closes the connection and keeps running", func(*fakeReplica) func(net.Conn, *http.Request) bool { return hangUp }, 0},
		{"sends an invalid response and stops", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(c net.Conn, _ *http.Request) bool {
				_, _ = fmt.Fprint(c, "garbage\r\n\r\n")
				s.stop()
				return false
			}
		}, 0},
		{"refuses", func(*fakeReplica) func(net.Conn, *http.Request) bool {
			return status(http.StatusServiceUnavailable, notRun)
		}, 0},
		{"fails", func(*fakeReplica) func(net.Conn, *http.Request) bool {
			return status(http.StatusInternalServerError, signed)
		}, 0},
		{"leaves and stops", func(s *fakeReplica) func(net.Conn, *http.Request) bool {
			return func(net.Conn, *http.Request) bool {
				tf.f.Fleet.Members.MarkLeaving("a", 1)
				s.stop()
				return false
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeReplica(t, "a", hangUp)
			s.respond = c.respond(s)
			tf = newFleet(t, route(catalog.Once, 1), s)
			ledger := tf.watchCrashes()
			if _, _, err := tf.ask(t); err != nil {
				t.Fatal(err)
			}
			if n := waitForSuspects(ledger, c.suspects, 400*time.Millisecond); n != c.suspects {
				t.Errorf("%d requests are suspected, want %d", n, c.suspects)
			}
		})
	}
}

// TestResponseClearsSuspicion answers a request that crashed replicas before: the recorded crashes
// are dropped, unless the response reports a failure of the replica or does not mark its own end.
func TestResponseClearsSuspicion(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(net.Conn, *http.Request) bool
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
			s := newFakeReplica(t, "a", c.respond)
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

// TestTrialKeptUntilReplicaAvailable sends a quarantined request whose trial is due while no
// replica can take it: the trial is kept until a replica can, and then lifts the quarantine.
func TestTrialKeptUntilReplicaAvailable(t *testing.T) {
	const trialDue = 15 * time.Second
	clock.Skip(trialDue)
	defer clock.Skip(-trialDue)
	s := newFakeReplica(t, "a", ok("fine"))
	tf := newFleet(t, route(catalog.Once, 1), s)
	ledger := tf.watchCrashes()
	quarantineHello(ledger, 3)
	tf.f.Fleet.Members.ApplyPlatform(nil, clock.Now()) // with the next line the replica counts as dead
	tf.f.Fleet.Members.Busy("a", clock.Now().Add(time.Hour))
	tf.f.Fleet.Refresh()
	if resp, _, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("without a replica: got %v, %v, want 503", resp, err)
	}
	tf.f.Fleet.Members.ApplyPlatform([]platform.Record{recordOf("a", s.addr, 1)}, clock.Now())
	tf.f.Fleet.Members.Ready("a")
	tf.f.Fleet.Refresh()
	for i := range 3 {
		if resp, _, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("call %d with a replica: got %v, %v, want 200", i, resp, err)
		}
	}
}
