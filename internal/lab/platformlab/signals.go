package platformlab

import (
	"net/http"
	"slices"
	"time"
)

// Signals are what a replica says of itself with all its answers. Empty: it does not say.
type Signals struct {
	Limit   string // requests a second that it takes from all VMs together
	Rest    string // seconds in which it wants nothing from the VM that it turns away; set: it turns all away
	Leaving bool
}

// none tells whether a replica says nothing.
func (s *Signals) none() bool { return s == nil || *s == Signals{} }

// SetSignals changes what the replica says of itself from now on.
func (r *Replica) SetSignals(s Signals) { r.signals.Store(&s) }

// Arrival is one request that reached a replica, whatever became of it, and what the replica
// said of itself with its answer.
type Arrival struct {
	Replica string
	Request string
	At      time.Time
	Signals Signals
}

// Arrivals returns all arrivals so far, in the order of time.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

func (l *Ledger) arrived(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.At = time.Now()
	l.arrivals = append(l.arrivals, a)
}

// signal notes an arrival and says what the replica says of itself. It returns whether the
// request is turned away.
func (r *Replica) signal(w http.ResponseWriter, req *http.Request) (turnedAway bool) {
	s := r.signals.Load()
	if s == nil {
		s = &Signals{}
	}
	r.ledger.arrived(Arrival{Replica: r.ID, Request: req.Header.Get("X-Request-Id"), Signals: *s})
	if s.none() {
		return false
	}
	if s.Limit != "" {
		w.Header().Set("Server-Limit", s.Limit)
	}
	if s.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if s.Rest == "" {
		return false
	}
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", s.Rest)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
