package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Reader keeps this VM's spaces up to date, from a peer or from the store. Its fields
// are set before Run.
//
// # Turns
//
// When the VM that this one reads from answers, but has lost the store itself, the store may
// be away for all. So not all turn to it at once: the VMs take turns in their order, turnStep
// apart, and each looks meanwhile whether one before it has found the store. VMs that are
// gone take no turn.
type Reader struct {
	Spaces []*Space
	// Before returns the VMs to read from, the first one first; none: this VM reads the
	// store itself. No VM comes before one that comes before it.
	Before func() []Peer
	// Introduce reads the list of VMs from the store, until it succeeds or ctx ends. Nil:
	// the list comes with all else.
	Introduce func(context.Context)
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

const (
	// lookEvery is how often a VM that reads the store looks whether a peer could do so.
	lookEvery = time.Second
	// seekEvery is how often one that waits for its turn does.
	seekEvery = 100 * time.Millisecond
	// turnStep lies between the turns of two VMs of a failure domain: a dial and a list.
	// farStep is the same for the VMs of other domains that come before this one, which are
	// two a domain: with turnStep the first VM of the last of six domains waited for 4 s,
	// and 43 of 195 VMs could no longer prove that their keys are valid.
	turnStep = 400 * time.Millisecond
	farStep  = 40 * time.Millisecond
	// askedMost is how many peers are asked in one look.
	askedMost = 3
)

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	if r.Introduce != nil {
		r.Introduce(ctx)
	}
	for ctx.Err() == nil {
		c, p := r.seek(ctx)
		if c == nil {
			c, p = r.direct(ctx)
		}
		if c != nil {
			r.follow(ctx, c, p)
		}
	}
}

// seek looks for a peer to read from until it is this VM's turn to read the store.
func (r *Reader) seek(ctx context.Context) (*client, Peer) {
	for began := clock.Now(); ctx.Err() == nil; timing.Sleep(ctx, seekEvery) {
		if c, p := r.find(ctx); c != nil {
			return c, p
		}
		if clock.Since(began) >= r.turn(clock.Now()) {
			return nil, Peer{}
		}
	}
	return nil, Peer{}
}

// turn is how long this VM leaves the store to those before it that answer.
func (r *Reader) turn(now time.Time) time.Duration {
	var sum time.Duration
	for _, p := range r.Before() {
		switch {
		case r.avoid.gone(p.VM, now):
		case p.Far:
			sum += farStep
		default:
			sum += turnStep
		}
	}
	return sum
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
	r.Log.State("store-source").Str("source", source).Str("reason", reason).Send()
}

// direct reads the store until a peer has been found.
func (r *Reader) direct(ctx context.Context) (*client, Peer) {
	r.setSource(storeSource, "no peer that comes before this VM serves")
	dctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.Direct(dctx) })
	defer wg.Wait()
	defer cancel()
	for timing.Sleep(ctx, lookEvery) {
		if c, p := r.find(ctx); c != nil {
			return c, p
		}
	}
	return nil, Peer{}
}

// find returns the first peer that has the store, after its answer was taken in.
func (r *Reader) find(ctx context.Context) (*client, Peer) {
	asked := 0
	for _, p := range r.Before() {
		if r.avoid.avoids(p.VM, clock.Now()) {
			continue
		}
		if asked++; asked > askedMost {
			break
		}
		c, err := dial(p, r.Spaces, r.Meter)
		if err == nil {
			err = c.read(ctx, 0)
			if err == nil {
				return c, p
			}
			c.close()
		}
		if ctx.Err() != nil {
			break
		}
		r.leave(p, err)
	}
	return nil, Peer{}
}

func (r *Reader) leave(p Peer, err error) {
	now := clock.Now()
	switch {
	case errors.Is(err, errStarting):
		r.avoid.stale(p.VM, now.Add(avoidStarting))
		return
	case errors.Is(err, errStale):
		r.avoid.stale(p.VM, now.Add(avoidStale))
	default:
		r.avoid.failed(p.VM, now)
	}
	r.Log.State("peer-left").Str("peer", string(p.VM)).Str("error", err.Error()).Send()
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
		if !r.avoid.avoids(q.VM, clock.Now()) {
			return false
		}
	}
	return false
}
