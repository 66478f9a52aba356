package forward

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/verdict"
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

// TestWorkspaceAboveItsShareIsRefused checks that a call of a workspace above its share is refused at once while calls
// wait, with a Retry-After within a third of the caller's time, that one below its share is admitted, and that a VM
// that hears of no others decides as before.
func TestWorkspaceAboveItsShareIsRefused(t *testing.T) {
	for _, c := range []struct {
		name      string
		workspace ids.Workspace
		listed    int // VMs; this one hears of none
		refused   bool
	}{
		{"above its share", "large", 1, true},
		{"below its share", "small", 1, false},
		{"others not heard", "large", 4, false},
	} {
		d := demand.New(nil)
		d.SetListed(c.listed)
		class := func(w ids.Workspace) demand.Class { return demand.Class{Service: "s", Route: "r", Workspace: w} }
		for range 100 { // the large workspace asks for ten times what is begun
			d.Decided(class("large"), 1, false)
		}
		for range 10 {
			d.Decided(class("large"), 0.1, true)
			d.FirstEvent(class("large"), 0.1, 100*time.Millisecond, 700*time.Millisecond)
		}
		d.Decided(class("small"), 0.1, true)
		f := &Forwarder{Demand: d, FairShares: true}
		refused := 0
		for range 100 {
			r := &run{
				f: f, service: "s", call: Call{Prompt: &Prompt{}}, ends: time.Now().Add(3 * time.Second), workspace: &catalog.Workspace{Name: c.workspace},
				route: &catalog.Route{Name: "r", Prompts: true, Objective: time.Second, Priority: 1},
			}
			wait := 60 * time.Millisecond
			e := r.shed(&choice{
				rate: 1000, queue: wait, wait: wait,
				assumed: assumed{wait: wait, best: verdict.Best{Queue: wait, Rate: 1000}, mean: verdict.Queues{Wait: wait, Targets: 1}},
			})
			if e == nil {
				continue
			}
			refused++
			if e.Outcome != outcome.NotRun || e.RetryAfter <= 0 || e.RetryAfter > time.Second {
				t.Fatalf("%s: got %v with a Retry-After of %v", c.name, e, e.RetryAfter)
			}
		}
		if c.refused != (refused > 80) || !c.refused && refused > 0 {
			t.Errorf("%s: %d of 100 calls were refused", c.name, refused)
		}
	}
}

// TestCallWithoutPromptCountsAsUsualOne guards against sums in mixed units: a call that does not describe its prompt
// counted as one second of prefill, so that the measured capacity was many times the true one.
func TestCallWithoutPromptCountsAsUsualOne(t *testing.T) {
	rt := route(catalog.Idempotent, 1)
	rt.Prompts = true
	tf := newFleet(t, rt)
	tf.f.Fleet.SetDefaultPrefillRate(10_000)
	tf.f.usual.observe(rt.Name, 500)
	for _, c := range []struct {
		name    string
		prompts bool // the route's calls describe prompts
		prompt  *Prompt
		want    float64
	}{
		{"described", true, &Prompt{}, 0.02},
		{"not described", true, nil, 0.05},
		{"plain route", false, nil, 1},
	} {
		r := &run{f: tf.f, call: Call{Prompt: c.prompt}, route: &catalog.Route{Name: rt.Name, Prompts: c.prompts}}
		if got := r.workOf(&choice{work: 200}); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: work %v, want %v", c.name, got, c.want)
		}
	}
}
