package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// Names in the configuration and the entries.
const (
	host    = "patio.example"
	service = "llm"
	model   = "m0"
	key     = "key-1"
	zone    = "z1"
)

// recorder writes lines with the time since the start. Safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	to    *os.File
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.to, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// platform is the store with a configuration, and the replicas.
type platform struct {
	rec      *recorder
	store    *platformlab.Store
	replicas []*replica
	done     chan struct{}

	mu      sync.Mutex
	answers int64           // of replicas while they spoil some
	spoilt  bool            // one of them was spoilt
	begun   map[string]bool // requests that a sound replica has begun
}

// replicaCount is the number of replicas: those of the site.
const replicaCount = 9

// heartbeat is how often replicas write their entries.
const heartbeat = 1200 * time.Millisecond

func newPlatform(garblers int, rec *recorder) (*platform, error) {
	p := &platform{rec: rec, store: platformlab.NewStore(), done: make(chan struct{}), begun: map[string]bool{}}
	p.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes":  []map[string]any{clauseCheck.declare(), returnNote.declare()},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
			"slots": 64, "kvCapacity": 99487, "tokenKvBytes": 18432, "maxConcurrent": 12,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{key}, "priority": 1}},
	})
	p.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	for i := range replicaCount {
		r, err := startReplica(p, fmt.Sprint("i-", i+1), i < garblers)
		if err != nil {
			return p, err
		}
		p.replicas = append(p.replicas, r)
	}
	rec.printf("the store and %d replicas run", replicaCount)
	return p, nil
}

// declare returns the route as operators write it.
func (r *route) declare() map[string]any {
	return map[string]any{
		"name": r.name, "host": host, "pathPrefix": r.path, "kind": "streaming", "timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": r.objectiveMs,
		"priority": r.priority, "service": service, "maxAttempts": r.attempts, "public": false, "sticky": true, "resumable": r.resumable, "gapAimMs": 500,
	}
}

func (p *platform) close() {
	close(p.done)
	for _, r := range p.replicas {
		_ = r.server.Close()
	}
	p.store.Close()
}

func (p *platform) begin(request string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun[request] = true
}

func (p *platform) hasBegun(request string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun[request]
}

// takeSpoilt counts an answer and reports whether to spoil it: the first one that fits, once half of oneIn answers were
// given. oneIn is zero while no answers are spoilt.
func (p *platform) takeSpoilt(oneIn int64, fits bool) bool {
	if oneIn == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if !fits || p.spoilt || p.answers < oneIn/2 {
		return false
	}
	p.spoilt = true
	return true
}

// replica is a sound model replica that streams its answers.
type replica struct {
	id     string
	p      *platform
	server *http.Server
	// garbler says that the replica spoils answers during the disruption, so that it isn't a sound one.
	garbler bool
	oneIn   atomic.Int64 // of the answers of all replicas that spoil some is spoilt; zero: this one spoils none
}

func startReplica(p *platform, id string, garbler bool) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, p: p, garbler: garbler}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	go r.register(l.Addr().String())
	return r, nil
}

// register writes the replica's entry each heartbeat.
func (r *replica) register(addr string) {
	for seq := 1; ; seq++ {
		r.p.store.Put("servers", r.id, map[string]any{
			"service": service, "address": addr, "zone": zone, "version": "v1", "coldLeftMs": 0, "slots": 64, "state": "ready", "seq": seq,
			"models": []map[string]any{{"name": model, "version": 1}},
		})
		select {
		case <-r.p.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/threadwall/kv-events":
		wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-req.Context().Done():
		}
		_, _ = io.WriteString(w, `{"epoch":1,"next":1,"lost":false,"events":[]}`)
	case "/threadwall/report":
		_, _ = io.WriteString(w, `{"stage":"colocated","models":[{"name":"m0","version":1}],"busy":false,"seq":0}`)
	default:
		r.run(w, req)
	}
}

// run reads the request, then streams the events.
func (r *replica) run(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	kind := &returnNote
	if strings.HasPrefix(req.URL.Path, clauseCheck.path) {
		kind = &clauseCheck
	}
	if r.p.takeSpoilt(r.oneIn.Load(), kind == &clauseCheck) {
		r.spoil(w, id)
		return
	}
	if !r.garbler {
		r.p.begin(id)
	}
	r.p.rec.printf("%s: runs %s", r.id, id)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", r.id)
	h.Set("X-Response-Signature", "sig")
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= kind.events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(eventPause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

const (
	// spoiltPiece and spoiltPause are the speed of the bytes: 960 Mbit/s, below that of a VM's link.
	spoiltPiece = 1_200_000
	spoiltPause = 10 * time.Millisecond
	// spoiltBytes is the length of an answer that is no response.
	spoiltBytes = 100_000_000
)

// spoil sends bytes that are no response.
func (r *replica) spoil(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r.p.rec.printf("%s: answers %s with bytes that are no response", r.id, id)
	piece := bytes.Repeat([]byte{0x2a}, spoiltPiece)
	next := time.Now()
	for sent := 0; sent < spoiltBytes; {
		n, err := conn.Write(piece)
		if sent += n; err != nil {
			break
		}
		next = next.Add(spoiltPause)
		time.Sleep(time.Until(next))
	}
}
