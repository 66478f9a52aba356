package canary

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// Gate decides on one VM to which version of a service's software a call goes, and counts how
// calls end. It holds a record for each service, and while a canary runs a cell for each route
// and canary target that this VM has sent to. Safe for concurrent use. A nil one lets
// everything through.
type Gate struct {
	Log *eventlog.Log

	mu       sync.Mutex
	services map[string]*gated
}

// gated is what the gate keeps of one service.
type gated struct {
	record  Record
	version objectapi.Revision
	at      time.Time // when this VM took the record in
	calls   map[ids.SoftwareVersion]int
	counts  counts
}

var _ follow.Handler = (*Gate)(nil)

// Listed implements follow.Handler.
func (g *Gate) Listed(objects []objectapi.Object, _ follow.At, _ bool) { g.take(objects) }

// Changed implements follow.Handler.
func (g *Gate) Changed(events []objectapi.Object, _ follow.At) { g.take(events) }

// Unchanged implements follow.Handler.
func (g *Gate) Unchanged(follow.At) {}

func (g *Gate) take(objects []objectapi.Object) {
	for _, o := range objects {
		var r Record
		if o.Deleted || !strings.HasPrefix(o.Key, Prefix) {
			continue
		}
		if err := json.Unmarshal(o.Value, &r); err != nil || r.Service == "" || r.Service != strings.TrimPrefix(o.Key, Prefix) {
			g.Log.Belief("canary-rejected").Str("key", o.Key).Send()
			continue
		}
		g.Apply(r, o.Version)
	}
}

// Apply puts a record of the store in force, unless a later one is.
func (g *Gate) Apply(r Record, version objectapi.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(r.Service)
	if version <= s.version {
		return
	}
	before := s.record
	s.record, s.version, s.at = r, version, clock.Now()
	if before.Order != r.Order || before.Canary != r.Canary {
		s.counts = counts{}
	}
	if before.same(&r) {
		return
	}
	g.Log.Belief("canary").Str("service", r.Service).Str("stable", string(r.Stable)).Str("canary", string(r.Canary)).Str("stage", string(r.Stage)).
		Float64("share", r.Share).Float64("part", r.Part).Str("end", string(r.End)).Str("reason", r.Reason).
		Str("by", string(r.By)).Uint64("revision", uint64(version)).Send()
}

// service returns what is kept of a service. The lock is held.
func (g *Gate) service(name string) *gated {
	if g.services == nil {
		g.services = map[string]*gated{}
	}
	s := g.services[name]
	if s == nil {
		s = &gated{calls: map[ids.SoftwareVersion]int{}}
		g.services[name] = s
	}
	return s
}

// State returns a service's record, the store's revision of it and for how long this VM has
// had it; false: there is none.
func (g *Gate) State(service string) (r Record, version objectapi.Revision, since time.Duration, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.version == 0 {
		return Record{}, 0, 0, false
	}
	return s.record, s.version, clock.Since(s.at), true
}

// Records returns all records.
func (g *Gate) Records() []Record {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for _, s := range g.services {
		if s.version > 0 {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// ChoiceParams is what a choice goes by.
type ChoiceParams struct {
	// FirstAttempt tells that the call has not been sent anywhere yet: one that has failed is not
	// put to the test again.
	FirstAttempt bool
	Seed         uint64
}

// Choices returns the versions to which a call to a service may go, in the order in which they
// are to be tried.
func (g *Gate) Choices(service string, v *routing.View, in func(i int) routing.State, d ChoiceParams) []routing.SoftwareChoice {
	g.mu.Lock()
	s := g.services[service]
	var r Record
	if s != nil {
		r = s.record
	}
	g.mu.Unlock()
	listed := count(service, v, in)
	stable := r.Stable
	if stable == "" {
		stable = listed.oldest(nil)
	}
	if r.Canary == "" || r.Share <= 0 {
		return listed.only(&r, stable)
	}
	canary := routing.SoftwareChoice{Version: r.Canary, Fraction: r.Part}
	switch {
	case r.Stage == Promoting:
		return []routing.SoftwareChoice{{Version: r.Canary}}
	case d.FirstAttempt && fraction(d.Seed) < r.Share:
		return []routing.SoftwareChoice{canary, {Version: stable}}
	case listed[stable] == 0:
		return []routing.SoftwareChoice{{Version: stable}, canary}
	default:
		return []routing.SoftwareChoice{{Version: stable}}
	}
}

// fraction turns a seed into a number in [0, 1).
func fraction(seed uint64) float64 {
	const golden = 0x9E3779B97F4A7C15 // consecutive seeds then lie evenly
	return float64(seed*golden>>11) / (1 << 53)
}

// versions counts a service's targets that may take calls, by version.
type versions map[ids.SoftwareVersion]int

func count(service string, v *routing.View, in func(i int) routing.State) versions {
	out := versions{}
	for i := range v.Targets {
		if t := &v.Targets[i]; t.Service == service && in(i) > routing.Leaving {
			out[t.Software]++
		}
	}
	return out
}

// oldest returns the oldest version that is not passed over; empty: there is none.
func (l versions) oldest(pass func(ids.SoftwareVersion) bool) ids.SoftwareVersion {
	best, found := ids.SoftwareVersion(""), false
	for v := range l {
		if (pass == nil || !pass(v)) && (!found || Older(v, best)) {
			best, found = v, true
		}
	}
	return best
}

// only returns the version in service, and behind it those that serve when none of its targets
// is left.
func (l versions) only(r *Record, stable ids.SoftwareVersion) []routing.SoftwareChoice {
	out := []routing.SoftwareChoice{{Version: stable}}
	if l[stable] > 0 {
		return out
	}
	pass := func(v ids.SoftwareVersion) bool { return v == stable || r.barred(v) }
	if v := l.oldest(pass); l[v] > 0 && !pass(v) {
		out = append(out, routing.SoftwareChoice{Version: v})
	}
	return out
}

// Admission is one call's leave to go to a version.
type Admission struct {
	gate    *Gate
	service string
	version ids.SoftwareVersion
	order   OrderID
	canary  bool
	ended   bool
}

// Admit lets a call go to a target of a version; false: the record has changed and no longer
// allows it. End must be called on a pass.
func (g *Gate) Admit(service string, version ids.SoftwareVersion) (*Admission, bool) {
	if g == nil {
		return nil, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	r := &s.record
	if s.version > 0 && (r.barred(version) || r.Stage == Promoting && version != r.Canary) {
		return nil, false
	}
	s.calls[version]++
	return &Admission{gate: g, service: service, version: version, order: r.Order, canary: r.Canary != "" && version == r.Canary}, true
}

// Release notes that nothing of the call is left at its target. A second call does nothing.
func (p *Admission) Release() {
	if p == nil || p.ended {
		return
	}
	p.ended = true
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	s := p.gate.service(p.service)
	if s.calls[p.version]--; s.calls[p.version] == 0 {
		delete(s.calls, p.version)
	}
}

// RecordAnswer counts how a call ended that its target answered.
func (p *Admission) RecordAnswer(route string, target ids.Target, a Answer) {
	if p == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	s := p.gate.service(p.service)
	if s.record.Canary == "" || s.record.Order != p.order {
		return
	}
	s.counts.add(route, target, p.canary, a)
}

// Retiring tells whether a target's version is about to stop: nothing new may be begun there.
func (g *Gate) Retiring(service string, version ids.SoftwareVersion) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.version == 0 {
		return false
	}
	return s.record.barred(version) || s.record.Stage == Promoting && version != s.record.Canary
}

// Reports returns what this VM has to tell the VMs that act, by the VM: whatever has changed
// since it was last told, or all of it.
func (g *Gate) Reports(all bool) map[ids.VM][]Report {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[ids.VM][]Report{}
	for _, s := range g.services {
		if s.record.Canary == "" {
			continue
		}
		r := Report{Service: s.record.Service, Order: s.record.Order, RecordRevision: s.version, Cells: s.counts.told(all)}
		for v, n := range s.calls {
			if v != s.record.Canary {
				r.OtherCalls += n
			}
		}
		out[s.record.By] = append(out[s.record.By], r)
	}
	return out
}
