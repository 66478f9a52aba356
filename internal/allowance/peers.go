package allowance

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// This file holds the reports of use between VMs and the reservations for unresponsive VMs.

// peer is another VM, or all others together.
type peer struct {
	incarnation  int64  // of the VM at its last report
	seq          uint64 // of its last report
	lastSeen     time.Time
	unresponsive bool
	uses         map[uint32]Use
	shares       map[uint32]float64 // reserved for it while it is unresponsive, by HashOf the workspace; if absent, an equal share
}

// SetVMs sets the VMs that the platform lists. The list may include this VM.
func (l *Limiter) SetVMs(all []ids.VM) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[ids.VM]*peer{}
	for _, vm := range all {
		switch p := l.peers[vm]; {
		case vm == l.self:
		case p != nil:
			listed[vm] = p
		default:
			listed[vm] = &peer{unresponsive: true}
		}
	}
	for vm, p := range l.peers {
		if listed[vm] == nil {
			l.forgetUses(p, now)
		}
	}
	l.peers, l.listed = listed, true
	l.recomputeReserved(now)
}

// forgetUses drops the last report of a VM. The caller holds the lock.
func (l *Limiter) forgetUses(p *peer, now time.Time) {
	for hash, last := range p.uses {
		if a := l.accounts[hash]; a != nil && !p.unresponsive {
			a.removeReport(last, now)
		}
	}
	p.uses = nil
}

// recomputeReserved sums up the reservations for unresponsive VMs. The caller holds the lock.
func (l *Limiter) recomputeReserved(now time.Time) {
	for hash, a := range l.accounts {
		a.advance(now)
		a.reserved = l.reservedOf(hash)
		a.clampLevel()
	}
}

// MarkSeen records that a message has arrived from a VM, whatever its content.
func (l *Limiter) MarkSeen(vm ids.VM) {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[vm]; p != nil {
		l.markSeen(p, now)
	}
}

// markSeen records a message of a VM and reports whether the VM was unresponsive. The caller
// holds the lock.
func (l *Limiter) markSeen(p *peer, now time.Time) (wasUnresponsive bool) {
	p.lastSeen = now
	if !p.unresponsive {
		return false
	}
	p.unresponsive, p.shares, p.uses = false, nil, nil
	l.recomputeReserved(now)
	return true
}

// RecordUse records a VM's report; uses replaces all uses that the VM reported before. RecordUse
// ignores the report if the VM is not listed, or if the report is not newer, by incarnation and
// then seq, than the last one. It also ignores malformed elements of uses.
func (l *Limiter) RecordUse(vm ids.VM, incarnation int64, seq uint64, uses []Use) {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil || incarnation < p.incarnation || incarnation == p.incarnation && seq <= p.seq {
		return
	}
	if l.fleet != nil {
		l.forgetUses(l.fleet, now)
		l.fleet = nil
	}
	p.incarnation, p.seq = incarnation, seq
	since := now.Sub(p.lastSeen)
	known := p.uses != nil
	l.markSeen(p, now)
	if known = known && p.uses != nil; known {
		l.observeInterval(since)
	}
	l.replaceUses(p, uses, known, since, now)
}

// RecordWorkspaceUse records a VM's use of one workspace; its uses of other workspaces stay as last
// reported. It ignores the report if the VM is not listed or u is malformed.
func (l *Limiter) RecordWorkspaceUse(vm ids.VM, u Use) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil || !u.valid() {
		return
	}
	since := now.Sub(p.lastSeen)
	l.markSeen(p, now)
	l.observeInterval(since)
	previous, known := p.uses[u.Workspace]
	if p.uses == nil {
		p.uses = map[uint32]Use{}
	}
	p.uses[u.Workspace] = u
	a := l.account(u.Workspace, now)
	if known {
		a.updateReport(previous, u, since, now)
	} else {
		a.addReport(u, now)
	}
}

// countFirstReport counts the first report of a VM, or of the fleet. If more than half of the first
// reports contain use, the others have been serving and this VM's start ends. The caller holds the
// lock.
func (l *Limiter) countFirstReport(uses []Use, now time.Time) {
	l.firstReports++
	if len(uses) > 0 {
		l.activeReports++
	}
	if l.starting && l.activeReports*2 > l.firstReports {
		l.endStart(now)
	}
}

// endStart ends the period in which this VM keeps to an equal share. The caller holds the lock.
func (l *Limiter) endStart(now time.Time) {
	l.starting = false
	l.recomputeReserved(now)
}

// RecordFleetUse records the total use of all other VMs, in place of the reports of single VMs.
// It ignores malformed elements of uses.
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
		for _, p := range l.peers {
			l.forgetUses(p, now)
		}
	}
	since := now.Sub(l.fleet.lastSeen)
	l.fleet.lastSeen = now
	if known {
		l.observeInterval(since)
	}
	l.replaceUses(l.fleet, uses, known, since, now)
}

// replaceUses replaces the last report of p by uses. If known is false there was no report
// before, and uses is a starting point rather than new use. The caller holds the lock.
func (l *Limiter) replaceUses(p *peer, uses []Use, known bool, since time.Duration, now time.Time) {
	if !known {
		l.countFirstReport(uses, now)
	}
	current := make(map[uint32]Use, len(uses))
	for _, u := range uses {
		if !u.valid() {
			continue
		}
		current[u.Workspace] = u
		a := l.account(u.Workspace, now)
		if known {
			a.updateReport(p.uses[u.Workspace], u, since, now)
		} else {
			a.addReport(u, now)
		}
	}
	for hash, last := range p.uses {
		if _, still := current[hash]; !still && l.accounts[hash] != nil {
			l.accounts[hash].updateReport(last, Use{}, since, now)
		}
	}
	p.uses = current
}

// reservedOf returns the fraction of a workspace's limit that is reserved for unresponsive VMs, or
// while this VM is starting, all but its equal share. The caller holds the lock.
func (l *Limiter) reservedOf(hash uint32) float64 {
	if l.starting {
		return float64(len(l.peers)) / float64(len(l.peers)+1)
	}
	sum := 0.0
	for _, p := range l.peers {
		if p.unresponsive {
			sum += l.shareOf(p, hash)
		}
	}
	return min(sum, 1)
}

// shareOf returns the fraction of a workspace's limit that is reserved for an unresponsive VM. The
// caller holds the lock.
func (l *Limiter) shareOf(p *peer, hash uint32) float64 {
	if share, ok := p.shares[hash]; ok {
		return share
	}
	return 1 / float64(len(l.peers)+1)
}

// maxMessageAge returns the longest time since the last message of a responsive VM, or zero if
// none is responsive. The caller holds the lock.
func (l *Limiter) maxMessageAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range l.peers {
		if !p.unresponsive {
			oldest = max(oldest, now.Sub(p.lastSeen))
		}
	}
	return oldest
}

// drainTime returns the value of State.DrainTime. The caller holds the lock.
func (l *Limiter) drainTime() time.Duration {
	switch {
	case len(l.peers) == 0:
		return 0
	case l.fleet != nil:
		return drainRounds * treeRounds * l.interval
	default:
		return drainRounds * l.interval
	}
}

// observeInterval adds the time between two reports of a peer to the average. The caller holds
// the lock.
func (l *Limiter) observeInterval(gap time.Duration) {
	if gap < unresponsiveAfter {
		l.interval += (gap - l.interval) / intervalSamples
	}
}

// OwnUse returns the uses to report to peers: what this VM has admitted and the demand on it.
func (l *Limiter) OwnUse() []Use {
	if l == nil {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Use
	for hash, a := range l.accounts {
		u := Use{Workspace: hash, Used: float32(a.used.value(now)), Offered: float32(a.demand(now))}
		if u.Offered > minReportedUse {
			out = append(out, u)
		}
	}
	return out
}

// minReportedUse is the sum, in units, up to which a workspace counts as idle.
const minReportedUse = 1e-3

// Sweep detects unresponsive VMs, samples demand, and drops the accounts of idle workspaces for
// which no limit is set. It must be called every SweepEvery.
func (l *Limiter) Sweep() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starting && now.Sub(l.started) > startPeriod {
		l.endStart(now)
	}
	for _, p := range l.peers {
		if !p.unresponsive && now.Sub(p.lastSeen) > unresponsiveAfter {
			l.markUnresponsive(p, now)
		}
	}
	if l.fleet != nil && now.Sub(l.fleet.lastSeen) > unresponsiveAfter {
		l.forgetUses(l.fleet, now) // the reservations for unresponsive VMs replace it
		l.fleet.uses = map[uint32]Use{}
	}
	for hash, a := range l.accounts {
		a.advance(now)
		a.sampleDemand(now)
		if a.name == "" && now.Sub(a.lastActive) > forgetAfter && a.peersUsed == 0 {
			delete(l.accounts, hash)
		}
	}
}

// markUnresponsive reserves a VM's share of each limit: by its last report, or an equal share if
// peers report only their total. The caller holds the lock.
func (l *Limiter) markUnresponsive(p *peer, now time.Time) {
	p.unresponsive, p.shares = true, map[uint32]float64{}
	for hash, a := range l.accounts {
		last := p.uses[hash]
		a.removeReport(last, now)
		share := 1 / float64(len(l.peers)+1)
		if l.fleet == nil {
			share = a.share(float64(last.Offered), len(l.peers)+1)
		}
		p.shares[hash] = share
		a.reserve(share, now)
	}
	p.uses = nil
}
