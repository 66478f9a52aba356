package retry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// ServiceBudgets holds one budget per service: this VM's part of a budget for the whole
// fleet. Safe for concurrent use.
//
// In any window all VMs together make at most ratio retries per request, plus burst. Each process
// counts only the requests that it received itself, and the burst is divided between the VMs (divider).
// Neither restarts nor partitions raise the sum.
type ServiceBudgets struct {
	// Lenders are other VMs that may lend retries. Set before the first call; without them nothing is borrowed.
	Lenders Lenders

	window time.Duration
	now    func() time.Time

	loansMu   sync.Mutex
	question  uint64 // number of the last one; starts at random, since answers to an earlier process may come late
	questions map[uint64]question

	mu      sync.Mutex
	ratio   float64
	burst   float64
	divider *divider
	budgets map[string]*Budget
}

// NewServiceBudgets returns budgets of ratio retries per request, plus burst over all VMs, in
// any window. listTTL is the largest age of the list of VMs by which this VM spends of the burst. A nil now means clock.Now.
func NewServiceBudgets(vm ids.VM, ratio, burst float64, window, listTTL time.Duration, now func() time.Time) *ServiceBudgets {
	if now == nil {
		now = clock.Now
	}
	return &ServiceBudgets{
		window: window, now: now, ratio: ratio, burst: burst, budgets: map[string]*Budget{},
		divider:  newDivider(vm, window+loanTime(window), listTTL, now()), // loans are spent later than they are lent
		question: rand.Uint64(), questions: map[uint64]question{},
	}
}

// SetList applies a reading of the list of VMs.
func (s *ServiceBudgets) SetList(l List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.setList(l, s.now())
}

// ConfirmList records that nothing has changed on the list up to a revision, as proved by a call
// that was sent at a time.
func (s *ServiceBudgets) ConfirmList(rev objectapi.Revision, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.confirm(rev, sent)
}

// EntryCreated records that this process has created this VM's entry, which did not exist before.
func (s *ServiceBudgets) EntryCreated(rev objectapi.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.create(rev)
}

// Statement returns what to tell the other VMs; nil: nothing. A nil receiver says nothing.
func (s *ServiceBudgets) Statement() *Statement {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.divider.statement(s.now())
}

// Receive applies the statement of another VM. It does nothing if the receiver or the statement is nil.
func (s *ServiceBudgets) Receive(vm ids.VM, st *Statement) {
	if s == nil || st == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.receive(vm, st, s.now())
}

// Share is this VM's part of the burst, for each service.
type Share struct {
	Retries float64 // in each window
	VMs     int     // by which the burst is divided; zero: this VM has no share
	Wait    Wait    // why not
}

// Share returns this VM's part of the burst.
func (s *ServiceBudgets) Share() Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shareAt(s.now())
}

// shareAt implements Share. The caller holds mu.
func (s *ServiceBudgets) shareAt(now time.Time) Share {
	n, wait := s.divider.count(now)
	if n == 0 {
		return Share{Wait: wait}
	}
	return Share{Retries: s.burst / float64(n), VMs: n}
}

// spend records that a budget has spent part of the burst.
func (s *ServiceBudgets) spend(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.spend(count, s.now())
}

// SetBounds changes the ratio, and the burst of the whole fleet.
func (s *ServiceBudgets) SetBounds(ratio, burst float64) {
	s.mu.Lock()
	s.ratio, s.burst = ratio, burst
	budgets := slices.Collect(maps.Values(s.budgets))
	s.mu.Unlock()
	for _, b := range budgets {
		b.SetBounds(ratio, 0)
	}
}

// Of returns the budget of a service, and creates it at first use.
func (s *ServiceBudgets) Of(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = NewBudget(s.ratio, 0, s.window, s.now)
		b.fleet = s
		s.budgets[service] = b
	}
	return b
}
