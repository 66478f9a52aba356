package mirror

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Peer is a VM that this one may read from.
type Peer struct {
	VM   ids.VM
	Addr string // ip:port
	// CrossDomain marks a peer of another failure domain.
	CrossDomain bool
}

// Timing of a reader. When a replica writes to the store that it is leaving, every VM must know
// this within 3 s, also if the VM that reads the store for the others loses contact with it at that
// moment: detecting the loss, waiting for this VM's rank, and reading the store takes at most 2.5 s
// (TestMaxBlindTime adds it up).
const (
	// maxContactAge is how long ago the store may last have answered an upstream peer: the time
	// of a watch of 0.6 s and of one more read. crossDomainMaxAge is the same for a peer of
	// another domain, whose data this VM forwards to others.
	maxContactAge     = 1200 * time.Millisecond
	crossDomainMaxAge = time.Second
	// readWait is the longest time that a read waits for a change at the peer.
	readWait = 400 * time.Millisecond
	// readTimeout bounds a read, in addition to its wait.
	readTimeout = 400 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxResponseBytes bounds a response: a whole configuration and its documents.
	maxResponseBytes = 16 << 20
)

// client reads from one peer.
type client struct {
	conn     *grpc.ClientConn
	maxAge   time.Duration // longest time since the store answered the peer
	spaces   []*Space
	have     []position    // position in each space of the peer
	partials []partialCopy // full copies of which some chunks are missing
}

// partialCopy holds the chunks received so far of a full copy. The age of the copy is that of
// its first chunk.
type partialCopy struct {
	at       follow.At
	regained bool
	objects  []objectapi.Object
}

func dial(p Peer, spaces []*Space, meter *traffic.Meter) (*client, error) {
	conn, err := grpc.NewClient("passthrough:///"+p.Addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := sockets.Dialer(dialTimeout).DialContext(ctx, "tcp4", addr)
			if err != nil {
				return nil, err
			}
			return meter.Conn(nc, traffic.Mirror, traffic.Mirror), nil
		}))
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", p.VM)
	}
	maxAge := maxContactAge
	if p.CrossDomain {
		maxAge = crossDomainMaxAge
	}
	return &client{conn: conn, maxAge: maxAge, spaces: spaces, have: make([]position, len(spaces)), partials: make([]partialCopy, len(spaces))}, nil
}

func (c *client) close() { _ = c.conn.Close() } // no call is in flight

// errStale is returned for a peer whose last contact with the store is too long ago.
var errStale = eris.New("peer has lost contact with the store")

// errStarting is returned for a peer that has not read the store yet.
var errStarting = eris.New("peer has not read the store yet")

// read calls the peer once and applies its response. The peer waits up to wait for a change.
func (c *client) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	r := &mirrorpb.ReadRequest{WaitMs: uint32(wait.Milliseconds())}
	for i, s := range c.spaces {
		r.Have = append(r.Have, &mirrorpb.Position{Prefix: s.Prefix, Copy: c.have[i].copyID, Change: c.have[i].change, Behind: c.have[i].afterKey})
	}
	sent := clock.Now()
	resp, err := mirrorpb.NewMirrorClient(c.conn).Read(ctx, r)
	if status.Code(err) == codes.FailedPrecondition {
		return errStarting
	}
	if status.Code(err) == codes.Aborted {
		return errStale
	}
	if err != nil {
		return eris.Wrap(err, "read the store's contents from a peer")
	}
	if len(resp.Parts) != len(c.spaces) {
		return eris.Errorf("response has %d parts, want %d (one per key space)", len(resp.Parts), len(c.spaces))
	}
	if err := c.validate(resp); err != nil {
		return err
	}
	for i, p := range resp.Parts {
		if len(p.Packed) > 0 {
			if p.Objects, err = unpack(p.Packed); err != nil {
				return err
			}
		}
		c.apply(i, p, sent)
	}
	return nil
}

// validate checks that a response matches the request, and that the store has answered the peer for
// at least one key space within maxAge.
func (c *client) validate(resp *mirrorpb.ReadAnswer) error {
	maxAge := uint64(c.maxAge.Microseconds())
	youngest := maxAge + 1
	for i, p := range resp.Parts {
		if p.Prefix != c.spaces[i].Prefix {
			return eris.Errorf("response has key space %q, want %q", p.Prefix, c.spaces[i].Prefix)
		}
		youngest = min(youngest, p.ContactUs)
	}
	if youngest > maxAge {
		return errStale
	}
	return nil
}

// apply passes a part to its space. It collects the chunks of a full copy and passes them with the
// last one.
func (c *client) apply(i int, p *mirrorpb.Part, sent time.Time) {
	s := c.spaces[i]
	c.have[i] = position{copyID: p.Copy, change: p.Change}
	at := follow.At{Revision: objectapi.Revision(p.Revision), Sent: before(sent, p.AgeUs), Answered: before(clock.Now(), p.ContactUs), Relayed: true}
	if p.EraAgeUs > 0 {
		at.EraSince = before(clock.Now(), p.EraAgeUs)
	}
	if p.Regained && p.RegainedAgeUs > 0 {
		at.Regained = before(clock.Now(), p.RegainedAgeUs)
	}
	objects := make([]objectapi.Object, 0, len(p.Objects))
	for _, o := range p.Objects {
		objects = append(objects, objectapi.Object{Key: o.Key, Value: o.Value, Version: objectapi.Revision(o.Version), Deleted: o.Deleted})
	}
	switch {
	case p.Whole:
		full := &c.partials[i]
		if p.Behind == "" {
			*full = partialCopy{at: at, regained: p.Regained}
		}
		full.objects = append(full.objects, objects...)
		if p.More && len(objects) > 0 {
			c.have[i].afterKey = objects[len(objects)-1].Key
			return
		}
		full.at.Answered = at.Answered
		s.Listed(full.objects, full.at, full.regained)
		*full = partialCopy{}
	case len(objects) > 0:
		s.Changed(objects, at)
	default:
		s.Unchanged(at)
	}
}

// before returns the time us microseconds before t.
func before(t time.Time, us uint64) time.Time { return t.Add(-time.Duration(us) * time.Microsecond) }

// avoidance records which peers failed and until when they are not called.
type avoidance struct {
	mu    sync.Mutex
	until map[ids.VM]time.Time
	fails map[ids.VM]int // consecutive failures; zero: the peer answers
}

const (
	// avoidStale is how long a peer that answers but has lost the store is avoided.
	avoidStale = 300 * time.Millisecond
	// avoidStarting is how long a peer that has not read the store yet is avoided. That read
	// takes some tens of milliseconds.
	avoidStarting = 100 * time.Millisecond
	// avoidFirst is how long a peer is avoided after its first failure; the time doubles with
	// each consecutive failure up to avoidFirst << maxAvoidDoublings.
	avoidFirst        = 2 * time.Second
	maxAvoidDoublings = 4
)

// failed records a failed call and sets until when the peer is avoided.
func (a *avoidance) failed(vm ids.VM, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until, a.fails = map[ids.VM]time.Time{}, map[ids.VM]int{}
	}
	a.until[vm] = now.Add(avoidFirst << min(a.fails[vm], maxAvoidDoublings))
	a.fails[vm]++
}

// avoidUntil records that a peer answers but can't serve the store's contents, and is not called
// until the given time.
func (a *avoidance) avoidUntil(vm ids.VM, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until, a.fails = map[ids.VM]time.Time{}, map[ids.VM]int{}
	}
	a.until[vm] = until
	delete(a.fails, vm)
}

// unresponsive reports whether a peer is avoided because its last call failed.
func (a *avoidance) unresponsive(vm ids.VM, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fails[vm] > 0 && now.Before(a.until[vm])
}

// succeeded ends the avoidance of a peer.
func (a *avoidance) succeeded(vm ids.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.until, vm)
	delete(a.fails, vm)
}

// avoids reports whether a peer must not be called now.
func (a *avoidance) avoids(vm ids.VM, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[vm])
}
