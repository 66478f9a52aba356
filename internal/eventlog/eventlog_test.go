package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalled is an output that takes nothing until it is let go.
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

// TestStalledOutputCostsLines writes far more than the ring holds while the output
// takes nothing: no write waits, and what was left out is told afterwards.
func TestStalledOutputCostsLines(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	l := New(out, map[string]string{"vm": "v"})
	began := time.Now()
	for range 20 * ringLines {
		l.z.Info().Str("event", "x").Send() // not through the budget, which is another bound
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("writing took %v", took)
	}
	close(out.release)
	time.Sleep(100 * time.Millisecond)
	l.ReportDropped()
	l.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), `"output_stalled":`) {
		t.Fatal("the log does not tell that lines were left out")
	}
}

// TestBudget writes more lines about requests than a second may have: the rest is
// left out and counted, and lines about beliefs still come.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, nil)
	for range requestBurst + 200 {
		l.Request("decide", "q").Send()
	}
	l.State("ready").Send()
	l.ReportDropped()
	l.Close()
	if n := strings.Count(out.String(), `"decide"`); n > requestBurst+10 {
		t.Fatalf("%d lines about requests, want about %d", n, requestBurst)
	}
	for _, want := range []string{`"event":"ready"`, `"over_budget":`} {
		if !strings.Contains(out.String(), want) {
			t.Fatalf("%s is missing", want)
		}
	}
}
