package ratelimit

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// testLimiter is the limiter of a fleet of one VM, with its clock.
type testLimiter struct {
	*Limiter
	at time.Time
}

func newTestLimiter(recentRate float64) *testLimiter {
	o := &testLimiter{at: time.Unix(1_000_000, 0)}
	o.Limiter = New(func() time.Time { return o.at })
	o.RecentRate = func(ids.Target) float64 { return recentRate }
	return o
}

// takes returns how many requests may be sent within length at one try every 10 ms.
func (o *testLimiter) takes(length time.Duration) (n int) {
	for range length / tick {
		o.at = o.at.Add(tick)
		if o.Take(target) {
			n++
		}
	}
	return n
}

// observe records a response with limit l to a request sent ago before now.
func (o *testLimiter) observe(inc ids.Incarnation, l Limit, ago time.Duration) bool {
	return o.ObserveResponse(target, inc, l, o.at.Add(-ago))
}

// TestLimitUntilEnd checks that a limit holds for as long as it is announced, in whatever order
// responses arrive.
func TestLimitUntilEnd(t *testing.T) {
	o := newTestLimiter(0)
	if !o.observe(1, PerSecond(2), 50*time.Millisecond) {
		t.Error("the first announcement of a limit is not reported as a change")
	}
	if n := o.takes(4 * time.Second); n < 7 || n > 10 {
		t.Errorf("%d requests in 4 s at 2 requests/s, want 7 to 10", n)
	}
	o.observe(1, Limit{}, time.Minute) // sent before the response that announced the limit
	if n := o.takes(2 * time.Second); n > 5 {
		t.Errorf("a late response ended the limit: %d requests in 2 s, want at most 5", n)
	}
	o.observe(1, Limit{Announced: true, Malformed: true}, 0)
	if n := o.takes(2 * time.Second); n < 3 || n > 5 {
		t.Errorf("a malformed limit changed the previous one: %d requests in 2 s, want 3 to 5", n)
	}
	if !o.observe(1, Limit{}, 0) || o.takes(time.Second) != 100 {
		t.Error("the end of the limit was ignored")
	}
	o.observe(1, PerSecond(2), time.Minute) // a slow response: it may be current, so it counts
	if n := o.takes(time.Second); n > 3 {
		t.Errorf("a limit announced by a slow response does not hold: %d requests in 1 s, want at most 3", n)
	}
	o.observe(2, Limit{}, 0)
	if o.takes(time.Second) != 100 {
		t.Error("a new incarnation has the limit of the previous one")
	}
	o.observe(1, PerSecond(1), 0)
	if o.takes(time.Second) != 100 {
		t.Error("a limit of an ended incarnation holds")
	}
}

// TestEarlierRequestsCount checks that requests before the announcement count: if they exceeded
// the limit, nothing is sent until countWindow has passed.
func TestEarlierRequestsCount(t *testing.T) {
	o := newTestLimiter(8)
	o.observe(1, PerSecond(2), 0)
	if n := o.takes(countWindow - 2*tick); n != 0 {
		t.Errorf("%d requests right after a target that received 8 requests/s announced 2, want none", n)
	}
	if n := o.takes(4 * time.Second); n < 7 {
		t.Errorf("%d requests in the 4 s after that, want at least 7", n)
	}
}

// TestLimitExtremes checks that a target that announces 0 still gets a request now and then, and
// that huge limits are clamped.
func TestLimitExtremes(t *testing.T) {
	o := newTestLimiter(0)
	o.observe(1, PerSecond(0), 0)
	if n := o.takes(time.Minute); n < 5 || n > 8 {
		t.Errorf("%d requests in a minute to a target with a limit of 0, want 5 to 8", n)
	}
	for _, huge := range []float64{1e300, 2e6} {
		o.observe(1, PerSecond(huge), 0)
		if n := o.takes(time.Second); n != 100 {
			t.Errorf("%d of 100 requests with a limit of %g, want all", n, huge)
		}
	}
}

// TestPeerReports checks that the latest report counts, that an ended incarnation does not, and
// that a VM reports only what it has from the target itself.
func TestPeerReports(t *testing.T) {
	o := newTestLimiter(0)
	apply := func(inc ids.Incarnation, l Limit, age time.Duration) bool {
		return o.ApplyReport(Report{target, inc, l, age})
	}
	if !apply(1, PerSecond(2), time.Second) || apply(1, PerSecond(9), 2*time.Second) || len(o.Reports()) != 0 {
		t.Error("an older report counts, or the limit of a peer is reported again")
	}
	if apply(1, Limit{}, time.Second-maxTransit/2) {
		t.Error("an end observed at about the same time as the limit counts")
	}
	o.observe(1, PerSecond(3), 0)
	if reports := o.Reports(); len(reports) != 1 || reports[0].Limit.PerSecond != 3 {
		t.Errorf("reports %+v, want one of 3 requests/s", reports)
	}
	o.at = o.at.Add(time.Second)
	if !apply(1, Limit{}, 0) || len(o.Reports()) != 0 || o.takes(time.Second) != 100 {
		t.Error("the end that a peer observed does not count")
	}
	if apply(0, PerSecond(1), 0) {
		t.Error("a report on an ended incarnation counts")
	}
	o.observe(1, PerSecond(3), 0)
	o.observe(2, Limit{}, 0)
	if reports := o.Reports(); len(reports) != 1 || reports[0].Limit.Announced || reports[0].Incarnation != 2 {
		t.Errorf("reports %+v, want the end by incarnation 2", reports)
	}
	o.at = o.at.Add(reportEndFor + time.Second)
	if reports := o.Reports(); len(reports) != 0 {
		t.Errorf("reports %+v after reportEndFor, want none", reports)
	}
}

// TestStaleLimit checks that each VM probes the target with an equal share if no VM has confirmed
// the limit for long.
func TestStaleLimit(t *testing.T) {
	o := newTestLimiter(0)
	o.Position = func(ids.Target) Position { return Position{Rank: 50, Live: 90, Listed: 90} }
	o.observe(1, PerSecond(9), 0)
	if n := o.takes(staleAfter - time.Second); n != 0 {
		t.Errorf("%d requests of a VM that is not a sender, want none", n)
	}
	if n := o.takes(30 * time.Second); n < 2 || n > 3 {
		t.Errorf("%d requests in the 30 s after that, want 2 or 3: its share is 0.1 requests/s", n)
	}
}

// TestReturnUnsent checks that the credit of a request that was not sent is returned.
func TestReturnUnsent(t *testing.T) {
	o := newTestLimiter(0)
	o.observe(1, PerSecond(1), 0)
	o.at = o.at.Add(10 * time.Second)
	if !o.Take(target) || o.Take(target) {
		t.Fatal("the bucket holds more than one request")
	}
	o.Return(target)
	if !o.Take(target) || o.Take(target) {
		t.Error("returned credit cannot be taken again, or can be taken twice")
	}
}
