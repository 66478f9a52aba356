package admission

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// usage is a decaying count of tokens by workspace.
type usage struct {
	halfLife time.Duration
	by       map[ids.Workspace]*used
	total    float64
	weights  float64 // of workspaces with recent use
	sweptAt  time.Time
}

type used struct {
	tokens float64
	weight float64
	at     time.Time
}

// forgetBelow is the use, in tokens, at which a workspace no longer counts.
const forgetBelow = 1

// sweepEvery bounds how often idle workspaces are looked for.
const sweepEvery = time.Second

func newUsage(halfLife time.Duration) *usage {
	return &usage{halfLife: halfLife, by: map[ids.Workspace]*used{}}
}

func (u *usage) weight(ws ids.Workspace, w float64) {
	if x := u.by[ws]; x != nil {
		x.weight = w
		return
	}
	u.by[ws] = &used{weight: w}
}

func (u *usage) add(ws ids.Workspace, tokens float64, now time.Time) {
	x := u.by[ws]
	if x == nil {
		x = &used{weight: 1}
		u.by[ws] = x
	}
	x.tokens = u.decayed(x, now) + tokens
	x.at = now
}

func (u *usage) decayed(x *used, now time.Time) float64 {
	if x.tokens == 0 {
		return 0
	}
	return x.tokens * math.Exp2(-float64(now.Sub(x.at))/float64(u.halfLife))
}

// overShare returns a workspace's recent use relative to its fair share among
// the workspaces with recent use: 1 is exactly its share. Alone it has all.
func (u *usage) overShare(ws ids.Workspace, now time.Time) float64 {
	if now.Sub(u.sweptAt) > sweepEvery {
		u.sweep(now)
	}
	x := u.by[ws]
	if x == nil || u.total <= 0 || u.weights <= 0 {
		return 0
	}
	return (u.decayed(x, now) / u.total) / (max(x.weight, forgetWeight) / u.weights)
}

// forgetWeight guards against a weight of zero.
const forgetWeight = 1e-6

// sweep recounts totals and forgets idle workspaces.
func (u *usage) sweep(now time.Time) {
	u.sweptAt, u.total, u.weights = now, 0, 0
	for ws, x := range u.by {
		t := u.decayed(x, now)
		if t < forgetBelow && !x.at.IsZero() {
			delete(u.by, ws)
			continue
		}
		if t > 0 {
			u.total += t
			u.weights += x.weight
		}
	}
}
