package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/ids"
)

// OverheadRow compares calls through the router with direct calls, in one run.
type OverheadRow struct {
	Requests     int     `json:"requests"`
	Direct       TTFT    `json:"direct_ttft_ms"`
	Routed       TTFT    `json:"routed_ttft_ms"`
	AddedP50     float64 `json:"added_p50_ms"`
	AddedP99     float64 `json:"added_p99_ms"`
	TokensPerSec float64 `json:"tokens_per_s"`
	// TokensPerCore is tokens per second of CPU time of one process: the VM's, or the
	// current one if it holds caller, VM and engine.
	TokensPerCore float64 `json:"tokens_per_core_s"`
}

const (
	overheadRate      = 200 // requests/s, direct and routed each
	overheadSeconds   = 8
	throughputStreams = 64
	throughputTokens  = 3000 // per stream
	overheadTokens    = 8    // per response
)

// Overhead measures the time to first token, alternately direct and through a VM, and then
// the throughput of tokens relayed by the VM.
func Overhead(ctx context.Context, ex *Example) (OverheadRow, error) {
	domains := []ids.FailureDomain{"sala-heredia"}
	spec := DefaultEngine
	spec.TokenEvery, spec.Slots = 50*time.Microsecond, 256
	s, err := Start(ctx, ex, StartOptions{Domains: domains, Engine: spec})
	if err != nil {
		return OverheadRow{}, err
	}
	defer s.Close()
	vms, err := StartVMs(ctx, s, domains, 1, "cost")
	if err != nil {
		return OverheadRow{}, err
	}
	defer vms.Stop(ctx)
	var engineAddr string
	for _, r := range s.Records {
		if s.Engines[r.ID] != nil {
			engineAddr = r.Addr
		}
	}
	return OverheadOf(ctx, "http://"+engineAddr, vms.Entries()[0], os.Getpid())
}

// OverheadOf measures a running engine and VM, given their base URLs. pid is the process
// whose CPU time counts for the throughput.
func OverheadOf(ctx context.Context, direct, routed string, pid int) (OverheadRow, error) {
	m := &meter{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	row := m.latency(ctx, direct, routed)
	row.TokensPerSec, row.TokensPerCore = m.throughput(ctx, routed, pid)
	return row, m.lastErr()
}

// meter sends the requests of a measurement and holds its last error.
type meter struct {
	client *http.Client
	mu     sync.Mutex
	err    error
}

func (m *meter) lastErr() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// latency sends requests at a constant rate, alternately direct and through the VM.
func (m *meter) latency(ctx context.Context, direct, routed string) OverheadRow {
	hist := [2]*hdrhistogram.Histogram{hdrhistogram.New(histMin, histMax, histDigits), hdrhistogram.New(histMin, histMax, histDigits)}
	start := time.Now()
	total := 2 * overheadRate * overheadSeconds
	var wg sync.WaitGroup
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / (2 * overheadRate))))
		wg.Go(func() {
			first, _ := m.sendPrompt(ctx, []string{direct, routed}[i%2], i, overheadTokens)
			m.mu.Lock()
			defer m.mu.Unlock()
			_ = hist[i%2].RecordValue(first.Microseconds())
		})
	}
	wg.Wait()
	row := OverheadRow{Requests: total, Direct: QuantilesOf(hist[0]), Routed: QuantilesOf(hist[1])}
	row.AddedP50, row.AddedP99 = row.Routed.P50-row.Direct.P50, row.Routed.P99-row.Direct.P99
	return row
}

// throughput reads throughputStreams long streams concurrently through the VM. It returns the
// tokens per second of real time and per second of the process's CPU time.
func (m *meter) throughput(ctx context.Context, routed string, pid int) (perSecond, perCore float64) {
	var wg sync.WaitGroup
	cpu, start := cpuSeconds(pid), time.Now()
	for i := range throughputStreams {
		wg.Go(func() { _, _ = m.sendPrompt(ctx, routed, i, throughputTokens) })
	}
	wg.Wait()
	tokens := float64(throughputStreams * throughputTokens)
	return tokens / time.Since(start).Seconds(), tokens / (cpuSeconds(pid) - cpu)
}

// ticksPerSecond is the number of clock ticks per second, the unit of CPU times in
// /proc/PID/stat.
const ticksPerSecond = 100

// cpuSeconds returns a process's user and system CPU time, or zero if it cannot be read.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command's name may contain spaces, so the fields are counted from its end.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const utime, stime = 11, 12
	user, _ := strconv.ParseFloat(fields[utime], 64)
	system, _ := strconv.ParseFloat(fields[stime], 64)
	return (user + system) / ticksPerSecond
}

// sendPrompt sends one short prompt and returns the time to the first byte of its stream.
func (m *meter) sendPrompt(ctx context.Context, base string, i, tokens int) (time.Duration, error) {
	body, _ := json.Marshal(promptBody{
		Model: "yard", Stream: true, MaxTokens: tokens, Messages: []promptMessage{{Role: "user", Content: fmt.Sprint("question ", i%50)}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+KeyOf("hidroelectrica-norte"))
	start := time.Now()
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, m.setErr(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, m.setErr(eris.Errorf("%s responded with status %d, want 200", base, resp.StatusCode))
	}
	var one [1]byte
	_, _ = resp.Body.Read(one[:])
	first := time.Since(start)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, m.setErr(err)
	}
	return first, nil
}

func (m *meter) setErr(err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
	return err
}
