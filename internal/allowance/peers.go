package allowance

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// What VMs tell each other of what they let in, and what is kept for those that are not heard.

// peer is another VM, or all others.
type peer struct {
	life   int64
	seq    uint64
	heard  time.Time
	silent bool
	told   map[uint32]Use
	parts  map[uint32]float64 // kept for it while it is silent, by workspace; others: an equal part
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

// MarkSeen notes that a VM was heard, whatever it said.
func (l *Limiter) MarkSeen(vm ids.VM) {
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

// RecordUse takes in all that a VM says of its use. life and seq order what it says.
func (l *Limiter) RecordUse(vm ids.VM, life int64, seq uint64, uses []Use) {
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

// RecordWorkspaceUse takes in what a VM says of its use of one workspace; the others are as it said
// before.
func (l *Limiter) RecordWorkspaceUse(vm ids.VM, u Use) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.vms[vm]
	if p == nil || !u.plausible() {
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

// RecordFleetUse takes in the sum of what all other VMs say.
func (l *Limiter) RecordFleetUse(uses []Use) {
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
		if !u.plausible() {
			continue
		}
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

// OwnUse returns what this VM has let in and was asked for, for its peers.
func (l *Limiter) OwnUse() []Use {
	if l == nil {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Use
	for hash, a := range l.accounts {
		u := Use{Workspace: hash, Used: float32(a.used.now(now)), Offered: float32(a.asked(now))}
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
