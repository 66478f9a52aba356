package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/services"
)

// Service is a stand-in plain service. It executes every call, also repeated ones, and
// counts the runs of each idempotency key. Safe for concurrent use.
type Service struct {
	name        string
	incarnation ids.Incarnation
	delay       time.Duration

	mu      sync.Mutex
	runs    map[string]int
	leaving bool
	faults  Faults

	runsFile string // file to which the keys of executed calls are appended; empty: none
}

// NewService returns a service that works on each call for delay.
func NewService(name string, incarnation ids.Incarnation, delay time.Duration) *Service {
	return &Service{name: name, incarnation: incarnation, delay: delay, runs: map[string]int{}}
}

// Runs returns the number of runs by idempotency key in this incarnation.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Faults returns the faults injected into the service.
func (s *Service) Faults() *Faults { return &s.faults }

// Faults returns the faults injected into the engine.
func (e *Engine) Faults() *Faults { return &e.faults }

// Handler serves calls, the load probe and the lab's own paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(engine.Load{Incarnation: s.incarnation, Leaving: s.leaving, Slots: 64})
	})
	mux.HandleFunc("GET /lab/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Runs()) })
	mux.Handle("POST /lab/faults", &s.faults)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderRequestID))
	w.Header().Set(engine.HeaderIncarnation, strconv.FormatUint(uint64(s.incarnation), 10))
	if s.faults.refuse(w.Header()) {
		w.Header().Set(engine.HeaderOutcome, "not-run")
		http.Error(w, "service is not accepting requests", http.StatusServiceUnavailable)
		return
	}
	if s.faults.trigger(FaultFail) {
		http.Error(w, "call failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected within the body, so the call did not run
	}
	time.Sleep(s.delay)
	if s.faults.trigger(FaultStall) {
		time.Sleep(stallTime / 3)
	}
	key := r.Header.Get(services.HeaderIdempotencyKey)
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.appendRun(key)
	s.mu.Unlock()
	if s.faults.trigger(FaultLostAnswer) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"key":%q,"run":%d,"bytes":%d}`+"\n", s.name, key, n, len(body))
}

// appendRun appends a key to the runs file, from which a check counts runs across crashes
// of this process. The caller holds s.mu.
func (s *Service) appendRun(key string) {
	if s.runsFile == "" {
		return
	}
	f, err := os.OpenFile(s.runsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err) // without a complete record, the check of duplicate runs is void
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString(key + "\n"); err != nil {
		panic(err)
	}
}

// ReadRuns returns the number of runs by key from a runs file.
func ReadRuns(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read runs")
	}
	runs := map[string]int{}
	for _, key := range strings.Fields(string(data)) {
		runs[key]++
	}
	return runs, nil
}
