package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalled is an output whose writes block until release is closed.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestStalledOutputDropsLines logs far more lines than the buffer holds while the output
// is stalled. No write may block, and the log must report the dropped lines afterwards.
func TestStalledOutputDropsLines(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	l := New(out, map[string]string{"vm": "v"})
	began := time.Now()
	for range 20 * bufferLines {
		l.z.Info().Str("event", "x").Send() // bypasses the rate limits
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("writing to a stalled output took %v, want at most 1 s", took)
	}
	close(out.release)
	time.Sleep(100 * time.Millisecond)
	l.ReportDropped()
	l.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), `"output_stalled":`) {
		t.Fatal("the log does not report the dropped lines")
	}
}

// TestRequestLineBudget logs more lines about requests than the rate limit allows. The log
// must drop and count the rest, and still write lines about the process's state.
func TestRequestLineBudget(t *testing.T) {
	var out bytes.Buffer
	began := time.Now()
	l := New(&out, nil)
	for range requestBurst + 200 {
		l.Request("decide", "q").Send()
	}
	allowed := requestBurst + int(requestLinesPerSecond*time.Since(began).Seconds())
	l.State("ready").Send()
	l.ReportDropped()
	l.Close()
	if n := strings.Count(out.String(), `"decide"`); n > allowed {
		t.Fatalf("%d lines about requests, want at most %d", n, allowed)
	}
	for _, want := range []string{`"event":"ready"`, `"over_budget":`} {
		if !strings.Contains(out.String(), want) {
			t.Fatalf("the log does not contain %s", want)
		}
	}
}
