package routing

// Sampling limits a decision in a large fleet to a sample of the targets, chosen anew for
// each decision: those that hold the longest cached prefix of the prompt, its rendezvous
// target, those that are reserved for this VM, and a random choice of the others. Otherwise
// many VMs that see the same slightly outdated loads would all send to the same few targets
// that look idle.
//
// The size of the sample depends on the number of requests in transit, those that other VMs have
// sent but this VM has not received a report of. Every such request whose sample contains the
// target that looks best goes there; the sample is sized so that this is the case for MaxHerd
// of them. If reports are recent, requests are few or the VM has no peers, a decision considers
// all targets.
type Sampling struct {
	MinTargets int     // least size of a sample; zero disables sampling
	MaxHerd    float32 // requests in transit that may choose the same target
}

// maxHerdSeconds is the prefill time, in seconds, of the requests in transit that may choose the same
// target: a quarter of the strictest objectives, 400 ms, so that such a herd alone makes no request
// late. A fixed number of requests does not bound the wait: 10 long prompts take 350 to 800 ms.
const maxHerdSeconds = 0.1

// HerdOf returns the Request.MaxHerd for requests that take prefillSeconds on average; zero: the time
// is not known.
func HerdOf(prefillSeconds float64) float32 {
	if prefillSeconds <= 0 {
		return 0
	}
	return float32(max(maxHerdSeconds/prefillSeconds, 1))
}

// minInTransit is the lower bound assumed for the requests in transit.
const minInTransit = 1

// sampleScale is the resolution of the sampling probability.
const sampleScale = 1 << 16

// apply marks the targets outside the sample as ineligible in costs. If the sample has no
// eligible target, it leaves costs unchanged or, if the request bounds the herd, extends the sample.
func (s Sampling) apply(r *Request, v *View, in []Input, e *Eligible, costs []float32) {
	herd := s.MaxHerd
	if r.MaxHerd > 0 {
		herd = min(herd, r.MaxHerd)
	}
	size := max(float32(s.MinTargets), herd*float32(e.Count)/max(r.InTransit, minInTransit))
	if s.MinTargets == 0 || float32(e.Count) <= size {
		return
	}
	chance := uint64(size / float32(e.Count) * sampleScale)
	chances := [2]uint64{chance, chance}
	if e.OffPool > 0 && e.OffPool < e.Count {
		chances[0] = s.ownSample(size, e)
	}
	sampled := func(i int) bool {
		chance := chances[0]
		if in[i].OffPool {
			chance = chances[1]
		}
		return i == e.Rendezvous || in[i].Reserved || e.Best > 0 && in[i].Cached == e.Best || Affinity(r.Seed, &v.Targets[i])%sampleScale < chance
	}
	found := false
	for i := range costs {
		found = found || costs[i] != infinite && sampled(i)
	}
	if !found && r.MaxHerd == 0 {
		return
	}
	for !found && min(chances[0], chances[1]) < sampleScale { // otherwise all such requests would choose the same target
		for i := range chances {
			chances[i] = min(2*chances[i]+1, sampleScale)
		}
		for i := range costs {
			found = found || costs[i] != infinite && sampled(i)
		}
	}
	for i := range costs {
		if costs[i] != infinite && !sampled(i) {
			costs[i] = infinite
		}
	}
}
