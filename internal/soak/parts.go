package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

// With parts, requests come of which no two are alike and whose prompts share a part that crashes each engine that begins an
// answer on it, and most new connections go to one VM at times.

const (
	// partSource selects the random source of these faults, so that a seed draws the same other faults with and without.
	partSource = 0x9a47
	// badParts is the number of parts that crash engines.
	badParts = 8
	// badInterval is the pause between two requests with a bad part.
	badInterval = 250 * time.Millisecond
	// maxBadTime is how long such requests come at most, and maxCrowdTime how long most connections go to one VM.
	maxBadTime, maxCrowdTime = 16 * time.Second, 5 * time.Second
	// partCrashesKnown is the number of crashes after which all VMs must keep a part from engines, and maxLateParts the
	// number of requests that may reach engines later.
	partCrashesKnown, maxLateParts = 5, 3
	// crowdShare is the share of the calls that go to the crowded VM.
	crowdShare = 0.9
)

func badPart(i int) string { return fmt.Sprint("bad", i) }

// partRule returns the rule by which bad parts crash engines.
func (h *harness) partRule(rule *platformlab.CrashRule) {
	for i := range badParts {
		rule.Parts = append(rule.Parts, badPart(i))
	}
	rule.Piece = true
}

// injectParts has bad parts and crowds come until ctx ends.
func (h *harness) injectParts(ctx context.Context, seed uint64) (wait func() map[string]int) {
	n := map[string]int{}
	var both sync.WaitGroup
	both.Go(func() {
		rng := rand.New(rand.NewPCG(seed, partSource))
		for i := 0; i < badParts && timing.Sleep(ctx, time.Duration(rng.Int64N(int64(2*time.Second)))); i++ {
			n["a part crashes engines"]++
			h.repeatPart(ctx, rng, badPart(i))
		}
	})
	crowds := 0
	both.Go(func() {
		rng := rand.New(rand.NewPCG(seed, partSource+1))
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(4*time.Second)))) {
			crowds++
			h.crowded.Store(h.anyVM(rng))
			sleep(rng, maxCrowdTime)
			h.crowded.Store(nil)
		}
	})
	return func() map[string]int {
		both.Wait()
		n["most connections go to one VM"] = crowds
		return n
	}
}

// repeatPart sends requests with a bad part to random VMs.
func (h *harness) repeatPart(ctx context.Context, rng *rand.Rand, part string) {
	defer h.begin()()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	for end := time.Now().Add(maxBadTime/2 + time.Duration(rng.Int64N(int64(maxBadTime/2)))); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(badInterval) {
		p := h.anyVM(rng)
		id := fmt.Sprintf("p%016x", rng.Uint64())
		h.mu.Lock()
		h.badPrompts[part] = append(h.badPrompts[part], fatalCall{id, time.Now(), p.faultFree(faultFreeTime)})
		h.mu.Unlock()
		go h.sendPart(p, id, []string{"aa:500", part + ":200", fmt.Sprintf("b%d:200", rng.IntN(20)), id + ":100"}, transport)
	}
}

func (h *harness) sendPart(p *process, id string, parts []string, transport *http.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	call := platformlab.Call{ID: id, Host: host, Path: pathStream + "x", Key: h.key(0), Body: "body of " + id, Deadline: deadline, Model: model, Tokens: 1000, Parts: parts}
	req, err := call.Request(ctx, "http://"+p.listen)
	if err != nil {
		panic(err) // addresses of the harness are always valid
	}
	if resp, err := transport.RoundTrip(req); err == nil {
		_ = resp.Body.Close()
	}
}

// partBound checks that few requests with a bad part reach engines after all VMs can know of it.
func (c *checker) partBound() {
	for part, calls := range c.h.badPrompts {
		if late := c.lateRuns(calls, partCrashesKnown); late > maxLateParts {
			c.report("requests with the part %s reached %d engines after all VMs could know that it crashes them, allowed are %d", part, late, maxLateParts)
		}
	}
}

// pickVM returns the VM of a new call.
func (h *harness) pickVM(rng *rand.Rand) *process {
	if p := h.crowded.Load(); p != nil && rng.Float64() < crowdShare {
		return p
	}
	return h.vms[rng.IntN(len(h.vms))]
}
