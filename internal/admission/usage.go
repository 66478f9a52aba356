package admission

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// usage holds exponentially decaying token counts by workspace.
type usage struct {
	halfLife    time.Duration
	byWorkspace map[ids.Workspace]*tokenUsage
	total       float64 // tokens of all workspaces at the last sweep
	weights     float64 // sum over workspaces with recent usage at the last sweep
	lastSweep   time.Time
}

type tokenUsage struct {
	tokens float64
	weight float64
	at     time.Time
}

// minTokens is the usage, in tokens, below which a workspace's entry is deleted.
const minTokens = 1

// minSweepInterval is the least interval between two sweeps.
const minSweepInterval = time.Second

func newUsage(halfLife time.Duration) *usage {
	return &usage{halfLife: halfLife, byWorkspace: map[ids.Workspace]*tokenUsage{}}
}

func (u *usage) setWeight(ws ids.Workspace, w float64) {
	if x := u.byWorkspace[ws]; x != nil {
		x.weight = w
		return
	}
	u.byWorkspace[ws] = &tokenUsage{weight: w}
}

func (u *usage) add(ws ids.Workspace, tokens float64, now time.Time) {
	x := u.byWorkspace[ws]
	if x == nil {
		x = &tokenUsage{weight: 1}
		u.byWorkspace[ws] = x
	}
	x.tokens = u.decayed(x, now) + tokens
	x.at = now
}

func (u *usage) decayed(x *tokenUsage, now time.Time) float64 {
	if x.tokens == 0 {
		return 0
	}
	return x.tokens * math.Exp2(-float64(now.Sub(x.at))/float64(u.halfLife))
}

// overShare returns a workspace's recent usage divided by its fair share among the
// workspaces with recent usage: 1 is exactly its share. A single active workspace has
// the whole capacity as its share.
func (u *usage) overShare(ws ids.Workspace, now time.Time) float64 {
	if now.Sub(u.lastSweep) > minSweepInterval {
		u.sweep(now)
	}
	x := u.byWorkspace[ws]
	if x == nil || u.total <= 0 || u.weights <= 0 {
		return 0
	}
	return (u.decayed(x, now) / u.total) / (max(x.weight, minWeight) / u.weights)
}

// minWeight prevents a division by a weight of zero.
const minWeight = 1e-6

// sweep recomputes the totals and deletes the entries of idle workspaces.
func (u *usage) sweep(now time.Time) {
	u.lastSweep, u.total, u.weights = now, 0, 0
	for ws, x := range u.byWorkspace {
		t := u.decayed(x, now)
		if t < minTokens && !x.at.IsZero() {
			delete(u.byWorkspace, ws)
			continue
		}
		if t > 0 {
			u.total += t
			u.weights += x.weight
		}
	}
}
