// Package pools divides the engines of a service into two pools, one for routes whose calls mostly
// stream and one for routes whose calls mostly compute prompts.
//
// # Load
//
// An engine computes prompts in chunks of 4,096 tokens between the tokens of its running streams, and
// one event carries up to 7 tokens. With more than about 7 chunks queued, every stream on that engine
// has a gap above 400 ms. At 198 short prompts per second with streams of 1 to 5 s and 204 prompts of
// 9,190 tokens per second on 60 engines, 1,137 of 5,849 streams paused for longer than their callers
// allow.
//
// # Algorithm
//
// A Machine derives a Plan from the fleet's picture of demand (package demand): the kind of each
// route, and the fraction of the engines that decode-heavy routes get: their fraction of the engine
// time, at most half. A Division assigns engines to the pools by rank of their hashes within each
// failure domain, so that each domain has both pools, VMs agree without messages, and a change of the
// size moves only the engines between the old and the new boundary.
//
// # Growth
//
// A Machine holds at most maxRoutes routes, whatever the configuration. A Division holds one number per
// failure domain. Computing it sorts the hashes of n engines, in O(n log n), and happens only if
// engines come or go or the size changes; assigning a pool to an engine takes one comparison.
package pools

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/routing"
)

const (
	// Steps is the number of steps of a pool size. A finer size would move engines, and their
	// caches, for differences that callers do not notice.
	Steps = 16
	// minSize leaves the decode pool four engines in the smallest service, so that one may fail.
	// maxSize is half of the engines: streams do not delay each other while there are slots, whereas
	// prompts wait for each other and can't use the idle slots of the other pool. In one trial at
	// 1.8 times the load above, 0.72 of the long prompts were in time with 9/16, 0.86 with less.
	minSize, maxSize = Steps / 8, Steps / 2
	// minEngines is the number of engines in service below which a pool of an eighth would have fewer
	// than four engines, and prompts would wait for each other there while others are idle.
	minEngines = 32
	// startPaused is the fraction of decode-heavy calls with a pause above their gap limit from
	// which pools are used. Callers count such a stream as late, and expect 99% on time.
	startPaused = 0.01
	// minPaused is the sum of paused calls from which pools are used: a single paused call of a
	// service with little load is no trend.
	minPaused = 2
	// stopPaused is the fraction below which pools are not needed. Pools keep the fraction below
	// startPaused, so the same threshold would switch them on and off in turns.
	stopPaused = startPaused / 4
	// stopAfter is the time for which the conditions must fail before pools end. It is longer than
	// the swings of demand, of 13 s, and than bursts of 6 to 8 s.
	stopAfter = 30 * time.Second
	// kindMargin is the factor by which the balance of a route must exceed 1, or fall below 1, to
	// change its kind. In a burst the prefill rises several seconds before the streaming.
	kindMargin = 1.5
	// shareTime is the time constant of the moving average of the decode-heavy routes' share. A size
	// that followed swings of demand, of 13 s, or bursts of 6 to 8 s would move engines with each.
	shareTime = 15 * time.Second
	// settleAfter is the time after which a size that is not the nearest step is corrected even if
	// it differs by no more than a step. Otherwise VMs that started at different times would keep
	// different sizes.
	settleAfter = 30 * time.Second
	// minHeard is the least fraction of the listed VMs that a picture must include: a failure
	// domain that is cut off from two others hears a third.
	minHeard = 0.25
	// maxRoutes bounds the routes of a Machine. A picture holds 32 and the sum of all others.
	maxRoutes = 64
	// assumedSlots is the number of an engine's slots if it is unknown.
	assumedSlots = 8
)

// Plan says how a service's engines are divided. It is immutable.
type Plan struct {
	// Size is the part of the engines for decode-heavy routes, in units of 1/Steps. Zero: no pools.
	Size  int
	kinds map[uint32]routing.Pool
}

// Pool returns the pool of a route, given its name. It is NoPool if there are no pools or the route's
// kind is unknown.
func (p *Plan) Pool(route string) routing.Pool {
	if p == nil || p.Size == 0 {
		return routing.NoPool
	}
	return p.kinds[demand.HashOf(route)]
}

// Inputs are the figures from which a Plan was derived, for logs.
type Inputs struct {
	DecodeRoutes, PrefillRoutes int     // routes of each kind
	Share                       float64 // decode-heavy routes' fraction of the engine time, a moving average
	Paused                      float64 // fraction of the decode-heavy calls with a pause above their gap limit
	Engines, Slots              int
	VMs, Listed                 int           // VMs that the picture includes, and VMs in the fleet
	Age                         time.Duration // of the picture
}

// Machine keeps the plan of one service. It reads no clock. Not safe for concurrent use.
type Machine struct {
	routes         map[uint32]*route
	share          float64   // moving average
	first          time.Time // first value of it
	at             time.Time // last value of it
	size           int
	failingSince   time.Time // since when the conditions for pools have failed; zero: they hold
	unsettledSince time.Time // since when the size is not the nearest step; zero: it is
}

// route is what a Machine knows of a route.
type route struct {
	pool routing.Pool
	seen time.Time
}

// EngineTime returns the engine time of calls, in seconds: their prefill, and their part of an engine
// while they stream.
func EngineTime(s *demand.RouteSums, slots int) float64 {
	return float64(s.Work) + streamTime(s, slots)
}

func streamTime(s *demand.RouteSums, slots int) float64 { return float64(s.Streaming) / float64(slots) }

// Update returns the plan by a picture of the service with the given number of engines in service and
// of slots per engine (zero: unknown).
func (m *Machine) Update(p *demand.Picture, engines, slots int, now time.Time) (Plan, Inputs) {
	if slots <= 0 {
		slots = assumedSlots
	}
	in := Inputs{Engines: engines, Slots: slots, VMs: p.VMs, Listed: p.Listed, Age: p.Age}
	valid := float64(p.VMs) >= minHeard*float64(p.Listed) && p.VMs > 0
	paused := float32(0)
	if valid {
		paused = m.observe(p, slots, now, &in)
	}
	in.Share = m.share
	both := in.DecodeRoutes > 0 && in.PrefillRoutes > 0
	switch {
	case engines < minEngines:
		m.size, m.failingSince = 0, time.Time{}
	case m.size == 0:
		if both && in.Paused >= startPaused && paused >= minPaused {
			m.size, m.failingSince, m.unsettledSince = nearest(m.share), time.Time{}, time.Time{}
		}
	case both && in.Paused >= stopPaused:
		m.failingSince = time.Time{}
		m.resize(now)
	case m.failingSince.IsZero():
		m.failingSince = now
	case now.Sub(m.failingSince) >= stopAfter:
		m.size, m.failingSince = 0, time.Time{}
	case both:
		m.resize(now)
	}
	return m.plan(), in
}

// observe updates the kinds of the routes and the share, and returns the paused decode-heavy calls.
func (m *Machine) observe(p *demand.Picture, slots int, now time.Time, in *Inputs) (paused float32) {
	var decode, total float64
	var calls float32
	for i := range p.Routes {
		s := &p.Routes[i]
		seconds := EngineTime(s, slots)
		total += seconds
		switch m.kind(s, slots, now) {
		case routing.DecodePool:
			in.DecodeRoutes++
			decode += seconds
			calls, paused = calls+s.Admitted, paused+s.Paused
		case routing.PrefillPool:
			in.PrefillRoutes++
		}
	}
	for hash, r := range m.routes {
		if now.Sub(r.seen) > stopAfter {
			delete(m.routes, hash)
		}
	}
	if calls > 0 {
		in.Paused = float64(paused / calls)
	}
	if total > 0 && in.DecodeRoutes > 0 && in.PrefillRoutes > 0 {
		m.average(decode/total, now)
	}
	return paused
}

// kind returns the pool of a route. Routes without a name, which are several, and new ones beyond
// maxRoutes have none.
//
// A route is decode-heavy if its calls occupy engines for longer by streaming than by prefill. The
// time until the last event alone does not tell: a few events of a long prompt take longer than
// its prefill if the engine is busy with other prompts.
func (m *Machine) kind(s *demand.RouteSums, slots int, now time.Time) routing.Pool {
	stream, prefill := streamTime(s, slots), float64(s.Work)
	if s.Route == 0 || stream+prefill <= 0 {
		return routing.NoPool
	}
	r := m.routes[s.Route]
	if r == nil {
		if len(m.routes) >= maxRoutes {
			return routing.NoPool
		}
		if m.routes == nil {
			m.routes = map[uint32]*route{}
		}
		r = &route{pool: routing.PrefillPool}
		if stream > prefill {
			r.pool = routing.DecodePool
		}
		m.routes[s.Route] = r
	}
	r.seen = now
	if stream > kindMargin*prefill {
		r.pool = routing.DecodePool
	}
	if prefill > kindMargin*stream {
		r.pool = routing.PrefillPool
	}
	return r.pool
}

// average adds a value to the moving average of the decode-heavy routes' fraction of the engine time.
// Until shareTime has passed, it is the mean: the first values are low because streams count when they
// end.
func (m *Machine) average(share float64, now time.Time) {
	if m.at.IsZero() || now.Sub(m.at) >= stopAfter {
		m.share, m.first = share, now
	} else {
		since, step := now.Sub(m.first), max(now.Sub(m.at), 0)
		weight := max(1-math.Exp(-step.Seconds()/shareTime.Seconds()), step.Seconds()/max(since, step, 1).Seconds())
		m.share += weight * (share - m.share)
	}
	m.at = now
}

// resize changes the size if it differs from the share by more than a step, or from the nearest step
// for settleAfter.
func (m *Machine) resize(now time.Time) {
	want := nearest(m.share)
	switch {
	case want == m.size:
		m.unsettledSince = time.Time{}
		return
	case m.unsettledSince.IsZero():
		m.unsettledSince = now
	}
	if math.Abs(min(max(m.share*Steps, minSize), maxSize)-float64(m.size)) > 1 || now.Sub(m.unsettledSince) >= settleAfter {
		m.size, m.unsettledSince = want, time.Time{}
	}
}

// nearest returns the size of the decode pool for a share of the engine time. A size by what the
// streams need at a given use of their engines is smaller under overload, and cost more than it gained:
// on the day "trouble-1" of rosters, with 3/16, 0.906 of the short prompts were on time (452 pauses),
// with 4/16 to 5/16 by this rule 0.943 (295 pauses), and of the long prompts not refused 0.926 and
// 0.919 (one run each of a trial).
func nearest(share float64) int {
	return min(max(int(math.Round(share*Steps)), minSize), maxSize)
}

func (m *Machine) plan() Plan {
	p := Plan{Size: m.size}
	if m.size > 0 {
		p.kinds = make(map[uint32]routing.Pool, len(m.routes))
		for hash, r := range m.routes {
			p.kinds[hash] = r.pool
		}
	}
	return p
}
