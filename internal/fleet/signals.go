package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/routing"
)

// ApplySignals takes in what a target said of itself in an answer to a request that was sent at a
// time, and returns what of it is news. An incarnation of zero is the one that is known.
func (f *Fleet) ApplySignals(id ids.Target, inc ids.Incarnation, s membership.Signals, sent time.Time) membership.SignalChange {
	if inc == 0 {
		inc = f.Members.Incarnation(id)
	}
	change := f.Members.Signaled(id, inc, s, sent, f.now())
	if change.Any() {
		f.MarkDirty()
	}
	return change
}

// ApplyPeerLimit takes in what a peer knows of a target's limit, and returns whether that is news. A
// word of another incarnation than this VM knows waits until it knows that one, too: a garbled
// one would shut out all that the target says itself.
func (f *Fleet) ApplyPeerLimit(w ratelimit.Word) (changed bool) {
	return w.Incarnation == f.Members.Incarnation(w.Target) && f.Members.Limits.Heard(w)
}

// usual is how many requests a second a target gets from all VMs, about: as many as the
// others of its service.
func (f *Fleet) usual(id ids.Target) float64 {
	s := f.snap.Load()
	service := ""
	s.mark(id, func(i int) { service = s.View.Targets[i].Service })
	n := 0
	for i := range s.View.Targets {
		if s.View.Targets[i].Service == service && s.base[i].State > routing.Leaving {
			n++
		}
	}
	return f.crossing.perTarget(service, n, f.now()) * f.part(service)
}

// longestReturn bounds when a caller should come back: other VMs may have room sooner.
const longestReturn = 3 * time.Second

// RetryAfter is when a caller should come back for whose request Decide found no target. Where
// targets asked not to be sent more, that is when the first of them takes a request again,
// and some time besides by chance: one request in that time is all that it takes. least is the
// answer where there is no such target.
func (f *Fleet) RetryAfter(r *routing.Request, snap *Snapshot, sc *Scratch, least time.Duration) time.Duration {
	wait, room, known := f.wait(r, snap, sc)
	if !known {
		return least
	}
	if room > 0 {
		wait += rand.N(room)
	}
	return max(min(wait, longestReturn), least)
}

// wait returns when this VM could send a request to a target that Decide passed over for what
// that asked for, counted from now. room is the time between two such requests; zero: many
// may be sent then. known is false if there is no such target, or one that was passed over for
// what passes sooner: a breaker, or an attempt of this request.
func (f *Fleet) wait(r *routing.Request, snap *Snapshot, sc *Scratch) (wait, room time.Duration, known bool) {
	for i := range sc.Inputs {
		in := &sc.Inputs[i]
		if in.State <= routing.Leaving || (routing.ServesFilter{}).Check(r, &snap.View.Targets[i], in) != routing.Passed {
			continue
		}
		if !in.RateLimited && !in.Resting {
			return 0, 0, false
		}
		w, between, ok := f.Members.Limits.Wait(snap.View.Targets[i].ID)
		w = max(w, snap.rest(i, f.now()))
		if ok && (!known || w < wait) {
			wait, room, known = w, between, true
		}
	}
	return wait, room, known
}
