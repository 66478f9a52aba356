// Package loadview estimates the prefill work that stands before a new request
// on a target, from reports that lag and from what this VM has sent since.
package loadview

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Tracker counts this VM's own work on targets. Safe for concurrent use.
type Tracker struct {
	mu  sync.Mutex
	own map[ids.Target]*own

	missed  float64
	answers int
	overall pace // of all targets together

	peers map[ids.VM]*peer
}

// own is what this VM has sent to one target.
type own struct {
	pending  float64 // tokens of prefill without a first token yet
	inFlight int
	bound    int      // of those in flight, requests that can't go on at another target
	sent     []sent   // newest last
	peers    PeerLoad // of all peers together
	pace     pace
}

type sent struct {
	at     time.Time
	tokens float64
}

// memory is how long single sends are remembered; older reports are not used.
const memory = 5 * time.Second

// New returns an empty tracker.
func New() *Tracker { return &Tracker{own: map[ids.Target]*own{}} }

// Work is one request's share of a target's load.
type Work struct {
	t      *Tracker
	own    *own // the target's record when the request was sent
	tokens float64
	begun  bool
	bound  bool
	ended  bool
}

// MarkNotResumable notes that the request can't go on at another target: if this one stops
// working on it, it is lost.
func (w *Work) MarkNotResumable() {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	if !w.bound && !w.ended {
		w.bound = true
		w.own.bound++
	}
}

// AddPeerWork counts work that a peer sent to a target.
func (t *Tracker) AddPeerWork(target ids.Target, tokens int32, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(target).add(sent{at: at, tokens: float64(tokens)})
}

// of returns the record of a target. The lock is held.
func (t *Tracker) of(target ids.Target) *own {
	o := t.own[target]
	if o == nil {
		o = &own{}
		t.own[target] = o
	}
	return o
}

// add remembers a send and forgets old ones.
func (o *own) add(s sent) {
	for len(o.sent) > 0 && s.at.Sub(o.sent[0].at) > memory {
		o.sent = o.sent[1:]
	}
	o.sent = append(o.sent, s)
}

// Sent counts a request with so many uncached tokens.
func (t *Tracker) Sent(target ids.Target, uncached int32, now time.Time) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.of(target)
	tokens := float64(max(uncached, 0))
	o.pending += tokens
	o.inFlight++
	o.add(sent{at: now, tokens: tokens})
	return &Work{t: t, own: o, tokens: tokens}
}

// FirstToken ends the prefill part of the work. Further calls do nothing.
func (w *Work) FirstToken() {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	w.first()
}

func (w *Work) first() {
	if !w.begun {
		w.begun = true
		w.own.pending -= w.tokens
	}
}

// End takes the work off the target. Further calls do nothing.
func (w *Work) End() {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	w.first()
	if !w.ended {
		w.ended = true
		w.own.inFlight--
		if w.bound {
			w.own.bound--
		}
	}
}

// missGain smooths the part of prompt tokens that targets have to compute.
const missGain = 0.2

// Answered learns from an answer what part of prompt tokens targets have to
// compute. Engines report queues in prompt tokens, most of which are cached. The
// part is kept for all targets together: one VM sees too few answers of each.
func (t *Tracker) Answered(prompt, cached int32) {
	if prompt <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	t.missed += max(missGain, 1/float64(t.answers)) * (float64(prompt-cached)/float64(prompt) - t.missed)
}

// missRatio is the part of reported tokens that will have to be computed; all of
// them as long as nothing is known.
func (t *Tracker) missRatio() float64 {
	if t.answers == 0 {
		return 1
	}
	return t.missed
}

// Load is an estimate for one target.
type Load struct {
	QueueTokens float64
	OwnInFlight int
	InFlight    int     // own and, as far as they tell, all peers'
	Slowdown        float64 // how many times longer than predicted first tokens take; at least 1
}

// Report is a target's last word on its load.
type Report struct {
	Queued int           // prompt tokens
	Rate   float64       // prefill, tokens/s
	Age    time.Duration // since the target said so
}

// Handle is a target's record, for estimates without look-ups.
type Handle struct{ o *own }

// Handle returns the handle of a target; it stays valid.
func (t *Tracker) Handle(target ids.Target) Handle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Handle{o: t.of(target)}
}

// Estimate combines reports with work sent since, for all targets at once. A
// report is drained at the target's prefill rate over its age, and what this VM
// sent since, or heard that peers did, is added. Own requests that still wait for
// their first token are a lower bound. Ages count from the moment of the reports'
// snapshot, since ago.
func (t *Tracker) Estimate(handles []Handle, reports []Report, since time.Duration, now time.Time, out []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	miss := t.missRatio()
	for i, h := range handles {
		r := reports[i]
		r.Age += since
		out[i] = h.o.estimate(r, miss, now)
		out[i].Slowdown = max(out[i].Slowdown, t.overall.now(now))
	}
}

func (o *own) estimate(r Report, miss float64, now time.Time) Load {
	tokens := float64(r.Queued) * miss
	if r.Age > memory {
		tokens = 0 // too old to say anything; own work is all that is known
		r.Age = memory
	}
	for i := len(o.sent) - 1; i >= 0 && now.Sub(o.sent[i].at) < r.Age; i-- {
		tokens += o.sent[i].tokens
	}
	tokens -= r.Rate * r.Age.Seconds()
	return Load{
		QueueTokens: max(tokens, o.pending+o.peers.Pending, 0), OwnInFlight: o.inFlight, InFlight: o.inFlight + o.peers.InFlight,
		Slowdown: o.pace.now(now),
	}
}
