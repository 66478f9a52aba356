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
	// killed and start again none knows what is asked of the others; 90 of them used three
	// bursts within the first second.
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
	starting bool
	// gap is the mean time between two words of a peer, as measured.
	gap           time.Duration
	first, served int
}

// peer is another VM, or all others.
type peer struct {
	life   int64
	seq    uint64
	heard  time.Time
	silent bool
	told   map[uint32]Use
	parts  map[uint32]float64 // kept for it while it is silent, by workspace; others: an equal part
}

// New returns a limiter for one VM that has not read yet which others there are. now is nil for that of package
// clock.
func New(self ids.VM, now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{now: now, self: self, started: now(), decide: State.Decide, starting: true, gap: usualGap, accounts: map[uint32]*account{}, vms: map[ids.VM]*peer{}}
}

// Call is a call that asks to be let in.
type Call struct {
	Workspace ids.Workspace
	Cost      float64 // units
	Draw      float64 // a random number in [0, 1)
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

// Judged is a verdict and what it rests on.
type Judged struct {
	Verdict
	State
	// Age is how old the oldest word of a peer is that was counted.
	Age time.Duration
}

// Take lets a call in, and counts it, or not. Until this VM has read which others there are
// it lets in nothing that is limited: of four that were all killed each took itself for the
// only one for some ms after their start, and had the whole burst.
func (l *Limiter) Take(c Call) Judged {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[HashOf(c.Workspace)]
	if a == nil || a.limit.None() {
		return Judged{Verdict: Verdict{Admitted: true}}
	}
	a.last = now
	a.advance(now)
	if !l.listed {
		a.refusals++
		a.refused += c.Cost
		return Judged{Verdict: Verdict{ComeBack: shortestReturn}, State: a.state(c.Cost, now)}
	}
	out := Judged{State: a.state(c.Cost, now), Age: l.age(now)}
	out.Settle = l.settle()
	out.Verdict = l.decide(out.State, c.Draw)
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
	if a == nil || a.limit.None() {
		return
	}
	a.advance(now)
	a.admitted -= c.Cost
	a.used.add(-c.Cost*decay(now.Sub(taken)), now)
	a.level += c.Cost
	a.bound()
}

// settle is within how long VMs that all see the same give out what is left. The lock is held.
func (l *Limiter) settle() time.Duration {
	switch {
	case len(l.vms) == 0:
		return 0
	case l.fleet != nil:
		return settleRounds * treeRounds * l.gap
	default:
		return settleRounds * l.gap
	}
}

// measure takes in the time between two words of a peer. The lock is held.
func (l *Limiter) measure(gap time.Duration) {
	if gap < silentAfter {
		l.gap += (gap - l.gap) / gapWeight
	}
}

// account returns the account of a workspace. The lock is held.
func (l *Limiter) account(hash uint32, now time.Time) *account {
	a := l.accounts[hash]
	if a == nil {
		a = &account{at: now, last: now, reserved: l.reservedOf(hash)}
		l.accounts[hash] = a
	}
	return a
}

// reservedOf is the part of a limit that is kept for silent VMs. The lock is held.
func (l *Limiter) reservedOf(hash uint32) float64 {
	if l.starting {
		return float64(len(l.vms)) / float64(len(l.vms)+1)
	}
	sum := 0.0
	for _, p := range l.vms {
		if p.silent {
			sum += l.partOf(p, hash)
		}
	}
	return min(sum, 1)
}

// partOf is the part that is kept for a silent VM. The lock is held.
func (l *Limiter) partOf(p *peer, hash uint32) float64 {
	if part, ok := p.parts[hash]; ok {
		return part
	}
	return 1 / float64(len(l.vms)+1)
}

// age is how old the oldest word is of a VM that is not silent. The lock is held.
func (l *Limiter) age(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range l.vms {
		if !p.silent {
			oldest = max(oldest, now.Sub(p.heard))
		}
	}
	return oldest
}

// SetVMs tells which VMs the platform lists.
func (l *Limiter) SetVMs(all []ids.VM) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[ids.VM]*peer{}
	for _, vm := range all {
		switch p := l.vms[vm]; {
		case vm == l.self:
		case p != nil:
			listed[vm] = p
		default:
			listed[vm] = &peer{silent: true}
		}
	}
	for vm, p := range l.vms {
		if listed[vm] == nil {
			l.drop(p, now)
		}
	}
	l.vms, l.listed = listed, true
	l.reserveAnew(now)
}

// drop forgets what a VM said. The lock is held.
func (l *Limiter) drop(p *peer, now time.Time) {
	for hash, was := range p.told {
		if a := l.accounts[hash]; a != nil && !p.silent {
			a.forget(was, now)
		}
	}
	p.told = nil
}

// reserveAnew adds up what is kept for silent VMs. The lock is held.
func (l *Limiter) reserveAnew(now time.Time) {
	for hash, a := range l.accounts {
		a.advance(now)
		a.reserved = l.reservedOf(hash)
		a.bound()
	}
}

// Present notes that a VM was heard, whatever it said.
func (l *Limiter) Present(vm ids.VM) {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.vms[vm]; p != nil {
		l.present(p, now)
	}
}

// present notes that a VM was heard, and tells whether it was silent. The lock is held.
func (l *Limiter) present(p *peer, now time.Time) (was bool) {
	p.heard = now
	if !p.silent {
		return false
	}
	p.silent, p.parts, p.told = false, nil, nil
	l.reserveAnew(now)
	return true
}

// Heard takes in all that a VM says of its use. life and seq order what it says.
func (l *Limiter) Heard(vm ids.VM, life int64, seq uint64, uses []Use) {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.vms[vm]
	if p == nil || life < p.life || life == p.life && seq <= p.seq {
		return
	}
	if l.fleet != nil {
		l.drop(l.fleet, now)
		l.fleet = nil
	}
	p.life, p.seq = life, seq
	since := now.Sub(p.heard)
	known := p.told != nil
	l.present(p, now)
	if known = known && p.told != nil; known {
		l.measure(since)
	}
	l.take(p, uses, known, since, now)
}

// HeardOne takes in what a VM says of its use of one workspace; the others are as it said
// before.
func (l *Limiter) HeardOne(vm ids.VM, u Use) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.vms[vm]
	if p == nil {
		return
	}
	since := now.Sub(p.heard)
	l.present(p, now)
	l.measure(since)
	was, known := p.told[u.Workspace]
	if p.told == nil {
		p.told = map[uint32]Use{}
	}
	p.told[u.Workspace] = u
	a := l.account(u.Workspace, now)
	if known {
		a.told(was, u, since, now)
	} else {
		a.trust(u, now)
	}
}

// Part is the part of a workspace's limits that this VM may use: its part of what callers ask
// of all VMs that are heard, and an equal part at least.
func (l *Limiter) Part(ws ids.Workspace) float64 {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	equal := 1 / float64(len(l.vms)+1)
	a := l.accounts[HashOf(ws)]
	if a == nil {
		return equal
	}
	own := a.offered.now(now)
	return max(equal, (1-a.reserved)*own/max(own+a.othersOffered, leastTold))
}

// SetLimit puts the limit of one workspace in force.
func (l *Limiter) SetLimit(ws ids.Workspace, limit Limit) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLimit(ws, limit, now)
}

// met counts a VM's first word. The lock is held.
func (l *Limiter) met(uses []Use, now time.Time) {
	l.first++
	if len(uses) > 0 {
		l.served++
	}
	if l.starting && l.served*2 > l.first {
		l.begun(now)
	}
}

// begun ends the time for which this VM keeps to an equal part. The lock is held.
func (l *Limiter) begun(now time.Time) {
	l.starting = false
	l.reserveAnew(now)
}

// HeardFleet takes in the sum of what all other VMs say.
func (l *Limiter) HeardFleet(uses []Use) {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.fleet != nil
	if !known {
		l.fleet = &peer{}
		for _, p := range l.vms {
			l.drop(p, now)
		}
	}
	since := now.Sub(l.fleet.heard)
	l.fleet.heard = now
	if known {
		l.measure(since)
	}
	l.take(l.fleet, uses, known, since, now)
}

// take replaces what a VM said. What one says that was not heard before is where it begins,
// not what it has used since. The lock is held.
func (l *Limiter) take(p *peer, uses []Use, known bool, since time.Duration, now time.Time) {
	if !known {
		l.met(uses, now)
	}
	is := make(map[uint32]Use, len(uses))
	for _, u := range uses {
		is[u.Workspace] = u
		a := l.account(u.Workspace, now)
		if known {
			a.told(p.told[u.Workspace], u, since, now)
		} else {
			a.trust(u, now)
		}
	}
	for hash, was := range p.told {
		if _, still := is[hash]; !still && l.accounts[hash] != nil {
			l.accounts[hash].told(was, Use{}, since, now)
		}
	}
	p.told = is
}

// Told returns what this VM has let in and was asked for, for its peers.
func (l *Limiter) Told() []Use {
	if l == nil {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Use
	for hash, a := range l.accounts {
		u := Use{Workspace: hash, Used: float32(a.used.now(now)), Offered: float32(a.offered.now(now))}
		if u.Offered > leastTold {
			out = append(out, u)
		}
	}
	return out
}

// leastTold is the sum, in units, below which a workspace counts as idle.
const leastTold = 1e-3

// Sweep notices VMs that have fallen silent, and forgets idle workspaces.
func (l *Limiter) Sweep() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starting && now.Sub(l.started) > startFor {
		l.begun(now)
	}
	for _, p := range l.vms {
		if !p.silent && now.Sub(p.heard) > silentAfter {
			l.silence(p, now)
		}
	}
	if l.fleet != nil && now.Sub(l.fleet.heard) > silentAfter {
		l.drop(l.fleet, now) // what is kept for silent VMs takes its place
		l.fleet.told = map[uint32]Use{}
	}
	for hash, a := range l.accounts {
		a.advance(now)
		a.look(now)
		if a.name == "" && now.Sub(a.last) > forgetAfter && a.othersUsed == 0 {
			delete(l.accounts, hash)
		}
	}
}

// silence keeps for a VM its part as it was last heard. The lock is held.
func (l *Limiter) silence(p *peer, now time.Time) {
	p.silent, p.parts = true, map[uint32]float64{}
	for hash, a := range l.accounts {
		was := p.told[hash]
		a.forget(was, now)
		part := 1 / float64(len(l.vms)+1)
		if l.fleet == nil {
			part = a.part(float64(was.Offered), len(l.vms)+1)
		}
		p.parts[hash] = part
		a.reserve(part, now)
	}
	p.told = nil
}
