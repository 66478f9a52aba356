package quarantine

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// fakeClock is a clock that a test advances.
type fakeClock struct{ now time.Time }

func newClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) ledger() *Ledger { return NewLedger(nil, func() time.Time { return c.now }) }

// crash advances the clock by a second and records the crash of a replica under a request.
func (c *fakeClock) crash(l *Ledger, request, replica string) {
	c.now = c.now.Add(time.Second)
	l.Crashed(Finding{named(request), Crash{Replica: replicaNamed(replica), Sent: c.now.Add(-50 * time.Millisecond), Ended: c.now}})
}

func quarantined(l *Ledger, request string) bool {
	_, yes := l.Quarantined(named(request))
	return yes
}

// TestFingerprint checks that requests have the same fingerprint if and only if all their parts
// are equal.
func TestFingerprint(t *testing.T) {
	base := Request{Workspace: "w", Method: "POST", Host: "h", URI: "/p?q=1", Body: [][]byte{[]byte("body")}}
	same := base
	same.Body = slices.Clone(base.Body)
	if base.Fingerprint() != same.Fingerprint() {
		t.Error("repeats of a request have different fingerprints")
	}
	for name, change := range map[string]func(r *Request){
		"another caller with the same body": func(r *Request) { r.Workspace = "x" },
		"a byte of the body":                func(r *Request) { r.Body = [][]byte{[]byte("bodY")} },
		"the path":                          func(r *Request) { r.URI = "/p?q=2" },
		"the host":                          func(r *Request) { r.Host = "i" },
		"the method":                        func(r *Request) { r.Method = "PUT" },
		"the same bytes in other fields":    func(r *Request) { r.Workspace, r.Method = "wP", "OST" },
		"a body that was a path":            func(r *Request) { r.URI, r.Body = "", [][]byte{[]byte("/p?q=1body")} },
	} {
		other := base
		change(&other)
		if base.Fingerprint() == other.Fingerprint() {
			t.Errorf("%s does not change the fingerprint", name)
		}
	}
}

// TestQuarantineEnds follows one request: quarantined after three crashes, one trial, free
// after Retention, quarantined again by a single crash, and dropped.
func TestQuarantineEnds(t *testing.T) {
	c := newClock()
	l := c.ledger()
	for i := range 3 {
		if quarantined(l, "q") {
			t.Fatalf("quarantined after %d crashes", i)
		}
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	if !quarantined(l, "q") {
		t.Fatal("not quarantined after three crashes")
	}
	if l.Trial(named("q"), 0) {
		t.Error("a trial is allowed right after the last crash")
	}
	c.now = c.now.Add(trialAfter)
	if l.Trial(named("q"), 1) {
		t.Error("a trial is allowed at the second VM as early as at the first")
	}
	if !l.Trial(named("q"), 0) || l.Trial(named("q"), 0) {
		t.Error("not exactly one trial is allowed")
	}
	c.now = c.now.Add(Retention)
	if quarantined(l, "q") {
		t.Error("still quarantined when Retention has passed since the last crash")
	}
	c.crash(l, "q", "r9")
	if !quarantined(l, "q") {
		t.Error("another crash does not quarantine the request again")
	}
	c.now = c.now.Add(evictAfter)
	l.Sweep()
	if !l.Empty() {
		t.Error("not dropped after evictAfter")
	}
}

// TestAnswerLiftsQuarantine checks that an answer lifts the quarantine at all VMs, that outdated
// reports do not restore it, and that the request then needs crashesIfAnswered crashes and gets
// any number of trials.
func TestAnswerLiftsQuarantine(t *testing.T) {
	c := newClock()
	l, peer := c.ledger(), c.ledger()
	for i := range 3 {
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	old := l.DueReports(1)
	peer.Receive("a", old, false)
	if !quarantined(peer, "q") {
		t.Fatal("the report does not quarantine the request at the peer")
	}
	l.Answered(named("q"))
	peer.Receive("a", l.DueReports(1), false)
	if quarantined(l, "q") || quarantined(peer, "q") {
		t.Error("still quarantined though the request was answered")
	}
	peer.Receive("a", old, false) // late
	if quarantined(peer, "q") {
		t.Error("an outdated report quarantines the request again")
	}
	for i := range crashesIfAnswered - 1 {
		c.crash(l, "q", fmt.Sprint("s", i))
	}
	if quarantined(l, "q") {
		t.Errorf("quarantined after %d crashes though it was answered before", crashesIfAnswered-1)
	}
	c.crash(l, "q", "last")
	if !quarantined(l, "q") {
		t.Errorf("not quarantined after %d crashes", crashesIfAnswered)
	}
	for i := range 3 {
		if l.Trial(named("q"), 0) {
			t.Errorf("trial %d is allowed right after the one before", i)
		}
		c.now = c.now.Add(trialAfter)
		if !l.Trial(named("q"), 0) {
			t.Errorf("trial %d of a request that was answered before is not allowed", i+1)
		}
	}
}

// TestCrashesOfRestartedTargetCount crashes a target that restarts, repeatedly and before the VMs
// know its new incarnation. All VMs must count each crash exactly once.
func TestCrashesOfRestartedTargetCount(t *testing.T) {
	c := newClock()
	a, b := c.ledger(), c.ledger()
	for i, l := range []*Ledger{a, b, a} {
		c.crash(l, "q", "same")
		report := l.DueReports(1)
		for _, other := range []*Ledger{a, b} {
			c.now = c.now.Add(20 * time.Millisecond)
			other.Receive("p", report, false)
			other.Receive("p", report, false)
		}
		for _, l := range []*Ledger{a, b} {
			if n := len(l.cases[named("q")].crashes); n != i+1 {
				t.Fatalf("the ledger has %d crashes, want %d", n, i+1)
			}
		}
	}
	if !quarantined(a, "q") || !quarantined(b, "q") {
		t.Error("not quarantined at both VMs after three crashes")
	}
}

// TestLateReportIsNoFurtherCrash reports one crash in several rounds, whose messages arrive up to a
// second late: each VM must count one crash. It guards against requests that were quarantined after
// two crashes since a report which came over 100 ms late counted as a crash of the restarted target.
func TestLateReportIsNoFurtherCrash(t *testing.T) {
	c := newClock()
	a, b := c.ledger(), c.ledger()
	c.crash(a, "q", "same")
	for range ownRounds {
		report := a.DueReports(1)
		for range 4 {
			c.now = c.now.Add(250 * time.Millisecond)
			b.Receive("a", report, true)
			a.Receive("b", b.DueReports(1), true)
		}
	}
	for name, l := range map[string]*Ledger{"a": a, "b": b} {
		if n := len(l.cases[named("q")].crashes); n != 1 {
			t.Errorf("VM %s counts %d crashes, want 1", name, n)
		}
	}
}

// TestLedgersAgree sends the same reports in any order and repeatedly to several ledgers.
func TestLedgersAgree(t *testing.T) {
	c := newClock()
	var all []*Ledger
	for range 4 {
		all = append(all, c.ledger())
	}
	for i := range 3 {
		c.crash(all[i], "q", fmt.Sprint("r", i))
	}
	var reports [][]Report
	for _, l := range all[:3] {
		reports = append(reports, l.DueReports(3))
	}
	for i, l := range all {
		for _, from := range []int{2, 0, 2, 1, 0} {
			if from != i {
				l.Receive(ids.VM(fmt.Sprint(from)), reports[from], false)
			}
		}
		if !quarantined(l, "q") {
			t.Errorf("ledger %d does not quarantine the request", i)
		}
	}
}

// TestPeersDoNotRenewOldCrashes lets two ledgers exchange reports continuously. Both must drop a
// case when it is old, though each receives reports of it from the other.
func TestPeersDoNotRenewOldCrashes(t *testing.T) {
	c := newClock()
	l, peer := c.ledger(), c.ledger()
	for i := range 3 {
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	for range 3 * int(evictAfter/time.Minute) {
		c.now = c.now.Add(time.Minute)
		peer.Receive("l", l.DueReports(1), true)
		l.Receive("peer", peer.DueReports(1), true)
		l.Sweep()
		peer.Sweep()
	}
	if !l.Empty() || !peer.Empty() {
		t.Error("two ledgers keep renewing each other's cases")
	}
}

// TestLedgerIsBounded adds more requests with a crash than a ledger holds. It must keep the
// quarantined request and stay within maxCases and maxCrashes.
func TestLedgerIsBounded(t *testing.T) {
	c := newClock()
	l := c.ledger()
	for i := range 3 {
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	for i := range 4 * maxCases {
		l.Crashed(Finding{named(fmt.Sprint("other", i)), Crash{Replica: Replica(i), Sent: c.now, Ended: c.now}})
	}
	if cases, _ := l.Counts(); cases > maxCases {
		t.Errorf("the ledger has %d cases, allowed are %d", cases, maxCases)
	}
	if !quarantined(l, "q") {
		t.Error("a quarantined request was evicted")
	}
	for i := range 4 * maxCrashes {
		c.crash(l, "q", fmt.Sprint("t", i))
	}
	if n := len(l.cases[named("q")].crashes); n > maxCrashes {
		t.Errorf("the ledger has %d crashes of a request, allowed are %d", n, maxCrashes)
	}
}

// TestInvalidReports checks that a ledger ignores reports without a valid crash.
func TestInvalidReports(t *testing.T) {
	c := newClock()
	l := c.ledger()
	many := make([]ReportedCrash, 1000)
	for i := range many {
		many[i] = ReportedCrash{Replica: Replica(i), SentMs: int64(i), EndedMs: -1}
	}
	l.Receive("p", []Report{
		{Request: named("a"), Crashes: []ReportedCrash{{Replica: 1, SentMs: 1, EndedMs: 5}}},
		{Request: named("b"), Crashes: []ReportedCrash{{Replica: 1, SentMs: 1 << 60, EndedMs: 1 << 60}}},
		{Request: named("c"), Crashes: many},
		{Request: named("d"), Quarantined: true, Answers: 7},
	}, true)
	if !l.Empty() {
		t.Error("the ledger has cases without a valid crash")
	}
}

// TestDetector breaks runs at a replica that has ended, at one that still listens and at one in
// an unknown state. Only the first counts against the requests, and one check serves all runs.
func TestDetector(t *testing.T) {
	for _, c := range []struct {
		state Liveness
		cases int
	}{{Ended, 2}, {Listening, 0}, {Unknown, 0}} {
		t.Run(c.state.String(), func(t *testing.T) {
			var checks atomic.Int64
			release := make(chan struct{})
			d := &Detector{Ledger: NewLedger(nil, nil), Check: func(context.Context, ids.Target, string) Liveness {
				checks.Add(1)
				<-release
				return c.state
			}}
			now := time.Now()
			guard := &Guard{Detector: d}
			for _, q := range []string{"one", "two", "one"} {
				call := guard.Call("id", Request{Body: [][]byte{[]byte(q)}})
				call.ReportBroken(Send{Target: "r", Incarnation: 1, Sent: now.Add(-time.Second), Broke: now}, false)
			}
			close(release)
			for end := time.Now().Add(time.Second); d.Ledger.Empty() && time.Now().Before(end) && c.cases > 0; {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			if n, _ := d.Ledger.Counts(); n != c.cases || checks.Load() != 1 {
				t.Errorf("the ledger has %d cases after %d checks, want %d after 1", n, checks.Load(), c.cases)
			}
		})
	}
}

// BenchmarkNothingCrashes measures a call with a body of 18 KB while the ledger is empty: a check
// before each send, and its fingerprint when it is answered.
func BenchmarkNothingCrashes(b *testing.B) {
	guard := &Guard{Detector: &Detector{Ledger: NewLedger(nil, nil)}}
	body := make([]byte, 18<<10)
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(body, uint64(i))
		call := guard.Call("id", Request{Workspace: "w", Method: "POST", Host: "h", URI: "/p", Body: [][]byte{body}})
		if call.Refusal(true) != nil || call.RefusalAtSend(true) != nil {
			b.Fatal("refused")
		}
		call.Answered(http.StatusOK)
	}
}

// BenchmarkSomethingCrashed measures a call while the ledger has cases: the fingerprint of a body
// of 18 KB, and the look-up.
func BenchmarkSomethingCrashed(b *testing.B) {
	l := NewLedger(nil, nil)
	l.Crashed(Finding{named("q"), Crash{Replica: 1, Ended: time.Now()}})
	body := make([]byte, 18<<10)
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(body, uint64(i))
		r := Request{Workspace: "w", Method: "POST", Host: "h", URI: "/p", Body: [][]byte{body}}
		l.Quarantined(r.Fingerprint())
	}
}

// BenchmarkJudgeFull measures recording a crash in a full ledger.
func BenchmarkJudgeFull(b *testing.B) {
	c := newClock()
	l := c.ledger()
	for i := range maxCases {
		c.crash(l, fmt.Sprint(i), fmt.Sprint("r", i))
	}
	for i := 0; b.Loop(); i++ {
		l.Crashed(Finding{named("0"), Crash{Replica: Replica(1000 + i), Sent: c.now, Ended: c.now}})
	}
}
