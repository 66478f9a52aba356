package platformlab

import (
	"net/http"
	"slices"
	"time"
)

// Signals are the header values that a replica sends with each response. An empty field is
// not sent.
type Signals struct {
	Limit   string // requests/s that the replica accepts from all VMs together
	Rest    string // Retry-After of refusals, in seconds; if set, the replica refuses all requests
	Leaving bool
	Brittle string // refusals for want of room in one second beyond which the replica falls over
}

// empty reports whether a replica sends no signals.
func (s *Signals) empty() bool { return s == nil || *s == Signals{} }

// SetSignals replaces the signals that the replica sends from now on.
func (r *Replica) SetSignals(s Signals) { r.signals.Store(&s) }

// Arrival is one request that reached a replica, whether executed or refused, and the
// signals that the replica sent in response.
type Arrival struct {
	Replica string
	Request string
	At      time.Time
	Signals Signals
}

// Arrivals returns a copy of all arrivals so far, in order of time.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

func (l *Ledger) addArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.At = time.Now()
	l.arrivals = append(l.arrivals, a)
}

// sendSignals records an arrival and sets the headers of the replica's signals. It reports
// whether it refused the request, in which case the response is complete.
func (r *Replica) sendSignals(w http.ResponseWriter, req *http.Request) (refused bool) {
	s := r.signals.Load()
	if s == nil {
		s = &Signals{}
	}
	r.ledger.addArrival(Arrival{Replica: r.ID, Request: req.Header.Get("X-Request-Id"), Signals: *s})
	if s.empty() {
		return false
	}
	if s.Limit != "" {
		w.Header().Set("Server-Limit", s.Limit)
	}
	if s.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if s.Brittle != "" {
		w.Header().Set("Server-Brittle", s.Brittle)
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
