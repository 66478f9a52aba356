package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// settings returns the values of the site for the template of the settings.
func settings(name, store string, listen, ready, peer, admin string) map[string]string {
	peerIP, peerPort, _ := strings.Cut(peer, ":")
	_, adminPort, _ := strings.Cut(admin, ":")
	return map[string]string{
		"nodeName": name, "zone": zone, "listen.front": listen, "listen.ready": ready, "ip": peerIP,
		"internalPorts.0": peerPort, "internalPorts.1": adminPort, "platform.address": strings.TrimPrefix(store, "http://"),
		"heartbeatMs": "1200", "limits.memoryMb": strconv.Itoa(memoryMB), "limits.linkMbps": "1000.0",
		"bounds.revokeStrict": "true", "bounds.revokeMs": "5000", "bounds.versionMs": "10000", "bounds.versionAllMs": "14000",
		"bounds.leaseMs": "3000", "bounds.budgetRatio": "0.2", "bounds.budgetExtra": "56", "bounds.budgetWindowS": "10", "bounds.graceS": "8",
	}
}

var (
	sections     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in the template as the platform does, as far as the template needs it.
func render(template string, values map[string]string) string {
	out := sections.ReplaceAllStringFunc(template, func(s string) string {
		m := sections.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholders.ReplaceAllStringFunc(out, func(s string) string { return values[placeholders.FindStringSubmatch(s)[1]] })
}

// machine is an entry VM: its process, and the platform's limit on the process's memory.
type machine struct {
	name, program, file, log string
	listen, ready            string
	rec                      *recorder
	peak, kills              atomic.Int64

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ended   sync.WaitGroup
}

func newMachine(dir, program, template, name, store string, rec *recorder) (*machine, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	m := &machine{
		name: name, program: program, file: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log"),
		listen: loopback.Addr(), ready: loopback.Addr(), rec: rec,
	}
	values := settings(name, store, m.listen, m.ready, loopback.Addr(), loopback.Addr())
	if err := os.WriteFile(m.file, []byte(render(string(text), values)), 0o600); err != nil {
		return nil, err
	}
	if err := m.start(); err != nil {
		return nil, err
	}
	m.ended.Go(m.keepRunning)
	return m, nil
}

func (m *machine) start() error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(m.program, "run", "-s", m.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"} // a VM has one core
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = cmd
	return nil
}

// keepRunning kills the process when it uses more memory than it may, and starts it again.
func (m *machine) keepRunning() {
	for {
		m.mu.Lock()
		cmd := m.cmd
		m.mu.Unlock()
		over := make(chan struct{})
		go m.watchMemory(cmd.Process, over)
		_ = cmd.Wait()
		close(over)
		m.mu.Lock()
		stopped := m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
		m.rec.printf("%s: its process has ended (%s)", m.name, cmd.ProcessState)
		time.Sleep(time.Second)
		if err := m.start(); err != nil {
			m.rec.printf("%s: %v", m.name, err)
			return
		}
	}
}

// watchMemory kills the process when its anonymous memory exceeds the limit.
func (m *machine) watchMemory(p *os.Process, over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := anonymous(p.Pid)
		m.peak.Store(max(m.peak.Load(), used))
		if used > memoryMB<<20 {
			m.kills.Add(1)
			m.rec.printf("%s: uses %d MiB, more than its memory of %d MB: the platform kills it", m.name, used>>20, memoryMB)
			_ = p.Signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymous returns the anonymous resident memory of a process in bytes: without its program file.
func anonymous(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

func (m *machine) awaitReady(limit time.Duration) bool {
	c := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + m.ready + "/threadwall/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	cmd := m.cmd
	m.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	m.ended.Wait()
}
