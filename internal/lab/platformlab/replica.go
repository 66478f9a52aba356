package platformlab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// Run is one request that a replica began to work on.
type Run struct {
	Replica   string
	Request   string
	Method    string
	URI       string
	Body      string
	Workspace string
	Key       string // API key that came through; none should
	Salt      string
	Version   int
	Header    http.Header
	At        time.Time
}

// Ledger records what all replicas ran. Safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
}

func (l *Ledger) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// Runs returns all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// RunsOf returns the runs of one request.
func (l *Ledger) RunsOf(request string) []Run {
	var out []Run
	for _, r := range l.Runs() {
		if r.Request == request {
			out = append(out, r)
		}
	}
	return out
}

// Replica is one incarnation of a target.
type Replica struct {
	ID            string
	Service       string
	Zone          string
	Model         string        // set: it serves a model
	ServiceTime   time.Duration // for each request
	Chunks        int           // events of a stream
	ChunkInterval time.Duration // between events
	StartedMS     int64         // its start in Unix milliseconds; zero: it does not say
	// CrashOn is set for a replica that some requests crash.
	CrashOn *CrashRule
	// Software is the version of its software; empty: v1.
	Software string
	// WarmUp is for how long it says that it is slow after its start.
	WarmUp time.Duration

	store     *Store
	ledger    *Ledger
	server    *http.Server
	addr      string
	published string
	mu        sync.Mutex
	state     string
	version   int
	busy      bool
	orders    int
	// answers decides, if set, what happens to a request instead of the usual.
	answers atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
	signals atomic.Pointer[Signals]
	silent  atomic.Bool // no connection is answered
	ended   atomic.Bool // a request has crashed it
}

// Addr is where the replica listens.
func (r *Replica) Addr() string { return r.addr }

// Version returns the weights that it has.
func (r *Replica) Version() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Start listens, on addr if it is given, and registers. An address that isn't given
// stays the replica's after a crash: what is still sent there reaches nobody else.
func (r *Replica) Start(store *Store, ledger *Ledger, addr string) error {
	if addr == "" {
		addr = loopback.Addr()
	}
	if err := r.listen(ledger, addr); err != nil {
		return err
	}
	r.Register(store, r.addr)
	return nil
}

// Listen listens without registering.
func (r *Replica) Listen(ledger *Ledger) error { return r.listen(ledger, loopback.Addr()) }

func (r *Replica) listen(ledger *Ledger, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.ledger, r.addr, r.state = ledger, l.Addr().String(), "ready"
	if r.version == 0 {
		r.version = 1
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }() // ends with Crash
	return nil
}

// Register publishes the replica under an address, which may be that of a proxy.
func (r *Replica) Register(store *Store, published string) {
	r.mu.Lock()
	r.store, r.published = store, published
	r.mu.Unlock()
	r.register()
}

// SetVersion sets the weights before the replica starts.
func (r *Replica) SetVersion(v int) { r.version = v }

// entry is what a replica writes about itself.
type entry struct {
	Service string       `json:"service"`
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Version string       `json:"version"`
	Cold    int64        `json:"coldLeftMs"`
	Slots   int          `json:"slots"`
	State   string       `json:"state"`
	Models  []modelState `json:"models,omitempty"`
	Seq     int          `json:"seq"`
	Born    int64        `json:"born,omitempty"`
}

type modelState struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
}

const slots = 16

func (r *Replica) register() {
	r.mu.Lock()
	e := entry{Version: cmp.Or(r.Software, "v1"), Cold: r.WarmUp.Milliseconds(), Service: r.Service, Address: r.published, Zone: r.Zone, Slots: slots, State: r.state, Born: r.StartedMS}
	if r.Model != "" {
		e.Models = []modelState{{r.Model, r.version}}
	}
	store := r.store
	r.mu.Unlock()
	if store != nil {
		store.Put("servers", r.ID, e)
	}
}

// Drain reports that the replica leaves.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.register()
}

// Crash ends the replica at once; its entry stays.
func (r *Replica) Crash() { _ = r.server.Close() }

// SetUnresponsive lets requests hang.
func (r *Replica) SetUnresponsive(on bool) { r.silent.Store(on) }

// SetHandler lets f answer requests; it returns false for the usual answer. Nil: none.
func (r *Replica) SetHandler(f func(w http.ResponseWriter, req *http.Request) bool) {
	if f == nil {
		r.answers.Store(nil)
		return
	}
	r.answers.Store(&f)
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.silent.Load() {
		<-req.Context().Done()
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/threadwall/report":
		r.report(w)
	case "/threadwall/order":
		r.order(w, req)
	case "/threadwall/kv-events":
		r.feed(w, req)
	default:
		r.run(w, req)
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, r.says(map[string]any{
		"models": []modelState{{r.Model, r.version}}, "busy": r.busy, "seq": r.orders,
	}))
}

// says adds when the replica started to what it says of itself.
func (r *Replica) says(body map[string]any) map[string]any {
	if r.StartedMS != 0 {
		body["born"] = r.StartedMS
	}
	return body
}

// Order is an order's body.
type Order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Method   string `json:"method"`
	Holder   string `json:"holder"`
	Fence    int    `json:"fence"`
	Expected *int   `json:"expected"`
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.version == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	case r.busy, o.Expected != nil && *o.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.busy = true
	r.orders++
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		r.version, r.busy = o.Version, false
		r.mu.Unlock()
		r.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// loadTime is how long a replica loads weights.
const loadTime = 150 * time.Millisecond

func (r *Replica) feed(w http.ResponseWriter, req *http.Request) {
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-req.Context().Done():
		return
	}
	reply(w, http.StatusOK, r.says(map[string]any{"epoch": 1 + r.StartedMS, "next": 1, "lost": false, "events": []any{}}))
}

// run works on a request.
func (r *Replica) run(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.signal(w, req) {
		return
	}
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	r.mu.Lock()
	version, busy := r.version, r.busy
	r.mu.Unlock()
	if want := req.Header.Get("X-Expect-Version"); r.Model != "" && want != "" && want != strconv.Itoa(version) {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.ledger.add(Run{
		Replica: r.ID, Request: req.Header.Get("X-Request-Id"), Method: req.Method, URI: req.RequestURI, Body: string(body),
		Workspace: req.Header.Get("X-Tenant-Id"), Key: req.Header.Get("Api-Key"), Salt: req.Header.Get("X-Cache-Salt"), Version: version,
		Header: req.Header.Clone(), At: time.Now(),
	})
	if r.CrashOn.hits(req.Header.Get("X-Tenant-Id"), string(body)) {
		r.crashUnder(w, req)
		return
	}
	if f := r.answers.Load(); f != nil && (*f)(w, req) {
		return
	}
	time.Sleep(r.ServiceTime)
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	if r.Chunks == 0 {
		_, _ = fmt.Fprintf(w, "answer to %s", req.Header.Get("X-Request-Id"))
		return
	}
	r.stream(w, req)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(w)
	for n := after + 1; n <= r.Chunks; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, req.Header.Get("X-Request-Id")); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
		time.Sleep(r.ChunkInterval)
	}
}
