package allowance

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// limiterAlgorithm is the limiter of this package.
type limiterAlgorithm struct{ l *Limiter }

func newLimiterAlgorithm(vm int, now func() time.Time) algorithm {
	return &limiterAlgorithm{New(nameOf(vm), now)}
}

// newThresholdAlgorithm returns the limiter with a verdict that admits every call while the level
// is positive.
func newThresholdAlgorithm(vm int, now func() time.Time) algorithm {
	l := New(nameOf(vm), now)
	l.decide = func(s State, _ float64) Verdict { return Verdict{Admitted: s.Level > 0} }
	return &limiterAlgorithm{l}
}

func (w *limiterAlgorithm) take(c Call) bool { return w.l.Take(c).Admitted }
func (w *limiterAlgorithm) report() any      { return w.l.OwnUse() }
func (w *limiterAlgorithm) sweep()           { w.l.Sweep() }
func (w *limiterAlgorithm) receive(from ids.VM, incarnation int64, seq uint64, msg any) {
	switch msg := msg.(type) {
	case []Use:
		w.l.RecordUse(from, incarnation, seq, msg)
	case totalReport:
		for _, vm := range msg.members {
			w.l.MarkSeen(vm)
		}
		w.l.RecordFleetUse(msg.uses)
	}
}

// sharesAlgorithm splits the limit by demand; each VM has its own bucket for its share.
type sharesAlgorithm struct {
	self   ids.VM
	now    func() time.Time
	vms    []ids.VM
	total  Limit
	own    decayingSum
	others map[ids.VM]peerDemand
	share  float64
	level  float64
	at     time.Time
}

type peerDemand struct {
	demand float64
	at     time.Time
}

func newSharesAlgorithm(vm int, now func() time.Time) algorithm {
	return &sharesAlgorithm{self: nameOf(vm), now: now, others: map[ids.VM]peerDemand{}, at: now()}
}

func (w *sharesAlgorithm) take(c Call) bool {
	now := w.now()
	w.own.add(c.Cost, now)
	target := w.targetShare(now)
	// A share shrinks at once, and grows slowly beyond an equal share.
	equal := 1 / float64(max(len(w.vms), 1))
	w.share = min(target, max(w.share*math.Pow(1.35, now.Sub(w.at).Seconds()), equal))
	w.level = min(w.level+w.total.Rate*w.share*now.Sub(w.at).Seconds(), w.total.Burst*w.share)
	w.at = now
	if w.level <= 0 {
		return false
	}
	w.level -= c.Cost
	return true
}

func (w *sharesAlgorithm) targetShare(now time.Time) float64 {
	const floor = 1
	responsive, sum := 1, w.own.value(now)+floor
	for _, t := range w.others {
		if now.Sub(t.at) <= 5*time.Second {
			responsive++
			sum += t.demand + floor
		}
	}
	n := float64(max(len(w.vms), 1))
	return (1 - max(n-float64(responsive), 0)/n) * (w.own.value(now) + floor) / sum
}

func (w *sharesAlgorithm) report() any { return w.own.value(w.now()) }
func (w *sharesAlgorithm) sweep()      {}
func (w *sharesAlgorithm) receive(from ids.VM, _ int64, _ uint64, msg any) {
	w.others[from] = peerDemand{msg.(float64), w.now()}
}

// ownerAlgorithm lets one VM, the first responsive one, grant units to the others. A request and its
// grant take one round of reports each; a call that arrives when nothing is granted is refused.
type ownerAlgorithm struct {
	self     ids.VM
	now      func() time.Time
	vms      []ids.VM
	lastSeen map[ids.VM]time.Time
	total    Limit
	level    float64 // level of the owner's bucket
	at       time.Time
	left     float64 // units granted and not yet used
	demand   decayingSum
	grants   map[ids.VM]float64 // to be sent with the next report
}

type ownerReport struct {
	requested float64
	grants    map[ids.VM]float64
}

func newOwnerAlgorithm(vm int, now func() time.Time) algorithm {
	return &ownerAlgorithm{self: nameOf(vm), now: now, lastSeen: map[ids.VM]time.Time{}, grants: map[ids.VM]float64{}, at: now()}
}

func (w *ownerAlgorithm) owner() ids.VM {
	for _, vm := range w.vms {
		if vm == w.self || w.now().Sub(w.lastSeen[vm]) < unresponsiveAfter {
			return vm
		}
	}
	return w.self
}

func (w *ownerAlgorithm) responsiveFraction() float64 {
	n := 1
	for _, at := range w.lastSeen {
		if w.now().Sub(at) < unresponsiveAfter {
			n++
		}
	}
	return min(float64(n)/float64(max(len(w.vms), 1)), 1)
}

func (w *ownerAlgorithm) take(c Call) bool {
	now := w.now()
	w.demand.add(c.Cost, now)
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

func (w *ownerAlgorithm) fill() {
	now := w.now()
	part := w.responsiveFraction()
	w.level = min(w.level+w.total.Rate*part*now.Sub(w.at).Seconds(), w.total.Burst*part)
	w.at = now
}

func (w *ownerAlgorithm) report() any {
	msg := ownerReport{requested: max(rateOf(w.demand.value(w.now()))*directInterval.Seconds()-w.left, 0), grants: w.grants}
	w.grants = map[ids.VM]float64{}
	return msg
}

func (w *ownerAlgorithm) sweep() {}
func (w *ownerAlgorithm) receive(from ids.VM, _ int64, _ uint64, msg any) {
	report := msg.(ownerReport)
	w.lastSeen[from] = w.now()
	if w.owner() == from {
		w.left = min(w.left+report.grants[w.self], w.total.Burst)
		return
	}
	if w.owner() != w.self || report.requested <= 0 {
		return
	}
	w.fill()
	if grant := min(report.requested, w.level); grant > 0 {
		w.level -= grant
		w.grants[from] += grant
	}
}

func (w *limiterAlgorithm) setVMs(vms []ids.VM) { w.l.SetVMs(vms) }
func (w *sharesAlgorithm) setVMs(vms []ids.VM)  { w.vms = vms }
func (w *ownerAlgorithm) setVMs(vms []ids.VM)   { w.vms = vms }

func (w *limiterAlgorithm) setLimit(l Limit) {
	w.l.SetLimits(map[ids.Workspace]Limit{"w": Bounds{window, excess, slack}.Limit(l.Rate, l.Burst)})
}
func (w *sharesAlgorithm) setLimit(l Limit) { w.total = l }
func (w *ownerAlgorithm) setLimit(l Limit)  { w.total = l }
