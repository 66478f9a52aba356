package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Services keeps one budget for each service, as this VM's share of one that all
// VMs have in common. Safe for concurrent use.
//
// In any window all VMs together make at most ratio retries a request plus
// burst: each VM counts only the requests that it took in itself, and its part of
// the burst is divided by how many VMs there are. A VM that is cut off keeps its
// part, so a partition can't raise the sum.
type Services struct {
	ratio  float64
	burst  float64
	window time.Duration
	vms    atomic.Int64

	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewServices returns budgets of ratio retries a request, and burst more over all
// VMs, in any window of time.
func NewServices(ratio, burst float64, window time.Duration) *Services {
	s := &Services{ratio: ratio, burst: burst, window: window, budgets: map[string]*Budget{}}
	s.vms.Store(1)
	return s
}

// SetVMs tells how many VMs share the budgets.
func (s *Services) SetVMs(n int) {
	if s.vms.Swap(int64(max(n, 1))) == int64(max(n, 1)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.budgets {
		b.SetBurst(s.share())
	}
}

func (s *Services) share() float64 { return s.burst / float64(s.vms.Load()) }

// Of returns a service's budget.
func (s *Services) Of(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = NewBudget(s.ratio, s.share(), s.window, nil)
		s.budgets[service] = b
	}
	return b
}
