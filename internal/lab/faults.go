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

// Fault names a fault that a stand-in can inject.
type Fault string

// The faults that engines and services inject.
const (
	FaultTruncate   Fault = "truncate"    // close the connection in the middle of an event or response
	FaultCloseEarly Fault = "close-early" // end the response cleanly before its last event
	FaultDuplicate  Fault = "duplicate"   // send an event twice
	FaultReorder    Fault = "reorder"     // send an event first under the next event's number, then under its own
	FaultCross      Fault = "cross"       // send an event with the ID of another attempt
	FaultStall      Fault = "stall"       // pause the response
	FaultRefuse     Fault = "refuse"      // refuse the request with outcome "not-run"
	FaultRest       Fault = "rest"        // refuse likewise, with a Retry-After of RestTime
	FaultForget     Fault = "forget"      // respond 404 to a request to resume
	FaultLostAnswer Fault = "lost-answer" // run the call, but close the connection before the response is complete
	FaultFail       Fault = "fail"        // respond 500 without running the call
	FaultLoseEvents Fault = "lose-events" // omit an event from the cache feed
)

// faultFromEvent is the number of the first event of a stream that a fault may affect.
const faultFromEvent = 3

// RestTime is the backoff that FaultRest asks for.
const RestTime = 2 * time.Second

// stallTime is the pause of FaultStall in a stream. Services pause for a third of it.
const stallTime = 3 * time.Second

// Faults holds the armed faults of a stand-in. Each is injected with its probability, at most
// Count times. Its methods are safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	armed map[Fault]FaultSpec
	Hits  map[Fault]int // injections so far, guarded by mu; read them with Triggered
}

// FaultSpec configures how often a fault is injected. Count 0 disarms it; a negative Count is
// unlimited. Probability 0 stands for 1.
type FaultSpec struct {
	Fault       Fault   `json:"fault"`
	Count       int     `json:"count"`
	Probability float64 `json:"probability"`
}

// Arm arms or disarms a fault.
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

// trigger reports whether to inject a fault now, and counts it.
func (f *Faults) trigger(name Fault) bool {
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

// refuse reports whether a fault refuses a call, and sets Retry-After in h for FaultRest.
func (f *Faults) refuse(h http.Header) bool {
	if f.trigger(FaultRest) {
		h.Set("Retry-After", strconv.Itoa(int(RestTime.Seconds())))
		return true
	}
	return f.trigger(FaultRefuse)
}

// Triggered returns how often a fault has been injected.
func (f *Faults) Triggered(name Fault) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Hits[name]
}

// dropEvent omits one event from a batch of at least four cache events if FaultLoseEvents is
// triggered.
func (f *Faults) dropEvent(events []cacheview.Event) []cacheview.Event {
	if len(events) < 4 || !f.trigger(FaultLoseEvents) {
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
