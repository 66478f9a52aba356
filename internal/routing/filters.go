package routing

import (
	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// ServesFilter reads the request's model or service: a target must serve it.
type ServesFilter struct{}

// StateFilter reads the membership state: leaving and dead targets get no work.
type StateFilter struct{}

// BreakerFilter reads this VM's own recent experience with the target.
type BreakerFilter struct{}

// TriedFilter reads the request's earlier attempts.
type TriedFilter struct{}

// WeightsFilter reads the target's weights and the wait there: a request must begin
// while they may still be used. What counts is when it begins, and not when it is sent.
type WeightsFilter struct{}

// SignalsFilter reads what the target itself asked for. No want of other targets lifts that.
type SignalsFilter struct{}

// SoftwareFilter reads the target's software: a version that is not in service gets no calls.
type SoftwareFilter struct{}

var (
	_ Filter = SoftwareFilter{}
	_ Filter = SignalsFilter{}
	_ Filter = WeightsFilter{}
	_ Filter = ServesFilter{}
	_ Filter = StateFilter{}
	_ Filter = BreakerFilter{}
	_ Filter = TriedFilter{}
)

// Check implements Filter.
func (ServesFilter) Check(r *Request, t *Target, _ *Input) Reason {
	if t.Service != r.Service || r.Service == "" && t.Model != r.Model {
		return WrongModel
	}
	return Passed
}

// Check implements Filter.
func (StateFilter) Check(_ *Request, _ *Target, in *Input) Reason {
	if in.State <= Leaving {
		return NotServing
	}
	return Passed
}

// Check implements Filter.
func (BreakerFilter) Check(_ *Request, _ *Target, in *Input) Reason {
	if in.BreakerOpen {
		return BreakerOpen
	}
	return Passed
}

// Check implements Filter.
func (SignalsFilter) Check(_ *Request, _ *Target, in *Input) Reason {
	if in.Resting {
		return Resting
	}
	if in.RateLimited {
		return RateLimited
	}
	return Passed
}

// Check implements Filter.
func (SoftwareFilter) Check(r *Request, t *Target, _ *Input) Reason {
	c := r.Software
	if c != nil && (t.Software != c.Version || c.MaxHash > 0 && t.Hash > c.MaxHash) {
		return OtherSoftware
	}
	return Passed
}

// Check implements Filter.
func (TriedFilter) Check(_ *Request, _ *Target, in *Input) Reason {
	if in.Tried {
		return AlreadyTried
	}
	return Passed
}

// Check implements Filter.
func (WeightsFilter) Check(r *Request, t *Target, in *Input) Reason {
	for _, b := range r.OldWeights {
		if t.WeightsNumber >= b.OlderThan {
			continue
		}
		left := b.StartWithin
		if r.Once {
			left -= onceMargin
		}
		if queueWait(in)*waitDoubt > left {
			return OldWeights
		}
		return Passed // newer versions leave more time
	}
	return Passed
}

// waitDoubt is how many times longer than predicted a wait is taken to be where it must
// not end too late. It is a guess, on the safe side of the mean: a wrong one costs the
// request a second send, since it is withdrawn in time.
const waitDoubt = 2

// onceMargin is by how many seconds earlier requests that can't be withdrawn without
// loss are kept off old weights. At targets that were thought idle requests waited 1.1 to
// 1.7 s for their turn.
const onceMargin = 2

// HashTarget returns the value for Target.Hash.
func HashTarget(id ids.Target) uint64 { return xxh3.HashString(string(id)) }

// RendezvousWeight is the rendezvous weight of two hashes for each other.
func RendezvousWeight(a, b uint64) uint64 { return AffinityOf(a, b) }

// VMWeight is the rendezvous weight of an entry VM for something that few VMs care
// for, such as a target that is to be probed: equal on all VMs.
func VMWeight(id ids.Target, vm ids.VM) uint64 {
	return RendezvousWeight(HashTarget(id), HashTarget(ids.Target(vm)))
}
