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

// Peer is a VM to read from.
type Peer struct {
	VM   ids.VM
	Addr string // ip:port
	// CrossDomain tells that it reads for VMs of other failure domains, from the store itself.
	CrossDomain bool
}

// Times of a reader. A replica that leaves must be known within three seconds of its word
// to the store, also where the VM that reads the store is cut off from it at that moment:
// its silence is noticed, others take their turns, and what they read is asked for, within
// 2.5 s (TestBlindTime adds it up).
const (
	// freshAge is how long ago the store may last have answered a speaker, and freshFar the
	// same of a far one, from whose answers others are answered: a watch of 0.6 s, and one
	// question more.
	freshAge = 1200 * time.Millisecond
	freshFar = time.Second
	// questionWait is how long a question waits for a change, at most.
	questionWait = 400 * time.Millisecond
	// questionTimeout bounds a question beyond its wait.
	questionTimeout = 400 * time.Millisecond
	dialTimeout     = 300 * time.Millisecond
	// maxAnswer bounds an answer, in bytes: a whole configuration and its documents.
	maxAnswer = 16 << 20
)

// client asks one peer.
type client struct {
	conn   *grpc.ClientConn
	fresh  time.Duration // how long ago the store may have answered the peer
	spaces []*Space
	have   []position // of the peer's copies, one a space
	parts  []partial  // of copies that come in pieces
}

// partial is what has come of a whole copy. What it says is as old as its first piece.
type partial struct {
	at       follow.At
	regained bool
	objects  []objectapi.Object
}

func dial(p Peer, spaces []*Space, meter *traffic.Meter) (*client, error) {
	conn, err := grpc.NewClient("passthrough:///"+p.Addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswer)),
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
	fresh := freshAge
	if p.CrossDomain {
		fresh = freshFar
	}
	return &client{conn: conn, fresh: fresh, spaces: spaces, have: make([]position, len(spaces)), parts: make([]partial, len(spaces))}, nil
}

func (c *client) close() { _ = c.conn.Close() } // nothing is under way

// errStale is a speaker that has had no contact with the store for too long.
var errStale = eris.New("the peer has lost the store")

// errStarting is a speaker that has not read the store yet.
var errStarting = eris.New("the peer has not read the store yet")

// read asks once and takes the answer in.
func (c *client) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+questionTimeout)
	defer cancel()
	r := &mirrorpb.ReadRequest{WaitMs: uint32(wait.Milliseconds())}
	for i, s := range c.spaces {
		r.Have = append(r.Have, &mirrorpb.Position{Prefix: s.Prefix, Copy: c.have[i].copyID, Change: c.have[i].change, Behind: c.have[i].behind})
	}
	sent := clock.Now()
	answer, err := mirrorpb.NewMirrorClient(c.conn).Read(ctx, r)
	if status.Code(err) == codes.FailedPrecondition {
		return errStarting
	}
	if err != nil {
		return eris.Wrap(err, "ask a peer for what the store holds")
	}
	if len(answer.Parts) != len(c.spaces) {
		return eris.Errorf("%d parts answer a question about %d key spaces", len(answer.Parts), len(c.spaces))
	}
	if err := c.judge(answer); err != nil {
		return err
	}
	for i, p := range answer.Parts {
		if len(p.Packed) > 0 {
			if p.Objects, err = unpack(p.Packed); err != nil {
				return err
			}
		}
		c.take(i, p, sent)
	}
	return nil
}

// judge tells whether an answer may be used.
func (c *client) judge(answer *mirrorpb.ReadAnswer) error {
	fresh := uint64(c.fresh.Microseconds())
	youngest := fresh + 1
	for i, p := range answer.Parts {
		if p.Prefix != c.spaces[i].Prefix {
			return eris.Errorf("a part about %q answers a question about %q", p.Prefix, c.spaces[i].Prefix)
		}
		youngest = min(youngest, p.ContactUs)
	}
	if youngest > fresh {
		return errStale
	}
	return nil
}

// take passes a part on to its space, a whole copy when its last piece has come.
func (c *client) take(i int, p *mirrorpb.Part, sent time.Time) {
	s := c.spaces[i]
	c.have[i] = position{copyID: p.Copy, change: p.Change}
	at := follow.At{Revision: objectapi.Revision(p.Revision), Sent: before(sent, p.AgeUs), Answered: before(clock.Now(), p.ContactUs)}
	objects := make([]objectapi.Object, 0, len(p.Objects))
	for _, o := range p.Objects {
		objects = append(objects, objectapi.Object{Key: o.Key, Value: o.Value, Version: objectapi.Revision(o.Version), Deleted: o.Deleted})
	}
	switch {
	case p.Whole:
		whole := &c.parts[i]
		if p.Behind == "" {
			*whole = partial{at: at, regained: p.Regained}
		}
		whole.objects = append(whole.objects, objects...)
		if p.More && len(objects) > 0 {
			c.have[i].behind = objects[len(objects)-1].Key
			return
		}
		whole.at.Answered = at.Answered
		s.Listed(whole.objects, whole.at, whole.regained)
		*whole = partial{}
	case len(objects) > 0:
		s.Changed(objects, at)
	default:
		s.Unchanged(at)
	}
}

// before is a moment so many microseconds before another.
func before(t time.Time, us uint64) time.Time { return t.Add(-time.Duration(us) * time.Microsecond) }

// avoidance remembers which peers failed.
type avoidance struct {
	mu    sync.Mutex
	until map[ids.VM]time.Time
	fails map[ids.VM]int // in a row; zero: it answers
}

const (
	// avoidStale is how long a peer is left alone that answers and has lost the store.
	avoidStale = 300 * time.Millisecond
	// avoidStarting is the same for one that has not read the store yet, which takes some
	// tens of milliseconds.
	avoidStarting = 100 * time.Millisecond
	// avoidFirst is how long a peer is left alone after it failed; the time doubles with
	// each failure in a row up to avoidFirst << avoidDoublings.
	avoidFirst     = 2 * time.Second
	avoidDoublings = 4
)

func (a *avoidance) failed(vm ids.VM, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until, a.fails = map[ids.VM]time.Time{}, map[ids.VM]int{}
	}
	a.until[vm] = now.Add(avoidFirst << min(a.fails[vm], avoidDoublings))
	a.fails[vm]++
}

// stale notes that a peer answers, and has lost the store.
func (a *avoidance) stale(vm ids.VM, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until, a.fails = map[ids.VM]time.Time{}, map[ids.VM]int{}
	}
	a.until[vm] = until
	delete(a.fails, vm)
}

// gone tells whether a peer did not answer when it was last asked, and is avoided.
func (a *avoidance) gone(vm ids.VM, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fails[vm] > 0 && now.Before(a.until[vm])
}

func (a *avoidance) succeeded(vm ids.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.until, vm)
	delete(a.fails, vm)
}

func (a *avoidance) avoids(vm ids.VM, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[vm])
}
