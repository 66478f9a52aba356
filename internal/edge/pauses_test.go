package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/settings"
)

// TestWeightsKnowPauses runs the duty that watches for pauses: what the weights read after a pause may have arrived during it.
func TestWeightsKnowPauses(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	duty := d.dutyTable()["pauses"]
	if d.Weights.Pauses == nil || duty == nil {
		t.Fatal("nothing watches for pauses")
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { duty(ctx) })
	defer wg.Wait()
	defer cancel()
	time.Sleep(120 * time.Millisecond)
	const pause = 2 * time.Second
	clock.Skip(pause)
	defer clock.Skip(-pause)
	now := clock.Now()
	if waited := now.Sub(d.Weights.Pauses.ArrivedSince(now)); waited < pause {
		t.Errorf("what is read may have waited for %v, want at least %v", waited, pause)
	}
}

// TestUnknownUseEndsBeforeVMCounts bounds the use of weights of unknown age by the time in which a VM settles.
func TestUnknownUseEndsBeforeVMCounts(t *testing.T) {
	d := newDaemon(t, settings.Edge{StartGrace: durations.Duration(5 * time.Second)})
	if got := d.Weights.UnknownUse; got != 4*time.Second {
		t.Errorf("old weights may be used for %v after a start that settles in 5s, want 4s", got)
	}
}
