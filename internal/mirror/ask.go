package mirror

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/clock"
)

const (
	// maxAskedPeers is how many peers a starting VM asks for their copies.
	maxAskedPeers = 3
	// askTimeout bounds that question: a peer answers within some milliseconds.
	askTimeout = 150 * time.Millisecond
	// anyAge accepts a copy of a peer however long ago the store last answered it.
	anyAge = 24 * time.Hour
)

// askPeers reads the copies of some peers once, at the start of a VM that reads the store by itself. If the
// store has just come back from an older copy, peers know what it has lost, such as a key that was taken
// away. What the store answers afterwards is newer than their copies. If none answers, and not because none
// runs, the store counts as having come back just now.
func (r *Reader) askPeers(ctx context.Context) {
	if r.StartPeers == nil {
		return
	}
	peers := r.StartPeers()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answered, unresponsive atomic.Int32
	var asked sync.WaitGroup
	for _, p := range peers[:min(len(peers), maxAskedPeers)] {
		asked.Go(func() {
			err := r.ask(ctx, p)
			switch {
			case err == nil:
				answered.Add(1)
				return
			case status.Code(err) == codes.DeadlineExceeded:
				unresponsive.Add(1)
			}
			r.Log.State("peer-copy-unavailable").Str("peer", string(p.VM)).Str("error", err.Error()).Send()
		})
	}
	asked.Wait()
	if answered.Load() > 0 || unresponsive.Load() == 0 {
		return
	}
	for _, s := range r.Spaces {
		s.assumeNewEra(clock.Now())
	}
}

// ask reads one peer's copies.
func (r *Reader) ask(ctx context.Context, p Peer) error {
	c, err := dial(p, r.Spaces, r.Meter)
	if err != nil {
		return err
	}
	defer c.close()
	c.maxAge = anyAge
	for {
		if err := c.read(ctx, 0); err != nil {
			return err
		}
		if !slices.ContainsFunc(c.have, func(p position) bool { return p.afterKey != "" }) {
			return nil
		}
	}
}
