package lab

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
)

// Fault names something that a stand-in can do wrong.
type Fault string

// The faults.
const (
	FaultTruncate   Fault = "truncate"    // break the connection within an event
	FaultCloseEarly Fault = "close-early" // end the answer cleanly before its end
	FaultDuplicate  Fault = "duplicate"   // send an event twice
	FaultReorder    Fault = "reorder"     // send events in the wrong order
	FaultCross      Fault = "cross"       // send an event of another answer
	FaultStall      Fault = "stall"       // say nothing for a while
	FaultRefuse     Fault = "refuse"      // refuse with a true "not run"
	FaultRest       Fault = "rest"        // refuse like that, and ask for RestTime of rest
	FaultForget     Fault = "forget"      // not know an answer that is to be resumed
	FaultLostAnswer Fault = "lost-answer" // run the call, lose the answer
	FaultFail       Fault = "fail"        // answer 500 without having run
	FaultLoseEvents Fault = "lose-events" // leave entries out of the cache feed
)

// faultFromEvent is the first event of a stream that faults touch.
const faultFromEvent = 3

// RestTime is what FaultRest asks for.
const RestTime = 2 * time.Second

// stallTime is how long FaultStall is silent.
const stallTime = 3 * time.Second

// Faults arms faults. Each armed fault strikes with its probability, as often as
// its count allows. Safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	armed map[Fault]FaultSpec
	Hits  map[Fault]int
}

// FaultSpec says how often a fault strikes. Count 0 disarms it; below 0 is
// without end.
type FaultSpec struct {
	Fault       Fault   `json:"fault"`
	Count       int     `json:"count"`
	Probability float64 `json:"probability"`
}

// Arm sets a fault.
func (f *Faults) Arm(s FaultSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.armed == nil {
		f.armed, f.Hits = map[Fault]FaultSpec{}, map[Fault]int{}
	}
	if s.Probability == 0 {
		s.Probability = 1
	}
	f.armed[s.Fault] = s
}

// take tells whether a fault strikes now.
func (f *Faults) take(name Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.armed[name]
	if !ok || s.Count == 0 || rand.Float64() >= s.Probability {
		return false
	}
	if s.Count > 0 {
		s.Count--
		f.armed[name] = s
	}
	f.Hits[name]++
	return true
}

// refuse tells whether a call is turned away by a fault, and says in h what the target wants.
func (f *Faults) refuse(h http.Header) bool {
	if f.take(FaultRest) {
		h.Set("Retry-After", strconv.Itoa(int(RestTime.Seconds())))
		return true
	}
	return f.take(FaultRefuse)
}

// Triggered returns how often a fault has struck.
func (f *Faults) Triggered(name Fault) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Hits[name]
}

// lossy leaves entries out of a batch of cache events.
func (f *Faults) lossy(events []cacheview.Event) []cacheview.Event {
	if len(events) < 4 || !f.take(FaultLoseEvents) {
		return events
	}
	i := len(events) / 2
	return append(append([]cacheview.Event(nil), events[:i]...), events[i+1:]...)
}

// ServeHTTP arms a fault from a request's JSON.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var s FaultSpec
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Arm(s)
}
