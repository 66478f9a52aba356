package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
)

// TestLongPromptsAreNotRefusedMoreOften checks that refusals depend on the engines' queues and the
// route, not on the size of the call's own prompt. It guards against a fault in which only 0.35 of
// the longest tenth of a route's calls were served, against 0.84 of all calls (run "bac grown,
// scale-1").
func TestLongPromptsAreNotRefusedMoreOften(t *testing.T) {
	r := &run{f: &Forwarder{}, call: Call{Prompt: &Prompt{}}, route: &catalog.Route{
		Name: "r", Prompts: true, Objective: time.Second, Priority: 1,
	}}
	for range 100 {
		if e := r.shed(&choice{rate: 50_000, queue: 100 * time.Millisecond, wait: 200 * time.Millisecond}); e != nil {
			t.Fatal(e)
		}
	}
	if e := r.shed(&choice{rate: 50_000, queue: 100 * time.Millisecond, wait: 3 * time.Second}); e != nil {
		t.Fatalf("a long prompt was refused: %v", e)
	}
	if e := r.shed(&choice{rate: 50_000, queue: time.Second, wait: 1010 * time.Millisecond}); e == nil {
		t.Fatal("a short prompt was admitted behind a long queue")
	}
}

// TestLateCallIsRefusedAtOnce checks that a call which all engines would answer late is refused at
// once, as not run and with a Retry-After, and that calls of the most urgent priority are admitted
// longer. It guards against a fault in which engines took all calls and served none in time for 14
// s after two of nine had failed (scale-1 of both sites).
func TestLateCallIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority int
		queued   time.Duration // work queued before the call
		status   int
	}{
		{"idle", 1, 0, http.StatusOK},
		{"would be late", 1, 400 * time.Millisecond, http.StatusServiceUnavailable},
		{"urgent", 0, 400 * time.Millisecond, http.StatusOK},
		{"urgent and far too late", 0, time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeReplica(t, "a", ok("fine"))
			r := route(catalog.Idempotent, 2)
			r.Prompts, r.Priority = true, c.priority
			tf := newFleet(t, r, s)
			tf.f.Fleet.SetDefaultPrefillRate(10_000)
			tf.f.Fleet.Refresh()
			work := tf.f.Fleet.Load.Sent("a", int32(c.queued.Seconds()*10_000), time.Now())
			defer work.End()
			resp, body, err := tf.ask(t, "Model", "m")
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("got %v, %q, %v, want %d", resp, body, err, c.status)
			}
			refused := c.status != http.StatusOK
			if refused && (resp.Header.Get("Retry-After") == "" || len(s.requests()) > 0) {
				t.Fatalf("the refusal has the headers %v after %d sends, want a Retry-After and no sends", resp.Header, len(s.requests()))
			}
		})
	}
}
