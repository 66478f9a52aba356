package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// Names in the configuration and the entries.
const (
	host       = "yard.example"
	path       = "/booking/"
	oldService = "booking-app"
	newService = "booking-next"
	key        = "key-1"
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

// platform is the store with a configuration, and the replicas of two plain services.
type platform struct {
	rec      *recorder
	store    *platformlab.Store
	replicas []*replica
	done     chan struct{}
}

// heartbeat is how often replicas write their entries.
const heartbeat = 1200 * time.Millisecond

func newPlatform(rec *recorder) (*platform, error) {
	p := &platform{rec: rec, store: platformlab.NewStore(), done: make(chan struct{})}
	p.putConfig(1)
	for _, service := range []string{oldService, newService} {
		for _, z := range zones {
			r, err := startReplica(p, service, z.name)
			if err != nil {
				return p, err
			}
			p.replicas = append(p.replicas, r)
		}
	}
	return p, nil
}

// putConfig writes a version of the configuration. The second one moves the route.
func (p *platform) putConfig(version int) {
	service := oldService
	if version > 1 {
		service = newService
	}
	p.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "drum-booking", "host": host, "pathPrefix": path, "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": service, "maxAttempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": oldService, "healthPath": "/health", "maxConns": 110}, {"name": newService, "healthPath": "/health", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{key}, "priority": 1}},
	})
}

func (p *platform) close() {
	close(p.done)
	for _, r := range p.replicas {
		_ = r.server.Close()
	}
	p.store.Close()
}

// replica is a sound replica of a plain service. Its answers name the service.
type replica struct {
	id, service, zone string
	p                 *platform
	server            *http.Server
}

func startReplica(p *platform, service, zone string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: "i-" + service + "-" + zone, service: service, zone: zone, p: p}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	go r.register(l.Addr().String())
	return r, nil
}

// register writes the replica's entry each heartbeat.
func (r *replica) register(addr string) {
	for seq := 1; ; seq++ {
		r.p.store.Put("servers", r.id, map[string]any{
			"service": r.service, "address": addr, "zone": r.zone, "version": "v1", "coldLeftMs": 0, "slots": 6, "state": "ready", "seq": seq,
		})
		select {
		case <-r.p.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// work is how long a replica works on a request.
const work = 60 * time.Millisecond

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	r.p.rec.printf("%s runs %s", r.id, id)
	time.Sleep(work)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	w.Header().Set("X-Response-Signature", "sig")
	_, _ = fmt.Fprintf(w, "%s", r.service)
}
