package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestCallsUseThePoolOfTheirRoute guards against calls that ignore the pools, against a soft cost so low
// that the pools mix, and against calls off their pool that are not counted.
func TestCallsUseThePoolOfTheirRoute(t *testing.T) {
	const engines = 36
	for gap, want := range map[time.Duration]float32{0: 0.2, 100 * time.Millisecond: 0.2, 400 * time.Millisecond: 0.4} {
		rt := route(catalog.Stream, 1)
		rt.Prompts, rt.MaxEventGap, rt.Objective = true, gap, time.Minute
		tf := newFleet(t, rt)
		var list []platform.Record
		for i := range engines {
			list = append(list, platform.Record{ID: fmt.Sprint("e", i), Role: platform.RoleEngine, Service: "svc", Addr: "127.0.0.1:1", Slots: 48, Incarnation: 1})
		}
		f, d := tf.f, demand.New(nil)
		f.Fleet.Members.ApplyPlatform(list, time.Now())
		f.Fleet.UsePools(d, nil)
		for range 100 {
			d.Decided(demand.Class{Service: "svc", Route: "long"}, 0.3, true)
			d.Decided(demand.Class{Service: "svc", Route: rt.Name}, 0.01, true)
			d.Ended(demand.Class{Service: "svc", Route: rt.Name}, 14*time.Second, false, true)
		}
		cat := f.Catalog.Get()
		r := &run{f: f, received: time.Now(), ends: time.Now().Add(time.Minute), catalog: cat, route: &cat.Routes[0], service: "svc", call: Call{Prompt: &Prompt{Model: "m", Tokens: 1000}}}
		r.routingRequest()
		f.Fleet.Refresh()
		req, _ := r.routingRequest()
		if req.Pool != routing.DecodePool || req.OffPoolSeconds != want {
			t.Errorf("gap limit %v: pool %v with a soft cost of %v s, want decode and %v s", gap, req.Pool, req.OffPoolSeconds, want)
		}
		for range engines {
			c, refusal := r.decide()
			if refusal != nil {
				t.Fatal(refusal)
			}
			r.tried = append(r.tried, c.target.ID)
		}
		if off := f.Stats.OffPool.Load(); off == 0 || off >= engines {
			t.Errorf("%d of %d calls, one to each engine, were counted as off their pool; want those to the prefill pool", off, engines)
		}
		r.call.Prompt = nil
		if req, _ := r.routingRequest(); req.Pool != routing.NoPool {
			t.Errorf("a call without a prompt is in pool %v", req.Pool)
		}
	}
}
