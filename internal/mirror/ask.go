package mirror

import (
	"context"
	"slices"
	"sync"
	"time"
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
// away. What the store answers afterwards is newer than their copies.
func (r *Reader) askPeers(ctx context.Context) {
	if r.StartPeers == nil {
		return
	}
	peers := r.StartPeers()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, p := range peers[:min(len(peers), maxAskedPeers)] {
		asked.Go(func() {
			if err := r.ask(ctx, p); err != nil {
				r.Log.State("peer-not-asked").Str("peer", string(p.VM)).Str("error", err.Error()).Send()
			}
		})
	}
	asked.Wait()
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
