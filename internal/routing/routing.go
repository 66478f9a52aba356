// Package routing picks a target for a request in three steps: Filter, Scorer, Picker. In a
// large fleet, Sampling limits the last two steps to a part of the targets.
//
// A decision is a pure function of a Request with its seed, an immutable View and the Inputs
// gathered for it. It does no I/O, reads no clock and allocates nothing but the buffers in
// Scratch. The same inputs lead to the same choice on any VM and in a replay.
//
// All costs are in seconds, so that different signals need no arbitrary relative weights:
// a scorer returns how many seconds of the caller's or of the engines' time a choice is
// expected to cost.
package routing

import (
	"math"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// State is the membership state of a target or a VM. Package membership derives it.
type State uint8

// The states. Only Live, Joining and Suspect targets can be picked, and Suspect ones only
// if there is no other.
const (
	Dead    State = iota // considered gone
	Leaving              // takes no new work
	Suspect              // there is some evidence that it does not work
	Joining              // started recently
	Live
)

// Target holds the attributes of a target that seldom change.
type Target struct {
	ID            ids.Target
	FailureDomain ids.FailureDomain
	Model         ids.Model
	Weights       ids.WeightsVersion
	Service       string
	Incarnation   ids.Incarnation
	Addr          string
	Hash          uint64 // HashTarget(ID), for rendezvous hashing
	// WeightsNumber is Weights as a number, or zero if it is not numeric.
	WeightsNumber uint64
	Software      ids.SoftwareVersion
}

// View is an immutable list of targets.
type View struct{ Targets []Target }

// Input holds the state of a target gathered for one decision. Inputs are in the order
// of View.Targets.
type Input struct {
	State       State   `json:"state"`
	BreakerOpen bool    `json:"breaker_open,omitempty"`
	Tried       bool    `json:"tried,omitempty"` // by an earlier attempt of this request
	SlowStart   float32 `json:"slow_start"`      // 0 (just returned) to 1 (warm)
	// QueueTokens is the estimated prefill work queued before this request, in tokens: that
	// of the last report, reduced by the work done since, plus the work sent since.
	QueueTokens float32 `json:"queue_tokens"`
	// SlotWait is the expected wait for a slot in the batch, in seconds. For calls without a prompt it
	// includes how much longer than the others a slow target takes.
	SlotWait float32 `json:"slot_wait"`
	// PrefillRate is the target's prefill rate, in tokens/s.
	PrefillRate float32 `json:"prefill_rate"`
	// Cached is the length of the longest prefix estimated to be cached, in tokens.
	Cached int32 `json:"cached"`
	// InFlight is the number of requests in flight at the target, as far as this VM knows.
	InFlight int32 `json:"in_flight,omitempty"`
	// Slots is the number of requests that the target runs at once; zero means unknown.
	Slots int32 `json:"slots,omitempty"`
	// RateLimited is set if the target's rate limit allows no further request from this VM
	// now.
	RateLimited bool `json:"rate_limited,omitempty"`
	// Resting is set if the target has asked this VM not to send it requests now.
	Resting bool `json:"resting,omitempty"`
	// NoRoom is set if the target is brittle and a further request from this VM may find no room there.
	NoRoom bool `json:"no_room,omitempty"`
	// Reserved is set if only a few VMs may send to the target and this VM may send it a
	// request now.
	Reserved bool `json:"reserved,omitempty"`
	// FailRate is the recent fraction of this VM's requests that failed because of the
	// target, 0 to 1.
	FailRate float32 `json:"fail_rate,omitempty"`
	// Silence is the time for which the target has sent nothing while a request of this VM was
	// waiting there, in seconds.
	Silence float32 `json:"silence,omitempty"`
	// OffPool is set if the target is in the other pool than the request's (package pools).
	OffPool bool `json:"off_pool,omitempty"`
}

// Request holds the attributes of a request that a decision depends on.
type Request struct {
	Model           ids.Model
	Service         string
	FailureDomain   ids.FailureDomain // of this VM
	Levels          []prefix.Level
	Tokens          int32   // length of the prompt
	RecomputeWeight float32 // see RecomputeScorer
	Seed            uint64  // different for each decision
	// Weights is the weights version that operators want. Targets with another one may be picked,
	// at the cost of OldWeightsScorer. Empty means any.
	Weights ids.WeightsVersion
	// OldWeights limits the use of older weights, if versions are numeric. Older versions
	// come first, and their bounds are no later than those of newer ones.
	OldWeights []WeightsBound
	// LostIfWithdrawn is set if the request is lost when it has to be withdrawn from a target.
	LostIfWithdrawn bool
	// FetchRate is how fast a target fetches KV cache from another target, in tokens/s. Zero
	// means that it can't and computes what it lacks.
	FetchRate float32
	// Pending is the target that is computing the prompt's shared levels now, as far as this
	// VM knows, or empty.
	Pending ids.Target
	// Software limits the choice to a version of the targets' software. Nil means any.
	Software *SoftwareChoice
	// MaxSilence rejects targets with a Silence of at least that many seconds. Zero means no
	// bound.
	MaxSilence float32
	// InTransit is the estimated number of requests to the service that other VMs have sent but
	// this VM has not received a report of.
	InTransit float32
	// Pool is the pool of the request's route, or NoPool. OffPoolSeconds is the cost of a target
	// of the other pool, in seconds.
	Pool           Pool
	OffPoolSeconds float32
	// MaxHerd lowers Sampling.MaxHerd for this decision. Zero does not.
	MaxHerd float32
}

// WeightsBound limits the use of all weights versions older than OlderThan: a request must
// start on them within StartWithin seconds. If that is negative, they may not be used.
type WeightsBound struct {
	OlderThan   uint64
	StartWithin float32
}

// SoftwareChoice selects the targets that run a software version, or a fraction of them.
type SoftwareChoice struct {
	Version ids.SoftwareVersion
	// Fraction is the fraction of the version's targets that may be picked. Zero means all.
	Fraction float64
	// MaxHash is the highest Target.Hash that may be picked, if Fraction is less than 1. Zero
	// means no bound.
	MaxHash uint64
}

// Reason is why a filter rejected a target.
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
	NoRoom
	OtherSoftware
	Silent
	reasonCount
)

// Scratch holds the reusable buffers of decisions. Not safe for concurrent use.
type Scratch struct {
	costs    []float32
	eligible Eligible
	Filtered [reasonCount]int // targets in the last decision by Reason, Passed included
}

// Decision is the result of Router.Decide.
type Decision struct {
	Index         int     // into View.Targets; -1 if no target is eligible
	Cost          float32 // seconds
	PredictedTTFT float32 // predicted time to first token, in seconds
	QueueWait     float32 // part of PredictedTTFT until the target starts the request, in seconds
	Rate          float32 // assumed prefill rate of the target, in tokens/s
	Cached        int32   // estimated cached prefix on the picked target, in tokens
	BestCached    int32   // longest estimated cached prefix of any eligible target, in tokens
}

// Filter rejects targets that must not be picked. Check returns the reason, or Passed.
type Filter interface {
	Check(r *Request, t *Target, in *Input) Reason
}

// Scorer returns one component of a target's cost, in seconds.
type Scorer interface {
	Cost(r *Request, t *Target, in *Input, e *Eligible) float32
}

// Eligible summarizes the targets that passed the filters.
type Eligible struct {
	Count    int     `json:"count"`
	OffPool  int     `json:"off_pool,omitempty"` // of these, targets of the other pool than the request's
	Best     int32   `json:"best"`               // longest estimated cached prefix, in tokens
	MeanWait float32 `json:"mean_wait"`          // mean wait until a target starts the request, in seconds
	// Rendezvous is the index of the target that should compute the shared levels if no
	// target has them cached, or -1. All VMs that see the same targets agree on it.
	Rendezvous int `json:"home"`
}

// Picker picks a target by cost. Targets of infinite cost are ineligible. It returns the
// target's index in the view, or -1 if no target is eligible.
type Picker interface {
	Pick(r *Request, v *View, e *Eligible, costs []float32) int
}

// Router is a routing policy: a fixed pipeline that keeps no state between decisions. Safe for
// concurrent use, with a Scratch for each goroutine.
type Router struct {
	Name    string
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// OffRendezvousPerToken is the cost, in seconds, of picking another target than the
	// rendezvous target, per shared token that no target has cached: other VMs may send the
	// same prefix to the rendezvous target, and it would be computed twice.
	OffRendezvousPerToken float32
	Sampling              Sampling
}

var infinite = float32(math.Inf(1))

// Decide picks a target. len(in) must be len(v.Targets).
//
// If open breakers leave no eligible target, it ignores the breakers and clears
// BreakerOpen in the inputs: a target that failed recently is better than none.
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
	e := &s.eligible // a local variable would escape to the heap through the interface calls
	p.Sampling.apply(r, v, in, e, s.costs)
	for i := range v.Targets {
		if s.costs[i] == infinite {
			continue
		}
		for _, sc := range p.Scorers {
			s.costs[i] += sc.Cost(r, &v.Targets[i], &in[i], e)
		}
		if p.OffRendezvousPerToken > 0 && i != e.Rendezvous {
			s.costs[i] += p.OffRendezvousPerToken * uncachedSharedTokens(r, e)
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

// Rendezvous returns the index of the last decision's rendezvous target for shared levels,
// or -1 if there is none.
func (s *Scratch) Rendezvous() int { return s.eligible.Rendezvous }

// Costs returns the costs of the last decision, in the order of its view.
func (s *Scratch) Costs() []float32 { return s.costs }

// filter marks ineligible targets in s.costs and summarizes the others. Suspect targets are
// eligible only if no healthy target is.
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
		if in[i].OffPool {
			e.OffPool++
		}
		e.Best = max(e.Best, in[i].Cached)
		e.MeanWait += queueWait(&in[i])
	}
	e.MeanWait /= float32(max(e.Count, 1))
	e.Rendezvous = rendezvous(r, v, in, s.costs, e.OffPool < e.Count)
	return e
}

// RendezvousKey returns the key by which all VMs agree where shared levels are computed.
// levels must not be empty.
func RendezvousKey(levels []prefix.Level) uint64 { return uint64(levels[len(levels)-1].ID) }

// rendezvous returns the index of the eligible target that should compute levels that no
// target has cached, or -1 if there is none. It is r.Pending, if eligible, or else the target
// with the highest rendezvous weight. With ownPool, it is one of the request's own pool: the cost of
// another target than the rendezvous target is that of some thousand tokens, more than
// OffPoolSeconds, so a rendezvous target of the other pool would draw the request there.
func rendezvous(r *Request, v *View, in []Input, costs []float32, ownPool bool) int {
	best, bestWeight := -1, uint64(0)
	if len(r.Levels) == 0 {
		return best
	}
	key := RendezvousKey(r.Levels)
	for i := range v.Targets {
		if costs[i] == infinite || ownPool && in[i].OffPool {
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

// Affinity returns the rendezvous weight of a target for a key. It is equal on all VMs, so
// that VMs send a prefix to the same target without coordination.
func Affinity(key uint64, t *Target) uint64 { return AffinityOf(key, t.Hash) }

// AffinityOf is Affinity for a target with the given Target.Hash.
func AffinityOf(key, hash uint64) uint64 {
	// Combines the hashes and mixes the result with the finalizer of splitmix64, a bijection.
	h := hash + key*0x9E3779B97F4A7C15
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// String returns the state's name in the status and the timeline.
func (s State) String() string {
	return [...]string{"dead", "leaving", "suspect", "joining", "live"}[s]
}

// uncachedSharedTokens returns how many shared tokens no eligible target has cached.
func uncachedSharedTokens(r *Request, e *Eligible) float32 {
	if len(r.Levels) == 0 {
		return 0
	}
	return float32(max(r.Levels[len(r.Levels)-1].Tokens-e.Best, 0))
}
