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
	"github.com/threadwall/threadwall/internal/verdict"
)

// WantedWeights reports which weights of a model operators want.
type WantedWeights interface {
	// Wanted returns the newest version, the time since operators declared it, and how much
	// longer older versions may be used. The version is empty if none was declared.
	Wanted(m ids.Model, now time.Time) (newest ids.WeightsVersion, since time.Duration, old []routing.WeightsBound)
	// Left reports whether weights are older than the newest version, and how much longer
	// they may be used. The time is negative once they may no longer be used.
	Left(m ids.Model, has ids.WeightsVersion, now time.Time) (left time.Duration, behind bool)
}

// choice is the replica that a decision picked, with the data that is sent along with the call.
type choice struct {
	target         routing.Target
	wait           time.Duration  // predicted time until the first event
	unscaled       time.Duration  // wait if the replica were not slow
	queue          time.Duration  // part of wait before the replica starts on the call
	rate           float32        // estimated speed of the replica, in tokens/s
	assumed        assumed        // the prediction without the measured slowdown
	age            time.Duration  // of the load report that the prediction used
	levels         []prefix.Level // shared parts of the prompt
	work           int32          // tokens that the replica is expected to compute
	salt           string
	rendezvous     string            // address of the rendezvous target; see rendezvousAddr
	fetch          string            // address to fetch KV cache from; empty: none
	save           string            // address of the store to save KV cache to; empty: none
	admission      *canary.Admission // to the target's version; nil: software versions are not distinguished
	representative bool              // the response's latency shows the speed of the target
}

// assumed is the prediction of a choice at the assumed rate of its replica. Its errors are those that the
// fleet's ratio of measured to predicted times corrects, so it contains no correction itself.
type assumed struct {
	wait time.Duration // as in choice
	best verdict.Best
	mean verdict.Queues // over all replicas of the service
}

// assumedOf returns the prediction for a choice without the slowdown that the decision used.
func assumedOf(c *choice, in *routing.Input, slowdown float64) assumed {
	slowdown = max(slowdown, 1)
	slot := min(seconds(in.SlotWait), c.queue)
	queue := time.Duration(float64(c.queue-slot) / slowdown)
	return assumed{
		wait: slot + queue + time.Duration(float64(c.wait-c.queue)/slowdown),
		best: verdict.Best{Queue: queue, Over: fleet.OverSlots(in.SlotWait), Rate: float64(c.rate) * slowdown},
	}
}

// noTargetRetryAfter is the Retry-After when no replica can serve: about the time in which
// this VM notices that a replica is back.
const noTargetRetryAfter = 200 * time.Millisecond

// newWeightsGrace is the time after new weights are declared during which engines that have them
// are not preferred. Without it the first engines with the new weights would get the requests of all
// VMs at once. Settings allow older weights for longer than that (weights_within is at least 2 s).
const newWeightsGrace = time.Second

// minOffPool is the least cost of an engine of the other pool. It is about the time in which an
// engine computes two long prompts; with less, the pools would mix as soon as a queue forms.
const minOffPool = 200 * time.Millisecond

// routingRequest returns the call as the routing policy sees it, and the shared parts of its prompt.
func (r *run) routingRequest() (req routing.Request, parts []kvcache.Part) {
	f := r.f
	req = routing.Request{Service: r.service, FailureDomain: f.Domain, Seed: f.Fleet.Seed(), MaxSilence: float32(r.maxSilence.Seconds())}
	p := r.call.Prompt
	if p == nil || !r.route.Prompts {
		return req, nil
	}
	parts = kvcache.Shared(p.Parts)
	req.Levels = kvcache.Levels(r.catalog.IsolationKey(r.workspace), p.Model, parts)
	req.Tokens = p.Tokens
	req.FetchRate = f.KV.FetchRate
	req.Pending = f.KV.computingTarget(req.Levels)
	if req.Pool = f.Fleet.PoolOf(r.service, r.route.Name); req.Pool != routing.NoPool {
		req.OffPoolSeconds = float32(max(r.route.MaxEventGap, minOffPool).Seconds())
	}
	newest, since, old := f.Weights.Wanted(p.Model, clock.Now())
	req.OldWeights, req.LostIfWithdrawn = old, !r.route.Repeatable() || r.route.Kind != streamKind
	if since >= newWeightsGrace {
		req.Weights = newest
	}
	return req, parts
}

// decide picks a replica of the call's service.
func (r *run) decide() (choice, *outcome.Error) {
	f, p := r.f, r.call.Prompt
	req, parts := r.routingRequest()
	r.addRendezvousTargets(req.Levels, req.Pool)
	sc := f.Fleet.Acquire()
	defer f.Fleet.Release(sc)
	snap, d, admission := r.choose(&req, sc)
	if d.Index < 0 {
		r.logNoTarget(sc)
		return choice{}, outcome.New(outcome.NotRun, outcome.CodeNoTarget, "decide", "", "no replica can take the call now").After(f.Fleet.RetryAfter(&req, snap, sc, noTargetRetryAfter))
	}
	c := choice{
		target: snap.View.Targets[d.Index], wait: seconds(d.PredictedTTFT), unscaled: seconds(sc.Unscaled(d.Index, d.PredictedTTFT)), queue: seconds(d.QueueWait), rate: d.Rate,
		age: f.Fleet.LoadAge(snap, d.Index), admission: admission, representative: isRepresentative(snap, d.Index, &sc.Inputs[d.Index]), levels: req.Levels, work: max(req.Tokens-d.Cached, 0),
	}
	c.assumed = assumedOf(&c, &sc.Inputs[d.Index], sc.Slowdown(d.Index))
	c.assumed.mean.Wait, c.assumed.mean.Over, c.assumed.mean.Targets = sc.MeanQueue(snap, r.service)
	if len(req.Levels) > 0 || p != nil && r.route.Prompts {
		isolationKey := r.catalog.IsolationKey(r.workspace)
		c.salt = kvcache.Salt(c.target.Weights, isolationKey)
		c.rendezvous = rendezvousAddr(&c, snap, sc.Routing.Rendezvous())
		f.KV.plan(&c, &req, snap, sc, r.kvStore(req.Levels), isolationKey, p.Model, parts)
	}
	r.logDecision(snap, &d, sc, &c)
	refusal := r.shed(&c)
	r.countDecision(&c, refusal)
	if refusal != nil {
		f.Fleet.GiveBack(c.target.ID)
		c.admission.Release()
	} else if sc.Inputs[d.Index].OffPool {
		f.Stats.OffPool.Add(1)
	}
	return c, refusal
}

// rendezvousTargets is the number of rendezvous targets of a prefix that a VM keeps track of.
// The second one stands in when the first is gone.
const rendezvousTargets = 2

// pooledRendezvousTargets is the same while the engines are divided into pools: with pools of half the
// engines, one of four rendezvous targets is in the own pool for 15 of 16 prefixes.
const pooledRendezvousTargets = 4

// addRendezvousTargets makes the rendezvous targets of the prompt's shared levels known to the
// decision, although they may lie outside this VM's subset of replicas.
func (r *run) addRendezvousTargets(levels []prefix.Level, pool routing.Pool) {
	if r.f.AddRendezvousTargets != nil && len(levels) > 0 {
		n := rendezvousTargets
		if pool != routing.NoPool {
			n = pooledRendezvousTargets
		}
		r.f.AddRendezvousTargets(r.service, routing.RendezvousKey(levels), n)
	}
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// rendezvousAddr returns the address of the rendezvous target at index in the view, which computes
// shared parts that no replica is known to hold. The address is empty if that replica is the choice
// itself or has other weights, or if there is none.
func rendezvousAddr(c *choice, snap *fleet.Snapshot, index int) string {
	if index < 0 || index >= len(snap.View.Targets) {
		return ""
	}
	t := &snap.View.Targets[index]
	if t.ID == c.target.ID || t.Weights != c.target.Weights {
		return ""
	}
	return t.Addr
}

// kvStore returns the KV store for a prompt, or nil if there is none.
func (r *run) kvStore(levels []prefix.Level) *catalog.KVStore {
	if len(levels) == 0 {
		return nil
	}
	return r.catalog.KVStoreOf(uint64(levels[len(levels)-1].ID), r.f.KV.usable)
}

func (r *run) logDecision(snap *fleet.Snapshot, d *routing.Decision, sc *fleet.Scratch, c *choice) {
	in := &sc.Inputs[d.Index]
	r.f.Log.Request("decide", string(r.call.ID)).Str("service", r.service).Str("target", string(c.target.ID)).
		Str("weights", string(c.target.Weights)).Str("software", string(c.target.Software)).Int("attempt", r.sends+1).Str("resumes", string(r.call.Resumes)).Str("after", r.stream.resumeFrom(&r.call)).
		Float32("cost_s", d.Cost).Int32("cached", d.Cached).Int32("best_cached", d.BestCached).
		Int64("predicted_ms", c.wait.Milliseconds()).Float32("rate", c.rate).Float32("queue_tokens", in.QueueTokens).Int32("in_flight", in.InFlight).Float32("fail_rate", in.FailRate).
		Int64("view_age_ms", snap.Age(clock.Now()).Milliseconds()).Int("eligible", sc.Routing.Filtered[routing.Passed]).
		Bool("off_pool", in.OffPool).Str("levels", levelText(c.levels)).Str("home", c.rendezvous).Str("fetch", c.fetch).Str("save", c.save).Uint64("catalog", r.catalog.Version).Send()
}

// levelText formats the shared levels of a prompt for logs, as id:tokens, where tokens is the
// position at which the level ends.
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
