package links

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/tunnel"
	"github.com/threadwall/threadwall/internal/tunnelpb"
)

// errNoPeer is the error of a connection through peers if none could be asked.
var errNoPeer = eris.New("no peer can be asked")

// errRefusedAtPeer is the error if the target refuses a peer's connection.
var errRefusedAtPeer = eris.New("the target refuses a peer's connection")

// throughPeers connects to a target through the first peer that reaches it. Peers are asked one after the
// other, the next one also if one takes long. verify, unless nil, checks the connection before it counts.
func (t *Table) throughPeers(ctx context.Context, tgt Target, verify func(net.Conn) error) (net.Conn, error) {
	peers := t.askable(tgt)
	if len(peers) == 0 {
		return nil, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make(chan dialed, len(peers))
	var lastErr error
	for asked, pending := 0, 0; asked < len(peers) || pending > 0; {
		if asked < len(peers) {
			p := peers[asked]
			asked, pending = asked+1, pending+1
			go func() {
				c, err := t.through(ctx, p, tgt)
				if err == nil && verify != nil {
					if err = verify(c); err != nil {
						_ = c.Close()
						c = nil
					}
				}
				results <- dialed{c, err}
			}()
		}
		timer := time.NewTimer(peerHedgeDelay)
		if asked == len(peers) {
			timer.Stop()
		}
		select {
		case d := <-results:
			timer.Stop()
			pending--
			if d.err == nil {
				closeAll(results, pending)
				t.reachedByPeer(tgt)
				return d.conn, nil
			}
			if lastErr = d.err; errors.Is(d.err, errRefusedAtPeer) {
				closeAll(results, pending)
				t.refusedAtPeer(tgt)
				t.waitToAsk(tgt)
				return nil, d.err
			}
		case <-timer.C:
		case <-ctx.Done():
			closeAll(results, pending)
			t.waitToAsk(tgt)
			return nil, eris.Wrap(context.Cause(ctx), "connect through peers")
		}
	}
	t.waitToAsk(tgt)
	return nil, lastErr
}

// closeAll closes the connections of n further results.
func closeAll(results chan dialed, n int) {
	if n == 0 {
		return
	}
	go func() {
		for range n {
			if d := <-results; d.conn != nil {
				_ = d.conn.Close()
			}
		}
	}()
}

// through connects to a target through one peer.
func (t *Table) through(ctx context.Context, p tunnel.Peer, tgt Target) (net.Conn, error) {
	c, err := t.Tunnels.Dial(ctx, p, tgt.ID)
	if err == nil {
		return c, nil
	}
	var refusal *tunnel.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Result == tunnelpb.Result_REFUSED:
		return nil, errors.Join(errRefusedAtPeer, err)
	case status.Code(err) == codes.Unimplemented:
		t.avoidUntil(p.VM, clock.Now().Add(avoidOldPeer))
	case ctx.Err() != nil, errors.Is(err, tunnel.ErrFull):
	case refusal != nil && (refusal.Result == tunnelpb.Result_NO_ANSWER || refusal.Result == tunnelpb.Result_UNKNOWN):
		// It says something about the target and nothing about the peer.
	default:
		t.avoidUntil(p.VM, clock.Now().Add(avoidPeer))
	}
	return nil, err
}

// askable returns the peers that may be asked for a connection to a target now.
func (t *Table) askable(tgt Target) (out []tunnel.Peer) {
	if t.Peers == nil {
		return nil
	}
	now := clock.Now()
	t.mu.Lock()
	wait := now.Before(t.linkOf(tgt).askAgain)
	t.mu.Unlock()
	if wait {
		return nil
	}
	all := t.Peers(tgt.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range all {
		if !now.Before(t.avoid[p.VM]) {
			out = append(out, p)
		}
	}
	return out
}

// waitToAsk records that no peer has reached a target. A lost link is exempt: the peers that were asked may
// just have ended.
func (t *Table) waitToAsk(tgt Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.linkOf(tgt); !l.lost {
		l.askAgain = clock.Now().Add(askAgainAfter)
	}
}

func (t *Table) avoidUntil(vm ids.VM, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.avoid == nil {
		t.avoid = map[ids.VM]time.Time{}
	}
	now := clock.Now()
	for other, at := range t.avoid {
		if now.After(at) {
			delete(t.avoid, other)
		}
	}
	t.avoid[vm] = until
}

// Serve connects to a target for a peer, over this VM's own link only.
func (t *Table) Serve(ctx context.Context, tgt Target) (net.Conn, tunnelpb.Result) {
	if t.suspects(tgt) {
		return nil, tunnelpb.Result_CUT_OFF
	}
	began := clock.Now()
	c, err := t.dial(ctx, tgt)
	switch {
	case err == nil:
		return c, tunnelpb.Result_CONNECTED
	case isRefused(err) && t.heardSince(began.Add(-recentContact)):
		return nil, tunnelpb.Result_REFUSED
	default:
		return nil, tunnelpb.Result_NO_ANSWER
	}
}

// suspects reports whether this VM's own link to a target is lost, or probably is: dials fail, and there
// was no contact with any target meanwhile.
func (t *Table) suspects(tgt Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.linkOf(tgt)
	return l.lost || !l.failedSince.IsZero() && t.lastHeard.Before(l.failedSince)
}

// heardSince reports whether this VM had contact with any target since a moment.
func (t *Table) heardSince(moment time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastHeard.After(moment)
}
