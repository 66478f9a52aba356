package platformlab

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// Run is one request whose execution a replica has started.
type Run struct {
	Replica   string
	Request   string
	Method    string
	URI       string
	Body      string
	Workspace string
	Key       string // API key that the VM forwarded; expected to be empty
	Salt      string
	Version   int
	Header    http.Header
	At        time.Time
}

// Ledger records the requests that reached replicas and those that they executed. Safe for
// concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
	orders   []SentOrder
}

// SentOrder is an order that reached a replica.
type SentOrder struct {
	Replica string
	Order
	At time.Time
}

// Orders returns a copy of all orders so far.
func (l *Ledger) Orders() []SentOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]SentOrder(nil), l.orders...)
}

func (l *Ledger) addOrder(o SentOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *Ledger) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// Runs returns a copy of all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// RunsOf returns the runs of one request ID.
func (l *Ledger) RunsOf(request string) []Run {
	var out []Run
	for _, r := range l.Runs() {
		if r.Request == request {
			out = append(out, r)
		}
	}
	return out
}

// Replica is a simulated target in one of its incarnations. Set the exported fields before it
// starts. After the start its methods are safe for concurrent use, except SetVersion.
type Replica struct {
	ID            string
	Service       string
	Zone          string
	Model         string        // if set, the replica serves this model
	ServiceTime   time.Duration // of each request
	Chunks        int           // events of a streamed response; zero: not streamed
	ChunkInterval time.Duration // between events
	StartedMS     int64         // start time in Unix milliseconds; zero: not reported
	// Room, if set, bounds the requests that the replica takes at the same time.
	Room *Room
	// CrashOn, if set, selects requests that crash the replica.
	CrashOn *CrashRule
	// Software is the software version that the replica reports; empty: v1.
	Software string
	// NameSoftware makes each event of a stream name the software version that wrote it.
	NameSoftware bool
	// Break, if set, breaks off some of the streams.
	Break *BreakRule
	// Bare makes responses come with neither a length nor chunks: they end with their connection.
	Bare bool
	// Flood, if set, has bytes without an end take the place of some responses.
	Flood *FloodRule
	// OnPoll, if set, may respond to reads of the replica's report and feed in place of the default response.
	OnPoll func(w http.ResponseWriter, req *http.Request) bool
	// LongAnswers makes some responses that are not streamed long (Answer).
	LongAnswers bool
	// WarmUp is the remaining warm-up time that the replica reports each time it registers.
	WarmUp time.Duration

	store     *Store
	ledger    *Ledger
	server    *http.Server
	conns     sync.Map // open connections
	addr      string
	published string // address in the replica's entry, may be that of a proxy
	mu        sync.Mutex
	state     string
	version   int
	busy      bool // loading weights
	orders    int  // accepted so far
	// handler, if set, may respond to a request in place of the default response.
	handler      atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
	signals      atomic.Pointer[Signals]
	unresponsive atomic.Bool // requests hang until the caller closes them
	silence      silence
	ended        atomic.Bool // a request has crashed the replica
}

// Addr returns the address on which the replica listens.
func (r *Replica) Addr() string { return r.addr }

// Version returns the weights version that the replica serves.
func (r *Replica) Version() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Start listens on addr and registers the replica in the store. If addr is empty, Start
// takes an address that stays reserved after a crash, so that requests still sent to it
// reach no other server.
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

// Listen starts the server without registering it.
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
	r.server = &http.Server{Handler: r, ConnState: r.trackConn}
	go func() { _ = r.server.Serve(l) }() // returns after Crash
	return nil
}

// Register writes the replica's entry to the store with the given address, which may be
// that of a proxy.
func (r *Replica) Register(store *Store, published string) {
	r.mu.Lock()
	r.store, r.published = store, published
	r.mu.Unlock()
	r.register()
}

// SetVersion sets the weights version. Call it before the replica starts.
func (r *Replica) SetVersion(v int) { r.version = v }

// entry is the object that a replica writes to the store to register itself.
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

// slots is the number of requests that a replica without Room reports to run concurrently.
const slots = 16

func (r *Replica) register() {
	r.mu.Lock()
	e := entry{Version: r.software(), Cold: r.WarmUp.Milliseconds(), Service: r.Service, Address: r.published, Zone: r.Zone, Slots: slots, State: r.state, Born: r.StartedMS}
	if r.Model != "" {
		e.Models = []modelState{{r.Model, r.version}}
	}
	if r.Room != nil {
		e.Slots = cmp.Or(r.Room.Reported, r.Room.Slots)
	}
	store := r.store
	r.mu.Unlock()
	if store != nil {
		store.Put("servers", r.ID, e)
	}
}

// Drain registers the replica as draining.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.register()
}

// Crash closes the replica's server at once and resets its connections; its entry stays in the store.
func (r *Replica) Crash() {
	r.conns.Range(func(c, _ any) bool {
		_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		return true
	})
	_ = r.server.Close()
}

// trackConn records which connections are open.
func (r *Replica) trackConn(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		r.conns.Store(c, true)
	case http.StateClosed, http.StateHijacked:
		r.conns.Delete(c)
	}
}

// SetUnresponsive makes requests hang until their callers close them.
func (r *Replica) SetUnresponsive(on bool) { r.unresponsive.Store(on) }

// SetHandler lets f respond to requests; f returns false for the default response. Nil
// removes the handler.
func (r *Replica) SetHandler(f func(w http.ResponseWriter, req *http.Request) bool) {
	if f == nil {
		r.handler.Store(nil)
		return
	}
	r.handler.Store(&f)
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.unresponsive.Load() {
		<-req.Context().Done()
		return
	}
	if !r.silence.await(req.Context()) {
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/threadwall/report" || req.URL.Path == "/threadwall/kv-events" {
		if r.Flood.flood(w, req, false) || r.OnPoll != nil && r.OnPoll(w, req) {
			return
		}
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
	reply(w, http.StatusOK, r.withStart(map[string]any{
		"models": []modelState{{r.Model, r.version}}, "busy": r.busy, "seq": r.orders,
	}))
}

// withStart adds the replica's start time to a report, unless StartedMS is zero.
func (r *Replica) withStart(body map[string]any) map[string]any {
	if r.StartedMS != 0 {
		body["born"] = r.StartedMS
	}
	return body
}

// Order is the body of an order to load weights.
type Order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Method   string `json:"method"`
	Holder   string `json:"holder"`
	Fence    int    `json:"fence"`
	Expected *int   `json:"expected"`
}

// order starts to load the weights that an order names and responds before they are loaded. It
// refuses the order while weights are loading, or if Expected differs from the number of orders
// accepted so far.
func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	r.ledger.addOrder(SentOrder{Replica: r.ID, Order: o, At: time.Now()})
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
	time.AfterFunc(weightsLoadTime, func() {
		r.mu.Lock()
		r.version, r.busy = o.Version, false
		r.mu.Unlock()
		r.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// weightsLoadTime is how long a replica takes to load weights.
const weightsLoadTime = 150 * time.Millisecond

// feed serves the replica's cache feed, which never has any events.
func (r *Replica) feed(w http.ResponseWriter, req *http.Request) {
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-req.Context().Done():
		return
	}
	reply(w, http.StatusOK, r.withStart(map[string]any{"epoch": 1 + r.StartedMS, "next": 1, "lost": false, "events": []any{}}))
}

// run refuses a request or executes it. It records the arrival in the ledger, and the execution
// when it starts.
func (r *Replica) run(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.sendSignals(w, req) {
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
	if r.Room != nil {
		release, ok := r.Room.take(r, req)
		if !ok {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer release()
	}
	r.ledger.add(Run{
		Replica: r.ID, Request: req.Header.Get("X-Request-Id"), Method: req.Method, URI: req.RequestURI, Body: Body(string(body)),
		Workspace: req.Header.Get("X-Tenant-Id"), Key: req.Header.Get("Api-Key"), Salt: req.Header.Get("X-Cache-Salt"), Version: version,
		Header: req.Header.Clone(), At: time.Now(),
	})
	if r.Bare {
		w.Header().Set("Transfer-Encoding", "identity") // keeps net/http from sending chunks
	}
	if r.CrashOn.matches(req.Header.Get("X-Tenant-Id"), req.Header.Get("X-Prompt-Prefix"), string(body)) {
		r.crashDuring(w, req)
		return
	}
	if f := r.handler.Load(); f != nil && (*f)(w, req) {
		return
	}
	if r.Flood.flood(w, req, r.Chunks > 0) {
		return
	}
	time.Sleep(r.ServiceTime)
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	if r.Chunks == 0 {
		_, _ = io.WriteString(w, Answer(req.Header.Get("X-Request-Id"), r.LongAnswers))
		return
	}
	r.stream(w, req)
}
