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

// process is one threadwalld process. The soak signals only processes that it started, by
// their ids.
type process struct {
	name         string
	program      string
	settingsFile string
	logFile      string
	listen       string
	ready        string
	store        *Proxy
	links        *links // nil: the VM connects to the replicas' published addresses
	memory       memorySamples

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has ended
	lastFault    time.Time     // start or end of the last fault on the process or its path to the store
	activeFaults int           // number of faults in progress
	stopped      bool          // SIGTERM was sent and the process has not started again
	// signalled holds the times at which the process received an OS signal or started.
	signalled []time.Time
}

// newProcess writes the settings of a VM and starts its process, which reaches the store at
// storeAddr through a proxy. In fleets of more than directFleet VMs, one VM reads the store for
// the others.
func newProcess(dir, program, name, storeAddr string, directFleet int, retries retryBounds, own *links, memoryMB, descriptors int) (*process, error) {
	store, err := NewProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	if own != nil {
		store.rewrite = own.rewrite
	}
	p := &process{
		name: name, program: program, store: store, links: own,
		settingsFile: filepath.Join(dir, name+".json"), logFile: filepath.Join(dir, name+".log"),
		// The addresses are reserved by this process, which outlives the daemons that listen
		// on them: a restarted daemon finds them free, and no other program gets its calls.
		listen: loopback.Addr(), ready: loopback.Addr(),
	}
	s := map[string]any{
		"vm": name, "failure_domain": "z1", "listen": p.listen, "peer_listen": loopback.Addr(), "admin_listen": loopback.Addr(),
		"max_descriptors": descriptors,
		"store":           "http://" + store.Addr(), "store_timeout": "500ms", "dial_timeout": "400ms",
		"edge": map[string]any{
			"ready_listen": p.ready, "key_ttl": keyTTL.String(), "weights_within": "6s", "order_turn": "1s",
			"retry_ratio": retries.ratio, "retry_burst": retries.burst, "retry_window": retries.window.String(), "grace": grace.String(), "direct_fleet": directFleet, "fair_shares": true, "test_suspension": suspension.String(),
			"memory_mb": memoryMB, "allowance_window": limitedWindow.String(), "allowance_excess": limitedExcess, "allowance_slack": limitedSlack,
		},
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(p.settingsFile, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	return p, p.start()
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.program, "run", "-s", p.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopped = cmd, exited, false
	p.signalled = append(p.signalled, time.Now())
	go func() {
		_ = cmd.Wait() // its log shows how it ended
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends an OS signal if the process is running, and records a fault either way.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
	p.signalled = append(p.signalled, p.lastFault)
	if s == syscall.SIGTERM {
		p.stopped = true
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has just ended
	}
}

// signalledBetween reports whether the process received an OS signal or started between two
// times. Then it may have lost its state.
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

// markFault records a fault on the process or its path to the store.
func (p *process) markFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
}

// begin records the start of a fault on the process or its path to the store. The caller must
// call the returned function at the end of the fault.
func (p *process) begin() (end func()) {
	p.markFault()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeFaults++
	return func() {
		p.markFault()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.activeFaults--
	}
}

// faultFree reports whether the process is running, has no fault and had none for the given
// duration.
func (p *process) faultFree(duration time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.stopped && p.activeFaults == 0 && time.Since(p.lastFault) > duration
}

// await waits for the process to end, for at most limit, and reports whether it did.
func (p *process) await(limit time.Duration) bool {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// isReady checks readiness as the platform's load balancer does.
func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s/threadwall/ready", p.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end kills the process and closes its proxy.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
	p.store.Close()
	if p.links != nil {
		p.links.closeAll()
	}
}
