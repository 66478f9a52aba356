package forward

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/routing"
)

// after responds with a signed success after a delay.
func after(delay time.Duration, body string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		time.Sleep(delay)
		return ok(body)(c, r)
	}
}

// TestStalledCallKeepsSlowReplica makes calls to a service of one slow and one unresponsive
// replica: all are answered. It guards against calls that move from a replica which is late with
// its response to one that answers nothing. They ended as unknown at their deadline.
func TestStalledCallKeepsSlowReplica(t *testing.T) {
	slow := newFakeReplica(t, "slow", after(500*time.Millisecond, "fine")) // the first event timeout is 300 ms
	silent := newFakeReplica(t, "silent", func(net.Conn, *http.Request) bool { time.Sleep(5 * time.Second); return false })
	tf := newFleet(t, route(catalog.Idempotent, 2), slow, silent)
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			if resp, body, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
				t.Errorf("got %v, %q, %v, want 200 and the body of the slow replica", resp, body, err)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

// TestStalledCallMovesLater lets a call stall while the only other replica is unlisted, and lists
// that replica 300 ms later: the call moves there. It guards against a call that looked for another
// replica only once.
func TestStalledCallMovesLater(t *testing.T) {
	silent := newFakeReplica(t, "silent", func(net.Conn, *http.Request) bool { time.Sleep(5 * time.Second); return false })
	spare := newFakeReplica(t, "spare", ok("fine"))
	tf := newFleet(t, route(catalog.Idempotent, 2), silent)
	time.AfterFunc(600*time.Millisecond, func() {
		tf.f.Fleet.Members.ApplyPlatform(records(silent, spare), time.Now())
		tf.f.Fleet.Refresh()
	})
	if resp, body, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
		t.Fatalf("got %v, %q, %v, want 200 and the body of the spare replica", resp, body, err)
	}
}

// TestStallCountedOnce records calls that moved away from a replica which answers others. It guards
// against a second count of each timeout, which opened the breaker of a replica that was only slow.
func TestStallCountedOnce(t *testing.T) {
	slow := newFakeReplica(t, "slow", ok("x"))
	r := route(catalog.Idempotent, 2)
	tf := newFleet(t, r, slow)
	call := &run{f: tf.f, route: &r}
	for range 5 {
		call.recordOutcome(t.Context(), &attempt{c: &choice{target: routing.Target{ID: "slow", Incarnation: 1}}}, outcome.Wrap(errStalled, outcome.Unknown, outcome.CodeUpstream, "read", "slow", "the replica sent nothing within the timeout"))
	}
	if status := tf.f.Fleet.Members.Targets(time.Now()); len(status) != 1 || status[0].BreakerOpen {
		t.Errorf("the replica counts as %+v, want one with a closed breaker", status)
	}
	if !call.mayHaveRun {
		t.Error("the calls are recorded as not run")
	}
}

// TestStallTimerKeepsFiring checks that the timer calls its function again after the time that it
// returns, not while paused, and no more once it returns zero.
func TestStallTimerKeepsFiring(t *testing.T) {
	var mu sync.Mutex
	var elapsed []time.Duration
	s := newStallTimer(func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if elapsed = append(elapsed, d); len(elapsed) == 3 {
			return 0
		}
		return 20 * time.Millisecond
	})
	s.start(20 * time.Millisecond)
	s.pause()
	time.Sleep(60 * time.Millisecond)
	s.start(20 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	s.start(time.Millisecond)
	time.Sleep(30 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if len(elapsed) != 3 || elapsed[0] < 20*time.Millisecond || elapsed[2] < 60*time.Millisecond {
		t.Errorf("the function was called after %v, want three times, after 20, 40 and 60 ms or more", elapsed)
	}
}
