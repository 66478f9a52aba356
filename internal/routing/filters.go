package routing

import (
	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// ServesFilter rejects targets of another service than the request's and, if the request names
// no service, targets of another model.
type ServesFilter struct{}

// StateFilter rejects leaving and dead targets.
type StateFilter struct{}

// BreakerFilter rejects targets whose circuit breaker on this VM is open.
type BreakerFilter struct{}

// TriedFilter rejects targets that an earlier attempt of the request used.
type TriedFilter struct{}

// WeightsFilter rejects targets with old weights if the request would start there after
// the time until which these weights may be used. The time at which the request starts
// counts, not the time at which it is sent.
type WeightsFilter struct{}

// SignalsFilter rejects targets that have asked to be sent no request or fewer requests.
// Unlike an open breaker, this holds also if no other target is left.
type SignalsFilter struct{}

// SilenceFilter rejects targets that have been silent for Request.MaxSilence or longer.
type SilenceFilter struct{}

// SoftwareFilter rejects targets outside the request's choice of software version.
type SoftwareFilter struct{}

var (
	_ Filter = SilenceFilter{}
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
	if in.NoRoom {
		return NoRoom
	}
	return Passed
}

// Check implements Filter.
func (SilenceFilter) Check(r *Request, _ *Target, in *Input) Reason {
	if r.MaxSilence > 0 && in.Silence >= r.MaxSilence {
		return Silent
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
		if r.LostIfWithdrawn {
			left -= withdrawalMarginSeconds
		}
		if queueWait(in)*waitSafetyFactor > left {
			return OldWeights
		}
		return Passed // newer versions leave more time
	}
	return Passed
}

// waitSafetyFactor multiplies the predicted wait when a request must start in time. It is
// an estimate well above the mean. If it is too low, the request is withdrawn in time and
// sent a second time.
const waitSafetyFactor = 2

// withdrawalMarginSeconds is how much earlier old weights are avoided for requests that would be
// lost if withdrawn. At targets that looked idle, requests waited 1.1 to 1.7 s to start.
const withdrawalMarginSeconds = 2

// HashTarget returns the value for Target.Hash.
func HashTarget(id ids.Target) uint64 { return xxh3.HashString(string(id)) }

// RendezvousWeight returns the rendezvous weight of a pair of hashes.
func RendezvousWeight(a, b uint64) uint64 { return AffinityOf(a, b) }

// VMWeight returns the rendezvous weight of a VM for a target, by which VMs agree on the
// few among them that do something for it, such as probe it. It is equal on all VMs.
func VMWeight(id ids.Target, vm ids.VM) uint64 {
	return RendezvousWeight(HashTarget(id), HashTarget(ids.Target(vm)))
}
