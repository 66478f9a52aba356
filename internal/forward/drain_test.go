package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
)

// TestEndsInDrain checks which calls a VM that shuts down takes.
func TestEndsInDrain(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name                string
		left, latest, usual time.Duration
		again, want         bool
	}{
		{"booking that ends for certain", 2 * s, 1500 * time.Millisecond, 0, false, true},
		{"booking that usually ends", 2 * s, 5 * s, s, false, false},
		{"lookup that usually ends", 2 * s, 5 * s, s, true, true},
		{"lookup that usually takes longer", 2 * s, 5 * s, 3 * s, true, false},
		{"lookup that usually takes longer than it may", 2 * s, s, 3 * s, true, true},
		{"lookup of which nothing is known", 2 * s, 5 * s, 0, true, false},
		{"after the end", -s, s, s, true, false},
		{"after the end, deadline passed", 0, -s, 0, false, true}, // it ends at once
	} {
		if got := EndsInDrain(c.left, c.latest, c.usual, c.again); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// TestUsualDuration checks that the longest of the latest calls counts, with a margin that is larger if there were few.
func TestUsualDuration(t *testing.T) {
	var d durations
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		calls int
		want  time.Duration
	}{{1, 11 * time.Second}, {4, 3 * time.Second}, {5, 2 * time.Second}, {30, 1250 * time.Millisecond}} {
		for range c.calls {
			d.observe("r", time.Second, now)
		}
		if got := d.usual("r", now); got != c.want {
			t.Errorf("after %d more calls: got %v, want %v", c.calls, got, c.want)
		}
	}
	d.observe("r", 2*time.Second, now)
	for _, c := range []struct{ after, want time.Duration }{
		{0, 2500 * time.Millisecond},
		{durationWindow, 2500 * time.Millisecond},
		{2*durationWindow + time.Second, 0},
	} {
		if got := d.usual("r", now.Add(c.after)); got != c.want {
			t.Errorf("after %v: got %v, want %v", c.after, got, c.want)
		}
	}
	if got := d.usual("other", now); got != 0 {
		t.Errorf("a route without calls: got %v", got)
	}
}

// TestCallAtWorkAtEndOfDrainIsAnswered ends a drain while a replica works on a call: its caller gets a response.
func TestCallAtWorkAtEndOfDrainIsAnswered(t *testing.T) {
	var tf *testFleet
	s := newFakeReplica(t, "a", func(net.Conn, *http.Request) bool {
		tf.f.Drain(time.Now().Add(100 * time.Millisecond))
		time.Sleep(2 * time.Second)
		return false
	})
	tf = newFleet(t, route(catalog.Once, 2), s)
	began := time.Now()
	resp, _, err := tf.ask(t)
	if err != nil || resp.StatusCode != http.StatusBadGateway || !resp.Close || time.Since(began) > time.Second {
		t.Fatalf("got %v, %v after %v, want 502 that closes the connection after 100 ms", resp, err, time.Since(began))
	}
}

// TestCallIsNotSentIfItMayOutlastDrain begins a drain after calls were taken, and before they are sent again. One that may not be
// repeated, and has not run, is refused then.
func TestCallIsNotSentIfItMayOutlastDrain(t *testing.T) {
	var tf *testFleet
	refuse := func(c net.Conn, r *http.Request) bool {
		if !tf.f.Draining() {
			tf.f.Drain(time.Now().Add(time.Second))
		}
		return status(http.StatusServiceUnavailable, notRun)(c, r)
	}
	a, b := newFakeReplica(t, "a", refuse), newFakeReplica(t, "b", refuse)
	tf = newFleet(t, route(catalog.Once, 2), a, b)
	resp, _, err := tf.ask(t, "Deadline", "5s")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Fatalf("got %v, %v, want a refusal as not run", resp, err)
	}
	if n := len(a.requests()) + len(b.requests()); n != 1 {
		t.Errorf("the call was sent %d times, want 1", n)
	}
}
