package ratelimit

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// one is a limiter whose VM is the only one, and its clock.
type one struct {
	*Limiter
	at time.Time
}

func newOne(usual float64) *one {
	o := &one{at: time.Unix(1_000_000, 0)}
	o.Limiter = New(func() time.Time { return o.at })
	o.RecentRate = func(ids.Target) float64 { return usual }
	return o
}

// takes counts the requests that may be sent within a time, asked for every 10 ms.
func (o *one) takes(length time.Duration) (n int) {
	for range length / tick {
		o.at = o.at.Add(tick)
		if o.Take(target) {
			n++
		}
	}
	return n
}

// answers lets an answer to a request sent some time ago say something.
func (o *one) answers(inc ids.Incarnation, l Limit, ago time.Duration) bool {
	return o.ObserveResponse(target, inc, l, o.at.Add(-ago))
}

// TestLimitHolds keeps to a limit for as long as it is named, whichever answer comes first.
func TestLimitHolds(t *testing.T) {
	o := newOne(0)
	if !o.answers(1, PerSecond(2), 50*time.Millisecond) {
		t.Error("the first word of a limit is no news")
	}
	if n := o.takes(4 * time.Second); n < 7 || n > 10 {
		t.Errorf("%d requests in 4 s at 2 a second", n)
	}
	o.answers(1, Limit{}, time.Minute) // it was sent before the answer that named the limit
	if n := o.takes(2 * time.Second); n > 5 {
		t.Errorf("a late answer has ended the limit: %d requests in 2 s", n)
	}
	o.answers(1, Limit{Announced: true, Malformed: true}, 0)
	if n := o.takes(2 * time.Second); n < 3 || n > 5 {
		t.Errorf("a garbled limit has changed the one before: %d requests in 2 s", n)
	}
	if !o.answers(1, Limit{}, 0) || o.takes(time.Second) != 100 {
		t.Error("the end of the limit was not taken in")
	}
	o.answers(1, PerSecond(2), time.Minute) // a slow answer: in doubt it counts
	if n := o.takes(time.Second); n > 3 {
		t.Errorf("a limit named by a slow answer does not hold: %d requests in 1 s", n)
	}
	o.answers(2, Limit{}, 0)
	if o.takes(time.Second) != 100 {
		t.Error("a new incarnation has the limit of the one before")
	}
	o.answers(1, PerSecond(1), 0)
	if o.takes(time.Second) != 100 {
		t.Error("an incarnation that has ended names a limit")
	}
}

// TestLimitOfSentBefore counts what a target got before it named a limit: where that is more,
// nothing goes to it until it does not count any more.
func TestLimitOfSentBefore(t *testing.T) {
	o := newOne(8)
	o.answers(1, PerSecond(2), 0)
	if n := o.takes(window - 2*tick); n != 0 {
		t.Errorf("%d requests right after a target that got 8 a second named 2", n)
	}
	if n := o.takes(4 * time.Second); n < 7 {
		t.Errorf("%d requests in the 4 s after that", n)
	}
}

// TestLimitExtremes asks a target that takes nothing now and then, and bounds what is huge.
func TestLimitExtremes(t *testing.T) {
	o := newOne(0)
	o.answers(1, PerSecond(0), 0)
	if n := o.takes(time.Minute); n < 5 || n > 8 {
		t.Errorf("%d requests in a minute to a target that takes none", n)
	}
	for _, huge := range []float64{1e300, 2e6} {
		o.answers(1, PerSecond(huge), 0)
		if n := o.takes(time.Second); n != 100 {
			t.Errorf("%d of 100 requests with a limit of %g", n, huge)
		}
	}
}

// TestLimitHeard takes in words of peers: the latest counts, an incarnation that has ended
// does not, and only what this VM knows latest is told again.
func TestLimitHeard(t *testing.T) {
	o := newOne(0)
	word := func(inc ids.Incarnation, l Limit, age time.Duration) bool {
		return o.ApplyReport(Report{target, inc, l, age})
	}
	if !word(1, PerSecond(2), time.Second) || word(1, PerSecond(9), 2*time.Second) || len(o.Reports()) != 0 {
		t.Error("an older word counts, or a peer's is told again")
	}
	if word(1, Limit{}, time.Second-crossing/2) {
		t.Error("an end seen about as early as the limit counts")
	}
	o.answers(1, PerSecond(3), 0)
	if told := o.Reports(); len(told) != 1 || told[0].Limit.PerSecond != 3 {
		t.Errorf("told %+v", told)
	}
	o.at = o.at.Add(time.Second)
	if !word(1, Limit{}, 0) || len(o.Reports()) != 0 || o.takes(time.Second) != 100 {
		t.Error("the end that a peer saw does not count")
	}
	if word(0, PerSecond(1), 0) {
		t.Error("an incarnation that has ended names a limit")
	}
	o.answers(1, PerSecond(3), 0)
	o.answers(2, Limit{}, 0)
	if told := o.Reports(); len(told) != 1 || told[0].Limit.Announced || told[0].Incarnation != 2 {
		t.Errorf("of the end is told %+v", told)
	}
	o.at = o.at.Add(tellEnd + time.Second)
	if told := o.Reports(); len(told) != 0 {
		t.Errorf("long after the end %+v is told", told)
	}
}

// TestLimitStale lets each VM find out by itself, with an equal part, where nobody has said
// anything of a limit for long.
func TestLimitStale(t *testing.T) {
	o := newOne(0)
	o.Position = func(ids.Target) Position { return Position{Rank: 50, Live: 90, Listed: 90} }
	o.answers(1, PerSecond(9), 0)
	if n := o.takes(staleAfter - time.Second); n != 0 {
		t.Errorf("%d requests of a VM that does not send", n)
	}
	if n := o.takes(30 * time.Second); n < 2 || n > 3 {
		t.Errorf("%d requests in the 30 s after that, a tenth of a request a second are its part", n)
	}
}

// TestLimitReturn gives back what was not sent.
func TestLimitReturn(t *testing.T) {
	o := newOne(0)
	o.answers(1, PerSecond(1), 0)
	o.at = o.at.Add(10 * time.Second)
	if !o.Take(target) || o.Take(target) {
		t.Fatal("the bucket holds more than one request")
	}
	o.Return(target)
	if !o.Take(target) || o.Take(target) {
		t.Error("what was given back can't be taken again, or twice")
	}
}
