// Package retry limits retries to a fraction of the requests, so that retries do not overload
// a failure domain that is already failing, and parses the Retry-After header.
package retry

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

// windowSlots is the number of slots in a window; counts are exact to one slot.
const windowSlots = 20

// Budget allows, in any sliding window, retries up to a fraction of the requests of that
// window, plus a burst. It counts over a whole window instead of refilling like a token
// bucket: when a failure domain fails, all calls in flight there are retried at once, and the
// requests of the window cover them. Safe for concurrent use.
type Budget struct {
	window time.Duration
	now    func() time.Time
	start  time.Time
	fleet  *ServiceBudgets // gives the burst; nil: it is constant

	mu    sync.Mutex
	ratio float64
	burst float64
	// Counts by slot; slot number n is at index n % len. Requests are summed over the last
	// windowSlots slots and retries over one slot more, so that rounding never allows more retries
	// than the exact window would.
	newest   int64
	requests [windowSlots + 1]int
	retries  [windowSlots + 1]float64 // also what was lent, and without what was borrowed
	// lent is what was lent in the current slot. It counts in the next slot, since its borrower spends it later than
	// it was lent.
	lent    float64
	loans   map[loanKey]lentLoan // that may still be returned
	shortAt time.Time            // when a retry was last refused although peers were asked for it
}

// Defaults: one retry for ten requests within ten seconds, plus a burst of ten.
const (
	DefaultRatio  = 0.1
	DefaultBurst  = 10
	DefaultWindow = 10 * time.Second
)

// NewBudget returns an unused budget. A nil now means clock.Now.
func NewBudget(ratio, burst float64, window time.Duration, now func() time.Time) *Budget {
	if now == nil {
		now = clock.Now
	}
	return &Budget{ratio: ratio, burst: burst, window: window, now: now, start: now()}
}

// Deposit counts one request, at its first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Source says which part of a budget pays for a retry.
type Source string

// Sources of retries.
const (
	FromRequests Source = "requests" // the fraction of the window's requests
	FromBurst    Source = "burst"
	FromPeers    Source = "peers" // in part, by what other VMs have lent
	Exhausted    Source = "none"  // the retry is not allowed
)

// Account is the state of a budget when a retry was asked for.
type Account struct {
	Source   Source
	Requests int     // in the window
	Retries  float64 // in the window, without the one that was asked for; what was lent counts, what was borrowed does not
	Burst    float64 // retries that the burst allows
	Borrowed float64 // part of the retry that other VMs have lent
	Lenders  []ids.VM
	// VMs is the number of VMs by which the burst is divided; zero: it is not, or this VM has no share.
	VMs int
	// Wait is why this VM has no share of the burst.
	Wait Wait
}

// Allowed reports whether the retry may be made.
func (a *Account) Allowed() bool { return a.Source != Exhausted }

// Withdraw takes one retry out of the budget. It returns false if the budget is empty.
func (b *Budget) Withdraw() bool {
	a := b.Spend()
	return a.Allowed()
}

// Spend does the same as Withdraw, and tells which part of the budget pays.
func (b *Budget) Spend() Account { return b.spendWith(0) }

// spendWith implements Spend with a part of the retry that other VMs have lent.
func (b *Budget) spendWith(borrowed float64) Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.advance()
	share := b.share()
	requests, retries := b.counts()
	a := Account{Source: Exhausted, Requests: requests, Retries: retries, Burst: share.Retries, VMs: share.VMs, Wait: share.Wait}
	fraction := b.ratio*float64(requests) - retries
	switch {
	case fraction >= 1:
		a.Source = FromRequests
	case fraction+share.Retries >= 1:
		a.Source = FromBurst
	case borrowed > 0 && fraction+share.Retries+borrowed >= enough:
		a.Source, a.Borrowed = FromPeers, borrowed
	default:
		return a
	}
	b.take(slot, 1-a.Borrowed, fraction, share.VMs)
	return a
}

// take records an amount as spent. fraction is what the requests allow. The caller holds mu.
func (b *Budget) take(slot int64, amount, fraction float64, vms int) {
	b.retries[slot] += amount
	if amount > fraction && b.fleet != nil && vms > 0 {
		b.fleet.spend(vms)
	}
}

// share returns the burst in force. The caller holds mu.
func (b *Budget) share() Share {
	if b.fleet == nil {
		return Share{Retries: b.burst}
	}
	return b.fleet.Share()
}

// SetBounds changes the ratio of retries to requests, and the burst.
func (b *Budget) SetBounds(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// Remaining returns how many retries are allowed now.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.remaining()
}

// remaining implements Remaining. The caller holds mu and has called advance.
func (b *Budget) remaining() float64 {
	requests, retries := b.counts()
	return b.ratio*float64(requests) + b.share().Retries - retries
}

// counts returns the requests and the retries of the window. The caller holds mu and has called advance.
func (b *Budget) counts() (requests int, retries float64) {
	retries = b.lent
	oldest := (b.newest + 1) % int64(len(b.requests))
	for i := range b.requests {
		retries += b.retries[i]
		if int64(i) != oldest {
			requests += b.requests[i]
		}
	}
	return requests, retries
}

// advance clears the slots that have expired and returns the index of the current one. The
// caller holds mu.
func (b *Budget) advance() int64 {
	n := int64(len(b.requests))
	number := int64(b.now().Sub(b.start) / (b.window / windowSlots))
	for i := max(b.newest+1, number-n+1); i <= number; i++ {
		b.requests[i%n], b.retries[i%n] = 0, 0
		if i == b.newest+1 {
			b.retries[i%n], b.lent = b.lent, 0
		}
	}
	if number > b.newest+n {
		b.lent = 0 // more than a window ago
	}
	if number > b.newest {
		b.newest = number
		b.forgetLoans()
	}
	return b.newest % n
}
