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

const (
	// Retention is how long a quarantine holds after the last crash under the request. After
	// that the request may run again. The ledger keeps the case for evictAfter, so one more crash
	// quarantines the request anew: one that never stops coming costs about one replica in this
	// time.
	Retention = 10 * time.Minute
	// evictAfter is the time after which a ledger drops a case.
	evictAfter = 2 * Retention
	// trialAfter is the time after which a quarantined request is sent once, as a trial, to
	// see whether it crashes its replica. Replicas are back after some seconds, and a request
	// that many callers share must not be refused for long because all replicas ended one
	// after the other.
	trialAfter = 10 * time.Second
	// maxTrials bounds the trials of a request that was never answered. Each side of a network
	// partition may make one, and a VM that has not received the report of a trial yet may make
	// another, so that the fleet may make three. A request that was answered before is tried
	// without limit, trialAfter apart, and needs more crashes to be quarantined. Without these
	// two rules, while an attacker ended eight replicas a second with ever new requests, a
	// request that came once a second was refused 191 of 590 times; with them, 34 of 690
	// (TestFleetUnderAttack).
	maxTrials = 1
	// maxCases bounds the cases in a ledger. A crashing replica adds the requests that it runs
	// and those waiting there, some tens at once. Beyond the limit the ledger evicts the cases
	// with the fewest crashes first, so that an attacker has to end replicas to displace one.
	maxCases = 512
	// answeredSlots is the number of answered requests that a VM remembers, at 8 bytes each:
	// those of the last seven minutes at 10 requests a second.
	answeredSlots = 4096
	// maxCrashes bounds the crashes kept per request; the oldest are dropped first. With
	// maxCases cases a ledger takes at most 549 KB (TestSize).
	maxCrashes = 16
)

// Ledger records which requests were in progress when replicas crashed, as seen by this VM or
// reported by peers. Merging reports is commutative and idempotent. Safe for concurrent use.
type Ledger struct {
	// Log receives a line for each crash under a request, for each quarantine that starts or is
	// lifted, and for each trial.
	Log *eventlog.Log

	// Settle returns how long evidence against a part, or against a request that shares parts, is held before it is judged:
	// until VMs that remember an answer can have said so. Nil: no time.
	Settle func() time.Duration
	// ExplainedElsewhere reports which replicas crashed for another known reason. Nil: none. It is called with the lock
	// held and must not call methods of the ledger.
	ExplainedElsewhere func(Replica) bool

	now func() time.Time
	// parts states that the ledger holds parts of prompts. A part that was answered once is sound for good: VMs that
	// remember an answer say so to those that report crashes.
	parts bool

	mu         sync.Mutex
	cases      map[Fingerprint]*entry
	resendAt   time.Time
	lastResent Fingerprint // the quarantined request resent last

	caseCount atomic.Int64 // length of cases, readable without the lock

	// answered is a hash table without chaining of the requests that this VM saw answered. A
	// request overwrites another one with the same slot.
	answered [answeredSlots]uint64

	// Crashes counts the crashes of replicas that this VM saw under requests: one for each check
	// that found a replica ended, and one for each broken run whose replica was known to have ended.
	Crashes atomic.Int64
}

// entry is a case and the state of its reports to peers.
type entry struct {
	crashes []Crash
	// quarantined is set once any VM finds that the request crashes replicas, and holds until
	// the request is answered. VMs that see only some of the crashes, or see them in another
	// order, must agree on it.
	quarantined bool
	// answers increases when the request is answered after crashes. It starts at 1 if this VM
	// remembers an earlier answer. Reports with a lower value are outdated, and so are their
	// crashes.
	answers uint32
	// trials is the number of trials since the request was quarantined.
	trials     uint32
	triedAt    time.Time // the latest trial that this VM knows of
	changed    time.Time
	since      int64 // when this VM created the entry, in nanoseconds of Unix time
	roundsLeft int   // rounds in which the entry is still to be reported
}

// NewLedger returns an empty ledger. A nil now means clock.Now.
func NewLedger(log *eventlog.Log, now func() time.Time) *Ledger {
	if now == nil {
		now = clock.Now
	}
	return &Ledger{Log: log, now: now, cases: map[Fingerprint]*entry{}}
}

// NewPartLedger returns an empty ledger of parts of prompts. A nil now means clock.Now.
func NewPartLedger(log *eventlog.Log, now func() time.Time) *Ledger {
	l := NewLedger(log, now)
	l.parts = true
	return l
}

// Empty reports whether the ledger, which may be nil, has no cases. Then no request needs a
// look-up.
func (l *Ledger) Empty() bool { return l == nil || l.caseCount.Load() == 0 }

// Quarantined reports whether a request must not be sent to replicas, and if so, how many
// crashes under it the ledger holds, at most maxCrashes.
func (l *Ledger) Quarantined(f Fingerprint) (crashes int, quarantined bool) {
	if l.Empty() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.cases[f]
	if e == nil || !e.quarantined || l.now().Sub(e.lastCrash()) >= Retention {
		return 0, false
	}
	return len(e.crashes), true
}

// TrialDue reports whether a quarantined request may be sent once as a trial. rank is the number
// of live VMs that precede this one for the trial. Each VM waits trialAfter longer than the one
// before it, since that one may not receive the request.
func (l *Ledger) TrialDue(f Fingerprint, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trialDue(f, rank)
}

// Trial does the same as TrialDue, and records the trial if it is due.
func (l *Ledger) Trial(f Fingerprint, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.trialDue(f, rank) {
		return false
	}
	e := l.cases[f]
	e.trials++
	e.triedAt, e.changed, e.roundsLeft = l.now(), l.now(), ownRounds
	l.logCase("quarantine-trial", f, "")
	return true
}

// trialDue implements TrialDue. The caller holds l.mu.
func (l *Ledger) trialDue(f Fingerprint, rank int) bool {
	e := l.cases[f]
	if e == nil || e.answers == 0 && e.trials >= maxTrials {
		return false
	}
	wait := time.Duration(rank+1) * trialAfter
	return l.now().Sub(e.lastCrash()) >= wait && l.now().Sub(e.triedAt) >= wait
}

// Counts returns the number of cases, and how many of them are quarantined, including those whose
// Retention is over.
func (l *Ledger) Counts() (cases, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cases), len(l.listQuarantined())
}

// Finding is a crash under a request.
type Finding struct {
	Request Fingerprint
	Crash   Crash
}

// Crashed records that replicas ended while they ran requests, and quarantines the requests that
// caused it.
func (l *Ledger) Crashed(findings ...Finding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range findings {
		if l.parts && l.isSound(f.Request) {
			continue
		}
		if e := l.entry(f.Request); e.observe(f.Crash) {
			e.changed, e.roundsLeft = l.now(), ownRounds
		}
	}
	l.judge("")
}

// isSound reports whether a part was answered. The caller holds l.mu.
func (l *Ledger) isSound(f Fingerprint) bool {
	e := l.cases[f]
	return l.remembers(f) || e != nil && e.answers > 0
}

// Suspected reports whether replicas crashed under a part, which may be due to it.
func (l *Ledger) Suspected(f Fingerprint) bool {
	if l.Empty() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.cases[f]
	return e != nil && len(e.crashes) >= crashesSuspected
}

// crashesSuspected is the number of crashes under a part from which the VM does not send a request that holds it a second time.
const crashesSuspected = 2

// Explains reports whether a replica crashed under a quarantined request or part.
func (l *Ledger) Explains(r Replica) bool {
	if l.Empty() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.cases {
		if e.quarantined && e.crashOf(r) != nil {
			return true
		}
	}
	return false
}

// Answered records that a replica answered a request. This clears the crashes of the request and
// lifts its quarantine.
func (l *Ledger) Answered(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remember(f)
	e := l.cases[f]
	if e == nil || len(e.crashes) == 0 {
		return
	}
	l.clear(f, e, e.answers+1, "")
	e.changed, e.roundsLeft = l.now(), ownRounds
}

// clear drops the evidence against a request. The caller holds l.mu.
func (l *Ledger) clear(f Fingerprint, e *entry, answers uint32, from ids.VM) {
	was := e.quarantined
	e.crashes, e.quarantined, e.trials, e.answers = nil, false, 0, answers
	if was {
		l.logCase("quarantine-lifted", f, from)
	}
}

// Sweep drops cases without activity for evictAfter.
func (l *Ledger) Sweep() {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, e := range l.cases {
		if l.now().Sub(e.lastActivity()) >= evictAfter {
			l.remove(f)
		}
	}
}

// entry returns the entry of a request and creates it if there is none. The caller holds l.mu.
func (l *Ledger) entry(f Fingerprint) *entry {
	if e := l.cases[f]; e != nil {
		return e
	}
	if len(l.cases) >= maxCases {
		l.remove(l.evictionCandidate())
	}
	e := &entry{changed: l.now(), since: l.now().UnixNano()}
	if l.remembers(f) {
		e.answers = 1
	}
	l.cases[f] = e
	l.caseCount.Store(int64(len(l.cases)))
	return e
}

// remember records that a request was answered. The caller holds l.mu.
func (l *Ledger) remember(f Fingerprint) {
	slot, tag := f.answeredSlot()
	l.answered[slot] = tag
}

// remembers reports whether this VM remembers an answer to a request. The caller holds l.mu.
func (l *Ledger) remembers(f Fingerprint) bool {
	slot, tag := f.answeredSlot()
	return l.answered[slot] == tag
}

// answeredSlot returns the slot of a request in Ledger.answered and the tag stored there.
func (f Fingerprint) answeredSlot() (slot int, tag uint64) {
	return int(binary.BigEndian.Uint16(f[:]) % answeredSlots), binary.BigEndian.Uint64(f[2:])
}

func (l *Ledger) remove(f Fingerprint) {
	delete(l.cases, f)
	l.caseCount.Store(int64(len(l.cases)))
}

// evictionCandidate returns the request to drop first. The caller holds l.mu.
func (l *Ledger) evictionCandidate() Fingerprint {
	var least Fingerprint
	var found *entry
	for f, e := range l.cases {
		if found == nil || cmp.Or(e.compare(found), bytes.Compare(f[:], least[:])) < 0 {
			least, found = f, e
		}
	}
	return least
}

// compare orders entries by their value for the ledger, the least valuable first: those not
// quarantined, then those with fewer crashes, then those that changed longest ago.
func (e *entry) compare(o *entry) int {
	switch {
	case e.quarantined && !o.quarantined:
		return 1
	case o.quarantined && !e.quarantined:
		return -1
	}
	return cmp.Or(cmp.Compare(len(e.crashes), len(o.crashes)), e.changed.Compare(o.changed))
}

// observe adds a crash that this VM has seen itself. It returns false if the crash was known. If the
// run was sent after the known crash of its replica, the replica has restarted, and this VM did not
// know its new incarnation yet.
func (e *entry) observe(c Crash) bool {
	for known := e.crashOf(c.Replica); known != nil; known = e.crashOf(c.Replica) {
		if !c.Sent.After(known.Ended.Add(maxAgeError)) {
			return false
		}
		c.Replica = c.Replica.next()
	}
	return e.add(c)
}

// add adds a crash. It returns false if the crash was known. The time of a crash that a peer reports
// says nothing about its identity, since it includes the delay of the message.
func (e *entry) add(c Crash) bool {
	if e.crashOf(c.Replica) != nil {
		return false
	}
	e.crashes = append(e.crashes, c)
	slices.SortFunc(e.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	if extra := len(e.crashes) - maxCrashes; extra > 0 {
		e.crashes = slices.Delete(e.crashes, 0, extra)
	}
	return true
}

// maxAgeError is the usual delay of a message, by which the time of a reported crash is too late.
const maxAgeError = 100 * time.Millisecond

// crashOf returns the crash of a replica, or nil if there is none.
func (e *entry) crashOf(r Replica) *Crash {
	for i := range e.crashes {
		if e.crashes[i].Replica == r {
			return &e.crashes[i]
		}
	}
	return nil
}

// lastCrash returns the time of the last crash, or the zero time if there is none.
func (e *entry) lastCrash() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].Ended
}

// lastActivity returns the time of the last crash, or of the last change if there is none. It
// does not use the time at which a peer reported a crash, since VMs would then renew each
// other's cases forever.
func (e *entry) lastActivity() time.Time {
	if len(e.crashes) == 0 {
		return e.changed
	}
	return e.lastCrash()
}

// judge quarantines further requests according to Judge, and reports whether there are any.
// from is the VM whose report changed the ledger, empty for this VM. The caller holds l.mu.
func (l *Ledger) judge(from ids.VM) (found bool) {
	cases := make([]Case, 0, len(l.cases))
	for f, e := range l.cases {
		if e.quarantined || l.mayJudge(f, e) {
			cases = append(cases, Case{Request: f, Answered: e.answers > 0, Quarantined: e.quarantined, Crashes: e.crashes, Needed: l.needed()})
		}
	}
	for _, f := range Judge(cases, l.ExplainedElsewhere) {
		l.quarantine(f, from)
		found = true
	}
	return found
}

// needed returns the number of crashes that quarantines a part; zero for requests, for which it depends.
func (l *Ledger) needed() int {
	if l.parts {
		return crashesOfPart
	}
	return 0
}

// mayJudge reports whether the evidence against a request or a part may be judged now. The caller holds l.mu.
func (l *Ledger) mayJudge(f Fingerprint, e *entry) bool {
	if l.parts && e.answers > 0 {
		return false
	}
	if l.Settle == nil || !l.parts && !f.sharesParts() {
		return true
	}
	return l.now().UnixNano()-e.since >= int64(l.Settle())
}

// quarantine quarantines a request. The caller holds l.mu.
func (l *Ledger) quarantine(f Fingerprint, from ids.VM) {
	e := l.cases[f]
	e.quarantined, e.changed, e.roundsLeft = true, l.now(), max(e.roundsLeft, ownRounds)
	l.logCase("quarantined", f, from)
}

// listQuarantined returns the quarantined requests, sorted by fingerprint. The caller holds l.mu.
func (l *Ledger) listQuarantined() []Fingerprint {
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
	line := l.Log.State(event).Str("fingerprint", f.String()).Str("told_by", string(from))
	if e := l.cases[f]; e != nil {
		line = line.Int("crashes", len(e.crashes)).Uint32("answers", e.answers)
	}
	line.Send()
}
