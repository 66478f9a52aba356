package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Reader keeps this VM's spaces up to date, from a peer or from the store. Its fields
// are set before Run.
type Reader struct {
	Spaces []*Space
	// Before returns the VMs to read from, the first one first; none: this VM reads the
	// store itself.
	Before func() []Peer
	// Direct reads the store until its context ends.
	Direct func(context.Context)
	// Wait is how long a question waits for a change, at most. Zero: questionWait.
	Wait time.Duration
	// Meter counts the bytes that are read from peers. Nil: nothing does.
	Meter *traffic.Meter
	Log   *eventlog.Log

	avoid  avoidance
	mu     sync.Mutex
	source string
}

// storeSource names the store in log and status.
const storeSource = "store"

// lookEvery is how often a VM that reads the store looks whether a peer could do so.
const lookEvery = time.Second

// firstLook is when it first does: after its lists, a few calls of the store.
const firstLook = 200 * time.Millisecond

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c, p := r.direct(ctx)
		if c != nil {
			r.follow(ctx, c, p)
		}
	}
}

// Source names where this VM reads from now.
func (r *Reader) Source() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source
}

func (r *Reader) setSource(source, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.source == source {
		return
	}
	r.source = source
	r.Log.Belief("store-source").Str("source", source).Str("reason", reason).Send()
}

// direct reads the store until a peer has been found. It begins with the store, so that
// a VM whose peer has failed is not blind while it looks for another.
func (r *Reader) direct(ctx context.Context) (*client, Peer) {
	r.setSource(storeSource, "no peer that comes before this VM serves")
	dctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.Direct(dctx) })
	defer wg.Wait()
	defer cancel()
	for pause := firstLook; timing.Sleep(ctx, pause); pause = lookEvery {
		if c, p := r.find(ctx); c != nil {
			return c, p
		}
	}
	return nil, Peer{}
}

// find returns the first peer that answers, after its answer was taken in. A VM that
// has not read anything yet reads the store: it does not know its peers.
func (r *Reader) find(ctx context.Context) (*client, Peer) {
	for _, s := range r.Spaces {
		if _, ok := s.At(); !ok {
			return nil, Peer{}
		}
	}
	for _, p := range r.Before() {
		if r.avoid.avoids(p.VM, time.Now()) {
			continue
		}
		c, err := dial(p, r.Spaces, r.Meter)
		if err == nil {
			err = c.read(ctx, 0)
			if err == nil {
				return c, p
			}
			c.close()
		}
		r.leave(p, err)
	}
	return nil, Peer{}
}

func (r *Reader) leave(p Peer, err error) {
	r.avoid.failed(p.VM, time.Now())
	r.Log.Belief("peer-left").Str("peer", string(p.VM)).Str("error", err.Error()).Send()
}

// follow reads from a peer until it fails, or a VM before it may be asked again.
func (r *Reader) follow(ctx context.Context, c *client, p Peer) {
	defer c.close()
	r.setSource(string(p.VM), "it comes before this VM and has the store")
	wait := questionWait
	if r.Wait > 0 {
		wait = min(wait, r.Wait)
	}
	for r.best(p) {
		err := c.read(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.leave(p, err)
			return
		}
		r.avoid.succeeded(p.VM)
	}
}

// best tells whether a peer is still the first one to read from.
func (r *Reader) best(p Peer) bool {
	for _, q := range r.Before() {
		if q.VM == p.VM {
			return q.Addr == p.Addr
		}
		if !r.avoid.avoids(q.VM, time.Now()) {
			return false
		}
	}
	return false
}
