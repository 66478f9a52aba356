package news

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// wireLimit is one VM's report of a target's rate limit.
type wireLimit struct {
	_           struct{} `cbor:",toarray"`
	VM          shortVM
	Target      shortID
	Incarnation ids.Incarnation
	Limited     bool // false: the limit has ended
	PerSecond   float64
	AgeMs       int64
}

func wireLimits(vm ids.VM, limits []ratelimit.Report) []wireLimit {
	var out []wireLimit
	for _, w := range limits {
		out = append(out, wireLimit{
			VM: shortenVM(vm), Target: shorten(w.Target), Incarnation: w.Incarnation, Limited: w.Limit.Announced, PerSecond: w.Limit.PerSecond, AgeMs: w.Age.Milliseconds(),
		})
	}
	return out
}

// limit is the inverse of wireLimits for one target. ratelimit.PerSecond marks an invalid rate as
// malformed.
func (w *wireLimit) limit(t ids.Target) ratelimit.Report {
	out := ratelimit.Report{Target: t, Incarnation: w.Incarnation, Age: time.Duration(w.AgeMs) * time.Millisecond}
	if w.Limited {
		out.Limit = ratelimit.PerSecond(w.PerSecond)
	}
	return out
}

// applyLimits applies the rate limit reports of a digest. It ignores this VM's own reports, which
// return over the tree with an age that is slightly too small.
func (x *Exchange) applyLimits(limits []wireLimit) {
	for i := range limits {
		if limits[i].VM == shortenVM(x.VM) {
			continue
		}
		if t, ok := x.Resolve(uint32(limits[i].Target)); ok {
			x.OnLimit(limits[i].limit(t))
		}
	}
}

// addAge returns a copy of limits whose ages are larger by d.
func addAge(limits []wireLimit, d time.Duration) []wireLimit {
	out := slices.Clone(limits)
	for i := range out {
		out[i].AgeMs += d.Milliseconds()
	}
	return out
}

// addLimit keeps the latest report of each target. Of two reports with the same age, it keeps the
// one that sets a limit.
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
		case w.AgeMs < o.AgeMs, w.AgeMs == o.AgeMs && w.Limited:
			*o = w
		}
		return
	}
	d.Limits = append(d.Limits, w)
}

// lacking returns the targets for whose limits this VM asks its peers for credit.
func (x *Exchange) lacking() []ids.Target {
	if x.Credit == nil {
		return nil
	}
	return x.Credit.Lacking()
}

// grant sends a peer the credit for targets that this VM does not need.
func (x *Exchange) grant(to ids.VM, lacking []ids.Target) {
	if x.Credit == nil {
		return
	}
	var grants []ratelimit.Grant
	for _, t := range lacking {
		if n := x.Credit.Give(t); n > 0 {
			grants = append(grants, ratelimit.Grant{Target: uint32(shorten(t)), Requests: n})
		}
	}
	if p, ok := x.tree.peer(to); ok && len(grants) > 0 {
		x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation, Grants: grants}, []Peer{p})
	}
}

// receiveGrants applies the credit that a peer has granted.
func (x *Exchange) receiveGrants(grants []ratelimit.Grant) {
	if x.Credit == nil {
		return
	}
	for _, g := range grants {
		if t, ok := x.Resolve(g.Target); ok {
			x.Credit.Receive(t, g.Requests)
		}
	}
}
