package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// settings returns the values of the site for the template of the settings.
func (m *machine) settings(store string) map[string]string {
	peerIP, peerPort, _ := strings.Cut(m.peer, ":")
	_, adminPort, _ := strings.Cut(m.admin, ":")
	return map[string]string{
		"nodeName": m.name, "zone": m.zone, "listen.front": m.listen, "listen.ready": m.ready, "ip": peerIP,
		"internalPorts.0": peerPort, "internalPorts.1": adminPort, "platform.address": strings.TrimPrefix(store, "http://"),
		"heartbeatMs": "1200", "limits.memoryMb": "134", "limits.linkMbps": "1000.0",
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

// machine is an entry VM.
type machine struct {
	name, zone, program, file, log string
	listen, ready, peer, admin     string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func newMachine(f *fleet, name, zone string) (*machine, error) {
	text, err := os.ReadFile(f.template)
	if err != nil {
		return nil, err
	}
	m := &machine{
		name: name, zone: zone, program: f.program, file: filepath.Join(f.dir, name+".conf"), log: filepath.Join(f.dir, name+".log"),
		listen: loopback.Addr(), ready: loopback.Addr(), peer: loopback.Addr(), admin: loopback.Addr(),
	}
	if err := os.WriteFile(m.file, []byte(render(string(text), m.settings(f.p.store.URL()))), 0o600); err != nil {
		return nil, err
	}
	return m, m.start()
}

func (m *machine) start() error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(m.program, "run", "-s", m.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = cmd
	return nil
}

// pause makes the machine silent, as one without power is.
func (m *machine) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(syscall.SIGSTOP)
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	_ = m.cmd.Wait()
	m.cmd = nil
}

// restart starts the machine again after it has lost power.
func (m *machine) restart() {
	m.stop()
	_ = m.start()
}

// keepSilent makes the peer address of a machine that is gone answer nothing: connections to it hang.
func (m *machine) keepSilent() {
	ip, port, _ := strings.Cut(m.peer, ":")
	n, _ := strconv.Atoi(port)
	at := &syscall.SockaddrInet4{Port: n}
	copy(at.Addr[:], net.ParseIP(ip).To4())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if syscall.Bind(fd, at) != nil || syscall.Listen(fd, 0) != nil {
		return
	}
	for range 3 { // fill the queue of the listener, which nobody accepts from: further connections hang
		go func() {
			if c, err := net.DialTimeout("tcp", m.peer, time.Minute); err == nil {
				time.Sleep(2 * time.Minute)
				_ = c.Close()
			}
		}()
	}
}

// status is a part of what a VM's admin interface returns.
type status struct {
	Source  string `json:"store_source"`
	Catalog int    `json:"catalog"`
}

func (m *machine) status() (s status) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.admin + "/status")
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
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
