package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// What VMs tell each other. A request may come to any VM, so that each sees a part of the
// crashes alone. What changes is told in several rounds, since messages get lost; what is
// quarantined is told again and again, so that VMs that start, or were cut off, hear of it.

const (
	// ownCopies is how many rounds tell what this VM saw itself: three of them lost leave
	// the next crash to make up for it.
	ownCopies = 3
	// passedCopies is how many rounds pass on what was heard.
	passedCopies = 2
	// maxTold bounds the cases in one message, of 22 bytes each and 16 a crash.
	maxTold = 24
	// retoldPerSecond bounds the cases that a VM hears again, from all peers together:
	// 0.7 KB/s with three crashes each.
	retoldPerSecond = 10
	// retellLeast is the least pause between two that one VM tells again.
	retellLeast = 150 * time.Millisecond
)

// Report is one case as it is told. Times are ages, since clocks differ.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Answers uint32
	Trials  uint32
	// Quarantined is set when a VM found that the request crashes replicas.
	Quarantined bool
	Crashes     []ReportedCrash
}

// ReportedCrash is one crash as it is told.
type ReportedCrash struct {
	_       struct{} `cbor:",toarray"`
	Replica Replica
	SentMs  int64 // ago
	EndedMs int64 // ago
}

// DueReports returns what is to be told in this round, at a VM whose words reach so many peers.
func (l *Ledger) DueReports(peers int) []Report {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var due []Fingerprint
	for f, e := range l.cases {
		if e.copies > 0 {
			due = append(due, f)
		}
	}
	slices.SortFunc(due, func(a, b Fingerprint) int {
		return cmp.Or(-cmp.Compare(len(l.cases[a].crashes), len(l.cases[b].crashes)), bytes.Compare(a[:], b[:]))
	})
	due = due[:min(len(due), maxTold)]
	for _, f := range due {
		l.cases[f].copies--
	}
	if f, ok := l.retell(now, peers); ok && !slices.Contains(due, f) {
		due = append(due, f)
	}
	out := make([]Report, 0, len(due))
	for _, f := range due {
		out = append(out, l.cases[f].report(f, now))
	}
	return out
}

// ResendAll has all that is quarantined told in the next round: a peer has started, and knows
// of none.
func (l *Ledger) ResendAll() {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.quarantined() {
		l.cases[f].copies = max(l.cases[f].copies, 1)
	}
}

// Snapshot returns what a VM that knows nothing is to be told: what is quarantined, and the
// latest of the rest.
func (l *Ledger) Snapshot() []Report {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Collect(maps.Keys(l.cases))
	slices.SortFunc(all, func(a, b Fingerprint) int { return -l.cases[a].compare(l.cases[b]) })
	all = all[:min(len(all), maxTold)]
	out := make([]Report, 0, len(all))
	for _, f := range all {
		out = append(out, l.cases[f].report(f, l.now()))
	}
	return out
}

// Pending tells whether something is to be told.
func (l *Ledger) Pending() bool {
	if l.Empty() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.cases {
		if e.copies > 0 {
			return true
		}
	}
	return false
}

// retell returns the quarantined request whose turn it is to be told again. The lock is
// held.
func (l *Ledger) retell(now time.Time, peers int) (Fingerprint, bool) {
	if now.Before(l.retellAt) {
		return Fingerprint{}, false
	}
	all := l.quarantined()
	if len(all) == 0 {
		return Fingerprint{}, false
	}
	l.retellAt = now.Add(max(retellLeast, time.Duration(peers)*time.Second/retoldPerSecond))
	i := slices.IndexFunc(all, func(f Fingerprint) bool { return bytes.Compare(f[:], l.retold[:]) > 0 })
	l.retold = all[max(i, 0)]
	return l.retold, true
}

func (e *entry) report(f Fingerprint, now time.Time) Report {
	r := Report{Request: f, Answers: e.answers, Trials: e.trials, Quarantined: e.quarantined}
	for _, c := range e.crashes {
		r.Crashes = append(r.Crashes, ReportedCrash{
			Replica: c.Replica, SentMs: now.Sub(c.Sent).Milliseconds(), EndedMs: now.Sub(c.Ended).Milliseconds(),
		})
	}
	return r
}

// Receive takes in what a peer tells. passOn is set where this VM stands between that peer
// and others; elsewhere what is heard is not passed on, but for what this VM finds by it.
func (l *Ledger) Receive(from ids.VM, reports []Report, passOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for i := range reports {
		e := l.merge(&reports[i], from)
		if e == nil {
			continue
		}
		changed = true
		if passOn {
			e.copies = max(e.copies, passedCopies)
		}
	}
	if changed {
		l.judge(from)
	}
}

// merge takes one report in, and returns the entry that it changed; nil: none. The lock is
// held.
func (l *Ledger) merge(r *Report, from ids.VM) *entry {
	e, now := l.cases[r.Request], l.now()
	if e == nil && len(r.Crashes) == 0 || e != nil && r.Answers < e.answers {
		return nil // nothing is held against it here, or it was answered since
	}
	crashes := r.crashes(now)
	if e == nil && len(crashes) == 0 {
		return nil // all too old
	}
	if e == nil {
		e = l.entry(r.Request)
		e.answers = max(e.answers, r.Answers)
	}
	changed := false
	if r.Answers > e.answers {
		l.acquit(r.Request, e, r.Answers, from)
		changed = true
	}
	if r.Trials > e.trials {
		e.trials, e.triedAt, changed = r.Trials, now, true
	}
	for _, c := range crashes {
		changed = e.add(c) || changed
	}
	if r.Quarantined && !e.quarantined && len(e.crashes) > 0 {
		e.quarantined, changed = true, true
		l.logCase("quarantined", r.Request, from)
	}
	if !changed {
		return nil
	}
	e.changed = now
	return e
}

// crashes returns the crashes of a report that still count, on this VM's clock.
func (r *Report) crashes(now time.Time) []Crash {
	var out []Crash
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashes)] {
		if c.EndedMs >= 0 && c.SentMs >= c.EndedMs && c.SentMs < forgottenAfter.Milliseconds() {
			out = append(out, Crash{Replica: c.Replica, Sent: ago(now, c.SentMs), Ended: ago(now, c.EndedMs)})
		}
	}
	return out
}

func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
