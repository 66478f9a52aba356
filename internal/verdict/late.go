package verdict

import "time"

// The load: engines get more than they can do, as when two of nine fall silent just before
// all are emptied by new weights. What runs fills their memory, shared parts of prompts give
// way and are computed again, and that makes more work still; everybody was late for 14 s.
// A call that would be late even at the best engine is refused at once: those that were let
// in are on time, and so is one that comes back when the queue is worked off.

const (
	// lateFactor times the objective is the predicted time to the first event from which a
	// call is refused. What is predicted leaves out the steps in between and the way. On the
	// days with faults of an eight-VM fleet 1.2 was no better (worth -0.002, standard error
	// 0.006, 15 pairs) and 2 was worse (-0.034, 0.008).
	lateFactor = 0.8
	// lateUrgentFactor is that for calls of the most urgent rank.
	lateUrgentFactor = 3
	// comeBack is when a refused call should come back at the earliest, and comeBackSpread
	// how much more, by its draw, so that callers don't come back together. Engines work
	// queues off at tens of thousands of tokens a second: a second is as much as one holds.
	comeBack       = 600 * time.Millisecond
	comeBackSpread = 600 * time.Millisecond
)

// Arrival is a call that asks to be let in.
type Arrival struct {
	Objective time.Duration // until the first event; zero: none, and it is never refused
	Urgent    bool          // it has the most urgent rank
	// Usual is what calls of its route usually make an engine compute, in tokens. It stands
	// for the call's own size: by their own, 0.35 of the longest tenth of calls were served,
	// against 0.84 of all.
	Usual float64
	// Jitter is a random number in [0, 1).
	Jitter float64
}

// Best is what the best target promises.
type Best struct {
	Queue time.Duration // until it turns to the call
	Rate  float64       // tokens/s
}

// Refusal says why a call is refused and when it should come back.
type Refusal struct {
	Predicted  time.Duration // until the first event, at the best target
	RetryAfter time.Duration
}

// Late refuses a call that would be late at its best target.
func Late(a Arrival, b Best) (Refusal, bool) {
	if a.Objective <= 0 {
		return Refusal{}, false
	}
	factor := lateFactor
	if a.Urgent {
		factor = lateUrgentFactor
	}
	predicted := b.Queue + seconds(a.Usual/max(b.Rate, 1))
	if predicted < time.Duration(float64(a.Objective)*factor) {
		return Refusal{}, false
	}
	return Refusal{Predicted: predicted, RetryAfter: comeBack + time.Duration(a.Jitter*float64(comeBackSpread))}, true
}
