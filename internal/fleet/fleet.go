// Package fleet gathers what routing decides on: it joins membership, cache
// beliefs and load into an immutable snapshot and per-request inputs.
package fleet

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/routing"
)

// Snapshot is one immutable picture of all targets.
type Snapshot struct {
	View     routing.View
	statuses []membership.TargetStatus
	nums     []cacheview.TargetNum
	base     []routing.Input // what does not change until the next snapshot
	places   []places
	handles  []loadview.Handle
	reports  []loadview.Report
	maxNum   int
	at       time.Time
	changes  uint64 // Fleet.changes when it was begun
}

// places are a target's places in its batch, and how many are taken.
type places struct{ slots, running int }

// State returns one target's state by its index in View.
func (s *Snapshot) State(i int) routing.State { return s.statuses[i].State }

// Status returns one target's status by its index in View.
func (s *Snapshot) Status(i int) *membership.TargetStatus { return &s.statuses[i] }

// mark calls f with a target's index, if the snapshot has it.
func (s *Snapshot) mark(id ids.Target, f func(i int)) {
	for i := range s.statuses {
		if s.statuses[i].ID == id {
			f(i)
		}
	}
}

// rest is how much longer a target rests, by its index in View; zero or less: it does not.
func (s *Snapshot) rest(i int, now time.Time) time.Duration { return s.statuses[i].Rest - s.Age(now) }

// Age returns how long ago the snapshot was made.
func (s *Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.at) }

// Fleet makes snapshots and decisions. Safe for concurrent use.
type Fleet struct {
	Members *membership.Table
	Cache   *cacheview.Index
	Load    *loadview.Tracker

	policy     *routing.Router
	counter    atomic.Uint64
	snap       atomic.Pointer[Snapshot]
	changes    atomic.Uint64 // that a decision must not miss
	refreshing sync.Mutex
	scratch    sync.Pool
	now        func() time.Time
	crossing   crossing
	rate       float64 // prefill rate of targets that don't tell theirs, in tokens/s

	// KnownFraction tells which part of a service's targets this VM knows, 0 to 1. Nil: all.
	KnownFraction func(service string) float64
	// MaxSnapshotAge is how old a snapshot may be that a decision rests on. Zero: as old as the last
	// Refresh.
	MaxSnapshotAge time.Duration
}

// SetDefaultPrefillRate sets the prefill rate of targets that don't tell theirs, in tokens/s.
// It is called before the first decision.
func (f *Fleet) SetDefaultPrefillRate(tokens float64) { f.rate = tokens }

// New returns a fleet over the given parts. now is nil for the wall clock.
func New(m *membership.Table, c *cacheview.Index, l *loadview.Tracker, policy *routing.Router, now func() time.Time) *Fleet {
	if now == nil {
		now = clock.Now
	}
	f := &Fleet{Members: m, Cache: c, Load: l, policy: policy, now: now, rate: defaultPrefillRate}
	f.scratch.New = func() any { return &Scratch{} }
	m.Limits.Usual = f.usual
	f.Refresh()
	return f
}

// Refresh makes a new snapshot. A duty calls it every few tens of milliseconds.
//
// One refresh follows the other: one that began earlier would otherwise put an
// older picture in the place of a newer one.
func (f *Fleet) Refresh() *Snapshot {
	f.refreshing.Lock()
	defer f.refreshing.Unlock()
	changes := f.changes.Load()
	now := f.now()
	statuses := f.Members.Targets(now)
	s := newSnapshot(statuses, now)
	s.changes = changes
	assumed := f.assumedRate(statuses)
	for i := range statuses {
		st := &statuses[i]
		if st.Incarnation != 0 {
			f.Cache.SetGeneration(st.ID, st.Incarnation, st.Weights)
		}
		s.nums[i] = f.Cache.Number(st.ID)
		s.maxNum = max(s.maxNum, int(s.nums[i]))
		s.View.Targets[i] = routing.Target{
			ID: st.ID, FailureDomain: st.Record.FailureDomain, Model: st.Record.Model,
			Weights: st.Weights, Service: st.Record.Service, Incarnation: st.Incarnation,
			Addr: st.Record.Addr, Hash: routing.HashTarget(st.ID), WeightsNumber: numberOf(st.Weights), Software: st.Record.Software,
		}
		f.fill(s, i, assumed)
	}
	f.snap.Store(s)
	return s
}

// numberOf reads a weights version that is a number; zero if it is none.
func numberOf(w ids.WeightsVersion) uint64 {
	n, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func newSnapshot(statuses []membership.TargetStatus, now time.Time) *Snapshot {
	n := len(statuses)
	s := &Snapshot{
		statuses: statuses, at: now, nums: make([]cacheview.TargetNum, n), base: make([]routing.Input, n),
		places: make([]places, n), handles: make([]loadview.Handle, n), reports: make([]loadview.Report, n),
	}
	s.View.Targets = make([]routing.Target, n)
	return s
}

// fill prepares what decisions need of one target.
func (f *Fleet) fill(s *Snapshot, i int, assumed float64) {
	st := &s.statuses[i]
	rate := st.Report.PrefillRate
	if rate <= 0 {
		rate = assumed
	}
	s.base[i] = routing.Input{
		State: st.State, BreakerOpen: st.BreakerOpen, SlowStart: st.SlowStart, PrefillRate: float32(rate),
		FailRate: st.FailRate, Resting: st.Rest > 0,
	}
	s.places[i] = places{slots: st.Report.Slots, running: st.Report.Running}
	if st.Report.Slots == 0 {
		s.places[i].slots = st.Record.Slots
	}
	s.base[i].Slots = int32(s.places[i].slots)
	s.handles[i] = f.Load.Handle(st.ID)
	s.reports[i] = loadview.Report{Queued: st.Report.QueuedTokens, Rate: rate, Age: st.ReportAge}
}

// assumedRate is the mean prefill rate of the targets that told theirs.
func (f *Fleet) assumedRate(statuses []membership.TargetStatus) float64 {
	sum, n := 0.0, 0
	for i := range statuses {
		if r := statuses[i].Report.PrefillRate; r > 0 {
			sum += r
			n++
		}
	}
	if n == 0 {
		return f.rate
	}
	return sum / float64(n)
}

// StateOf returns a target's state.
func (f *Fleet) StateOf(id ids.Target) routing.State { return f.Members.State(id, f.now()) }

// NoContact tells whether a target answers nothing, as far as is known.
func (f *Fleet) NoContact(id ids.Target) bool { return f.Members.NoContact(id, f.now()) }

// Declines tells whether a target takes nothing from this VM now since it said so.
func (f *Fleet) Declines(id ids.Target) bool { return f.Members.Declines(id, f.now()) }

// WorkOf returns the work at a target, as far as this VM knows, and how long a new
// request would wait for its turn there.
func (f *Fleet) WorkOf(id ids.Target) (l loadview.PeerLoad, wait time.Duration) {
	l = f.Load.Total(id)
	return l, time.Duration(l.Pending / f.rate * float64(time.Second))
}

// LoadAge returns how old what is known of a target's load is, by its index in the
// snapshot's View.
func (f *Fleet) LoadAge(s *Snapshot, i int) time.Duration {
	now := f.now()
	return f.Load.EstimateAge(s.statuses[i].ReportAge+s.Age(now), now)
}

// MarkDirty asks for a fresh snapshot before the next decision: something
// happened that must not wait for the duty.
func (f *Fleet) MarkDirty() { f.changes.Add(1) }

// Snapshot returns the newest snapshot. It shows all changes that were marked
// before, also while a refresh for them is still under way.
func (f *Fleet) Snapshot() *Snapshot {
	if s := f.snap.Load(); s.changes == f.changes.Load() && (f.MaxSnapshotAge <= 0 || s.Age(f.now()) < f.MaxSnapshotAge) {
		return s
	}
	return f.Refresh()
}

// part is which part of a service's targets this VM knows.
func (f *Fleet) part(service string) float64 {
	if f.KnownFraction == nil {
		return 1
	}
	return f.KnownFraction(service)
}

// PolicyName returns the name of the policy in force.
func (f *Fleet) PolicyName() string { return f.policy.Name }

// SetFirstSeed sets where Seed begins. VMs that begin at the same number draw the same
// targets at the same time. It is called before the first decision.
func (f *Fleet) SetFirstSeed(n uint64) { f.counter.Store(n) }

// Seed returns a number that differs from decision to decision.
func (f *Fleet) Seed() uint64 { return f.counter.Add(1) }

// Scratch is the reusable memory of one decision.
type Scratch struct {
	Routing  routing.Scratch
	Inputs   []routing.Input
	overlaps []int32
	loads    []loadview.Load
}

// Acquire returns scratch memory; give it back with Release.
func (f *Fleet) Acquire() *Scratch { return f.scratch.Get().(*Scratch) }

// Release takes scratch memory back.
func (f *Fleet) Release(s *Scratch) { f.scratch.Put(s) }

// Decide gathers inputs and picks a target among those not tried yet. The request counts as
// sent against the target's rate limit; GiveBack takes that back.
func (f *Fleet) Decide(r *routing.Request, tried []ids.Target, sc *Scratch) (*Snapshot, routing.Decision) {
	snap := f.Snapshot()
	r.InTransit = f.crossing.sent(r.Service, f.Load, f.now()) * float32(f.part(r.Service))
	for {
		f.gather(snap, r, tried, sc)
		d := f.policy.Decide(r, &snap.View, sc.Inputs, &sc.Routing)
		if d.Index < 0 || f.Members.Limits.Take(snap.View.Targets[d.Index].ID) {
			return snap, d
		}
		// Another request has taken the last place meanwhile.
	}
}

// GiveBack notes that nothing was sent of a request for which Decide picked the target.
func (f *Fleet) GiveBack(id ids.Target) { f.Members.Limits.Return(id) }

func (f *Fleet) gather(snap *Snapshot, r *routing.Request, tried []ids.Target, sc *Scratch) {
	n := len(snap.statuses)
	if cap(sc.Inputs) < n {
		sc.Inputs = make([]routing.Input, n)
	}
	sc.Inputs = sc.Inputs[:n]
	if cap(sc.loads) < n {
		sc.loads = make([]loadview.Load, n)
	}
	sc.loads = sc.loads[:n]
	if cap(sc.overlaps) <= snap.maxNum {
		sc.overlaps = make([]int32, snap.maxNum+1)
	}
	sc.overlaps = sc.overlaps[:snap.maxNum+1]
	f.Cache.Lookup(r.Levels, sc.overlaps)
	now := f.now()
	f.Load.Estimate(snap.handles, snap.reports, now.Sub(snap.at), now, sc.loads)
	copy(sc.Inputs, snap.base)
	for i := range sc.Inputs {
		in := &sc.Inputs[i]
		in.Cached = sc.overlaps[snap.nums[i]]
		in.QueueTokens = float32(sc.loads[i].QueueTokens)
		in.SlotWait = snap.places[i].wait(sc.loads[i].InFlight)
		in.InFlight = int32(sc.loads[i].InFlight)
		in.PrefillRate /= float32(sc.loads[i].Slowdown)
		in.Resting = in.Resting && snap.rest(i, now) > 0
	}
	for _, t := range tried {
		snap.mark(t, func(i int) { sc.Inputs[i].Tried = true })
	}
	for _, r := range f.Members.Limits.Rooms() {
		snap.mark(r.Target, func(i int) { sc.Inputs[i].RateLimited, sc.Inputs[i].Reserved = !r.Free, r.Free })
	}
}

// defaultPrefillRate is assumed until any target has told its rate, in tokens/s.
const defaultPrefillRate = 20_000

// slotSeconds is the expected wait for each request beyond the batch's places.
const slotSeconds = 0.25

// wait is the expected wait for a place in the batch, in seconds.
func (p places) wait(own int) float32 {
	over := max(p.running, own) + 1 - p.slots
	if p.slots == 0 || over <= 0 {
		return 0
	}
	return slotSeconds * float32(over)
}
