// Package soak runs threadwalld as real processes against a simulated platform,
// injects randomly drawn faults from outside, and checks the router's guarantees
// against what callers and replicas record.
//
// Faults overlap and repeat. Proxies delay, block, block in one direction, refuse or
// reset connections to the store and to replicas. Signals stop, pause, kill and
// restart processes. The store is down, slow, or loses responses or its history.
// Replicas crash, drain, lose responses or hang. Configurations and weights change
// and keys are revoked. A seed determines the drawn faults; their timing differs
// from run to run.
package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// Sizes and time bounds of the harness.
const (
	host     = "soak.example"
	model    = "m"
	keyCount = 4

	keyTTL = 2 * time.Second
	grace  = 4 * time.Second
	// propagationTime is how long a VM without faults may take to apply a configuration after
	// the store confirmed it.
	propagationTime = 2 * time.Second
	// faultFreeTime is the time without faults after which timing bounds hold again.
	faultFreeTime = 3 * time.Second
	// drainTime is how long a draining replica continues to serve.
	drainTime = 2 * time.Second
)

// harness holds the processes of one soak and its simulated platform.
type harness struct {
	dir    string
	store  *platformlab.Store
	ledger *platformlab.Ledger
	vms    []*process
	// checkTiming states that calls without a fault must be served and timing bounds must hold.
	checkTiming bool

	mu            sync.Mutex
	replicas      []*replica
	replicaNumber int // of the last replica, as in its id
	config        config
	confirmations []confirmation
	revoked       map[string]time.Time // when the store confirmed the revocation of a key
	issued        map[string]time.Time // when the store confirmed a key that replaced another
	drainStart    map[string]time.Time // when a replica began to drain, by its id
	keys          [keyCount]string
	keyNumber     int                     // of the last key
	weights       int                     // newest version
	brittle       int                     // refusals beyond which replicas of the plain service fall over; zero: they do not
	falls         int                     // of brittle replicas
	cuts          bool                    // VMs have links of their own
	versions      bool                    // engines of several software versions serve
	parts         bool                    // parts of prompts crash engines
	badPrompts    map[string][]fatalCall  // requests with a bad part, by the part
	crowded       atomic.Pointer[process] // VM to which most connections go; nil: none
	fatal         map[string][]fatalCall  // repeats of fatal requests, by body
	crashes       int                     // of replicas that ran fatal requests
	allKilled     []time.Time             // times at which all VMs were killed
	shortage      bool                    // it is a soak with shortages
	failing       bool                    // replicas of the plain service fail most calls
	entryRemoved  map[string]time.Time    // when the entry of a replica was removed that had not said that it leaves, by its id
	suspended     bool                    // a VM was suspended
	worstRetries  RetryWindow
	storeFaults   bool         // faults of VMs, replicas and the store are drawn
	hushes        bool         // engines fall silent and go on
	floods        *floods      // nil: it is a soak without floods
	watch         *memoryWatch // nil: nobody looks at the memory of VMs
	descriptors   atomic.Int64 // most that a VM had open, in a soak with crowds
	streams       streamShape
	drills        []time.Time // ends of drills: what the store lost has been written again
	lastFault     time.Time   // start or end of the last fault outside the VMs
	activeFaults  int         // number of faults in progress outside the VMs
}

// replica is a simulated replica behind a proxy.
type replica struct {
	*platformlab.Replica
	proxy *Proxy
}

// config is a configuration as the platform's operators write it.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []tenant         `json:"tenants"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// The allowance, in requests/s and requests; 0 means no limit.
	RatePerS float64 `json:"ratePerS,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// confirmation is a configuration version and the time at which the store confirmed it.
type confirmation struct {
	version int
	at      time.Time
}

func route(path, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": path, "host": host, "pathPrefix": path, "kind": kind, "targetLatencyMs": 300, "gapAimMs": 200,
		"service": service, "maxAttempts": attempts, "resumable": resumable, "sticky": resumable,
	}
}

// newHarness starts the store, three replicas of each service and the VMs' processes. The caller
// must close the returned harness, also after an error.
func newHarness(dir string, directFleet int, o *Options) (*harness, error) {
	h := &harness{dir: dir, store: platformlab.NewStore(), ledger: &platformlab.Ledger{}, revoked: map[string]time.Time{}, issued: map[string]time.Time{}, drainStart: map[string]time.Time{}, entryRemoved: map[string]time.Time{}, fatal: map[string][]fatalCall{}, weights: 1, cuts: o.Cuts, versions: o.Versions, parts: o.Parts, shortage: o.Shortage, hushes: o.Hushes, floods: newFloods(o), watch: newMemoryWatch(o), streams: shapeOf(o), failing: o.Shortage, badPrompts: map[string][]fatalCall{}}
	h.config = config{
		Version: 1,
		Routes: []map[string]any{
			route(pathOnce, "non_idempotent", "svc", 1, false), route(pathRepeat, "idempotent", "svc", 2, false),
			route(pathStream, "streaming", "llm", 2, true),
		},
		Services: []map[string]any{{"name": "svc"}, {"name": "llm"}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	h.setTimeouts(h.streams.deadline - timeoutMargin)
	for i := range keyCount {
		h.keys[i] = h.newKey()
		h.config.Tenants = append(h.config.Tenants, tenant{Name: fmt.Sprint("t", i), APIKeys: []string{h.keys[i]}})
	}
	h.config.Tenants = append(h.config.Tenants, tenant{
		Name: limitedWorkspace, APIKeys: []string{limitedKey}, RatePerS: limitedRate, Burst: limitedBurst,
	})
	h.writeConfig()
	h.store.Put("versions", model, map[string]any{"model": model, "version": h.weights})
	if o.Versions || o.Floods {
		for range 6 {
			if err := h.addReplica("llm"); err != nil {
				return h, err
			}
		}
	}
	for range 3 {
		if err := h.addReplica("llm"); err != nil {
			return h, err
		}
		if err := h.addReplica("svc"); err != nil {
			return h, err
		}
	}
	for i := range o.VMs {
		var own *links
		if o.Cuts {
			own = newLinks(i)
			for _, r := range h.replicas {
				if err := own.add(r.proxy.Addr()); err != nil {
					return h, err
				}
			}
		}
		p, err := newProcess(dir, o.Program, fmt.Sprint("vm", i), strings.TrimPrefix(h.store.URL(), "http://"), directFleet, h.retryBounds(), own, h.memoryMB(), maxDescriptors(o))
		if err != nil {
			return h, err
		}
		h.vms = append(h.vms, p)
	}
	return h, nil
}

func (h *harness) newKey() string {
	h.keyNumber++
	return fmt.Sprintf("key-%d", h.keyNumber)
}

// writeConfig writes the configuration to the store. The caller holds mu, unless no other
// goroutine uses the harness yet.
func (h *harness) writeConfig() {
	h.store.Put("config", "main", h.config)
	h.confirmations = append(h.confirmations, confirmation{h.config.Version, time.Now()})
}

// addReplica starts a replica of a service behind a proxy.
func (h *harness) addReplica(service string) error {
	h.mu.Lock()
	h.replicaNumber++
	r := &replica{Replica: &platformlab.Replica{ID: fmt.Sprintf("i-%s-%d", service, h.replicaNumber), Service: service, Zone: "z1", ServiceTime: 3 * time.Millisecond}}
	if service == "llm" {
		r.Model, r.Chunks, r.ChunkInterval = model, h.streams.chunks, h.streams.interval
		r.SetVersion(h.weights)
		h.setSoftware(r)
	}
	if service == "svc" && h.cuts {
		r.Room = &platformlab.Room{OnFall: func(*platformlab.Replica) { h.fell(r) }}
		h.setRoom(r)
	}
	if service == "svc" && h.failing {
		h.failMost(r)
	}
	h.setFloods(r)
	r.CrashOn = &platformlab.CrashRule{Body: fatalBody, Delay: fatalWork, OnCrash: func(*platformlab.Replica) { h.onFatalCrash(r) }}
	if h.parts && service == "llm" {
		h.partRule(r.CrashOn)
	}
	h.mu.Unlock()
	if err := r.Listen(h.ledger); err != nil {
		return err
	}
	proxy, err := NewProxy(r.Addr())
	if err != nil {
		return err
	}
	r.proxy = proxy
	for _, p := range h.vms {
		if p.links == nil {
			continue
		}
		if err := p.links.add(proxy.Addr()); err != nil {
			return err
		}
	}
	r.Register(h.store, proxy.Addr())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas = append(h.replicas, r)
	return nil
}

// key returns the current key of the i-th workspace.
func (h *harness) key(i int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keys[i]
}

// confirmedVersion returns the newest configuration version that the store confirmed more than
// propagationTime ago.
func (h *harness) confirmedVersion() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := 0
	for _, c := range h.confirmations {
		if time.Since(c.at) > propagationTime {
			version = c.version
		}
	}
	return version
}

// begin records the start of a fault outside the VMs. The caller must call the returned
// function at the end of the fault.
func (h *harness) begin() (end func()) {
	h.countFault(1)
	return func() { h.countFault(-1) }
}

func (h *harness) countFault(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeFaults += change
	h.lastFault = time.Now()
}

// faultFree reports whether neither the VM nor anything outside the VMs had a fault for
// faultFreeTime.
func (h *harness) faultFree(p *process) bool {
	h.mu.Lock()
	outsideFaultFree := h.activeFaults == 0 && time.Since(h.lastFault) > faultFreeTime
	h.mu.Unlock()
	return outsideFaultFree && p.faultFree(faultFreeTime)
}

// close ends all processes and replicas, and the store.
func (h *harness) close() {
	for _, p := range h.vms {
		p.end()
	}
	for _, r := range h.replicas {
		r.Crash()
		r.proxy.Close()
	}
	h.store.Close()
}

// logs returns the paths of the log files of the processes.
func (h *harness) logs() []string {
	names, err := filepath.Glob(filepath.Join(h.dir, "*.log"))
	if err != nil {
		return nil // the pattern is fixed and valid
	}
	return names
}

// makeDir creates a temporary directory for settings and logs.
func makeDir() (string, error) { return os.MkdirTemp("", "threadwall-soak-") }
