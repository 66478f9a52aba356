// Package routing picks a target for a request: Filter, then Scorer, then Picker.
//
// A decision is a pure function of a Request, an immutable View, the Inputs
// gathered for it and a seed. It does no I/O, reads no clock and allocates
// nothing; the same inputs give the same choice, on any VM and in a replay.
//
// Costs are seconds, so unlike signals are never weighed against each other by
// taste: a scorer says how many seconds of the caller's time, or of the
// engines', a choice is expected to cost.
package routing

import (
	"math"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// State is a target's state as membership sees it.
type State uint8

// The states. Only Live, Joining and Suspect targets can be picked, Suspect ones
// only when nothing better is left.
const (
	Dead State = iota
	Leaving
	Suspect
	Joining
	Live
)

// Target is the slowly changing part of what is known of a target.
type Target struct {
	ID            ids.Target
	FailureDomain ids.FailureDomain
	Model         ids.Model
	Weights       ids.WeightsVersion
	Service       string
	Incarnation   ids.Incarnation
	Addr          string
	Hash          uint64 // of ID, for rendezvous
	// WeightsNumber is Weights as a number; zero if it is none.
	WeightsNumber uint64
	Software      ids.SoftwareVersion
}

// View is an immutable list of targets.
type View struct{ Targets []Target }

// Input is the fast changing part, gathered for one decision. Inputs stand in
// the order of View.Targets.
type Input struct {
	State       State   `json:"state"`
	BreakerOpen bool    `json:"breaker_open,omitempty"`
	Tried       bool    `json:"tried,omitempty"` // by an earlier attempt of this request
	SlowStart   float32 `json:"slow_start"`      // 0 (just back) to 1 (warm)
	// QueueTokens is the prefill work before this request, in tokens: the last
	// report, aged, plus what this VM has sent since.
	QueueTokens float32 `json:"queue_tokens"`
	// SlotWait is the expected wait for a place in the batch, in seconds.
	SlotWait float32 `json:"slot_wait"`
	// PrefillRate is the target's measured speed in tokens/s.
	PrefillRate float32 `json:"prefill_rate"`
	// Cached is the deepest prefix believed cached, in tokens.
	Cached int32 `json:"cached"`
	// InFlight is how many requests the target is estimated to work on, from this
	// VM's own.
	InFlight int32 `json:"in_flight,omitempty"`
	// Slots is how many requests the target works on at once; zero: not known.
	Slots int32 `json:"slots,omitempty"`
	// RateLimited tells that the target takes no further request from this VM now.
	RateLimited bool `json:"rate_limited,omitempty"`
	// Resting tells that the target wants nothing from this VM now.
	Resting bool `json:"resting,omitempty"`
	// Reserved tells that few VMs may send to the target, and this one may send it a request.
	Reserved bool `json:"reserved,omitempty"`
	// FailRate is the recent part of this VM's requests that failed through the
	// target's fault, 0 to 1.
	FailRate float32 `json:"fail_rate,omitempty"`
}

// Request is what a decision needs to know of a request.
type Request struct {
	Model           ids.Model
	Service         string
	FailureDomain   ids.FailureDomain // of this VM
	Levels          []prefix.Level
	Tokens          int32
	RecomputeWeight float32
	Seed            uint64
	// Weights are those that operators want; empty: any.
	Weights ids.WeightsVersion
	// OldWeights bounds the use of weights, where versions are numbers. Older versions
	// come first, and have no more time left than newer ones.
	OldWeights []WeightsBound
	// Once tells that the request is lost if it has to be withdrawn from a target.
	Once bool
	// FetchRate is how fast a target takes KV cache over from another that holds
	// it, in tokens/s; zero: it has to compute what it lacks.
	FetchRate float32
	// Pending is the target that computes the prompt's shared levels now, as far as
	// this VM knows; empty: none.
	Pending ids.Target
	// Software narrows the choice to a version of the targets' software. Nil: any.
	Software *SoftwareChoice
	// InTransit is how many calls to the service other VMs have sent, about, that this one
	// has not heard of; zero: none.
	InTransit float32
}

// WeightsBound bounds the use of all versions older than one: a request must begin on
// them within so many seconds. Negative: they may no longer be used.
type WeightsBound struct {
	OlderThan uint64
	StartWithin  float32
}

// SoftwareChoice is a version of targets' software, or a part of the targets that run it.
type SoftwareChoice struct {
	Version ids.SoftwareVersion
	// Fraction is the part of the version's targets that may be picked; zero: all.
	Fraction float64
	// MaxHash bounds their hashes, where Part is less than all; zero: nothing does.
	MaxHash uint64
}

// Reason says why a filter turned a target down.
type Reason uint8

// The reasons.
const (
	Passed Reason = iota
	WrongModel
	NotServing
	BreakerOpen
	AlreadyTried
	OldWeights
	RateLimited
	Resting
	OtherSoftware
	reasonCount
)

// Scratch is the reusable memory of decisions. Not safe for concurrent use.
type Scratch struct {
	costs    []float32
	eligible Eligible
	Filtered [reasonCount]int
}

// Decision is the result.
type Decision struct {
	Index         int // into View.Targets; -1: no target is eligible
	Cost          float32
	PredictedTTFT float32 // seconds
	QueueWait     float32 // of these, until the target turns to the request
	Rate          float32 // tokens/s at which the target is taken to work
	Cached        int32   // believed cached on the choice, in tokens
	BestCached    int32   // the deepest belief among eligible targets
}

// Filter turns targets down.
type Filter interface {
	Check(r *Request, t *Target, in *Input) Reason
}

// Scorer gives one part of a target's cost, in seconds.
type Scorer interface {
	Cost(r *Request, t *Target, in *Input, e *Eligible) float32
}

// Eligible sums up the targets that passed the filters.
type Eligible struct {
	Count    int     `json:"count"`
	Best     int32   `json:"best"`      // deepest believed prefix, in tokens
	MeanWait float32 `json:"mean_wait"` // mean wait for a turn, in seconds
	// Rendezvous is the index of the target where the shared levels should be computed if
	// nobody holds them: all VMs that see the same targets agree on it.
	Rendezvous int `json:"home"`
}

// Picker chooses among costs; an infinite cost is not eligible. It returns -1
// when there is no choice.
type Picker interface {
	Pick(r *Request, v *View, e *Eligible, costs []float32) int
}

// Router is a fixed pipeline. It holds no state between decisions.
type Router struct {
	Name    string
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// OffRendezvousPerToken is what it costs to compute a shared token that nobody holds on
	// another target than the one on which all VMs agree, in seconds: the others may
	// be computing it there. Zero: nothing.
	OffRendezvousPerToken float32
	Sampling         Sampling
}

var infinite = float32(math.Inf(1))

// Decide picks a target. len(in) must be len(v.Targets).
//
// Where breakers leave no target, they are disregarded: what failed a moment ago is
// better than nothing.
func (p *Router) Decide(r *Request, v *View, in []Input, s *Scratch) Decision {
	s.reset(len(v.Targets))
	s.eligible = p.filter(r, v, in, s)
	if s.eligible.Count == 0 && s.Filtered[BreakerOpen] > 0 {
		for i := range in {
			in[i].BreakerOpen = false
		}
		s.reset(len(v.Targets))
		s.eligible = p.filter(r, v, in, s)
	}
	e := &s.eligible // not a local one, which would be allocated for the interface calls
	p.Sampling.apply(r, v, in, e, s.costs)
	for i := range v.Targets {
		if s.costs[i] == infinite {
			continue
		}
		for _, sc := range p.Scorers {
			s.costs[i] += sc.Cost(r, &v.Targets[i], &in[i], e)
		}
		if p.OffRendezvousPerToken > 0 && i != e.Rendezvous {
			s.costs[i] += p.OffRendezvousPerToken * unheld(r, e)
		}
	}
	d := Decision{Index: p.Picker.Pick(r, v, e, s.costs), BestCached: e.Best}
	if d.Index >= 0 {
		d.Cost = s.costs[d.Index]
		d.Cached = in[d.Index].Cached
		d.QueueWait, d.Rate = queueWait(&in[d.Index]), rate(&in[d.Index])
		d.PredictedTTFT = d.QueueWait + FetchScorer{}.Cost(r, &v.Targets[d.Index], &in[d.Index], e)
	}
	return d
}

func (s *Scratch) reset(n int) {
	if cap(s.costs) < n {
		s.costs = make([]float32, n)
	}
	s.costs = s.costs[:n]
	clear(s.costs)
	s.Filtered = [reasonCount]int{}
}

// Rendezvous returns the index of the last decision's home for shared levels; -1: none.
func (s *Scratch) Rendezvous() int { return s.eligible.Rendezvous }

// Costs returns the costs of the last decision, in the order of its view.
func (s *Scratch) Costs() []float32 { return s.costs }

// filter marks ineligible targets in s.costs and sums up the rest. Suspect
// targets stay only when nothing better does.
func (p *Router) filter(r *Request, v *View, in []Input, s *Scratch) Eligible {
	healthy := false
	for i := range v.Targets {
		reason := p.check(r, &v.Targets[i], &in[i])
		s.Filtered[reason]++
		if reason != Passed {
			s.costs[i] = infinite
			continue
		}
		healthy = healthy || in[i].State != Suspect
	}
	var e Eligible
	for i := range in {
		if s.costs[i] == infinite {
			continue
		}
		if healthy && in[i].State == Suspect {
			s.costs[i] = infinite
			continue
		}
		e.Count++
		e.Best = max(e.Best, in[i].Cached)
		e.MeanWait += queueWait(&in[i])
	}
	e.MeanWait /= float32(max(e.Count, 1))
	e.Rendezvous = home(r, v, s.costs)
	return e
}

// RendezvousKey is the key by which all VMs agree where shared levels are computed.
func RendezvousKey(levels []prefix.Level) uint64 { return uint64(levels[len(levels)-1].ID) }

// home picks the target that computes levels which nobody holds.
func home(r *Request, v *View, costs []float32) int {
	best, bestWeight := -1, uint64(0)
	if len(r.Levels) == 0 {
		return best
	}
	key := RendezvousKey(r.Levels)
	for i := range v.Targets {
		if costs[i] == infinite {
			continue
		}
		if v.Targets[i].ID == r.Pending {
			return i
		}
		if w := Affinity(key, &v.Targets[i]); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

func (p *Router) check(r *Request, t *Target, in *Input) Reason {
	for _, f := range p.Filters {
		if reason := f.Check(r, t, in); reason != Passed {
			return reason
		}
	}
	return Passed
}

// Affinity is the rendezvous weight of a target for a key: equal on all VMs,
// so that VMs which know nothing of each other send a prefix to the same place.
func Affinity(key uint64, t *Target) uint64 { return AffinityOf(key, t.Hash) }

// AffinityOf is Affinity of a target with a hash.
func AffinityOf(key, hash uint64) uint64 {
	// The finalizer of splitmix64, a well-mixing bijection of the two hashes' sum.
	h := hash + key*0x9E3779B97F4A7C15
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// String returns the state's name in status and time line.
func (s State) String() string {
	return [...]string{"dead", "leaving", "suspect", "joining", "live"}[s]
}

// unheld is how many shared tokens no eligible target holds.
func unheld(r *Request, e *Eligible) float32 {
	if len(r.Levels) == 0 {
		return 0
	}
	return float32(max(r.Levels[len(r.Levels)-1].Tokens-e.Best, 0))
}
