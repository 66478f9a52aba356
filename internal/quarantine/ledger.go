package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
)

// What a ledger remembers.
const (
	// Remembered is how long crashes count, and a request is kept from replicas, after its
	// last crash. Then it is tried again, and one crash is enough to quarantine it anew: a
	// request that never stops coming costs about one replica in this time.
	Remembered = 10 * time.Minute
	// forgottenAfter is when nothing is left of it.
	forgottenAfter = 2 * Remembered
	// maxCases bounds the requests that are remembered. A replica takes those that it runs
	// and that wait there with it, some tens at once. Beyond, those with the fewest crashes
	// are forgotten first, so an attacker has to end replicas to push another one out.
	maxCases = 512
	// maxCrashes bounds the crashes that are remembered of one request; the oldest go first.
	// With maxCases a ledger holds 350 KB at most.
	maxCrashes = 16
)

// Ledger remembers which requests replicas crashed under, as this VM saw it or peers told.
// It is merged with those of peers in any order and any number of times. Safe for
// concurrent use.
type Ledger struct {
	// Log gets a line for each crash under a request, and when one is quarantined or let go.
	Log *eventlog.Log

	now func() time.Time

	mu          sync.Mutex
	cases       map[Fingerprint]*entry
	quarantined map[Fingerprint]bool
	retellAt    time.Time
	retold      Fingerprint // the last one that was told again

	known atomic.Int64 // cases

	// Crashes counts the ends of replicas that this VM saw under requests, each once.
	Crashes atomic.Int64
}

// entry is a case and how it is told.
type entry struct {
	crashes []Crash
	// answers grows when the request is answered: the crashes from before count no more.
	answers uint32
	changed time.Time
	copies  int // how often peers are still to be told of it
}

// NewLedger returns an empty ledger. now is nil for the monotonic clock.
func NewLedger(log *eventlog.Log, now func() time.Time) *Ledger {
	if now == nil {
		now = time.Now
	}
	return &Ledger{Log: log, now: now, cases: map[Fingerprint]*entry{}, quarantined: map[Fingerprint]bool{}}
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
	if e == nil || !l.quarantined[f] || l.now().Sub(e.last()) >= Remembered {
		return 0, false
	}
	return len(e.crashes), true
}

// Counts returns how many requests are remembered, and how many of them are quarantined.
func (l *Ledger) Counts() (cases, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cases), len(l.quarantined)
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
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.cases[f]
	if e == nil || len(e.crashes) == 0 {
		return
	}
	e.crashes, e.changed, e.copies = nil, l.now(), ownCopies
	e.answers++
	l.judge("")
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
	l.judge("")
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
	l.cases[f] = e
	l.known.Store(int64(len(l.cases)))
	return e
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
		if found == nil || cmp.Or(cmp.Compare(len(e.crashes), len(found.crashes)), e.changed.Compare(found.changed)) < 0 {
			least, found = f, e
		}
	}
	return least
}

// add takes a crash in; false: it was known.
func (e *entry) add(c Crash) bool {
	i := slices.IndexFunc(e.crashes, func(k Crash) bool { return k.Replica == c.Replica })
	if i >= 0 {
		known := &e.crashes[i]
		if c.Sent.After(known.Sent) {
			known.Sent = c.Sent // a detail that peers need not be told
		}
		return false
	}
	e.crashes = append(e.crashes, c)
	slices.SortFunc(e.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	if extra := len(e.crashes) - maxCrashes; extra > 0 {
		e.crashes = slices.Delete(e.crashes, 0, extra)
	}
	return true
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

// judge works out anew which requests are quarantined, logs what changed and tells whether
// anything did. from is the VM whose words changed it; empty: this one. The lock is held.
func (l *Ledger) judge(from ids.VM) (changed bool) {
	cases := make([]Case, 0, len(l.cases))
	for f, e := range l.cases {
		cases = append(cases, Case{Request: f, Answered: e.answers > 0, Crashes: e.crashes})
	}
	before := l.quarantined
	l.quarantined = Judge(cases)
	for f := range l.quarantined {
		if !before[f] {
			l.logCase("quarantined", f, from)
		}
	}
	for f := range before {
		if !l.quarantined[f] {
			l.logCase("quarantine-lifted", f, from)
		}
	}
	return !maps.Equal(before, l.quarantined)
}

func (l *Ledger) logCase(event string, f Fingerprint, from ids.VM) {
	line := l.Log.Belief(event).Str("fingerprint", f.String()).Str("told_by", string(from))
	if e := l.cases[f]; e != nil {
		line = line.Int("crashes", len(e.crashes)).Uint32("answers", e.answers)
	}
	line.Send()
}
