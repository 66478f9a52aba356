package allowance

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// unresponsiveAfter is the time since a VM's last message after which it counts as
	// unresponsive: it may be serving on the other side of a network partition. In a fleet of 100,
	// each VM reports every 0.5 s, so that two reports lost in a row do not make it unresponsive;
	// with nothing to report it sends a message every second, and two lost ones do. Until a VM
	// counts as unresponsive, both sides of a partition may use the whole limit.
	unresponsiveAfter = 2 * time.Second
	// SweepEvery is the interval at which Sweep must be called.
	SweepEvery = 250 * time.Millisecond
	// defaultInterval is the assumed time between two reports of a peer before it is measured:
	// that of a fleet of 100 VMs.
	defaultInterval = 500 * time.Millisecond
	// intervalSamples is the number of reports over which the time between them is averaged.
	intervalSamples = 32
	// startPeriod is how long a VM keeps to an equal share after its start, unless its peers
	// report that they have been serving: two rounds of reports of 100 VMs. When all VMs are
	// killed and restarted, none knows the others' demand, and each would admit a whole burst.
	startPeriod = time.Second
)

// HashOf returns the hash that identifies a workspace in messages between VMs.
func HashOf(ws ids.Workspace) uint32 { return uint32(xxh3.HashString(string(ws))) }

// Limiter keeps the workspaces' accounts on one VM. It is safe for concurrent use. On a nil
// Limiter, MarkSeen, RecordUse and RecordFleetUse do nothing and OwnUse returns nil; the other
// methods panic.
type Limiter struct {
	now     func() time.Time
	self    ids.VM
	started time.Time
	decide  func(State, float64) Verdict

	mu       sync.Mutex
	accounts map[uint32]*account
	peers    map[ids.VM]*peer // listed VMs without this one
	listed   bool             // the list of VMs has been read
	fleet    *peer            // all other VMs, if peers report only their total; nil otherwise
	// starting is set until this VM knows the load of the others, for startPeriod at most.
	// firstReports counts the first reports that it received, of VMs or of the fleet, and
	// activeReports those of them that contained use.
	starting                    bool
	firstReports, activeReports int
	// interval is the measured mean time between two reports of a peer.
	interval time.Duration
}

// New returns a limiter for VM self that has not yet read the list of VMs: until SetVMs it
// admits no call of a limited workspace. If now is nil, clock.Now is used.
func New(self ids.VM, now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{
		now: now, self: self, started: now(), decide: State.Decide, starting: true, interval: defaultInterval,
		accounts: map[uint32]*account{}, peers: map[ids.VM]*peer{},
	}
}

// Call is a call to be admitted.
type Call struct {
	Workspace ids.Workspace
	Cost      float64 // units
}

// SetLimits puts the limits of all workspaces into force; a workspace that limits omits is
// unlimited.
func (l *Limiter) SetLimits(limits map[ids.Workspace]Limit) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	limited := map[uint32]bool{}
	for ws, limit := range limits {
		limited[HashOf(ws)] = true
		l.setLimit(ws, limit, now)
	}
	for hash, a := range l.accounts {
		if !limited[hash] {
			a.setLimit(Limit{}, now)
			a.name = ""
		}
	}
}

// setLimit implements SetLimit. The caller holds the lock.
func (l *Limiter) setLimit(ws ids.Workspace, limit Limit, now time.Time) {
	a := l.account(HashOf(ws), now)
	a.name = ws
	a.setLimit(limit, now)
	if !l.listed || now.Sub(l.started) < startPeriod && len(l.peers) > 0 {
		a.level = min(a.level, 0) // a VM that starts among others has no burst of its own
	}
}

// Decision is a verdict and the state that it is based on.
type Decision struct {
	Verdict
	State
	// Age is the longest time since the last message of a responsive peer. It is zero if there is
	// none, if the workspace is unlimited, or if this VM has not read the list of VMs.
	Age time.Duration
}

// Take admits and counts a call, or refuses it. Until this VM has read the list of VMs it
// refuses every call of a limited workspace. Without that, each of four VMs that were all killed
// and restarted assumed for some ms that it was the only one, and used the whole burst.
func (l *Limiter) Take(c Call) Decision {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[HashOf(c.Workspace)]
	if a == nil || a.limit.Unlimited() {
		return Decision{Verdict: Verdict{Admitted: true}}
	}
	a.lastActive = now
	a.advance(now)
	if !l.listed {
		a.refusals++
		a.refused += c.Cost
		return Decision{Verdict: Verdict{RetryAfter: minRetryAfter}, State: a.state(c.Cost, now)}
	}
	out := Decision{State: a.state(c.Cost, now), Age: l.maxMessageAge(now)}
	out.DrainTime = l.drainTime()
	out.Verdict = l.decide(out.State, a.nextSample())
	a.offered.add(c.Cost, now)
	if !out.Admitted {
		a.refused += c.Cost
		a.refusals++
		return out
	}
	a.admitted += c.Cost
	a.used.add(c.Cost, now)
	a.level -= c.Cost
	a.clampLevel()
	return out
}

// Return gives back the cost of a call that was admitted at time taken and has not run.
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
	a.clampLevel()
}

// account returns the account of a workspace and creates it if there is none. The caller holds
// the lock.
func (l *Limiter) account(hash uint32, now time.Time) *account {
	a := l.accounts[hash]
	if a == nil {
		a = &account{levelAt: now, lastActive: now, started: l.started, reserved: l.reservedOf(hash), sequence: l.initialSequence(hash)}
		l.accounts[hash] = a
	}
	return a
}

// initialSequence returns the start of an account's sample sequence, which differs between VMs and
// between starts of a VM.
func (l *Limiter) initialSequence(hash uint32) uint64 {
	return xxh3.HashStringSeed(string(l.self), uint64(l.started.UnixNano())^uint64(hash))
}

// Share returns the fraction of a workspace's limits that this VM may use: of the part that is not
// reserved for unresponsive VMs, this VM's fraction of the demand on all responsive VMs, and at
// least an equal share of the whole.
func (l *Limiter) Share(ws ids.Workspace) float64 {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	equal := 1 / float64(len(l.peers)+1)
	a := l.accounts[HashOf(ws)]
	if a == nil {
		return equal
	}
	own := a.demand(now)
	return max(equal, (1-a.reserved)*own/max(own+a.peersOffered, minReportedUse))
}

// SetLimit puts the limit of one workspace into force; other limits stay as they are.
func (l *Limiter) SetLimit(ws ids.Workspace, limit Limit) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLimit(ws, limit, now)
}
