package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
)

// What a ledger remembers.
const (
	// Retention is how long crashes count, and a request is kept from replicas, after its
	// last crash. Then it is tried again, and one crash is enough to quarantine it anew: a
	// request that never stops coming costs about one replica in this time.
	Retention = 10 * time.Minute
	// forgottenAfter is when nothing is left of it.
	forgottenAfter = 2 * Retention
	// trialAfter is when a quarantined request is sent once to see whether it crashes its
	// replica: replicas are back after some seconds, and a request that many callers share
	// is not to be turned away for long because all replicas ended one after the other.
	trialAfter = 10 * time.Second
	// maxTrials bounds those sends of a request that was never answered. Two sides of a cut
	// make one each, and a VM that has not heard yet one more; the fleet may send three. One
	// that was answered before is tried again and again, trialAfter apart, and needs more
	// crashes: while somebody ended eight replicas a second with ever new requests, one of
	// each second was turned away 191 times in 590; now 34 times in 690 (TestFleetUnderAttack).
	maxTrials = 1
	// maxCases bounds the requests that are remembered. A replica takes those that it runs
	// and that wait there with it, some tens at once. Beyond, those with the fewest crashes
	// are forgotten first, so an attacker has to end replicas to push another one out.
	maxCases = 512
	// answeredPlaces is how many answered requests a VM remembers, at 8 bytes: those of the
	// last seven minutes at 10 requests a second.
	answeredPlaces = 4096
	// maxCrashes bounds the crashes that are remembered of one request; the oldest go first.
	// With maxCases a ledger takes 549 KB at most (TestSize).
	maxCrashes = 16
)

// Ledger remembers which requests replicas crashed under, as this VM saw it or peers told.
// It is merged with those of peers in any order and any number of times. Safe for
// concurrent use.
type Ledger struct {
	// Log gets a line for each crash under a request, and when one is quarantined or let go.
	Log *eventlog.Log

	now func() time.Time

	mu       sync.Mutex
	cases    map[Fingerprint]*entry
	retellAt time.Time
	retold   Fingerprint // the last one that was told again

	known atomic.Int64 // cases

	// answered holds requests that this VM saw answered, each at the place that its
	// fingerprint names, so that one takes the place of another now and then.
	answered [answeredPlaces]uint64

	// Crashes counts the ends of replicas that this VM saw under requests, each once.
	Crashes atomic.Int64
}

// entry is a case and how it is told.
type entry struct {
	crashes []Crash
	// quarantined is set once any VM finds that the request crashes replicas, and holds
	// until it is answered: VMs that see a part of the crashes, or see them in another
	// order, must not differ about it.
	quarantined bool
	// answers grows when the request is answered: the crashes from before count no more.
	answers uint32
	// trials are the sends that were let through since it was quarantined, to find out
	// whether that is for nothing.
	trials  uint32
	triedAt time.Time // the last of them, as this VM knows
	changed time.Time
	copies  int // how often peers are still to be told of it
}

// NewLedger returns an empty ledger. now is nil for that of package clock.
func NewLedger(log *eventlog.Log, now func() time.Time) *Ledger {
	if now == nil {
		now = clock.Now
	}
	return &Ledger{Log: log, now: now, cases: map[Fingerprint]*entry{}}
}

// Empty tells whether nothing is remembered: no request need be looked up then.
func (l *Ledger) Empty() bool { return l == nil || l.known.Load() == 0 }

// Quarantined tells whether a request must not be sent to replicas, and how many have
// crashed under it.
func (l *Ledger) Quarantined(f Fingerprint) (crashes int, quarantined bool) {
	if l.Empty() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.cases[f]
	if e == nil || !e.quarantined || l.now().Sub(e.last()) >= Retention {
		return 0, false
	}
	return len(e.crashes), true
}

// TrialDue tells whether a quarantined request may be sent once. rank is how many living VMs
// come before this one for that; each waits for those before it, which may not get the
// request.
func (l *Ledger) TrialDue(f Fingerprint, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trialDue(f, rank)
}

// Trial is TrialDue, and notes that the request is sent.
func (l *Ledger) Trial(f Fingerprint, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.trialDue(f, rank) {
		return false
	}
	e := l.cases[f]
	e.trials++
	e.triedAt, e.changed, e.copies = l.now(), l.now(), ownCopies
	l.logCase("quarantine-trial", f, "")
	return true
}

// trialDue is TrialDue. The lock is held.
func (l *Ledger) trialDue(f Fingerprint, rank int) bool {
	e := l.cases[f]
	if e == nil || e.answers == 0 && e.trials >= maxTrials {
		return false
	}
	wait := time.Duration(rank+1) * trialAfter
	return l.now().Sub(e.last()) >= wait && l.now().Sub(e.triedAt) >= wait
}

// Counts returns how many requests are remembered, and how many of them are quarantined.
func (l *Ledger) Counts() (cases, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cases), len(l.quarantined())
}

// Finding is a crash under a request.
type Finding struct {
	Request Fingerprint
	Crash   Crash
}

// Crashed notes that a replica ended while it ran these requests.
func (l *Ledger) Crashed(findings ...Finding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range findings {
		if e := l.entry(f.Request); e.add(f.Crash) {
			e.changed, e.copies = l.now(), ownCopies
		}
	}
	l.judge("")
}

// Answered notes that a replica answered a request: it does not crash whatever runs it.
func (l *Ledger) Answered(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place, rest := f.place()
	l.answered[place] = rest
	e := l.cases[f]
	if e == nil || len(e.crashes) == 0 {
		return
	}
	l.acquit(f, e, e.answers+1, "")
	e.changed, e.copies = l.now(), ownCopies
}

// acquit drops all that speaks against a request. The lock is held.
func (l *Ledger) acquit(f Fingerprint, e *entry, answers uint32, from ids.VM) {
	was := e.quarantined
	e.crashes, e.quarantined, e.trials, e.answers = nil, false, 0, answers
	if was {
		l.logCase("quarantine-lifted", f, from)
	}
}

// Sweep forgets what is too old.
func (l *Ledger) Sweep() {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, e := range l.cases {
		if l.now().Sub(e.newest()) >= forgottenAfter {
			l.forget(f)
		}
	}
}

// entry returns the entry of a request, a new one if there is none. The lock is held.
func (l *Ledger) entry(f Fingerprint) *entry {
	if e := l.cases[f]; e != nil {
		return e
	}
	if len(l.cases) >= maxCases {
		l.forget(l.least())
	}
	e := &entry{changed: l.now()}
	if place, rest := f.place(); l.answered[place] == rest {
		e.answers = 1
	}
	l.cases[f] = e
	l.known.Store(int64(len(l.cases)))
	return e
}

// place returns where an answered request is remembered, and as what.
func (f Fingerprint) place() (place int, rest uint64) {
	return int(binary.BigEndian.Uint16(f[:]) % answeredPlaces), binary.BigEndian.Uint64(f[2:])
}

func (l *Ledger) forget(f Fingerprint) {
	delete(l.cases, f)
	l.known.Store(int64(len(l.cases)))
}

// least returns the request that is forgotten first. The lock is held.
func (l *Ledger) least() Fingerprint {
	var least Fingerprint
	var found *entry
	for f, e := range l.cases {
		if found == nil || cmp.Or(e.compare(found), bytes.Compare(f[:], least[:])) < 0 {
			least, found = f, e
		}
	}
	return least
}

// compare orders entries by what would be lost with them.
func (e *entry) compare(o *entry) int {
	switch {
	case e.quarantined && !o.quarantined:
		return 1
	case o.quarantined && !e.quarantined:
		return -1
	}
	return cmp.Or(cmp.Compare(len(e.crashes), len(o.crashes)), e.changed.Compare(o.changed))
}

// add takes a crash in; false: it was known.
func (e *entry) add(c Crash) bool {
	for {
		known := e.crashOf(c.Replica)
		if known == nil {
			break
		}
		if !c.Sent.After(known.Ended.Add(agesDiffer)) {
			return false
		}
		// The replica has started again under its name, and this VM took it for the
		// incarnation before.
		c.Replica = c.Replica.next()
	}
	e.crashes = append(e.crashes, c)
	slices.SortFunc(e.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	if extra := len(e.crashes) - maxCrashes; extra > 0 {
		e.crashes = slices.Delete(e.crashes, 0, extra)
	}
	return true
}

// agesDiffer is by how much VMs differ about when something was: ages in messages grow on
// their way.
const agesDiffer = 100 * time.Millisecond

// crashOf returns what is known of a replica's end; nil: nothing.
func (e *entry) crashOf(r Replica) *Crash {
	for i := range e.crashes {
		if e.crashes[i].Replica == r {
			return &e.crashes[i]
		}
	}
	return nil
}

// last returns when the last crash was; the zero time: there is none.
func (e *entry) last() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].Ended
}

// newest returns when the request was last heard of. Crashes go by their own time, not by
// when a peer told of them: else VMs would remind each other of them for ever.
func (e *entry) newest() time.Time {
	if len(e.crashes) == 0 {
		return e.changed
	}
	return e.last()
}

// judge looks whether further requests are to be quarantined, and tells whether any are.
// from is the VM whose words changed the ledger; empty: this one. The lock is held.
func (l *Ledger) judge(from ids.VM) (found bool) {
	cases := make([]Case, 0, len(l.cases))
	for f, e := range l.cases {
		cases = append(cases, Case{Request: f, Answered: e.answers > 0, Quarantined: e.quarantined, Crashes: e.crashes})
	}
	for _, f := range Judge(cases) {
		l.quarantine(f, from)
		found = true
	}
	return found
}

// quarantine keeps a request from replicas. The lock is held.
func (l *Ledger) quarantine(f Fingerprint, from ids.VM) {
	e := l.cases[f]
	e.quarantined, e.changed, e.copies = true, l.now(), max(e.copies, ownCopies)
	l.logCase("quarantined", f, from)
}

// quarantined returns the requests that are kept from replicas. The lock is held.
func (l *Ledger) quarantined() []Fingerprint {
	var out []Fingerprint
	for f, e := range l.cases {
		if e.quarantined {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return out
}

func (l *Ledger) logCase(event string, f Fingerprint, from ids.VM) {
	line := l.Log.Belief(event).Str("fingerprint", f.String()).Str("told_by", string(from))
	if e := l.cases[f]; e != nil {
		line = line.Int("crashes", len(e.crashes)).Uint32("answers", e.answers)
	}
	line.Send()
}
