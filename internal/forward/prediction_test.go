package forward

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/loadview"
)

// predictionReport is the JSON form of PredictionErrors.
type predictionReport struct {
	Routes map[string][]ratioBucket `json:"routes"`
	Ages   []struct {
		UpToMs int64         `json:"up_to_ms"`
		Ratios []ratioBucket `json:"ratios"`
	} `json:"load_ages"`
}

func decodeErrors(t *testing.T, p *PredictionErrors) predictionReport {
	t.Helper()
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var s predictionReport
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func total(buckets []ratioBucket) (n int64) {
	for _, b := range buckets {
		n += b.Count
	}
	return n
}

func TestPredictionErrorsByRouteAndAge(t *testing.T) {
	const predicted = 200 * time.Millisecond
	full := predicted + loadview.MinTTFT
	var p PredictionErrors
	p.Observe("a", 150*time.Millisecond, predicted, full*9/10)
	p.Observe("a", time.Hour, predicted, 100*full)
	p.Observe("b", 0, -time.Second, loadview.MinTTFT/10)
	s := decodeErrors(t, &p)
	a, b := s.Routes["a"], s.Routes["b"]
	if total(a) != 2 || total(b) != 1 {
		t.Fatalf("counted %d of a, %d of b, want 2 and 1", total(a), total(b))
	}
	if last := a[len(a)-1]; last.Count != 1 || last.UpTo != 0 {
		t.Errorf("a first event a hundred times later than predicted is counted in %v, want in the last bucket", a)
	}
	if exact := a[4]; exact.Count != 1 || exact.UpTo != 1 {
		t.Errorf("a first event almost as predicted is counted in %v, want in the bucket up to 1", a)
	}
	if b[0].Count != 1 {
		t.Errorf("a first event ten times earlier than predicted is counted in %v, want in the first bucket", b)
	}
	for i, want := range []int64{1, 1, 0, 0, 0, 1} {
		if got := total(s.Ages[i].Ratios); got != want {
			t.Errorf("%d counts for loads up to %d ms old, want %d", got, s.Ages[i].UpToMs, want)
		}
	}
}

func TestPredictionErrorsBoundRoutes(t *testing.T) {
	var p PredictionErrors
	for i := range 3 * maxErrorRoutes {
		p.Observe(fmt.Sprint("route ", i), 0, 0, time.Second)
	}
	s := decodeErrors(t, &p)
	if len(s.Routes) != maxErrorRoutes+1 || total(s.Routes[otherRoutes]) != 2*maxErrorRoutes {
		t.Fatalf("%d routes, %d calls of the other routes, want maxErrorRoutes+1 and 2*maxErrorRoutes", len(s.Routes), total(s.Routes[otherRoutes]))
	}
}

// TestPredictionErrorIsCounted checks that a served prompt counts once, in the bucket that matches
// its target's delay.
func TestPredictionErrorIsCounted(t *testing.T) {
	respond := ok("fine")
	s := newFakeReplica(t, "a", func(c net.Conn, r *http.Request) bool {
		time.Sleep(4 * loadview.MinTTFT)
		return respond(c, r)
	})
	r := route(catalog.Idempotent, 2)
	r.Prompts, r.Objective = true, time.Second
	tf := newFleet(t, r, s)
	tf.f.Fleet.SetDefaultPrefillRate(1e6)
	tf.f.Fleet.Refresh()
	for range 2 {
		if _, _, err := tf.ask(t, "Model", "m"); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := tf.ask(t); err != nil { // no prompt: nothing was predicted
		t.Fatal(err)
	}
	buckets := decodeErrors(t, &tf.f.Prediction).Routes[r.Name]
	if total(buckets) != 2 {
		t.Fatalf("counted %v, want 2 in all", buckets)
	}
	for _, b := range buckets[:5] {
		if b.Count != 0 {
			t.Errorf("a late first event is counted as early: %v", buckets)
		}
	}
}

// TestMeasuredWaitsLeaveOutOwnWork guards against early load reports at rest: the time in which an idle
// engine computes a prompt is no wait, and a call without a prompt has none.
func TestMeasuredWaitsLeaveOutOwnWork(t *testing.T) {
	respond := ok("fine")
	s := newFakeReplica(t, "a", func(c net.Conn, r *http.Request) bool {
		time.Sleep(4 * loadview.MinTTFT)
		return respond(c, r)
	})
	r := route(catalog.Idempotent, 2)
	r.Prompts, r.Objective = true, 10*time.Second
	tf := newFleet(t, r, s)
	ask := func(headers ...string) time.Duration {
		t.Helper()
		if _, _, err := tf.ask(t, headers...); err != nil {
			t.Fatal(err)
		}
		return tf.f.Fleet.Load.MeanWait(clock.Now())
	}
	if w := ask(); w != 0 {
		t.Errorf("a call without a prompt waited %v on average", w)
	}
	tf.f.Fleet.SetDefaultPrefillRate(1) // a prompt takes longer than the replica does
	if w := ask("Model", "m"); w != 0 {
		t.Errorf("a prompt whose computation takes longer than its answer waited %v on average", w)
	}
	tf.f.Fleet.SetDefaultPrefillRate(1e9)
	if w := ask("Model", "m"); w < loadview.MinTTFT/2 {
		t.Errorf("a prompt that waited for three times MinTTFT counts as %v on average", w)
	}
}
