package verdict

import (
	"math"
	"testing"
	"time"
)

// TestLevel checks that shares are max-min fair, add up to the capacity and are bounded only if the capacity is short.
func TestLevel(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		claims   []Claim
		want     float64
	}{
		{"enough", 10, []Claim{{Offered: 4}, {Offered: 5}}, -1},
		{"one asks for more", 10, []Claim{{Offered: 30}, {Offered: 2}}, 8},
		{"all ask for more", 9, []Claim{{Offered: 30}, {Offered: 40}, {Offered: 50}}, 3},
		{"several as one", 10, []Claim{{Offered: 20, Weight: 4}, {Offered: 50}}, 2},
		{"no capacity", 0, []Claim{{Offered: 1}}, 0},
		{"no claims", 1, nil, -1},
	} {
		if got := Level(c.capacity, c.claims); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: level %v, want %v", c.name, got, c.want)
		}
		sum, offered := 0.0, 0.0
		for _, claim := range c.claims {
			sum += Share(c.want, claim)
			offered += claim.Offered
		}
		if math.Abs(sum-min(c.capacity, offered)) > 1e-9 {
			t.Errorf("%s: the shares add up to %v, want %v", c.name, sum, min(c.capacity, offered))
		}
	}
}

// TestRetryAfter checks the bounds of Retry-After and that callers are spread.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name      string
		r         Return
		low, high time.Duration // for a jitter of 0 and of 1
	}{
		{"no spare capacity", Return{Left: 15 * time.Second, Spare: -1, Refused: 5}, 5 * time.Second, 4750 * time.Millisecond},
		{"spare capacity", Return{Left: 15 * time.Second, Excess: 500 * time.Millisecond, Spare: 2, Refused: 4}, 500 * time.Millisecond, 2500 * time.Millisecond},
		{"little refused", Return{Left: 15 * time.Second, Spare: 2}, minReturn, minReturn},
		{"little time left", Return{Left: 600 * time.Millisecond, Spare: 2, Refused: 4}, 200 * time.Millisecond, 200 * time.Millisecond},
		{"no time left", Return{Left: -time.Second}, 0, 0},
	} {
		for jitter, want := range map[float64]time.Duration{0: c.low, 1: c.high} {
			c.r.Jitter = jitter
			if got := RetryAfter(c.r); got != want {
				t.Errorf("%s, jitter %v: %v, want %v", c.name, jitter, got, want)
			}
		}
	}
}
