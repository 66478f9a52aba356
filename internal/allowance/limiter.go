package allowance

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// silentAfter is after how long without a word a VM may be serving behind a cut. Of 100
	// VMs each tells every 0.5 s and, with nothing to tell, every second: two words lost in a
	// row are none. Until then both sides of a cut may use the whole limit.
	silentAfter = 2 * time.Second
	// SweepEvery is how often Sweep is to be called.
	SweepEvery = 250 * time.Millisecond
	// usualGap is taken for the time between two words until some were heard: that of a fleet
	// of 100 VMs.
	usualGap = 500 * time.Millisecond
	// gapWeight is over how many words the time between them is averaged.
	gapWeight = 32
	// startFor is for how long a VM keeps to an equal part after its start, unless it finds
	// that others have been serving: two rounds of news of 100 VMs. Of VMs that were all
	// killed and start again none knows what is asked of the others, and each would give out
	// a whole burst.
	startFor = time.Second
)

// HashOf names a workspace in messages between VMs.
func HashOf(ws ids.Workspace) uint32 { return uint32(xxh3.HashString(string(ws))) }

// Limiter keeps the workspaces' accounts on one VM. Safe for concurrent use. What peers say
// to a nil one is left out, and it has nothing to tell.
type Limiter struct {
	now     func() time.Time
	self    ids.VM
	started time.Time
	decide  func(State, float64) Verdict

	mu       sync.Mutex
	accounts map[uint32]*account
	vms      map[ids.VM]*peer // listed VMs but this one
	listed   bool             // the list has been read
	fleet    *peer            // stands for all others where only their sum is told; nil: it is not
	// starting is set until this VM knows what others do; first and served count the VMs
	// whose first word it heard, and those that had been serving by then.
	starting      bool
	first, served int
	// gap is the mean time between two words of a peer, as measured.
	gap time.Duration
}

// New returns a limiter for one VM that has not read yet which others there are. now is nil
// for that of package clock.
func New(self ids.VM, now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{
		now: now, self: self, started: now(), decide: State.Decide, starting: true, gap: usualGap,
		accounts: map[uint32]*account{}, vms: map[ids.VM]*peer{},
	}
}

// Call is a call that asks to be let in.
type Call struct {
	Workspace ids.Workspace
	Cost      float64 // units
}

// SetLimits puts the limits of all workspaces in force; those that are left out have none.
func (l *Limiter) SetLimits(limits map[ids.Workspace]Limit) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	named := map[uint32]bool{}
	for ws, limit := range limits {
		named[HashOf(ws)] = true
		l.setLimit(ws, limit, now)
	}
	for hash, a := range l.accounts {
		if !named[hash] {
			a.setLimit(Limit{}, now)
			a.name = ""
		}
	}
}

// setLimit is SetLimit. The lock is held.
func (l *Limiter) setLimit(ws ids.Workspace, limit Limit, now time.Time) {
	a := l.account(HashOf(ws), now)
	a.name = ws
	a.setLimit(limit, now)
	if !l.listed || now.Sub(l.started) < startFor && len(l.vms) > 0 {
		a.level = min(a.level, 0) // a VM that starts beside others has no burst of its own
	}
}

// Decision is a verdict and what it rests on.
type Decision struct {
	Verdict
	State
	// Age is how old the oldest word of a peer is that was counted.
	Age time.Duration
}

// Take lets a call in, and counts it, or not. Until this VM has read which others there are
// it lets in nothing that is limited: of four that were all killed each took itself for the
// only one for some ms after their start, and had the whole burst.
func (l *Limiter) Take(c Call) Decision {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[HashOf(c.Workspace)]
	if a == nil || a.limit.Unlimited() {
		return Decision{Verdict: Verdict{Admitted: true}}
	}
	a.last = now
	a.advance(now)
	if !l.listed {
		a.refusals++
		a.refused += c.Cost
		return Decision{Verdict: Verdict{RetryAfter: shortestReturn}, State: a.state(c.Cost, now)}
	}
	out := Decision{State: a.state(c.Cost, now), Age: l.age(now)}
	out.DrainTime = l.settle()
	out.Verdict = l.decide(out.State, a.nextDraw())
	a.offered.add(c.Cost, now)
	if !out.Admitted {
		a.refused += c.Cost
		a.refusals++
		return out
	}
	a.admitted += c.Cost
	a.used.add(c.Cost, now)
	a.level -= c.Cost
	a.bound()
	return out
}

// Return gives back what a call cost that was let in at a time and has not run.
func (l *Limiter) Return(c Call, taken time.Time) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[HashOf(c.Workspace)]
	if a == nil || a.limit.Unlimited() {
		return
	}
	a.advance(now)
	a.admitted -= c.Cost
	a.used.add(-c.Cost*decay(now.Sub(taken)), now)
	a.level += c.Cost
	a.bound()
}

// account returns the account of a workspace. The lock is held.
func (l *Limiter) account(hash uint32, now time.Time) *account {
	a := l.accounts[hash]
	if a == nil {
		a = &account{at: now, last: now, started: l.started, reserved: l.reservedOf(hash), draws: l.firstDraw(hash)}
		l.accounts[hash] = a
	}
	return a
}

// firstDraw is where an account's draws begin: elsewhere on each VM, and after each start.
func (l *Limiter) firstDraw(hash uint32) uint64 {
	return xxh3.HashStringSeed(string(l.self), uint64(l.started.UnixNano())^uint64(hash))
}

// Share is the part of a workspace's limits that this VM may use: its part of what callers ask
// of all VMs that are heard, and an equal part at least.
func (l *Limiter) Share(ws ids.Workspace) float64 {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	equal := 1 / float64(len(l.vms)+1)
	a := l.accounts[HashOf(ws)]
	if a == nil {
		return equal
	}
	own := a.asked(now)
	return max(equal, (1-a.reserved)*own/max(own+a.othersOffered, leastTold))
}

// SetLimit puts the limit of one workspace in force.
func (l *Limiter) SetLimit(ws ids.Workspace, limit Limit) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLimit(ws, limit, now)
}
