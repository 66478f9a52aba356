// Package links connects this VM to targets, directly or through a peer, and keeps the state of this VM's
// own link to each target.
//
// A VM may lose its links to targets that its peers still reach (a partial partition). A failed connection
// alone does not show that: the target may have ended. A link counts as lost only if a peer has reached the
// target since this VM has failed to. Until then nothing is known to be wrong with the link, and nothing
// is reported about the target that only the link explains.
//
//   - Connect dials the target. If that fails or takes unusually long, it connects through a peer as well,
//     and the first connection that is established is used; nothing is written on any other.
//   - While a link is lost, Connect uses peers first, and connections that were established before the
//     loss and have brought nothing since are not reused.
//   - Lost links are probed, and used again as soon as one probe succeeds.
//   - A loss leads to checks of the other links, so that few calls find out by waiting.
package links

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/tunnel"
)

// Target is a target and its address.
type Target struct {
	ID   ids.Target
	Addr string // ip:port
}

// Delays of connecting.
const (
	// hedgeDelay is how long a dial may take before a peer is asked as well, and suspectHedgeDelay the
	// same while some link is lost. Both are longer than a round trip to a target.
	hedgeDelay        = 100 * time.Millisecond
	suspectHedgeDelay = 20 * time.Millisecond
	// peerHedgeDelay is how long a peer may take before the next one is asked as well.
	peerHedgeDelay = 60 * time.Millisecond
	// peerTimeout bounds connecting through one peer.
	peerTimeout = 400 * time.Millisecond
	// avoidPeer is how long a peer that could not help is not asked again, and avoidOldPeer the same for
	// one whose release knows no tunnels.
	avoidPeer    = 500 * time.Millisecond
	avoidOldPeer = 30 * time.Second
	// askAgainAfter is how long no peer is asked about a target that none has reached.
	askAgainAfter = time.Second
	// recentContact is the age up to which contact with a target shows that this VM's links work.
	recentContact = time.Second
)

// Table holds the state of the links. Its exported fields must be set before the first call. Safe for
// concurrent use.
type Table struct {
	// DialTimeout bounds a dial of a target.
	DialTimeout time.Duration
	// Peers returns the VMs through which a target may be reached, in order of preference. Nil or empty:
	// this VM uses its own links only.
	Peers func(id ids.Target) []tunnel.Peer
	// Tunnels opens connections through peers. It must be set if Peers is.
	Tunnels *tunnel.Client
	// Targets returns the targets that this VM sends calls to. Nil: none are checked after a loss.
	Targets func() []Target
	// OnChange is called after a link was lost or works again. It may be nil.
	OnChange func(id ids.Target, lost bool)
	Log      *eventlog.Log

	mu        sync.Mutex
	links     map[ids.Target]*link
	avoid     map[ids.VM]time.Time // until when a peer is not asked
	lastHeard time.Time            // latest contact with any target
	checking  bool                 // checkOthers runs

	// Losses counts the links that were lost.
	Losses atomic.Int64
}

// link is the state of this VM's own link to one target.
type link struct {
	addr string
	// heard is the latest contact with the target over this VM's own link.
	heard time.Time
	// failedSince is when the first failed dial since heard began; zero: none failed.
	failedSince time.Time
	// reached is the latest time at which a peer reached the target.
	reached time.Time
	lost    bool
	// askAgain is the time before which no peer is asked.
	askAgain time.Time
	probedAt time.Time
}

// linkOf returns the state of a link; a target at another address has a new link. The caller holds t.mu.
func (t *Table) linkOf(tgt Target) *link {
	l := t.links[tgt.ID]
	if l == nil || l.addr != tgt.Addr {
		if t.links == nil {
			t.links = map[ids.Target]*link{}
		}
		l = &link{addr: tgt.Addr}
		t.links[tgt.ID] = l
	}
	return l
}

// Forget drops the state of the link to a target that has ended.
func (t *Table) Forget(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.links, id)
}

// Heard records contact with a target over this VM's own link. An earlier failure then shows no loss. A lost link stays
// lost: connections from before the loss may live on.
func (t *Table) Heard(id ids.Target) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil {
		return
	}
	l.heard, t.lastHeard = now, now
	if !l.lost {
		l.failedSince = time.Time{}
	}
}

// Lost reports whether this VM has lost its own link to a target that peers reach.
func (t *Table) Lost(id ids.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	return l != nil && l.lost
}

// Usable reports whether an idle connection may carry another request. tunneled says that it leads through a
// peer, and heard is when it last brought something.
func (t *Table) Usable(id ids.Target, tunneled bool, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil || !l.lost {
		return !tunneled
	}
	return tunneled || heard.After(l.failedSince)
}

// LostLinks returns the targets to which this VM has lost its links.
func (t *Table) LostLinks() (lost []ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		if l.lost {
			lost = append(lost, id)
		}
	}
	return lost
}

// CutOff reports whether this VM has lost its links to at least half of the targets. Then it can't do what
// only a VM with links of its own can do.
func (t *Table) CutOff() bool {
	if t.Targets == nil {
		return false
	}
	all, lost := t.Targets(), 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tgt := range all {
		if l := t.links[tgt.ID]; l != nil && l.lost {
			lost++
		}
	}
	return lost > 0 && 2*lost >= len(all)
}

// Broken records that a connection of this VM's own link broke before it brought anything, since it was
// established at a time. A link may let connections be established and reset them.
func (t *Table) Broken(tgt Target, established time.Time) {
	t.mu.Lock()
	l := t.linkOf(tgt)
	if l.failedSince.IsZero() && !l.heard.After(established) {
		l.failedSince = established
	}
	t.mu.Unlock()
	t.Suspect(tgt)
}

func (t *Table) dialSucceeded(tgt Target) {
	now := clock.Now()
	t.mu.Lock()
	l := t.linkOf(tgt)
	wasLost, since := l.lost, l.failedSince
	*l = link{addr: tgt.Addr, heard: now}
	t.lastHeard = now
	t.mu.Unlock()
	if wasLost {
		t.Log.State("link-regained").Str("target", string(tgt.ID)).Int64("lost_ms", now.Sub(since).Milliseconds()).Send()
		t.changed(tgt.ID, false)
	}
}

func (t *Table) dialFailed(tgt Target, began time.Time) {
	t.mu.Lock()
	l := t.linkOf(tgt)
	if l.failedSince.IsZero() && !l.heard.After(began) {
		l.failedSince = began
	}
	t.mu.Unlock()
	t.detectLoss(tgt)
}

// reachedByPeer records that a peer has connected to a target.
func (t *Table) reachedByPeer(tgt Target) {
	t.mu.Lock()
	t.linkOf(tgt).reached = clock.Now()
	t.mu.Unlock()
	t.detectLoss(tgt)
}

// detectLoss records the loss of a link if a peer has reached the target since this VM has failed to.
func (t *Table) detectLoss(tgt Target) {
	t.mu.Lock()
	l := t.linkOf(tgt)
	lost := !l.lost && !l.failedSince.IsZero() && l.reached.After(l.failedSince)
	if lost {
		l.lost = true
	}
	since := l.failedSince
	t.mu.Unlock()
	if !lost {
		return
	}
	t.Losses.Add(1)
	t.Log.State("link-lost").Str("target", string(tgt.ID)).Str("addr", tgt.Addr).Int64("failing_ms", clock.Since(since).Milliseconds()).
		Str("evidence", "a peer reaches the target").Send()
	t.changed(tgt.ID, true)
	t.checkOthers()
}

// refusedAtPeer records that a target refuses the connections of a peer, too: it has ended, so its link
// is not at fault.
func (t *Table) refusedAtPeer(tgt Target) {
	t.mu.Lock()
	l := t.linkOf(tgt)
	wasLost := l.lost
	l.lost, l.reached = false, time.Time{}
	t.mu.Unlock()
	if wasLost {
		t.Log.State("link-unproven").Str("target", string(tgt.ID)).Str("reason", "the target refuses connections of a peer, too").Send()
	}
}

func (t *Table) changed(id ids.Target, lost bool) {
	if t.OnChange != nil {
		t.OnChange(id, lost)
	}
}
