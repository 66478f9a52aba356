package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// process is one threadwalld. Only processes that the soak started are signalled,
// by their ids.
type process struct {
	name     string
	program  string
	settings string // file
	log      string // file
	listen   string
	ready    string
	store    *Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	gone    chan struct{}
	faulty  time.Time // when the last fault on it or on its path to the store began or ended
	faults  int       // those that last
	stopped bool      // SIGTERM was sent, it has not started again
	// signalled are the times at which the process got a signal or started.
	signalled []time.Time
}

// newProcess writes settings for a VM and starts it. In fleets beyond directFleet VMs
// one reads the store for the others.
func newProcess(dir, program, name, storeAddr string, directFleet int) (*process, error) {
	store, err := NewProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, program: program, store: store,
		settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"),
		// Addresses of this process, which outlives those that listen there: one that is
		// down finds them free again, and nobody else hears the calls meant for it.
		listen: loopback.Addr(), ready: loopback.Addr(),
	}
	s := map[string]any{
		"vm": name, "failure_domain": "z1", "listen": p.listen, "peer_listen": loopback.Addr(), "admin_listen": loopback.Addr(),
		"store": "http://" + store.Addr(), "store_timeout": "500ms",
		"edge": map[string]any{
			"ready_listen": p.ready, "key_ttl": keyTTL.String(), "weights_within": "6s", "order_turn": "1s",
			"retry_ratio": 0.2, "retry_burst": 40, "grace": grace.String(), "direct_fleet": directFleet, "test_suspension": suspension.String(),
			"allowance_window": limitedWindow.String(), "allowance_excess": limitedExcess, "allowance_slack": limitedSlack,
		},
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	return p, p.start()
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }() // the process has its own
	cmd := exec.Command(p.program, "run", "-s", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	gone := make(chan struct{})
	p.cmd, p.gone, p.stopped = cmd, gone, false
	p.signalled = append(p.signalled, time.Now())
	go func() {
		_ = cmd.Wait() // how it ended shows in its log
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(gone)
	}()
	return nil
}

// signal sends a signal, if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulty = time.Now()
	p.signalled = append(p.signalled, p.faulty)
	if s == syscall.SIGTERM {
		p.stopped = true
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may just have ended
	}
}

// signalledBetween tells whether the process got a signal or started between two moments: it
// may have forgotten what it knew.
func (p *process) signalledBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.signalled {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// touch notes a fault on the process's path.
func (p *process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulty = time.Now()
}

// begin notes that a fault on the process or its path has begun. The function that it
// returns notes its end; it must be called.
func (p *process) begin() (end func()) {
	p.touch()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults++
	return func() {
		p.touch()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faults--
	}
}

// calm tells whether the process runs, has no fault and had none for a while.
func (p *process) calm(since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.stopped && p.faults == 0 && time.Since(p.faulty) > since
}

// await waits until the process has ended.
func (p *process) await(limit time.Duration) bool {
	p.mu.Lock()
	gone, running := p.gone, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(limit):
		return false
	}
}

// isReady asks as the platform's balancer does.
func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s/threadwall/ready", p.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end kills the process and its proxy.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
	p.store.Close()
}
