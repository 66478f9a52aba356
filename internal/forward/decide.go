package forward

import (
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
)

// WantedWeights tells which weights of a model operators want.
type WantedWeights interface {
	// Wanted returns the newest version, for how long it has been named, and how much
	// longer older ones may be used. Empty: none was named.
	Wanted(m ids.Model, now time.Time) (newest ids.WeightsVersion, since time.Duration, old []routing.WeightsBound)
	// Left tells whether weights are older than the newest, and how much longer they
	// may be used; negative when they no longer may.
	Left(m ids.Model, has ids.WeightsVersion, now time.Time) (left time.Duration, behind bool)
}

// choice is a decided replica and what goes along with the call.
type choice struct {
	target         routing.Target
	wait           time.Duration  // predicted until the first event
	queue          time.Duration  // of that, until the replica turns to the call
	rate           float32        // tokens/s at which the replica is taken to work
	age            time.Duration  // of what was known of the replica's load
	levels         []prefix.Level // shared parts
	work           int32          // tokens that the replica is expected to compute
	salt           string
	home           string // address of the replica that computes shared parts which nobody is known to hold; empty: the target
	fetch          string
	save           string
	pass           *canary.Pass // to the target's version; nil: versions are not told apart
	representative bool         // how long the answer takes shows how fast the target is
}

// noTargetRetryAfter is when a caller should come back when no replica can serve: about
// the time in which a replica's return is noticed.
const noTargetRetryAfter = 200 * time.Millisecond

// newWeightsGrace is how long after weights were named nothing is preferred for having
// them: operators give that time, and the first engines that have them would get
// everybody's requests at once.
const newWeightsGrace = time.Second

// decide picks a replica of the call's service.
func (r *run) decide() (choice, *outcome.Error) {
	f := r.f
	req := routing.Request{Service: r.service, FailureDomain: f.Domain, Seed: f.Fleet.Seed()}
	var parts []kvcache.Part
	p := r.call.Prompt
	if p != nil && r.route.Prompts {
		wall := r.catalog.Wall(r.workspace)
		parts = kvcache.Shared(p.Parts)
		req.Levels = kvcache.Levels(wall, p.Model, parts)
		req.Tokens = p.Tokens
		req.FetchRate = f.KV.FetchRate
		req.Pending = f.KV.computingTarget(req.Levels)
		r.addRendezvousTargets(req.Levels)
		newest, since, old := f.Weights.Wanted(p.Model, clock.Now())
		req.OldWeights, req.Once = old, !r.route.Repeatable() || r.route.Kind != streamKind
		if since >= newWeightsGrace {
			req.Weights = newest
		}
	}
	sc := f.Fleet.Acquire()
	defer f.Fleet.Release(sc)
	snap, d, pass := r.choose(&req, sc)
	if d.Index < 0 {
		r.logNoTarget(sc)
		return choice{}, outcome.New(outcome.NotRun, outcome.CodeNoTarget, "decide", "", "no replica can take the call now").After(f.Fleet.ComeBack(&req, snap, sc, noTargetRetryAfter))
	}
	c := choice{
		target: snap.View.Targets[d.Index], wait: seconds(d.PredictedTTFT), queue: seconds(d.QueueWait), rate: d.Rate,
		age: f.Fleet.LoadAge(snap, d.Index), pass: pass, representative: isRepresentative(snap, d.Index, &sc.Inputs[d.Index]), levels: req.Levels, work: max(req.Tokens-d.Cached, 0),
	}
	if len(req.Levels) > 0 || p != nil && r.route.Prompts {
		wall := r.catalog.Wall(r.workspace)
		c.salt = kvcache.Salt(c.target.Weights, wall)
		c.home = homeOf(&c, snap, sc.Routing.Home())
		f.KV.plan(&c, &req, snap, sc, r.kvStore(req.Levels), wall, p.Model, parts)
	}
	r.logDecision(snap, &d, sc, &c)
	refusal := r.shed(&c)
	if refusal != nil {
		f.Fleet.GiveBack(c.target.ID)
		c.pass.End()
	}
	return c, refusal
}

// rendezvousTargets is how many replicas come first for a prefix: a second one for when the first is gone.
const rendezvousTargets = 2

// addRendezvousTargets lets the decision know where all VMs compute the prompt's shared levels, though these
// replicas may be none of this VM's.
func (r *run) addRendezvousTargets(levels []prefix.Level) {
	if r.f.AddRendezvousTargets != nil && len(levels) > 0 {
		r.f.AddRendezvousTargets(r.service, routing.HomeKey(levels), rendezvousTargets)
	}
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// homeOf returns the address of the home, unless that is the choice itself or has
// other weights.
func homeOf(c *choice, snap *fleet.Snapshot, home int) string {
	if home < 0 || home >= len(snap.View.Targets) {
		return ""
	}
	t := &snap.View.Targets[home]
	if t.ID == c.target.ID || t.Weights != c.target.Weights {
		return ""
	}
	return t.Addr
}

// kvStore returns the store for a prompt; nil: none.
func (r *run) kvStore(levels []prefix.Level) *catalog.KVStore {
	if len(levels) == 0 {
		return nil
	}
	return r.catalog.KVStoreOf(uint64(levels[len(levels)-1].ID), r.f.KV.usable)
}

func (r *run) logDecision(snap *fleet.Snapshot, d *routing.Decision, sc *fleet.Scratch, c *choice) {
	in := &sc.Inputs[d.Index]
	r.f.Log.Request("decide", string(r.call.ID)).Str("service", r.service).Str("target", string(c.target.ID)).
		Str("weights", string(c.target.Weights)).Int("attempt", r.sends+1).
		Float32("cost_s", d.Cost).Int32("cached", d.Cached).Int32("best_cached", d.BestCached).
		Int64("predicted_ms", c.wait.Milliseconds()).Float32("rate", c.rate).Float32("queue_tokens", in.QueueTokens).Int32("in_flight", in.InFlight).Float32("fail_rate", in.FailRate).
		Int64("view_age_ms", snap.Age(clock.Now()).Milliseconds()).Int("eligible", sc.Routing.Filtered[routing.Passed]).
		Str("levels", levelText(c.levels)).Str("home", c.home).Str("fetch", c.fetch).Str("save", c.save).Uint64("catalog", r.catalog.Version).Send()
}

// levelText names the shared levels of a prompt in logs, as id:tokens up to its end.
func levelText(levels []prefix.Level) string {
	b := make([]byte, 0, levelTextBytes*len(levels))
	for i, l := range levels {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(l.ID), 36)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(l.Tokens), 10)
	}
	return string(b)
}

// levelTextBytes is the usual size of one level in a log, in bytes.
const levelTextBytes = 20

func (r *run) logNoTarget(sc *fleet.Scratch) {
	line := r.f.Log.Request("no-target", string(r.call.ID)).Str("service", r.service)
	for reason, n := range sc.Routing.FilteredByName() {
		line = line.Int(reason, n)
	}
	line.Send()
}
