package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// VMs exchange reports of their cases, since a request may reach any VM and each VM sees only a
// part of the crashes. A VM reports each change in several rounds, one for each call of
// DueReports, since messages get lost. It resends quarantined cases periodically, so that VMs that
// start, or were cut off, receive them.

const (
	// ownRounds is the number of rounds in which a VM reports what it saw itself. If all three
	// are lost, the report of the next crash makes up for it.
	ownRounds = 3
	// forwardedRounds is the number of rounds in which a VM forwards a report of a peer.
	forwardedRounds = 2
	// maxReported bounds the cases in one message. A case takes 22 bytes plus 16 per crash.
	maxReported = 24
	// resendsPerSecond bounds the resent cases that a VM receives from all peers together:
	// 0.7 KB/s with three crashes each.
	resendsPerSecond = 10
	// minResendPause is the minimum pause between two resent cases of one VM.
	minResendPause = 150 * time.Millisecond
)

// Report is one case in a message. Times are ages, since clocks differ.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Answers uint32
	Trials  uint32
	// Quarantined is set if a VM found that the request crashes replicas.
	Quarantined bool
	Crashes     []ReportedCrash
}

// ReportedCrash is one crash in a message.
type ReportedCrash struct {
	_       struct{} `cbor:",toarray"`
	Replica Replica
	SentMs  int64 // age of Crash.Sent
	EndedMs int64 // age of Crash.Ended
}

// DueReports returns the reports to send in this round. peers is the number of peers that
// receive them; it sets the pause between resent cases.
func (l *Ledger) DueReports(peers int) []Report {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Settle != nil {
		l.judge("") // evidence may have settled since it arrived
	}
	now := l.now()
	var due []Fingerprint
	for f, e := range l.cases {
		if e.roundsLeft > 0 {
			due = append(due, f)
		}
	}
	slices.SortFunc(due, func(a, b Fingerprint) int {
		return cmp.Or(-cmp.Compare(len(l.cases[a].crashes), len(l.cases[b].crashes)), bytes.Compare(a[:], b[:]))
	})
	due = due[:min(len(due), maxReported)]
	for _, f := range due {
		l.cases[f].roundsLeft--
	}
	if f, ok := l.nextResend(now, peers); ok && !slices.Contains(due, f) {
		due = append(due, f)
	}
	out := make([]Report, 0, len(due))
	for _, f := range due {
		out = append(out, l.cases[f].report(f, now))
	}
	return out
}

// ResendAll makes all quarantined cases due in the next round, for a peer that has started and
// knows of none.
func (l *Ledger) ResendAll() {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.listQuarantined() {
		l.cases[f].roundsLeft = max(l.cases[f].roundsLeft, 1)
	}
}

// Snapshot returns reports for a VM that has no cases: the quarantined ones first, then those
// with the most crashes, at most maxReported.
func (l *Ledger) Snapshot() []Report {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Collect(maps.Keys(l.cases))
	slices.SortFunc(all, func(a, b Fingerprint) int { return -l.cases[a].compare(l.cases[b]) })
	all = all[:min(len(all), maxReported)]
	out := make([]Report, 0, len(all))
	for _, f := range all {
		out = append(out, l.cases[f].report(f, l.now()))
	}
	return out
}

// Pending reports whether cases are due for their next round, apart from resends.
func (l *Ledger) Pending() bool {
	if l.Empty() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.cases {
		if e.roundsLeft > 0 {
			return true
		}
	}
	return false
}

// nextResend returns the quarantined request to resend next, in cyclic order; false if there is
// none or the pause is not over. The caller holds l.mu.
func (l *Ledger) nextResend(now time.Time, peers int) (Fingerprint, bool) {
	if now.Before(l.resendAt) {
		return Fingerprint{}, false
	}
	all := l.listQuarantined()
	if len(all) == 0 {
		return Fingerprint{}, false
	}
	l.resendAt = now.Add(max(minResendPause, time.Duration(peers)*time.Second/resendsPerSecond))
	i := slices.IndexFunc(all, func(f Fingerprint) bool { return bytes.Compare(f[:], l.lastResent[:]) > 0 })
	l.lastResent = all[max(i, 0)]
	return l.lastResent, true
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

// Receive merges the reports of a peer. forward must be set if this VM forwards messages between
// that peer and others. Otherwise it reports only what it finds itself with the new evidence.
func (l *Ledger) Receive(from ids.VM, reports []Report, forward bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for i := range reports {
		e := l.merge(&reports[i], from)
		if e == nil {
			continue
		}
		changed = true
		if forward {
			e.roundsLeft = max(e.roundsLeft, forwardedRounds)
		}
	}
	if changed {
		l.judge(from)
	}
}

// merge merges one report, and returns the entry that it changed, or nil if there is none. The
// caller holds l.mu.
func (l *Ledger) merge(r *Report, from ids.VM) *entry {
	if l.parts && (r.Answers > 0 || l.isSound(r.Request)) {
		return l.mergeSound(r, from)
	}
	e, now := l.cases[r.Request], l.now()
	if e == nil && len(r.Crashes) == 0 || e != nil && r.Answers < e.answers {
		return nil // no evidence against the request, or it has been answered since
	}
	crashes := r.crashes(now)
	if e == nil && len(crashes) == 0 {
		return nil // all crashes are too old or invalid
	}
	if e == nil {
		e = l.entry(r.Request)
		e.answers = max(e.answers, r.Answers)
	}
	changed := false
	if r.Answers > e.answers {
		l.clear(r.Request, e, r.Answers, from)
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

// mergeSound merges a report on a part that was answered, as the peer or this VM knows. If the peer does not know,
// this VM reports it. It returns the entry that it changed, or nil if there is none. The caller holds l.mu.
func (l *Ledger) mergeSound(r *Report, from ids.VM) *entry {
	l.remember(r.Request)
	e := l.cases[r.Request]
	if e == nil && r.Answers > 0 {
		return nil // this VM holds nothing against it
	}
	known := e != nil && e.answers > 0
	if e == nil {
		e = l.entry(r.Request)
	}
	if len(e.crashes) > 0 || e.answers == 0 {
		l.clear(r.Request, e, max(r.Answers, 1), from)
	}
	switch {
	case r.Answers == 0 && e.roundsLeft == 0:
		e.roundsLeft = ownRounds
	case known:
		return nil
	}
	e.changed = l.now()
	return e
}

// crashes returns the valid crashes of a report that are not too old, in this VM's time.
func (r *Report) crashes(now time.Time) []Crash {
	var out []Crash
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashes)] {
		if c.EndedMs >= 0 && c.SentMs >= c.EndedMs && c.SentMs < evictAfter.Milliseconds() {
			out = append(out, Crash{Replica: c.Replica, Sent: ago(now, c.SentMs), Ended: ago(now, c.EndedMs)})
		}
	}
	return out
}

func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
