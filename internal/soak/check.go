package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// maxBroken bounds how many broken promises are told.
const maxBroken = 20

// checker judges calls and runs by what callers and replicas saw.
type checker struct {
	w      *world
	runs   map[string][]platformlab.Run
	broken []string
}

func (w *world) check(calls []call) []string {
	c := &checker{w: w, runs: map[string][]platformlab.Run{}}
	for _, r := range w.ledger.Runs() {
		c.runs[r.Request] = append(c.runs[r.Request], r)
	}
	known := map[string]bool{}
	for i := range calls {
		known[calls[i].id] = true
		c.call(&calls[i])
	}
	for _, repeats := range w.fatal {
		for _, k := range repeats {
			known[k.id] = true
		}
	}
	c.fatalBound()
	c.allowance(calls)
	c.signals(calls)
	for id := range c.runs {
		if !known[id] {
			c.say("request %s ran, and no caller sent it", id)
		}
	}
	return c.broken
}

func (c *checker) say(format string, args ...any) {
	if len(c.broken) < maxBroken {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

func (c *checker) call(k *call) {
	runs := c.runs[k.id]
	c.atMostOnce(k, runs)
	c.wholeOrCut(k)
	c.keys(k, runs)
	c.inForce(k)
	c.replicas(k, runs)
	if c.w.calmServes && k.calm && !c.good(k) {
		c.say("call %s on %s to %s with nothing wrong anywhere: status %d, broken %v, after %v", k.id, k.path, k.vm.name, k.status, k.broken, k.ended.Sub(k.sent))
	}
}

// good tells whether a call in calm times ended as it must: served, or turned away
// because its key is gone, or so new that the VM need not know it yet.
func (c *checker) good(k *call) bool {
	if k.status == http.StatusOK && !k.broken {
		return true
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	_, gone := c.w.revoked[k.key]
	born, replaced := c.w.born[k.key]
	early := replaced && k.sent.Before(born.Add(inForce))
	if k.key == limitedKey {
		return k.status == http.StatusTooManyRequests
	}
	return k.status == http.StatusUnauthorized && (gone || early)
}

// atMostOnce: a call that may not be repeated runs once at most, others twice; one
// that was refused as not run has not run.
func (c *checker) atMostOnce(k *call, runs []platformlab.Run) {
	most := 2
	if k.path == pathOnce {
		most = 1
	}
	if len(runs) > most {
		c.say("call %s on %s ran %d times", k.id, k.path, len(runs))
	}
	refused := k.status == http.StatusServiceUnavailable || k.status == http.StatusTooManyRequests
	if refused && len(runs) > 0 {
		c.say("call %s on %s was refused as not run and ran at %s", k.id, k.path, runs[0].Replica)
	}
}

// wholeOrCut: a success is the whole answer to the call itself, signed; what is not
// whole must not look complete.
func (c *checker) wholeOrCut(k *call) {
	if k.status != http.StatusOK {
		return
	}
	switch {
	case !k.signed:
		c.say("call %s got a success without a signature", k.id)
	case !k.broken && k.body != k.want():
		c.say("call %s on %s got %q as if it were whole", k.id, k.path, k.body)
	case k.broken && !strings.HasPrefix(k.want(), k.body):
		c.say("call %s on %s got a start that is not its own: %q", k.id, k.path, k.body)
	}
}

// keys: what runs bears the workspace of the caller's key, and a key that was taken
// away stops working in time, on every VM.
func (c *checker) keys(k *call, runs []platformlab.Run) {
	c.w.mu.Lock()
	gone, revoked := c.w.revoked[k.key]
	c.w.mu.Unlock()
	for _, r := range runs {
		if r.Workspace == "" || r.Key != "" {
			c.say("call %s ran for the workspace %q with the key %q", k.id, r.Workspace, r.Key)
		}
		if r.Body != "body of "+k.id || r.URI != k.path+"x" {
			c.say("call %s ran as %s with the body %q", k.id, r.URI, r.Body)
		}
	}
	if revoked && len(runs) > 0 && k.sent.After(gone.Add(keyTTL)) {
		c.say("call %s ran %v after its key was taken away", k.id, k.sent.Sub(gone))
	}
}

// inForce: a key that came with a version confirmed long before is known.
func (c *checker) inForce(k *call) {
	if k.status == http.StatusNotFound || k.status == http.StatusBadRequest {
		c.say("call %s was answered %d though its route is there", k.id, k.status)
	}
}

// replicas: no VM without trouble sends to a replica that has long left, and a run
// under a salt has the weights that the salt names.
func (c *checker) replicas(k *call, runs []platformlab.Run) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, r := range runs {
		if r.Salt != "" && !strings.HasPrefix(r.Salt, fmt.Sprint(r.Version, "/")) {
			c.say("call %s ran with weights %d under the salt %q", k.id, r.Version, r.Salt)
		}
		left, ok := c.w.left[r.Replica]
		if ok && c.w.calmServes && k.calm && k.sent.After(left.Add(drainTime)) {
			c.say("call %s ran at %s, %v after that began to leave", k.id, r.Replica, k.sent.Sub(left))
		}
	}
}

// settled tells whether all engines have the newest weights.
func (w *world) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		if r.Model != "" && r.Version() != w.weights {
			return false
		}
	}
	return true
}

// readyAll tells whether all VMs take work.
func (w *world) readyAll() bool {
	for _, p := range w.vms {
		if !p.isReady() {
			return false
		}
	}
	return true
}

// await waits until f holds.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
