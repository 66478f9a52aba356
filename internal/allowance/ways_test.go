package allowance

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// limiterWay is the limiter that is used.
type limiterWay struct{ l *Limiter }

func newLimiterWay(vm int, now func() time.Time) way { return &limiterWay{New(nameOf(vm), now)} }

// newDryWay is the limiter whose bucket is used up as it comes, without thinning out.
func newDryWay(vm int, now func() time.Time) way {
	l := New(nameOf(vm), now)
	l.decide = func(s State, _ float64) Verdict { return Verdict{Admitted: s.Level > 0} }
	return &limiterWay{l}
}

func (w *limiterWay) take(c Call) bool { return w.l.Take(c).Admitted }
func (w *limiterWay) tell() any        { return w.l.OwnUse() }
func (w *limiterWay) sweep()           { w.l.Sweep() }
func (w *limiterWay) hear(from ids.VM, life int64, seq uint64, said any) {
	switch said := said.(type) {
	case []Use:
		w.l.RecordUse(from, life, seq, said)
	case summed:
		for _, vm := range said.members {
			w.l.MarkSeen(vm)
		}
		w.l.RecordFleetUse(said.uses)
	}
}

// sharesWay splits the limit by demand, each VM with a bucket of its own for its share.
type sharesWay struct {
	self   ids.VM
	now    func() time.Time
	vms    []ids.VM
	of     Limit
	own    decaying
	others map[ids.VM]told
	share  float64
	level  float64
	at     time.Time
}

type told struct {
	demand float64
	at     time.Time
}

func newSharesWay(vm int, now func() time.Time) way {
	return &sharesWay{self: nameOf(vm), now: now, others: map[ids.VM]told{}, at: now()}
}

func (w *sharesWay) take(c Call) bool {
	now := w.now()
	w.own.add(c.Cost, now)
	target := w.target(now)
	// A share falls at once and grows slowly beyond an equal part.
	equal := 1 / float64(max(len(w.vms), 1))
	w.share = min(target, max(w.share*math.Pow(1.35, now.Sub(w.at).Seconds()), equal))
	w.level = min(w.level+w.of.Rate*w.share*now.Sub(w.at).Seconds(), w.of.Burst*w.share)
	w.at = now
	if w.level <= 0 {
		return false
	}
	w.level -= c.Cost
	return true
}

func (w *sharesWay) target(now time.Time) float64 {
	const floor = 1
	heard, sum := 1, w.own.now(now)+floor
	for _, t := range w.others {
		if now.Sub(t.at) <= 5*time.Second {
			heard++
			sum += t.demand + floor
		}
	}
	n := float64(max(len(w.vms), 1))
	return (1 - max(n-float64(heard), 0)/n) * (w.own.now(now) + floor) / sum
}

func (w *sharesWay) tell() any { return w.own.now(w.now()) }
func (w *sharesWay) sweep()    {}
func (w *sharesWay) hear(from ids.VM, _ int64, _ uint64, said any) {
	w.others[from] = told{said.(float64), w.now()}
}

// ownerWay lets one VM, the first that is heard, grant allotments to the others. An ask and its
// grant take a round of their own; a call that finds nothing granted does not wait for it.
type ownerWay struct {
	self   ids.VM
	now    func() time.Time
	vms    []ids.VM
	heard  map[ids.VM]time.Time
	of     Limit
	level  float64 // of the owner's bucket
	at     time.Time
	left   float64 // granted and not used
	asked  decaying
	grants map[ids.VM]float64 // to be told
}

type ownerWord struct {
	asks   float64
	grants map[ids.VM]float64
}

func newOwnerWay(vm int, now func() time.Time) way {
	return &ownerWay{self: nameOf(vm), now: now, heard: map[ids.VM]time.Time{}, grants: map[ids.VM]float64{}, at: now()}
}

func (w *ownerWay) owner() ids.VM {
	for _, vm := range w.vms {
		if vm == w.self || w.now().Sub(w.heard[vm]) < silentAfter {
			return vm
		}
	}
	return w.self
}

func (w *ownerWay) live() float64 {
	n := 1
	for _, at := range w.heard {
		if w.now().Sub(at) < silentAfter {
			n++
		}
	}
	return min(float64(n)/float64(max(len(w.vms), 1)), 1)
}

func (w *ownerWay) take(c Call) bool {
	now := w.now()
	w.asked.add(c.Cost, now)
	if w.owner() == w.self {
		w.fill()
		if w.level <= 0 {
			return false
		}
		w.level -= c.Cost
		return true
	}
	if w.left <= 0 {
		return false
	}
	w.left -= c.Cost
	return true
}

func (w *ownerWay) fill() {
	now := w.now()
	part := w.live()
	w.level = min(w.level+w.of.Rate*part*now.Sub(w.at).Seconds(), w.of.Burst*part)
	w.at = now
}

func (w *ownerWay) tell() any {
	word := ownerWord{asks: max(flow(w.asked.now(w.now()))*direct.Seconds()-w.left, 0), grants: w.grants}
	w.grants = map[ids.VM]float64{}
	return word
}

func (w *ownerWay) sweep() {}
func (w *ownerWay) hear(from ids.VM, _ int64, _ uint64, said any) {
	word := said.(ownerWord)
	w.heard[from] = w.now()
	if w.owner() == from {
		w.left = min(w.left+word.grants[w.self], w.of.Burst)
		return
	}
	if w.owner() != w.self || word.asks <= 0 {
		return
	}
	w.fill()
	if grant := min(word.asks, w.level); grant > 0 {
		w.level -= grant
		w.grants[from] += grant
	}
}

func (w *limiterWay) list(vms []ids.VM) { w.l.SetVMs(vms) }
func (w *sharesWay) list(vms []ids.VM)  { w.vms = vms }
func (w *ownerWay) list(vms []ids.VM)   { w.vms = vms }

func (w *limiterWay) limit(l Limit) {
	w.l.SetLimits(map[ids.Workspace]Limit{"w": Bounds{window, excess, slack}.Limit(l.Rate, l.Burst)})
}
func (w *sharesWay) limit(l Limit) { w.of = l }
func (w *ownerWay) limit(l Limit)  { w.of = l }
