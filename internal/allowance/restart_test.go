package allowance

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// All VMs of a small fleet were killed twice within 1.4 s, and some of them once more, while
// callers asked a workspace for ten times its allowance: 106 calls ran within 3 s, 103 are
// tolerated. What callers ask is a sum that forgets within half a second, and of a VM that has
// just started it held only what had come since: each VM took demand that had been there all the
// time for a tenth of what it was, and let in several times its part. What the VMs went by, of
// 220 calls a second that were asked:
//
//	{"vm":"vm2","event":"over-allowance","demand":9,"reserved":0.75,"time":"...11.552Z"}
//	{"vm":"vm2","event":"over-allowance","demand":117,"reserved":0.25,"time":"...12.506Z"}
//	{"vm":"vm2","event":"over-allowance","demand":226,"reserved":0,"time":"...13.215Z"}

// A workspace of a small fleet, as its operators bound it: a rate, a second of it as burst, a
// tenth and three quarters of a second of the rate as tolerance, in windows of 3 s.
var smallBounds = Bounds{Window: 3 * time.Second, Excess: 0.1, Slack: 0.75 * rate}

// smallWay is the limiter under the bounds of the small fleet.
type smallWay struct{ limiterWay }

func newSmallWay(vm int, now func() time.Time) way {
	return &smallWay{limiterWay{New(nameOf(vm), now)}}
}

func (w *smallWay) limit(l Limit) {
	w.l.SetLimits(map[ids.Workspace]Limit{"w": smallBounds.Limit(l.Rate, l.Burst)})
}

// killedAgain plays four VMs that are all killed five times in a row, each back after a while,
// and returns in how many of 20 seeds the workspace used more than is tolerated, and the most
// that it used as a part of that.
func killedAgain(pause, down time.Duration) (over int, most float64) {
	p := basic()
	p.vms, p.mean = 4, rate/20
	p.demand = spread(4, func(t time.Duration) float64 { return map[bool]float64{true: 12 * rate, false: usual}[t >= hotFrom] })
	p.down = func(vm int, t time.Duration) bool {
		since := t - hotFrom - 2*time.Second - time.Duration(vm)*50*time.Millisecond
		return since >= 0 && since < 5*pause && since%pause < down
	}
	allowed := rate*smallBounds.Window.Seconds() + rate
	tolerated := allowed*(1+smallBounds.Excess) + smallBounds.Slack
	for seed := range uint64(20) {
		used := run(p, seed, newSmallWay).most(smallBounds.Window) / tolerated
		most = max(most, used)
		if used > 1 {
			over++
		}
	}
	return over, most
}

func checkKilledAgain(t *testing.T, down time.Duration) {
	for _, pause := range []time.Duration{700 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1600 * time.Millisecond} {
		over, most := killedAgain(pause, down)
		t.Logf("killed every %v: %.2f of what is tolerated at most", pause, most)
		if over > 0 {
			t.Errorf("killed every %v, back after %v: over what is tolerated in %d of 20 seeds, up to %.2f of it", pause, down, over, most)
		}
	}
}

// TestKilledAgainAndAgain has the VMs back after 400 ms.
func TestKilledAgainAndAgain(t *testing.T) { checkKilledAgain(t, 400*time.Millisecond) }

// TestKilledAndBackAtOnce has them back after 100 ms.
func TestKilledAndBackAtOnce(t *testing.T) { checkKilledAgain(t, 100*time.Millisecond) }
