package routing

// Sampling limits a decision to a part of a large fleet's targets, drawn anew each time:
// those that hold most of the prompt, its home, those that are reserved for this VM, and some
// others by chance. Many VMs
// that see the same loads, a moment old, would otherwise all send to the same few
// targets that looked idle.
//
// How many are drawn follows from how many calls cross: of the calls that other VMs send
// before this one hears of them, the part that drew the target that looks best all go there,
// as many as Crowd. Where news are fresh, calls few or VMs alone, all targets are looked at.
type Sampling struct {
	MinTargets int     // targets drawn at least; zero: all
	MaxHerd float32 // calls that may meet at the target that looks best
}

// leastCrossing is the number of calls below which none is taken to cross.
const leastCrossing = 1

// drawScale is the fineness of chances.
const drawScale = 1 << 16

// apply marks what was not drawn as not eligible in costs.
func (d Sampling) apply(r *Request, v *View, in []Input, e *Eligible, costs []float32) {
	drawn := max(float32(d.MinTargets), d.MaxHerd*float32(e.Count)/max(r.InTransit, leastCrossing))
	if d.MinTargets == 0 || float32(e.Count) <= drawn {
		return
	}
	chance := uint64(drawn / float32(e.Count) * drawScale)
	stays := func(i int) bool {
		return i == e.Rendezvous || in[i].Reserved || e.Best > 0 && in[i].Cached == e.Best || Affinity(r.Seed, &v.Targets[i])%drawScale < chance
	}
	some := false
	for i := range costs {
		some = some || costs[i] != infinite && stays(i)
	}
	if !some {
		return
	}
	for i := range costs {
		if costs[i] != infinite && !stays(i) {
			costs[i] = infinite
		}
	}
}
