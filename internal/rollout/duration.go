package rollout

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// orderDuration estimates how long an engine occupies a slot until it has its weights; the time
// of failed orders counts, too. Orders in progress count as soon as they take longer than the
// mean. Safe for concurrent use.
type orderDuration struct {
	mu    sync.Mutex
	spent time.Duration            // total time of the recent orders that have ended
	tries float64                  // number of these orders
	done  float64                  // number of these orders that succeeded
	since map[ids.Target]time.Time // start of each order in progress
}

const (
	// initialMean is the estimate before the first order, and counts as one order: 0.4 to
	// 1 s to drain, 0.8 s to load, 0.2 s until the state is read. Measured orders took 1.6
	// to 2.5 s under light load.
	initialMean = 2 * time.Second
	// initialMeanBusy is the estimate where requests wait for at least waitBusy: 0.5 s more
	// for running requests to finish.
	initialMeanBusy = 2500 * time.Millisecond
	// initialMeanFull is the estimate where requests wait for at least waitFull: 1.5 s to
	// drain and as much for running requests to finish. Measured orders took 3 to 5 s under
	// overload.
	initialMeanFull = 4 * time.Second
	// minMean is below the duration of any order: a load alone takes 0.8 s.
	minMean = 500 * time.Millisecond
	// maxSample limits the weight of one order: an engine whose orders get lost repeatedly
	// must not speed up the orders to all others.
	maxSample = 6 * time.Second
	// meanWindow is roughly the number of recent orders in the mean.
	meanWindow = 16
)

// begin records the start of an order.
func (t *orderDuration) begin(id ids.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since == nil {
		t.since = map[ids.Target]time.Time{}
	}
	t.since[id] = now
}

// end records the end of an order. If the replica got no order, because it is unresponsive
// or already has the weights, the time it took is not a sample.
func (t *orderDuration) end(id ids.Target, now time.Time, ordered, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := min(now.Sub(t.since[id]), maxSample)
	delete(t.since, id)
	if !ordered {
		return
	}
	t.spent += took
	t.tries++
	if done {
		t.done++
	}
	if t.tries > meanWindow {
		t.spent, t.tries, t.done = t.spent/2, t.tries/2, t.done/2
	}
}

// mean returns the mean duration at now, between minMean and updateTimeout. wait is how
// long requests wait at the engines; it selects the initial estimate.
func (t *orderDuration) mean(now time.Time, wait time.Duration) time.Duration {
	first := initialMean
	switch {
	case wait >= waitFull:
		first = initialMeanFull
	case wait >= waitBusy:
		first = initialMeanBusy
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	spent, done := first+t.spent, 1+t.done
	ended := time.Duration(float64(spent) / done)
	for _, since := range t.since {
		if took := min(now.Sub(since), maxSample); took > ended {
			spent, done = spent+took, done+1
		}
	}
	return min(max(time.Duration(float64(spent)/done), minMean), updateTimeout)
}

// elapsed returns the mean age of the orders in progress.
func (t *orderDuration) elapsed(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	for _, since := range t.since {
		sum += now.Sub(since)
	}
	return sum / time.Duration(max(len(t.since), 1))
}
