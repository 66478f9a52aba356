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

// fakeClock is a clock that tests set.
type fakeClock struct{ now time.Time }

func newClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) ledger() *Ledger { return NewLedger(nil, func() time.Time { return c.now }) }

// crash lets a replica end under a request, a second after the one before.
func (c *fakeClock) crash(l *Ledger, request, replica string) {
	c.now = c.now.Add(time.Second)
	l.Crashed(Finding{named(request), Crash{Replica: replicaNamed(replica), Sent: c.now.Add(-50 * time.Millisecond), Ended: c.now}})
}

func quarantined(l *Ledger, request string) bool {
	_, yes := l.Quarantined(named(request))
	return yes
}

// TestFingerprint tells requests apart that differ in any part, and no others.
func TestFingerprint(t *testing.T) {
	base := Request{Workspace: "w", Method: "POST", Host: "h", URI: "/p?q=1", Body: []byte("body")}
	same := base
	same.Body = slices.Clone(base.Body)
	if base.Fingerprint() != same.Fingerprint() {
		t.Error("repeats of a request have different fingerprints")
	}
	for name, change := range map[string]func(r *Request){
		"another caller with the same body": func(r *Request) { r.Workspace = "x" },
		"a byte of the body":                func(r *Request) { r.Body = []byte("bodY") },
		"the path":                          func(r *Request) { r.URI = "/p?q=2" },
		"the host":                          func(r *Request) { r.Host = "i" },
		"the method":                        func(r *Request) { r.Method = "PUT" },
		"the same bytes in other fields":    func(r *Request) { r.Workspace, r.Method = "wP", "OST" },
		"a body that was a path":            func(r *Request) { r.URI, r.Body = "", []byte("/p?q=1body") },
	} {
		other := base
		change(&other)
		if base.Fingerprint() == other.Fingerprint() {
			t.Errorf("%s does not change the fingerprint", name)
		}
	}
}

// TestQuarantineEnds follows one request: found, held, tried once, tried again when it is
// old, found again by a single crash, and forgotten.
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
		t.Error("tried at once")
	}
	c.now = c.now.Add(trialAfter)
	if l.Trial(named("q"), 1) {
		t.Error("tried by a VM behind another one")
	}
	if !l.Trial(named("q"), 0) || l.Trial(named("q"), 0) {
		t.Error("not tried just once")
	}
	c.now = c.now.Add(Retention)
	if quarantined(l, "q") {
		t.Error("still quarantined long after the last crash")
	}
	c.crash(l, "q", "r9")
	if !quarantined(l, "q") {
		t.Error("a further crash does not quarantine it anew")
	}
	c.now = c.now.Add(forgottenAfter)
	l.Sweep()
	if !l.Empty() {
		t.Error("not forgotten")
	}
}

// TestAnswerLiftsQuarantine lets a request that was quarantined beside others be answered.
func TestAnswerLiftsQuarantine(t *testing.T) {
	c := newClock()
	l, peer := c.ledger(), c.ledger()
	for i := range 3 {
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	old := l.DueReports(1)
	peer.Receive("a", old, false)
	if !quarantined(peer, "q") {
		t.Fatal("the peer does not hear of it")
	}
	l.Answered(named("q"))
	peer.Receive("a", l.DueReports(1), false)
	if quarantined(l, "q") || quarantined(peer, "q") {
		t.Error("still quarantined though it was answered")
	}
	peer.Receive("a", old, false) // late
	if quarantined(peer, "q") {
		t.Error("old news quarantine it again")
	}
	for i := range crashesIfAnswered - 1 {
		c.crash(l, "q", fmt.Sprint("s", i))
	}
	if quarantined(l, "q") {
		t.Error("a request that was answered is quarantined too early")
	}
	c.crash(l, "q", "last")
	if !quarantined(l, "q") {
		t.Errorf("not quarantined after %d crashes", crashesIfAnswered)
	}
	for i := range 3 {
		if l.Trial(named("q"), 0) {
			t.Errorf("tried again at once, time %d", i)
		}
		c.now = c.now.Add(trialAfter)
		if !l.Trial(named("q"), 0) {
			t.Errorf("a request that was answered before is not tried for the %d. time", i+1)
		}
	}
}

// TestStartsAgainUnknown crashes a target again and again that starts again under its name,
// before the VMs know of the new incarnation: each end counts, at all VMs, and once.
func TestStartsAgainUnknown(t *testing.T) {
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
				t.Fatalf("%d crashes are known after %d", n, i+1)
			}
		}
	}
	if !quarantined(a, "q") || !quarantined(b, "q") {
		t.Error("not quarantined")
	}
}

// TestLedgersAgree tells the same crashes in any order, twice, and by way of others.
func TestLedgersAgree(t *testing.T) {
	c := newClock()
	var all []*Ledger
	for range 4 {
		all = append(all, c.ledger())
	}
	for i := range 3 {
		c.crash(all[i], "q", fmt.Sprint("r", i))
	}
	var told [][]Report
	for _, l := range all[:3] {
		told = append(told, l.DueReports(3))
	}
	for i, l := range all {
		for _, from := range []int{2, 0, 2, 1, 0} {
			if from != i {
				l.Receive(ids.VM(fmt.Sprint(from)), told[from], false)
			}
		}
		if !quarantined(l, "q") {
			t.Errorf("ledger %d does not know", i)
		}
	}
}

// TestNewsOfOldCrashes tells a VM again and again of what another remembers: it is
// forgotten when it is old, wherever it was heard last.
func TestNewsOfOldCrashes(t *testing.T) {
	c := newClock()
	l, peer := c.ledger(), c.ledger()
	for i := range 3 {
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	for range 3 * int(forgottenAfter/time.Minute) {
		c.now = c.now.Add(time.Minute)
		peer.Receive("l", l.DueReports(1), true)
		l.Receive("peer", peer.DueReports(1), true)
		l.Sweep()
		peer.Sweep()
	}
	if !l.Empty() || !peer.Empty() {
		t.Error("two ledgers remind each other for ever")
	}
}

// TestRemembersAtMost fills a ledger with requests that crashed a replica each: what is
// quarantined stays, and no more is remembered than the bound.
func TestRemembersAtMost(t *testing.T) {
	c := newClock()
	l := c.ledger()
	for i := range 3 {
		c.crash(l, "q", fmt.Sprint("r", i))
	}
	for i := range 4 * maxCases {
		l.Crashed(Finding{named(fmt.Sprint("other", i)), Crash{Replica: Replica(i), Sent: c.now, Ended: c.now}})
	}
	if cases, _ := l.Counts(); cases > maxCases {
		t.Errorf("%d requests are remembered", cases)
	}
	if !quarantined(l, "q") {
		t.Error("a quarantined request was pushed out by others")
	}
	for i := range 4 * maxCrashes {
		c.crash(l, "q", fmt.Sprint("t", i))
	}
	if n := len(l.cases[named("q")].crashes); n > maxCrashes {
		t.Errorf("%d crashes are remembered", n)
	}
}

// TestBadNews hears reports that make no sense.
func TestBadNews(t *testing.T) {
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
		t.Error("reports without a crash that counts are remembered")
	}
}

// TestWatch breaks runs off at a replica that has ended, at one that goes on and at one that
// nobody can tell of: only the first is held against the requests, and one look serves all.
func TestWatch(t *testing.T) {
	for _, c := range []struct {
		state Liveness
		cases int
	}{{Ended, 2}, {Listening, 0}, {Unknown, 0}} {
		t.Run(c.state.String(), func(t *testing.T) {
			var looks atomic.Int64
			release := make(chan struct{})
			w := &Detector{Ledger: NewLedger(nil, nil), Check: func(context.Context, ids.Target, string) Liveness {
				looks.Add(1)
				<-release
				return c.state
			}}
			now := time.Now()
			guard := &Guard{Detector: w}
			for _, q := range []string{"one", "two", "one"} {
				call := guard.Call("id", Request{Body: []byte(q)})
				call.ReportBroken(Send{Target: "r", Incarnation: 1, Sent: now.Add(-time.Second), Broke: now}, false)
			}
			close(release)
			for end := time.Now().Add(time.Second); w.Ledger.Empty() && time.Now().Before(end) && c.cases > 0; {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			if n, _ := w.Ledger.Counts(); n != c.cases || looks.Load() != 1 {
				t.Errorf("%d requests are suspected after %d looks", n, looks.Load())
			}
		})
	}
}

// BenchmarkNothingCrashes is what a call with a body of 18 KB costs while nothing is
// remembered: a look before each send, and its fingerprint when it is answered.
func BenchmarkNothingCrashes(b *testing.B) {
	guard := &Guard{Detector: &Detector{Ledger: NewLedger(nil, nil)}}
	body := make([]byte, 18<<10)
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(body, uint64(i))
		call := guard.Call("id", Request{Workspace: "w", Method: "POST", Host: "h", URI: "/p", Body: body})
		if call.Refusal(true) != nil || call.RefusalAtSend(true) != nil {
			b.Fatal("refused")
		}
		call.Answered(http.StatusOK)
	}
}

// BenchmarkSomethingCrashed is what each call costs while requests are remembered: the
// fingerprint of a body of 18 KB, and the look-up.
func BenchmarkSomethingCrashed(b *testing.B) {
	l := NewLedger(nil, nil)
	l.Crashed(Finding{named("q"), Crash{Replica: 1, Ended: time.Now()}})
	body := make([]byte, 18<<10)
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(body, uint64(i))
		r := Request{Workspace: "w", Method: "POST", Host: "h", URI: "/p", Body: body}
		l.Quarantined(r.Fingerprint())
	}
}

// BenchmarkJudgeFull is what a crash costs a ledger that is full.
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
