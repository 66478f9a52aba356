package retry

import (
	"sync"
	"time"
)

// ServiceBudgets keeps one budget for each service, as this VM's share of one that all
// VMs have in common. Safe for concurrent use.
//
// In any window all VMs together make at most ratio retries a request plus
// burst: each VM counts only the requests that it took in itself, and its part of
// the burst is divided by how many VMs there are. A VM that is cut off keeps its
// part, so a partition can't raise the sum.
type ServiceBudgets struct {
	window time.Duration

	mu      sync.Mutex
	ratio   float64
	burst   float64
	vms     int
	budgets map[string]*Budget
}

// NewServiceBudgets returns budgets of ratio retries a request, and burst more over all
// VMs, in any window of time.
func NewServiceBudgets(ratio, burst float64, window time.Duration) *ServiceBudgets {
	return &ServiceBudgets{ratio: ratio, burst: burst, window: window, vms: 1, budgets: map[string]*Budget{}}
}

// SetVMs tells how many VMs share the budgets.
func (s *ServiceBudgets) SetVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = max(n, 1)
	s.update()
}

// SetBounds changes what is allowed.
func (s *ServiceBudgets) SetBounds(ratio, burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio, s.burst = ratio, burst
	s.update()
}

// update passes the bounds on to the budgets. The lock is held.
func (s *ServiceBudgets) update() {
	for _, b := range s.budgets {
		b.SetBounds(s.ratio, s.share())
	}
}

func (s *ServiceBudgets) share() float64 { return s.burst / float64(s.vms) }

// Of returns a service's budget.
func (s *ServiceBudgets) Of(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = NewBudget(s.ratio, s.share(), s.window, nil)
		s.budgets[service] = b
	}
	return b
}
