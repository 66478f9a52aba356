package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// maxViolations bounds the violations that a checker records.
const maxViolations = 20

// checker compares what callers and replicas recorded with the guarantees of the router.
type checker struct {
	h          *harness
	runs       map[string][]platformlab.Run
	violations []string
}

// check returns the violations of the router's guarantees, at most maxViolations.
func (h *harness) check(calls []call) []string {
	c := &checker{h: h, runs: map[string][]platformlab.Run{}}
	for _, r := range h.ledger.Runs() {
		c.runs[r.Request] = append(c.runs[r.Request], r)
	}
	known := map[string]bool{}
	for i := range calls {
		known[calls[i].id] = true
		c.checkCall(&calls[i])
	}
	for _, repeats := range h.fatal {
		for _, k := range repeats {
			known[k.id] = true
		}
	}
	for _, bad := range h.badPrompts {
		for _, k := range bad {
			known[k.id] = true
		}
	}
	c.fatalBound()
	c.partBound()
	c.allowance(calls)
	c.signals(calls)
	c.removals(calls)
	c.retryBudget(calls)
	c.fences()
	for id := range c.runs {
		if !known[id] {
			c.report("request %s ran although no caller sent it", id)
		}
	}
	return c.violations
}

// report records a violation, unless maxViolations are recorded already.
func (c *checker) report(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// checkCall checks one call and its runs.
func (c *checker) checkCall(k *call) {
	runs := c.runs[k.id]
	c.atMostOnce(k, runs)
	c.completeOrBroken(k)
	c.keys(k, runs)
	c.routeFound(k)
	c.silentReplicas(k)
	c.largeBody(k)
	c.replicas(k, runs)
	if c.h.checkTiming && k.faultFree && !k.left && k.resumes == "" && !c.acceptable(k) && !c.withoutWeights(k) {
		c.report("call %s on %s to %s failed without a fault: status %d, broken %v, after %v", k.id, k.path, k.vm.name, k.status, k.broken, k.ended.Sub(k.sent))
	}
}

// acceptable reports whether a call made without a fault ended correctly: served, or refused
// because its key is revoked or is too new for the VM to know it yet. A call of the limited
// workspace may be refused only because of its allowance.
func (c *checker) acceptable(k *call) bool {
	if k.status == http.StatusOK && !k.broken {
		return true
	}
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	_, revoked := c.h.revoked[k.key]
	issuedAt, replaced := c.h.issued[k.key]
	early := replaced && k.sent.Before(issuedAt.Add(propagationTime))
	if c.h.floods.excuses(k) {
		return true
	}
	if c.h.hushes && k.path == pathStream && (k.status == http.StatusServiceUnavailable || c.outOfTime(k)) {
		return true // an engine that is silent now may not answer in time
	}
	if k.key == limitedKey {
		return k.status == http.StatusTooManyRequests
	}
	return k.status == http.StatusUnauthorized && (revoked || early)
}

// promises are the statuses that state that a call did not run.
var promises = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge,
}

// atMostOnce checks that a call that must not be repeated runs at most once and any other at
// most twice, and that a call did not run if it was refused with a status that states so.
func (c *checker) atMostOnce(k *call, runs []platformlab.Run) {
	most := 2
	if k.path == pathOnce {
		most = 1
	}
	if len(runs) > most {
		c.report("call %s on %s ran %d times, allowed are %d", k.id, k.path, len(runs), most)
	}
	if slices.Contains(promises, k.status) && len(runs) > 0 {
		c.report("call %s on %s was refused with status %d, which states that it did not run, but ran at %s", k.id, k.path, k.status, runs[0].Replica)
	}
}

// completeOrBroken checks that a successful response is signed and belongs to its call, and
// that an incomplete response does not look complete.
func (c *checker) completeOrBroken(k *call) {
	if k.status != http.StatusOK {
		return
	}
	k.body = writtenBy.ReplaceAllString(k.body, "\n")
	switch {
	case !k.signed:
		c.report("call %s got a successful response without a signature", k.id)
	case !k.broken && k.body != k.wantBody(c.h.streams.chunks, c.h.floods != nil):
		c.report("call %s on %s got %q as a complete response, want %q", k.id, k.path, k.body, k.wantBody(c.h.streams.chunks, c.h.floods != nil))
	case k.broken && !strings.HasPrefix(k.wantBody(c.h.streams.chunks, c.h.floods != nil), k.body):
		c.report("call %s on %s got a cut-off response %q, want a prefix of %q", k.id, k.path, k.body, k.wantBody(c.h.streams.chunks, c.h.floods != nil))
	}
}

// keys checks that replicas receive a workspace in place of the caller's key, and path and body
// unchanged, and that no VM accepts a key later than keyTTL after its revocation.
func (c *checker) keys(k *call, runs []platformlab.Run) {
	c.h.mu.Lock()
	revokedAt, revoked := c.h.revoked[k.key]
	c.h.mu.Unlock()
	for _, r := range runs {
		if r.Workspace == "" || r.Key != "" {
			c.report("call %s reached a replica with workspace %q and key %q, want a workspace and no key", k.id, r.Workspace, r.Key)
		}
		if r.Body != k.sentBody || r.URI != k.path+"x" {
			c.report("call %s reached a replica as %s with body %q, want %s and %q", k.id, r.URI, r.Body, k.path+"x", k.sentBody)
		}
	}
	if revoked && len(runs) > 0 && k.sent.After(revokedAt.Add(keyTTL)) {
		c.report("call %s was sent %v after its key was revoked and ran, allowed are %v", k.id, k.sent.Sub(revokedAt), keyTTL)
	}
}

// routeFound checks that no VM refuses a call as malformed or without a route, since the
// routes never change.
func (c *checker) routeFound(k *call) {
	if k.status == http.StatusNotFound || k.status == http.StatusBadRequest {
		c.report("call %s got status %d although its route exists", k.id, k.status)
	}
}

// replicas checks that a VM without faults sends nothing to a replica later than drainTime
// after the replica began to drain, and that a run under a cache salt has the weights that the
// salt names.
func (c *checker) replicas(k *call, runs []platformlab.Run) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	for _, r := range runs {
		if r.Salt != "" && !strings.HasPrefix(r.Salt, fmt.Sprint(r.Version, "/")) {
			c.report("call %s ran with weights %d under cache salt %q", k.id, r.Version, r.Salt)
		}
		drainStart, ok := c.h.drainStart[r.Replica]
		if ok && c.h.checkTiming && k.faultFree && k.sent.After(drainStart.Add(drainTime)) {
			c.report("call %s was sent %v after replica %s began to drain and ran there, allowed are %v", k.id, k.sent.Sub(drainStart), r.Replica, drainTime)
		}
	}
}

// settled reports whether all engines have the newest weights.
func (h *harness) settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.replicas {
		if r.Model != "" && r.Version() != h.weights {
			return false
		}
	}
	return true
}

// readyAll reports whether all VMs are ready.
func (h *harness) readyAll() bool {
	for _, p := range h.vms {
		if !p.isReady() {
			return false
		}
	}
	return true
}

// await polls f until it returns true, for at most limit, and reports whether it did.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
