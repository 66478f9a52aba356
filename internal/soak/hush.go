package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

// In a soak with hushes, engines fall silent for a while and go on, all of them or a part, while configurations change.
// Retries are short, so most calls can't move to another engine. A silent engine is no reason to end a stream.

const (
	// hushSource selects the random source of hushes.
	hushSource = 0x4875
	// hushPause is the longest pause between two hushes.
	hushPause = 1500 * time.Millisecond
	// An engine is silent for minHush to maxHush.
	minHush, maxHush = time.Second, 2500 * time.Millisecond
	// wholeShare is the fraction of hushes in which all engines are silent.
	wholeShare = 0.3
	// nearDeadline is the fraction of its time after which a stream may end for want of time.
	nearDeadline = 0.7
)

var (
	// hushedStreams last longer than an engine is silent.
	hushedStreams = streamShape{chunks: 40, interval: 50 * time.Millisecond, deadline: 10 * time.Second}
	hushedRetries = retryBounds{ratio: 0.05, burst: 8, window: 10 * time.Second}
)

// HushedStreams counts the streams that were begun, by how they ended.
type HushedStreams struct {
	Begun int `json:"begun"`
	// Cut are those that ended early, without a fault and before their time.
	Cut int `json:"cut"`
	// CutWithFault are the others that ended early.
	CutWithFault int `json:"cut_with_fault"`
	// Runs is the number of runs at engines, of all streams.
	Runs int `json:"runs"`
}

// injectHushes has engines fall silent, one time after the other until ctx ends. The returned function waits for the last time
// and returns the number of hushes by name.
func (h *harness) injectHushes(ctx context.Context, seed uint64) (wait func() map[string]int) {
	rng := rand.New(rand.NewPCG(seed, hushSource))
	counts := make(chan map[string]int, 1)
	go func() {
		n := map[string]int{}
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(hushPause)))) {
			n["engines fall silent"]++
			h.hush(rng)
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}

// hush has all engines or a part of them fall silent, changes the configuration meanwhile, and returns when they go on.
func (h *harness) hush(rng *rand.Rand) {
	d := minHush + time.Duration(rng.Int64N(int64(maxHush-minHush)))
	share := 1.0
	if rng.Float64() >= wholeShare {
		share = 0.3 + 0.5*rng.Float64()
	}
	h.mu.Lock()
	for _, r := range h.replicas {
		if r.Service == "llm" && rng.Float64() < share {
			r.Silence(d)
		}
	}
	h.mu.Unlock()
	end := time.Now().Add(d)
	for range 1 + rng.IntN(3) {
		sleep(rng, d/4)
		h.changeSettings(rng)
	}
	time.Sleep(time.Until(end))
}

// changeSettings writes a configuration with other timeouts, which are all longer than streams take.
func (h *harness) changeSettings(rng *rand.Rand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config.Version += 1 + rng.IntN(3)
	h.config.Limits["idleTimeoutMs"] = 12000 + rng.IntN(4000)
	h.setTimeouts(h.streams.deadline - timeoutMargin - time.Duration(rng.Int64N(int64(timeoutMargin))))
	h.writeConfig()
}

// cut reports whether a stream was begun and ended early, although it had time left and its caller stayed.
func (k *call) cut(deadline time.Duration) bool {
	return k.path == pathStream && k.status == http.StatusOK && k.broken && !k.left && !k.lasted(nearDeadline, deadline)
}

// lasted reports whether the call took a fraction of its time or more.
func (k *call) lasted(fraction float64, deadline time.Duration) bool {
	return float64(k.ended.Sub(k.sent)) >= fraction*float64(deadline)
}

// outOfTime reports whether a call ended for want of time: engines may be silent for most of it, several times in a row.
func (c *checker) outOfTime(k *call) bool { return k.lasted(nearDeadline, c.h.streams.deadline) }

// silentReplicas checks that a stream whose engines are sound, though silent for a while, ends whole.
func (c *checker) silentReplicas(k *call) {
	if c.h.hushes && k.faultFree && k.cut(c.h.streams.deadline) {
		c.report("stream %s of %s was cut after %v, while its engines were sound", k.id, k.vm.name, k.ended.Sub(k.sent))
	}
}

// countHushed counts the streams by how they ended.
func (h *harness) countHushed(calls []call) (n HushedStreams) {
	streams := map[string]bool{}
	for i := range calls {
		k := &calls[i]
		if k.path != pathStream {
			continue
		}
		streams[k.id] = true
		if k.status == http.StatusOK {
			n.Begun++
		}
		switch {
		case k.cut(h.streams.deadline) && k.faultFree:
			n.Cut++
		case k.cut(h.streams.deadline):
			n.CutWithFault++
		}
	}
	for _, r := range h.ledger.Runs() {
		if streams[r.Request] {
			n.Runs++
		}
	}
	return n
}
