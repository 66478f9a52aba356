// Package soak runs threadwalld as real processes against stand-ins of the
// platform, injects drawn faults from outside, and checks the promises from what
// callers and replicas see.
//
// Faults overlap and come in series: connections to the store and to replicas are
// delayed, silenced, cut one way, refused or reset by proxies; processes are
// stopped, paused, killed and started again by signals; the store is down, slow,
// loses answers or its history; replicas crash, drain, lose answers or hang;
// configurations and weights change and keys are taken away. A seed draws the
// faults; their effect in time differs from run to run.
package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// Sizes and bounds of the soak's world.
const (
	host     = "soak.example"
	model    = "m"
	pieces   = 6
	keyCount = 4

	keyTTL = 2 * time.Second
	grace  = 4 * time.Second
	// inForce is how long after its confirmation a configuration is in force at VMs
	// without trouble.
	inForce = 2 * time.Second
	// contact is for how long nothing may have been wrong for bounds in time to hold.
	contact = 3 * time.Second
	// drainTime is how long a draining replica goes on to serve.
	drainTime = 2 * time.Second
)

// world is one soak's processes and stand-ins.
type world struct {
	dir    string
	store  *platformlab.Store
	ledger *platformlab.Ledger
	vms    []*process
	// calmServes: calls while nothing is wrong must be served, and bounds in time hold.
	calmServes bool

	mu        sync.Mutex
	replicas  []*replica
	started   int
	config    config
	confirms  []confirm
	revoked   map[string]time.Time // keys, by when their loss was confirmed
	born      map[string]time.Time // when a key that replaced another was confirmed
	left      map[string]time.Time // replicas, by when their leaving was confirmed
	keys      [keyCount]string
	keyNumber int
	weights   int
	fatal     map[string][]fatalCall // repeats, by their body
	crashes   int                    // of replicas, under them
	wiped     []time.Time            // when all VMs were killed
	trouble   time.Time              // when anything but a VM's own trouble last began or ended
	active    int                    // such troubles that go on
}

// replica is a stand-in behind a proxy.
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
	// Allowance, in requests; zero: none.
	RatePerS float64 `json:"ratePerS,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// confirm is when the store confirmed a version.
type confirm struct {
	version int
	at      time.Time
}

func route(path, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": path, "host": host, "pathPrefix": path, "kind": kind, "timeoutMs": 1800, "targetLatencyMs": 300, "gapAimMs": 200,
		"service": service, "maxAttempts": attempts, "resumable": resumable, "sticky": resumable,
	}
}

// newWorld starts everything: vms processes, engines and service replicas.
func newWorld(dir, program string, vms, directFleet int) (*world, error) {
	w := &world{dir: dir, store: platformlab.NewStore(), ledger: &platformlab.Ledger{}, revoked: map[string]time.Time{}, born: map[string]time.Time{}, left: map[string]time.Time{}, fatal: map[string][]fatalCall{}, weights: 1}
	w.config = config{
		Version: 1,
		Routes: []map[string]any{
			route(pathOnce, "non_idempotent", "svc", 1, false), route(pathRepeat, "idempotent", "svc", 2, false),
			route(pathStream, "streaming", "llm", 2, true),
		},
		Services: []map[string]any{{"name": "svc"}, {"name": "llm"}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for i := range keyCount {
		w.keys[i] = w.newKey()
		w.config.Tenants = append(w.config.Tenants, tenant{Name: fmt.Sprint("t", i), APIKeys: []string{w.keys[i]}})
	}
	w.config.Tenants = append(w.config.Tenants, tenant{
		Name: limitedWorkspace, APIKeys: []string{limitedKey}, RatePerS: limitedRate, Burst: limitedBurst,
	})
	w.write()
	w.store.Put("versions", model, map[string]any{"model": model, "version": w.weights})
	for range 3 {
		if err := w.addReplica("llm"); err != nil {
			return w, err
		}
		if err := w.addReplica("svc"); err != nil {
			return w, err
		}
	}
	for i := range vms {
		p, err := newProcess(dir, program, fmt.Sprint("vm", i), strings.TrimPrefix(w.store.URL(), "http://"), directFleet)
		if err != nil {
			return w, err
		}
		w.vms = append(w.vms, p)
	}
	return w, nil
}

func (w *world) newKey() string {
	w.keyNumber++
	return fmt.Sprintf("key-%d", w.keyNumber)
}

// write stores the configuration. The lock is held, or nobody else is there yet.
func (w *world) write() {
	w.store.Put("config", "main", w.config)
	w.confirms = append(w.confirms, confirm{w.config.Version, time.Now()})
}

// addReplica starts a replica of a service behind a proxy.
func (w *world) addReplica(service string) error {
	w.mu.Lock()
	w.started++
	r := &replica{Replica: &platformlab.Replica{ID: fmt.Sprintf("i-%s-%d", service, w.started), Service: service, Zone: "z1", ServiceTime: 3 * time.Millisecond}}
	if service == "llm" {
		r.Model, r.Chunks, r.ChunkInterval = model, pieces, 5*time.Millisecond
		r.SetVersion(w.weights)
	}
	r.CrashOn = &platformlab.CrashRule{Body: fatalBody, Delay: fatalWork, OnCrash: func(*platformlab.Replica) { w.crashUnder(r) }}
	w.mu.Unlock()
	if err := r.Listen(w.ledger); err != nil {
		return err
	}
	proxy, err := NewProxy(r.Addr())
	if err != nil {
		return err
	}
	r.proxy = proxy
	r.Register(w.store, proxy.Addr())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = append(w.replicas, r)
	return nil
}

// key returns the i-th key that holds now.
func (w *world) key(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[i]
}

// confirmed returns the newest version that was confirmed long enough ago to be in
// force.
func (w *world) confirmed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := 0
	for _, c := range w.confirms {
		if time.Since(c.at) > inForce {
			version = c.version
		}
	}
	return version
}

// begin notes that a trouble begins that is not one VM's own; the function that it
// returns notes its end.
func (w *world) begin() (end func()) {
	w.note(1)
	return func() { w.note(-1) }
}

func (w *world) note(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active += change
	w.trouble = time.Now()
}

// calm tells whether nothing has been wrong with a VM, nor anywhere, for a while.
func (w *world) calm(p *process) bool {
	w.mu.Lock()
	quiet := w.active == 0 && time.Since(w.trouble) > contact
	w.mu.Unlock()
	return quiet && p.calm(contact)
}

// close ends all that the soak started.
func (w *world) close() {
	for _, p := range w.vms {
		p.end()
	}
	for _, r := range w.replicas {
		r.Crash()
		r.proxy.Close()
	}
	w.store.Close()
}

// logs returns the names of the processes' logs.
func (w *world) logs() []string {
	names, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	if err != nil {
		return nil // the pattern is fixed and valid
	}
	return names
}

// makeDir returns a directory for settings and logs.
func makeDir() (string, error) { return os.MkdirTemp("", "threadwall-soak-") }
