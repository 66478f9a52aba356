package mirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Reader keeps this VM's spaces up to date from a peer or from the store. Its fields are set
// before Run.
//
// # Ranks
//
// If an upstream peer answers but has lost the store, the store may be unavailable to all VMs.
// To keep them from calling it all at once, the VMs fall back to it in the order of their ranks,
// rankStep apart (crossDomainStep for VMs of other failure domains), and each checks meanwhile
// whether a VM that ranks before it serves again. No VM waits for an unresponsive one.
type Reader struct {
	Spaces []*Space
	// UpstreamPeers returns the VMs to read from, in order of preference; none: this VM reads
	// the store itself. All VMs use the same order, so that there are no cycles.
	UpstreamPeers func() []Peer
	// Bootstrap reads the list of VMs from the store until that succeeds or its context ends.
	// Nil: the list is read together with the other key spaces.
	Bootstrap func(context.Context)
	// StartPeers returns the VMs whose copies this VM reads once at its start. Nil: none.
	StartPeers func() []Peer
	// ReadStore reads the store until its context ends.
	ReadStore func(context.Context)
	// AssistPeers returns the VMs to read from while the store does not answer this VM, although it is this
	// VM's turn to read it. Nil: none.
	AssistPeers func() []Peer
	// StoreAnswered returns when the store last answered this VM's own calls about the configuration, and
	// AssistAfter is the age of that answer from which AssistPeers are read.
	StoreAnswered func() time.Time
	AssistAfter   time.Duration
	// Wait is the longest time that a read from a peer waits for a change, at most readWait.
	// Zero: readWait.
	Wait time.Duration
	// Meter counts the bytes read from peers. Optional.
	Meter *traffic.Meter
	Log   *eventlog.Log

	avoid    avoidance
	assisted atomic.Bool
	mu       sync.Mutex
	source   string
}

// storeSource names the store in logs and in the status.
const storeSource = "store"

const (
	// checkInterval is how often a VM that reads the store checks whether a peer serves.
	checkInterval = time.Second
	// assistInterval is how often it checks whether the store still answers.
	assistInterval = 200 * time.Millisecond
	// seekInterval is how often a VM that waits for its rank checks the same.
	seekInterval = 100 * time.Millisecond
	// rankStep is the delay for each VM that ranks before this one in its failure domain: the
	// time of a dial and a list. crossDomainStep is the delay for each upstream peer in another
	// domain; each such domain has two of them. With rankStep for these too, the first VM of the
	// last of six domains waited for 4 s, and 43 of 195 VMs could no longer prove that their keys
	// are valid.
	rankStep        = 400 * time.Millisecond
	crossDomainStep = 40 * time.Millisecond
	// maxPeersPerSearch bounds how many peers one search calls.
	maxPeersPerSearch = 3
)

// Run keeps the spaces up to date until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	if r.Bootstrap != nil {
		r.Bootstrap(ctx)
	}
	r.askPeers(ctx)
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

// seek searches for a peer to read from until this VM's rank lets it read the store.
func (r *Reader) seek(ctx context.Context) (*client, Peer) {
	for began := clock.Now(); ctx.Err() == nil; timing.Sleep(ctx, seekInterval) {
		if c, p := r.find(ctx, r.UpstreamPeers()); c != nil {
			return c, p
		}
		if clock.Since(began) >= r.storeDelay(clock.Now()) {
			return nil, Peer{}
		}
	}
	return nil, Peer{}
}

// storeDelay returns how long this VM waits for the responsive VMs that rank before it, until
// it reads the store itself.
func (r *Reader) storeDelay(now time.Time) time.Duration {
	var sum time.Duration
	for _, p := range r.UpstreamPeers() {
		switch {
		case r.avoid.unresponsive(p.VM, now):
		case p.CrossDomain:
			sum += crossDomainStep
		default:
			sum += rankStep
		}
	}
	return sum
}

// Source returns the peer that this VM reads from now, or "store". Safe for concurrent use.
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

// direct reads the store until a peer serves.
func (r *Reader) direct(ctx context.Context) (*client, Peer) {
	r.setSource(storeSource, "no upstream peer serves")
	storeCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.ReadStore(storeCtx) })
	defer wg.Wait()
	defer cancel()
	var assisted time.Time // when this VM last looked for a peer that assists
	for checked := clock.Now(); timing.Sleep(ctx, assistInterval); {
		if clock.Since(checked) >= checkInterval {
			checked = clock.Now()
			if c, p := r.find(ctx, r.UpstreamPeers()); c != nil {
				return c, p
			}
		}
		if r.storeLost() && clock.Since(assisted) >= checkInterval {
			if c, p := r.assist(ctx); c != nil {
				return c, p
			}
			assisted = clock.Now()
		}
	}
	return nil, Peer{}
}

// storeLost reports whether the store has not answered this VM for too long.
func (r *Reader) storeLost() bool {
	return r.AssistPeers != nil && clock.Since(r.StoreAnswered()) >= r.AssistAfter
}

// Assisted reports whether this VM reads from a peer because the store does not answer it. Such a VM serves
// no others, so that no two VMs read from each other.
func (r *Reader) Assisted() bool { return r.assisted.Load() }

// assist reads from a peer until the store answers this VM again or the peer fails, or until a peer that ranks before
// this VM serves, which it returns. This VM goes on calling the store meanwhile.
func (r *Reader) assist(ctx context.Context) (upstream *client, peer Peer) {
	r.assisted.Store(true)
	defer r.assisted.Store(false)
	c, p := r.findWithin(ctx, r.AssistPeers(), r.AssistAfter)
	if c == nil {
		return nil, Peer{}
	}
	defer c.close()
	r.setSource(string(p.VM), "the store does not answer this VM")
	defer r.setSource(storeSource, "the store answers again, or the peer does not")
	began := clock.Now()
	for checked := began; r.StoreAnswered().Before(began); {
		err := c.read(ctx, r.readWait())
		if ctx.Err() != nil {
			return nil, Peer{}
		}
		if err != nil {
			r.lost()
			r.avoidPeer(p, err)
			return nil, Peer{}
		}
		r.avoid.succeeded(p.VM)
		if clock.Since(checked) >= checkInterval {
			checked = clock.Now()
			if upstream, peer = r.find(ctx, r.UpstreamPeers()); upstream != nil {
				return upstream, peer
			}
		}
	}
	return nil, Peer{}
}

// readWait returns the longest time that a read waits for a change.
func (r *Reader) readWait() time.Duration {
	if r.Wait > 0 {
		return min(readWait, r.Wait)
	}
	return readWait
}

// find returns the first of some peers that serves, after its first response has been applied.
func (r *Reader) find(ctx context.Context, peers []Peer) (*client, Peer) {
	return r.findWithin(ctx, peers, 0)
}

// findWithin is find with a bound on the time since the store has answered the peer; zero: the bounds of upstream
// peers. VMs that read the store for themselves only call it less often than those.
func (r *Reader) findWithin(ctx context.Context, peers []Peer, maxAge time.Duration) (*client, Peer) {
	called := 0
	for _, p := range peers {
		if r.avoid.avoids(p.VM, clock.Now()) {
			continue
		}
		if called++; called > maxPeersPerSearch {
			break
		}
		c, err := dial(p, r.Spaces, r.Meter)
		if err == nil {
			if maxAge > 0 {
				c.maxAge = maxAge
			}
			err = c.read(ctx, 0)
			if err == nil {
				return c, p
			}
			c.close()
		}
		if ctx.Err() != nil {
			break
		}
		r.avoidPeer(p, err)
	}
	return nil, Peer{}
}

// avoidPeer records a failed read, so that the peer is not called for a while.
func (r *Reader) avoidPeer(p Peer, err error) {
	now := clock.Now()
	switch {
	case errors.Is(err, errStarting):
		r.avoid.avoidUntil(p.VM, now.Add(avoidStarting))
		return
	case errors.Is(err, errStale):
		r.avoid.avoidUntil(p.VM, now.Add(avoidStale))
	default:
		r.avoid.failed(p.VM, now)
	}
	r.Log.State("peer-left").Str("peer", string(p.VM)).Str("error", err.Error()).Send()
}

// follow reads from a peer until it fails or a preferred one may be called again.
func (r *Reader) follow(ctx context.Context, c *client, p Peer) {
	defer c.close()
	r.setSource(string(p.VM), "upstream peer serves")
	for r.preferred(p) {
		err := c.read(ctx, r.readWait())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.lost()
			r.avoidPeer(p, err)
			return
		}
		r.avoid.succeeded(p.VM)
	}
}

// lost tells the spaces that they are not kept up to date at present.
func (r *Reader) lost() {
	for _, s := range r.Spaces {
		s.Unavailable()
	}
}

// preferred reports whether a peer is still the first one to read from.
func (r *Reader) preferred(p Peer) bool {
	for _, other := range r.UpstreamPeers() {
		if other.VM == p.VM {
			return other.Addr == p.Addr
		}
		if !r.avoid.avoids(other.VM, clock.Now()) {
			return false
		}
	}
	return false
}
