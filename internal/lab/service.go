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

// Service is a stand-in plain service: it books what it is asked to, each time
// it is asked, and remembers how often each key ran.
type Service struct {
	name        string
	incarnation ids.Incarnation
	delay       time.Duration

	mu      sync.Mutex
	runs    map[string]int
	leaving bool
	faults  Faults

	runsFile string // where keys of calls that ran are appended; empty: nowhere
}

// NewService returns a service that takes delay for each call.
func NewService(name string, incarnation ids.Incarnation, delay time.Duration) *Service {
	return &Service{name: name, incarnation: incarnation, delay: delay, runs: map[string]int{}}
}

// Runs returns how often each key ran here.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Faults returns the service's fault switches.
func (s *Service) Faults() *Faults { return &s.faults }

// Faults returns the engine's fault switches.
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
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if s.faults.take(FaultFail) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller broke off within the body: nothing ran
	}
	time.Sleep(s.delay)
	if s.faults.take(FaultStall) {
		time.Sleep(stallTime / 3)
	}
	key := r.Header.Get(services.HeaderIdempotencyKey)
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.keep(key)
	s.mu.Unlock()
	if s.faults.take(FaultLostAnswer) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"key":%q,"run":%d,"bytes":%d}`+"\n", s.name, key, n, len(body))
}

// keep appends a key to the runs file, so that a check can count runs over
// crashes of this process. The lock is held.
func (s *Service) keep(key string) {
	if s.runsFile == "" {
		return
	}
	f, err := os.OpenFile(s.runsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err) // a check that lost its record would prove nothing
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString(key + "\n"); err != nil {
		panic(err)
	}
}

// ReadRuns counts how often each key ran, from a runs file.
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
