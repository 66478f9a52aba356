// Package fleet gathers the inputs of routing decisions and makes the decisions. It joins
// membership, the cache view and load estimates into an immutable snapshot and per-request
// inputs. It also applies the signals in targets' responses, and computes when refused callers
// should retry.
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

// Snapshot is an immutable view of all targets at one point in time.
type Snapshot struct {
	View     routing.View
	statuses []membership.TargetStatus
	nums     []cacheview.TargetNum
	base     []routing.Input // what all decisions on the snapshot have in common; gather adds the rest
	batches  []batch
	handles  []loadview.Handle
	reports  []loadview.Report
	pools    []routing.Pool // of the targets; nil: no service has pools
	maxNum   int
	at       time.Time
	changes  uint64 // Fleet.changes when the refresh began
}

// batch is the size of a target's batch and the number of requests running in it.
type batch struct{ slots, running int }

// State returns one target's state by its index in View.
func (s *Snapshot) State(i int) routing.State { return s.statuses[i].State }

// Status returns one target's status by its index in View.
func (s *Snapshot) Status(i int) *membership.TargetStatus { return &s.statuses[i] }

// withIndex calls f with a target's index in View, if the snapshot contains the target.
func (s *Snapshot) withIndex(id ids.Target, f func(i int)) {
	for i := range s.statuses {
		if s.statuses[i].ID == id {
			f(i)
		}
	}
}

// restLeft returns how much longer a target asks not to be sent requests, by its index in
// View. Zero or less means that it takes requests.
func (s *Snapshot) restLeft(i int, now time.Time) time.Duration {
	return s.statuses[i].Rest - s.Age(now)
}

// Age returns the time since the snapshot was taken.
func (s *Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.at) }

// Fleet takes snapshots and makes routing decisions. Safe for concurrent use.
type Fleet struct {
	Members *membership.Table
	Cache   *cacheview.Index
	Load    *loadview.Tracker

	policy      *routing.Router
	counter     atomic.Uint64
	snap        atomic.Pointer[Snapshot]
	changes     atomic.Uint64 // counts MarkDirty calls
	refreshing  sync.Mutex
	scratch     sync.Pool
	now         func() time.Time
	transit     transit
	pools       enginePools
	defaultRate float64 // prefill rate assumed while no target reports one, in tokens/s

	// KnownFraction returns the fraction of a service's targets that this VM knows, 0 to 1.
	// Nil means that it knows all. Decisions call it concurrently. It must be set before the
	// first decision, like MaxSnapshotAge.
	KnownFraction func(service string) float64
	// UsualPrefill returns the usual prefill time of a service's prompts, in seconds. Zero means that
	// it is not known. Nil is like zero for all services. Decisions call it concurrently. It must be
	// set before the first decision.
	UsualPrefill func(service string) float64
	// MaxSnapshotAge bounds the age of the snapshot used for a decision. Zero means that
	// decisions use the last snapshot, however old.
	MaxSnapshotAge time.Duration
}

// SetDefaultPrefillRate sets the prefill rate, in tokens/s, assumed while no target reports
// one. It must be called before the first decision.
func (f *Fleet) SetDefaultPrefillRate(tokensPerSecond float64) { f.defaultRate = tokensPerSecond }

// New returns a fleet over the given components. It sets m.Limits.RecentRate and takes the
// first snapshot. If now is nil, it uses clock.Now.
func New(m *membership.Table, c *cacheview.Index, l *loadview.Tracker, policy *routing.Router, now func() time.Time) *Fleet {
	if now == nil {
		now = clock.Now
	}
	f := &Fleet{Members: m, Cache: c, Load: l, policy: policy, now: now, defaultRate: defaultPrefillRate}
	f.scratch.New = func() any { return &Scratch{} }
	m.Limits.RecentRate = f.expectedRate
	f.Refresh()
	return f
}

// Refresh takes a new snapshot. If MaxSnapshotAge is zero, a background task should call
// it every few tens of milliseconds.
//
// Refreshes are serialized: otherwise one that began earlier could replace a newer
// snapshot with an older one.
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
			Addr: st.Record.Addr, Hash: routing.HashTarget(st.ID), WeightsNumber: weightsNumber(st.Weights), Software: st.Record.Software,
		}
		f.fill(s, i, assumed)
	}
	f.dividePools(s)
	f.snap.Store(s)
	return s
}

// weightsNumber returns a weights version as a number, or zero if it is not numeric.
func weightsNumber(w ids.WeightsVersion) uint64 {
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
		batches: make([]batch, n), handles: make([]loadview.Handle, n), reports: make([]loadview.Report, n),
	}
	s.View.Targets = make([]routing.Target, n)
	return s
}

// fill computes the snapshot's data of one target. assumed is the prefill rate of a target
// that reports none, in tokens/s.
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
	s.batches[i] = batch{slots: st.Report.Slots, running: st.Report.Running}
	if st.Report.Slots == 0 {
		s.batches[i].slots = st.Record.Slots
	}
	s.base[i].Slots = int32(s.batches[i].slots)
	s.handles[i] = f.Load.Handle(st.ID)
	s.reports[i] = loadview.Report{Queued: st.Report.QueuedTokens, Rate: rate, Age: st.ReportAge}
}

// assumedRate returns the mean prefill rate of the targets that report one, or the default
// rate if none does.
func (f *Fleet) assumedRate(statuses []membership.TargetStatus) float64 {
	sum, n := 0.0, 0
	for i := range statuses {
		if r := statuses[i].Report.PrefillRate; r > 0 {
			sum += r
			n++
		}
	}
	if n == 0 {
		return f.defaultRate
	}
	return sum / float64(n)
}

// StateOf returns a target's state.
func (f *Fleet) StateOf(id ids.Target) routing.State { return f.Members.State(id, f.now()) }

// Unresponsive reports whether a target answers no VM, as far as this VM knows.
func (f *Fleet) Unresponsive(id ids.Target) bool { return f.Members.Unresponsive(id, f.now()) }

// Declines reports whether a target has asked this VM not to send it requests now.
func (f *Fleet) Declines(id ids.Target) bool { return f.Members.Declines(id, f.now()) }

// WorkOf returns the work at a target, as far as this VM knows, and how long a new request
// would wait until the target starts it, at the default prefill rate.
func (f *Fleet) WorkOf(id ids.Target) (l loadview.TargetWork, wait time.Duration) {
	l = f.Load.Total(id)
	return l, time.Duration(l.Pending / f.defaultRate * float64(time.Second))
}

// PrefillSeconds returns how long a target takes to compute prompt tokens at the default prefill
// rate.
func (f *Fleet) PrefillSeconds(tokens int32) float64 { return float64(tokens) / f.defaultRate }

// LoadAge returns the age of the data behind a target's load estimate, by the target's
// index in the snapshot's View.
func (f *Fleet) LoadAge(s *Snapshot, i int) time.Duration {
	now := f.now()
	return f.Load.EstimateAge(s.statuses[i].ReportAge+s.Age(now), now)
}

// MarkDirty requests a new snapshot before the next decision, for a change that must not
// wait for the next periodic refresh.
func (f *Fleet) MarkDirty() { f.changes.Add(1) }

// Snapshot returns the newest snapshot. It includes all changes marked before the call,
// also while a refresh for them is in progress.
func (f *Fleet) Snapshot() *Snapshot {
	if s := f.snap.Load(); s.changes == f.changes.Load() && (f.MaxSnapshotAge <= 0 || s.Age(f.now()) < f.MaxSnapshotAge) {
		return s
	}
	return f.Refresh()
}

// knownFraction returns the fraction of a service's targets that this VM knows.
func (f *Fleet) knownFraction(service string) float64 {
	if f.KnownFraction == nil {
		return 1
	}
	return f.KnownFraction(service)
}

// PolicyName returns the name of the policy in force.
func (f *Fleet) PolicyName() string { return f.policy.Name }

// SetFirstSeed sets the number from which Seed counts up. VMs that start at the same
// number sample the same targets at the same time, so the numbers should differ. It must
// be called before the first decision.
func (f *Fleet) SetFirstSeed(n uint64) { f.counter.Store(n) }

// Seed returns a number that is different for each decision.
func (f *Fleet) Seed() uint64 { return f.counter.Add(1) }

// Scratch holds the reusable buffers of one decision. Not safe for concurrent use.
type Scratch struct {
	Routing  routing.Scratch
	Inputs   []routing.Input
	overlaps []int32
	loads    []loadview.Load
}

// Slowdown returns the factor by which the last decision took a target, given by its index, to be slower
// than its assumed rate.
func (s *Scratch) Slowdown(i int) float64 { return s.loads[i].Slowdown }

// MeanQueue returns the mean time, at the assumed rates, until the targets of a service have computed the prompts that
// wait there, the mean number of calls beyond their slots, and the number of targets. They are from the last
// decision, which was on the given snapshot.
func (s *Scratch) MeanQueue(snap *Snapshot, service string) (queue time.Duration, over float64, targets int) {
	sum := 0.0
	for i := range s.Inputs {
		in := &s.Inputs[i]
		if snap.View.Targets[i].Service != service || in.State <= routing.Suspect || in.BreakerOpen {
			continue
		}
		sum += float64(in.QueueTokens) / max(float64(in.PrefillRate)*s.loads[i].Slowdown, 1)
		over += float64(in.SlotWait) / slotSeconds
		targets++
	}
	n := float64(max(targets, 1))
	return time.Duration(sum / n * float64(time.Second)), over / n, targets
}

// OverSlots returns the calls beyond its slots that a wait for a slot, as in routing.Input, stands for.
func OverSlots(wait float32) float64 { return float64(wait) / slotSeconds }

// Acquire returns scratch buffers. The caller returns them with Release.
func (f *Fleet) Acquire() *Scratch { return f.scratch.Get().(*Scratch) }

// Unscaled returns what the prediction of the last decision for the target at index i would be if the target
// were not slow.
func (s *Scratch) Unscaled(i int, predicted float32) float32 {
	slot := min(s.Inputs[i].SlotWait, predicted)
	return slot + (predicted-slot)/float32(max(s.loads[i].Slowdown, 1))
}

// Release returns scratch buffers to the pool.
func (f *Fleet) Release(s *Scratch) { f.scratch.Put(s) }

// Decide gathers the inputs and picks a target that is not in tried. It counts the request
// against the target's rate limit; GiveBack undoes that. The decision's Index refers to the
// View of the returned snapshot. Decide sets r.InTransit and r.MaxHerd, and leaves the inputs in sc.
func (f *Fleet) Decide(r *routing.Request, tried []ids.Target, sc *Scratch) (*Snapshot, routing.Decision) {
	snap := f.Snapshot()
	r.InTransit = f.transit.countSent(r.Service, f.Load, f.now()) * float32(f.knownFraction(r.Service))
	r.MaxHerd = f.maxHerd(r, f.now())
	for {
		f.gather(snap, r, tried, sc)
		d := f.policy.Decide(r, &snap.View, sc.Inputs, &sc.Routing)
		if d.Index < 0 || f.Members.Limits.Take(snap.View.Targets[d.Index].ID) {
			return snap, d
		}
		// A concurrent request has used up the target's rate limit; decide again.
	}
}

// GiveBack undoes the count against the target's rate limit after Decide picked the target
// but nothing was sent to it.
func (f *Fleet) GiveBack(id ids.Target) { f.Members.Limits.Return(id) }

// gather fills sc.Inputs for one request.
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
		in.SlotWait = snap.batches[i].wait(sc.loads[i].InFlight)
		if r.Tokens == 0 {
			in.SlotWait += float32(sc.loads[i].Delay)
		}
		in.InFlight = int32(sc.loads[i].InFlight)
		in.Silence = float32(sc.loads[i].Silence.Seconds())
		in.PrefillRate /= float32(sc.loads[i].Slowdown)
		in.Resting = in.Resting && snap.restLeft(i, now) > 0
	}
	snap.markOffPool(r, sc.Inputs)
	for _, b := range f.Members.BrittleTargets() {
		snap.withIndex(b.ID, func(i int) { sc.Inputs[i].NoRoom = !f.hasRoom(b, snap.batches[i].slots, sc.loads[i]) })
	}
	for _, t := range tried {
		snap.withIndex(t, func(i int) { sc.Inputs[i].Tried = true })
	}
	for _, r := range f.Members.Limits.LimitedTargets() {
		snap.withIndex(r.Target, func(i int) { sc.Inputs[i].RateLimited, sc.Inputs[i].Reserved = !r.Allowed, r.Allowed })
	}
}

// MayMove reports whether a request that waits at one target could be sent to another one which
// is not in tried and is no less healthy. Unlike Decide, it counts nothing.
func (f *Fleet) MayMove(r *routing.Request, from ids.Target, tried []ids.Target, sc *Scratch) bool {
	snap := f.Snapshot()
	f.gather(snap, r, tried, sc)
	d := f.policy.Decide(r, &snap.View, sc.Inputs, &sc.Routing)
	if d.Index < 0 {
		return false
	}
	return snap.State(d.Index) > routing.Suspect || f.StateOf(from) <= routing.Suspect
}

// defaultPrefillRate is the prefill rate assumed until a target reports one, in tokens/s.
const defaultPrefillRate = 20_000

// slotSeconds is the expected wait, in seconds, per request beyond the batch's slots.
const slotSeconds = 0.25

// wait returns the expected wait for a slot in the batch, in seconds. inFlight is the
// estimated number of requests in flight at the target.
func (b batch) wait(inFlight int) float32 {
	over := max(b.running, inFlight) + 1 - b.slots
	if b.slots == 0 || over <= 0 {
		return 0
	}
	return slotSeconds * float32(over)
}
