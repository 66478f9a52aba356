package edge

import (
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/mirror"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// answerMargin is how much later than after ProofEvery, the longest wait of the watch of the configuration, its
// answer may arrive until the store counts as not answering.
const answerMargin = 300 * time.Millisecond

// storeAnswers is a handler that records when the store has answered this VM's own calls.
type storeAnswers struct {
	follow.Handler
	at *atomic.Int64 // of the latest answer, in nanoseconds since the daemon's start
	d  *Daemon
}

func (s *storeAnswers) record() { s.at.Store(int64(clock.Since(s.d.started))) }

// Listed implements follow.Handler.
func (s *storeAnswers) Listed(objects []objectapi.Object, at follow.At, regained bool) {
	s.record()
	s.Handler.Listed(objects, at, regained)
}

// Changed implements follow.Handler.
func (s *storeAnswers) Changed(events []objectapi.Object, at follow.At) {
	s.record()
	s.Handler.Changed(events, at)
}

// Unchanged implements follow.Handler.
func (s *storeAnswers) Unchanged(at follow.At) {
	s.record()
	s.Handler.Unchanged(at)
}

// storeAnsweredAt returns when the store last answered this VM's own calls about the configuration, or the start
// of the daemon.
func (d *Daemon) storeAnsweredAt() time.Time {
	return d.started.Add(time.Duration(d.storeAnswered.Load()))
}

// Assisted reports whether this VM reads from a peer because the store does not answer it.
func (d *Daemon) Assisted() bool { return d.reader.Assisted() }

// assistPeers returns the live VMs that this VM reads from while the store does not answer it, those of its own
// failure domain first.
func (c *vmList) assistPeers() []mirror.Peer {
	same, other := c.livePeers("assists")
	out := make([]mirror.Peer, 0, len(same)+len(other))
	for _, r := range same {
		out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr})
	}
	for _, r := range other {
		out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr, CrossDomain: true})
	}
	return out
}
