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

// Gate decides on one VM which version of a service's software a call goes to, and counts the
// results of calls. It keeps a record for each service and, during a rollout, a cell for each
// route and canary target that this VM has sent calls to. Safe for concurrent use. On a nil Gate,
// Admit admits every call, Retiring returns false, and Records and Reports return nil; do not call
// the other methods on it.
type Gate struct {
	Log *eventlog.Log

	mu       sync.Mutex
	services map[string]*serviceGate
}

// serviceGate is the state of one service.
type serviceGate struct {
	record   Record
	written  objectapi.Revision          // of the record, see Record.written; zero: none
	stored   objectapi.Revision          // of the object in the store, for conditional writes; zero: the store has none
	outdated bool                        // the store has an earlier record than this one, or none
	at       time.Time                   // when this VM applied the record
	calls    map[ids.SoftwareVersion]int // calls in progress, by version
	counts   counts
}

var _ follow.Handler = (*Gate)(nil)

// Listed implements follow.Handler.
func (g *Gate) Listed(objects []objectapi.Object, at follow.At, _ bool) {
	g.markMissing(objects, at.Revision.Era())
	g.applyObjects(objects)
}

// markMissing records which services the list of a new era has no record of.
func (g *Gate) markMissing(objects []objectapi.Object, era objectapi.Era) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.services {
		listed := slices.ContainsFunc(objects, func(o objectapi.Object) bool { return o.Key == Prefix+name })
		if !listed && s.stored.Era() < era && s.written != 0 {
			s.stored, s.outdated = 0, true
		}
	}
}

// Changed implements follow.Handler.
func (g *Gate) Changed(events []objectapi.Object, _ follow.At) { g.applyObjects(events) }

// Unchanged implements follow.Handler.
func (g *Gate) Unchanged(follow.At) {}

func (g *Gate) applyObjects(objects []objectapi.Object) {
	for _, o := range objects {
		var r Record
		if o.Deleted || !strings.HasPrefix(o.Key, Prefix) {
			continue
		}
		if err := json.Unmarshal(o.Value, &r); err != nil || r.Service == "" || r.Service != strings.TrimPrefix(o.Key, Prefix) {
			g.Log.State("canary-rejected").Str("key", o.Key).Send()
			continue
		}
		g.Apply(r, o.Version)
	}
}

// Apply makes the gate route by a record that the store has at a revision, unless it already has the
// same or one that was written later. A record with another order or canary resets the counts.
func (g *Gate) Apply(r Record, revision objectapi.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(r.Service)
	if revision <= s.stored {
		return
	}
	written := r.written(revision)
	s.stored, s.outdated = revision, written < s.written
	if written <= s.written {
		return
	}
	before := s.record
	s.record, s.written, s.at = r, written, clock.Now()
	if !before.Order.Same(r.Order) || before.Canary != r.Canary {
		s.counts = counts{}
	}
	if before.same(&r) {
		return
	}
	g.Log.State("canary").Str("service", r.Service).Str("stable", string(r.Stable)).Str("canary", string(r.Canary)).Str("stage", string(r.Stage)).
		Float64("share", r.Share).Float64("part", r.Part).Str("end", string(r.End)).Str("reason", r.Reason).
		Str("by", string(r.By)).Uint64("revision", revision.Number()).Uint64("era", uint64(revision.Era())).Send()
}

// service returns the state of a service and creates it if there is none. The caller holds
// g.mu.
func (g *Gate) service(name string) *serviceGate {
	if g.services == nil {
		g.services = map[string]*serviceGate{}
	}
	s := g.services[name]
	if s == nil {
		s = &serviceGate{calls: map[ids.SoftwareVersion]int{}}
		g.services[name] = s
	}
	return s
}

// State is what a VM knows of a service's record.
type State struct {
	Record Record // empty if there is none
	// Written orders records by when they were written; zero: there is none.
	Written objectapi.Revision
	// Stored is the revision of the object in the store, for conditional writes. Zero: the store has none.
	Stored objectapi.Revision
	// Outdated is set if the store has lost Record and has an earlier one, or none.
	Outdated bool
	// Since is the time since this VM applied the record.
	Since time.Duration
}

// State returns what this VM knows of a service's record.
func (g *Gate) State(service string) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.written == 0 {
		return State{}
	}
	return State{Record: s.record, Written: s.written, Stored: s.stored, Outdated: s.outdated, Since: clock.Since(s.at)}
}

// Records returns the records of all services, sorted by service.
func (g *Gate) Records() []Record {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for _, s := range g.services {
		if s.written > 0 {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// ChoiceParams describes a call for which Choices selects versions.
type ChoiceParams struct {
	// FirstAttempt is set if the call has not been sent yet. Only first attempts go to a
	// canary by its share, so that a call that failed is not risked again.
	FirstAttempt bool
	Seed         uint64 // selects the calls that go to the canary
}

// Choices returns the versions that a call to a service may go to, in order of preference.
// stateOf returns the state of v.Targets[i].
func (g *Gate) Choices(service string, v *routing.View, stateOf func(i int) routing.State, p ChoiceParams) []routing.SoftwareChoice {
	g.mu.Lock()
	s := g.services[service]
	var r Record
	if s != nil {
		r = s.record
	}
	g.mu.Unlock()
	listed := count(service, v, stateOf)
	stable := r.Stable
	if stable == "" {
		stable = listed.oldest(nil)
	}
	if r.Canary == "" || r.Share <= 0 {
		return listed.stableOrFallback(&r, stable)
	}
	canary := routing.SoftwareChoice{Version: r.Canary, Fraction: r.Part}
	switch {
	case r.Stage == Promoting:
		return []routing.SoftwareChoice{{Version: r.Canary}}
	case p.FirstAttempt && fraction(p.Seed) < r.Share:
		return []routing.SoftwareChoice{canary, {Version: stable}}
	case listed[stable] == 0:
		return []routing.SoftwareChoice{{Version: stable}, canary}
	default:
		return []routing.SoftwareChoice{{Version: stable}}
	}
}

// fraction maps a seed to a number in [0, 1).
func fraction(seed uint64) float64 {
	const golden = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio; spreads consecutive seeds evenly
	return float64(seed*golden>>11) / (1 << 53)
}

// versions holds the number of a service's targets that may take calls, by version.
type versions map[ids.SoftwareVersion]int

func count(service string, v *routing.View, stateOf func(i int) routing.State) versions {
	out := versions{}
	for i := range v.Targets {
		if t := &v.Targets[i]; t.Service == service && stateOf(i) > routing.Leaving {
			out[t.Software]++
		}
	}
	return out
}

// oldest returns the oldest version for which skip, if any, returns false; empty if there is
// none.
func (vs versions) oldest(skip func(ids.SoftwareVersion) bool) ids.SoftwareVersion {
	best, found := ids.SoftwareVersion(""), false
	for v := range vs {
		if (skip == nil || !skip(v)) && (!found || Older(v, best)) {
			best, found = v, true
		}
	}
	return best
}

// stableOrFallback returns the version in service, followed by the oldest other version that
// was not rolled back if the version in service has no target left.
func (vs versions) stableOrFallback(r *Record, stable ids.SoftwareVersion) []routing.SoftwareChoice {
	out := []routing.SoftwareChoice{{Version: stable}}
	if vs[stable] > 0 {
		return out
	}
	skip := func(v ids.SoftwareVersion) bool { return v == stable || r.barred(v) }
	if v := vs.oldest(skip); vs[v] > 0 && !skip(v) {
		out = append(out, routing.SoftwareChoice{Version: v})
	}
	return out
}

// Admission allows one call to go to a target of a version. Not safe for concurrent use.
type Admission struct {
	gate     *Gate
	service  string
	version  ids.SoftwareVersion
	order    OrderID
	canary   bool
	released bool
}

// Admit admits a call to a target of a version. It returns false if the record has changed and
// no longer allows the version. The caller must call Release on the admission.
func (g *Gate) Admit(service string, version ids.SoftwareVersion) (*Admission, bool) {
	if g == nil {
		return nil, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(service)
	r := &s.record
	if s.written > 0 && (r.barred(version) || r.Stage == Promoting && version != r.Canary) {
		return nil, false
	}
	return g.admit(s, service, version), true
}

// admit counts a call in progress at a version. The caller holds g.mu.
func (g *Gate) admit(s *serviceGate, service string, version ids.SoftwareVersion) *Admission {
	s.calls[version]++
	r := &s.record
	return &Admission{gate: g, service: service, version: version, order: r.Order, canary: r.Canary != "" && version == r.Canary}
}

// Continue admits a call whose stream began at a version, also if the version gets no new calls. The caller must
// call Release on the admission. On a nil Gate it returns nil.
func (g *Gate) Continue(service string, version ids.SoftwareVersion) *Admission {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit(g.service(service), service, version)
}

// Release records that the call has left its target. Only the first Release has an effect.
func (a *Admission) Release() {
	if a == nil || a.released {
		return
	}
	a.released = true
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	s := a.gate.service(a.service)
	if s.calls[a.version]--; s.calls[a.version] == 0 {
		delete(s.calls, a.version)
	}
}

// RecordResult counts the result of a call that its target answered, unless the order has
// changed since Admit.
func (a *Admission) RecordResult(route string, target ids.Target, result CallResult) {
	if a == nil {
		return
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	s := a.gate.service(a.service)
	if s.record.Canary == "" || s.record.Order != a.order {
		return
	}
	s.counts.add(route, target, a.canary, result)
}

// Retiring reports whether a version gets no further calls, since it was rolled back or another
// version is being promoted. No new work may start at its targets then.
func (g *Gate) Retiring(service string, version ids.SoftwareVersion) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.written == 0 {
		return false
	}
	return s.record.barred(version) || s.record.Stage == Promoting && version != s.record.Canary
}

// Reports returns the reports that this VM sends, by receiving VM. They hold the cells that
// have changed since the last call, or all cells.
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
		r := Report{Service: s.record.Service, Order: s.record.Order, RecordRevision: s.written, Cells: s.counts.export(all)}
		for v, n := range s.calls {
			if v != s.record.Canary {
				r.OtherCalls += n
			}
		}
		out[s.record.By] = append(out[s.record.By], r)
	}
	return out
}
