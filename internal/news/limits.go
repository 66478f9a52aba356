package news

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// wireLimit is what one VM knows of a target's rate limit.
type wireLimit struct {
	_           struct{} `cbor:",toarray"`
	VM          shortVM
	Target      shortID
	Incarnation ids.Incarnation
	Named       bool // false: the limit has ended
	PerSecond   float64
	AgeMs       int64
}

func wireLimits(vm ids.VM, words []ratelimit.Report) []wireLimit {
	var out []wireLimit
	for _, w := range words {
		out = append(out, wireLimit{
			VM: shortenVM(vm), Target: shorten(w.Target), Incarnation: w.Incarnation, Named: w.Limit.Announced, PerSecond: w.Limit.PerSecond, AgeMs: w.Age.Milliseconds(),
		})
	}
	return out
}

// word is the inverse of wireLimits. A rate that is none is garbled.
func (w *wireLimit) word(t ids.Target) ratelimit.Report {
	out := ratelimit.Report{Target: t, Incarnation: w.Incarnation, Age: time.Duration(w.AgeMs) * time.Millisecond}
	if w.Named {
		out.Limit = ratelimit.PerSecond(w.PerSecond)
	}
	return out
}

// takeLimits takes in what the VMs of a digest know of targets. This VM's own words come
// back over the tree, a little younger than they are.
func (x *Exchange) takeLimits(limits []wireLimit) {
	for i := range limits {
		if limits[i].VM == shortenVM(x.VM) {
			continue
		}
		if t, ok := x.Resolve(uint32(limits[i].Target)); ok {
			x.OnLimit(limits[i].word(t))
		}
	}
}

// aged returns limits as they are some time later.
func aged(limits []wireLimit, by time.Duration) []wireLimit {
	out := slices.Clone(limits)
	for i := range out {
		out[i].AgeMs += by.Milliseconds()
	}
	return out
}

// addLimit keeps the latest word of each target, and of two equally old ones the limit.
func (d *digest) addLimit(w wireLimit) {
	for i := range d.Limits {
		o := &d.Limits[i]
		if o.Target != w.Target {
			continue
		}
		switch {
		case w.Incarnation != o.Incarnation:
			if w.Incarnation > o.Incarnation {
				*o = w
			}
		case w.AgeMs < o.AgeMs, w.AgeMs == o.AgeMs && w.Named:
			*o = w
		}
		return
	}
	d.Limits = append(d.Limits, w)
}
