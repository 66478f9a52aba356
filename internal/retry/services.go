package retry

import (
	"sync"
	"time"
)

// ServiceBudgets holds one budget per service: this VM's share of a budget for the whole
// fleet. Safe for concurrent use.
//
// In any window all VMs together make at most ratio retries per request, plus burst: each VM
// counts only the requests that it received itself, and burst is divided by the number of
// VMs. A VM behind a network partition keeps its share, so a partition can't raise the sum.
type ServiceBudgets struct {
	window time.Duration

	mu      sync.Mutex
	ratio   float64
	burst   float64
	vms     int
	budgets map[string]*Budget
}

// NewServiceBudgets returns budgets of ratio retries per request, plus burst over all VMs, in
// any window.
func NewServiceBudgets(ratio, burst float64, window time.Duration) *ServiceBudgets {
	return &ServiceBudgets{ratio: ratio, burst: burst, window: window, vms: 1, budgets: map[string]*Budget{}}
}

// SetVMs sets how many VMs share the budgets; values below 1 count as 1.
func (s *ServiceBudgets) SetVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = max(n, 1)
	s.update()
}

// SetBounds changes the ratio, and the burst of the whole fleet.
func (s *ServiceBudgets) SetBounds(ratio, burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio, s.burst = ratio, burst
	s.update()
}

// update applies the bounds to all budgets. The caller holds mu.
func (s *ServiceBudgets) update() {
	for _, b := range s.budgets {
		b.SetBounds(s.ratio, s.share())
	}
}

// Share returns this VM's share of the burst, for each service.
func (s *ServiceBudgets) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share()
}

// share returns this VM's share of the burst. The caller holds mu.
func (s *ServiceBudgets) share() float64 { return s.burst / float64(s.vms) }

// Of returns the budget of a service, and creates it at first use.
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
