package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// drillSource selects the random source of drills, so that a seed draws the same other faults with
	// and without drills.
	drillSource = 0xd411
	// maxCopyAge is how old the copy is at most from which the store comes back.
	maxCopyAge = 3 * time.Second
	// maxAway is how long the store is away at most in a drill.
	maxAway = time.Second
	// maxRewrite is how long operators and replicas take at most to write again what was lost.
	maxRewrite = 500 * time.Millisecond
)

// injectDrills plays drills one after the other until ctx ends: the store is away for a moment and comes
// back from an older copy. The returned function waits for the last one and returns the number of
// drills by name.
func (h *harness) injectDrills(ctx context.Context, seed uint64) (wait func() map[string]int) {
	rng := rand.New(rand.NewPCG(seed, drillSource))
	counts := make(chan map[string]int, 1)
	go func() {
		n := map[string]int{}
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))) {
			n[h.drill(rng)]++
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}

// drill plays one drill, or two from the same copy. A VM may be killed as the store comes back, and keys
// and weights change before what was lost has been written again. It returns the name of the variant.
func (h *harness) drill(rng *rand.Rand) string {
	defer h.begin()()
	copyOfStore := h.store.Snapshot()
	sleep(rng, maxCopyAge)
	h.storeAway(copyOfStore, rng)
	name := "drill"
	switch rng.IntN(4) {
	case 0:
		name = "drill, and kill a VM as the store is back"
		h.restart(h.anyVM(rng), syscall.SIGKILL, rng)
	case 1:
		name = "drill, twice from one copy"
		sleep(rng, maxRewrite)
		h.storeAway(copyOfStore, rng)
	case 2:
		name = "drill during changes"
		h.revokeKey(rng)
		h.newWeights()
	}
	sleep(rng, maxRewrite)
	h.store.Rewrite()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drills = append(h.drills, time.Now())
	return name
}

// leaseHandover is how long after VMs have seen a new era nobody gives orders, unless the holder could
// renew its lease: the duration of a lease and the wait of a successor, with the harness's order_turn of
// 1 s, and the time that passes until the next read.
const leaseHandover = 4 * time.Second

// noReplicaText is in the body of a refusal because no replica can take the call.
const noReplicaText = "no replica can take the call now"

// withoutWeights reports whether a call was refused that needs weights which nobody could order yet: a
// drill ends the lease, and older weights may be over before it passes on (seed 1001).
func (c *checker) withoutWeights(k *call) bool {
	if k.path != pathStream || k.status != http.StatusServiceUnavailable || !strings.Contains(k.body, noReplicaText) {
		return false
	}
	for _, end := range c.h.drills {
		if k.sent.After(end) && k.sent.Before(end.Add(faultFreeTime+leaseHandover)) {
			return true
		}
	}
	return false
}

// storeAway makes the store unavailable for a moment, from which it comes back as a copy.
func (h *harness) storeAway(c platformlab.Snapshot, rng *rand.Rand) {
	h.store.SetFaults(platformlab.StoreFaults{Down: []string{"busy", "reset", "silent"}[rng.IntN(3)]})
	sleep(rng, maxAway)
	h.store.Restore(c)
	h.store.SetFaults(platformlab.StoreFaults{})
}

// revokeKey replaces the key of a drawn workspace.
func (h *harness) revokeKey(rng *rand.Rand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := rng.IntN(keyCount)
	old := h.keys[i]
	h.keys[i] = h.newKey()
	h.config.Tenants[i].APIKeys = []string{h.keys[i]}
	h.config.Version += 1 + rng.IntN(3)
	h.writeConfig()
	h.revoked[old], h.issued[h.keys[i]] = time.Now(), time.Now()
}

// newWeights declares the next version of the weights.
func (h *harness) newWeights() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.weights++
	h.store.Put("versions", model, map[string]any{"model": model, "version": h.weights})
}

// fences checks that no two VMs sent orders under one fencing token.
func (c *checker) fences() {
	holders := map[int]string{}
	for _, o := range c.h.ledger.Orders() {
		if other, used := holders[o.Fence]; used && other != o.Holder {
			c.report("%s and %s sent orders under fencing token %d", other, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
	}
}
