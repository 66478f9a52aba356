package fleet

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// Brittle targets fall over if they have to refuse too many requests within a second. The VMs therefore share a
// brittle target's slots: each keeps at most its share in flight, which the target never has to refuse if
// all do. Beyond its share a VM sends only while the target is known to be mostly idle, and after
// a refusal it sends nothing for as long as its part of the refusals that the target can bear requires.

const (
	// idleShare is the fraction of a target's slots up to which requests in flight count as mostly idle. The other
	// VMs' loads are some hundred milliseconds old.
	idleShare = 0.5
	// lowShare is the same for VMs that have no share, of which there may be many.
	lowShare = 0.25
	// minHoldBack and maxHoldBack bound the time without requests after a refusal.
	minHoldBack = 250 * time.Millisecond
	maxHoldBack = 3 * time.Second
)

// position returns this VM's position among the VMs that send to a target.
func (f *Fleet) position(id ids.Target) ratelimit.Position {
	p := ratelimit.Position{Live: 1, Listed: 1}
	if f.Members.Limits.Position != nil {
		p = f.Members.Limits.Position(id)
	}
	p.Live = max(p.Live, 1)
	return p
}

// slotShare returns how many of a target's slots are this VM's.
func slotShare(slots int, p ratelimit.Position) int {
	share := slots / p.Live
	if p.Rank < slots%p.Live {
		share++
	}
	return share
}

// hasRoom reports whether a further request of this VM is expected to find room at a brittle target.
func (f *Fleet) hasRoom(b membership.BrittleTarget, slots int, l loadview.Load) bool {
	p := f.position(b.ID)
	share := slotShare(slots, p)
	switch withoutShare := max(p.Live-slots, 0); {
	case l.OwnInFlight < share:
		return true
	case share == 0:
		return l.InFlight == 0 || float64(l.InFlight+1) <= lowShare*float64(slots)
	default: // so few VMs that the target can bear to refuse them all
		return float64(p.Rank+withoutShare) < b.Refusals && float64(l.InFlight+1) <= idleShare*float64(slots)
	}
}

// Refused records that a target has refused a request. If the target is brittle, this VM sends it nothing for a while.
func (f *Fleet) Refused(id ids.Target, now time.Time) {
	b := f.Members.BrittleOf(id)
	if !b.Announced {
		return
	}
	pause := time.Duration(float64(f.position(id).Live) / max(b.Refusals, 1) * float64(time.Second))
	f.Members.HoldBack(id, now.Add(min(max(pause, minHoldBack), maxHoldBack)))
	f.MarkDirty()
}
