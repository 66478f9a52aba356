// Package loadview estimates the prefill work queued before a new request on a target,
// from the target's delayed reports and from the work sent to it since.
package loadview

import (
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Tracker tracks this VM's and its peers' work on targets. Safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	targets map[ids.Target]*targetLoad

	meanMiss  float64  // smoothed miss ratio; see ObserveResponse
	responses int      // responses observed
	overall   slowdown // over all targets

	peers map[ids.VM]*peerReport

	waits   waits
	changes chan struct{} // see Changes
	paces   paces
}

// targetLoad is the work of this VM and its peers at one target.
type targetLoad struct {
	pending      float64 // prefill tokens of requests that wait for their first token
	inFlight     int
	notResumable int        // requests in flight that can't be resumed at another target
	sent         []sent     // newest last
	unanswered   []*Work    // requests sent since the target's last output and not ended, oldest first
	peers        TargetWork // sum over all peers
	slowdown     slowdown
	pace         targetPace
}

type sent struct {
	at     time.Time
	tokens float64
}

// sendWindow is how long individual sends are kept. Reports older than that are not used.
const sendWindow = 5 * time.Second

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{targets: map[ids.Target]*targetLoad{}, changes: make(chan struct{}, 1)}
}

// Work is one request's share of a target's load.
type Work struct {
	t            *Tracker
	load         *targetLoad // the target's record when the request was sent
	sentAt       time.Time
	tokens       float64
	prefilled    bool
	notResumable bool
	ended        bool
}

// MarkNotResumable records that the request can't be resumed at another target: if this one
// stops working on it, the request is lost. Further calls do nothing.
func (w *Work) MarkNotResumable() {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	if !w.notResumable && !w.ended {
		w.notResumable = true
		w.load.notResumable++
	}
}

// AddPeerWork counts work, in tokens of prefill, that a peer sent to a target at the given
// time.
func (t *Tracker) AddPeerWork(target ids.Target, tokens int32, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadOf(target).add(sent{at: at, tokens: float64(tokens)})
}

// loadOf returns the record of a target. The caller holds t.mu.
func (t *Tracker) loadOf(target ids.Target) *targetLoad {
	o := t.targets[target]
	if o == nil {
		o = &targetLoad{}
		t.targets[target] = o
	}
	return o
}

// add records a send and drops the sends older than sendWindow.
func (o *targetLoad) add(s sent) {
	for len(o.sent) > 0 && s.at.Sub(o.sent[0].at) > sendWindow {
		o.sent = o.sent[1:]
	}
	o.sent = append(o.sent, s)
}

// Sent counts a request that this VM sends to a target, and its uncached prompt tokens.
func (t *Tracker) Sent(target ids.Target, uncached int32, now time.Time) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.loadOf(target)
	tokens := float64(max(uncached, 0))
	o.pending += tokens
	o.inFlight++
	o.add(sent{at: now, tokens: tokens})
	w := &Work{t: t, load: o, sentAt: now, tokens: tokens}
	o.unanswered = append(o.unanswered, w)
	t.notifyChange()
	return w
}

// FirstToken records the end of the prefill. Further calls do nothing.
func (w *Work) FirstToken() {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	w.endPrefill()
	clear(w.load.unanswered) // for the garbage collector
	w.load.unanswered = w.load.unanswered[:0]
}

func (w *Work) endPrefill() {
	if !w.prefilled {
		w.prefilled = true
		w.load.pending -= w.tokens
		w.t.notifyChange()
	}
}

// End removes the work from the target's load. Further calls do nothing.
func (w *Work) End() {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	w.endPrefill()
	if !w.ended {
		w.ended = true
		w.load.inFlight--
		w.t.notifyChange()
		w.load.dropUnanswered(w)
		if w.notResumable {
			w.load.notResumable--
		}
	}
}

// dropUnanswered removes a request that has ended from the unanswered ones.
func (o *targetLoad) dropUnanswered(w *Work) {
	if i := slices.Index(o.unanswered, w); i >= 0 {
		o.unanswered = slices.Delete(o.unanswered, i, i+1)
	}
}

// missGain is the weight of one response in the smoothed miss ratio.
const missGain = 0.2

// ObserveResponse updates the miss ratio, the fraction of prompt tokens that targets have to
// compute, from one response. Engines report their queues in prompt tokens, most of which
// are cached. The ratio is kept for all targets together, since one VM gets too few responses
// from each target.
func (t *Tracker) ObserveResponse(prompt, cached int32) {
	if prompt <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses++
	t.meanMiss += max(missGain, 1/float64(t.responses)) * (float64(prompt-cached)/float64(prompt) - t.meanMiss)
}

// missRatio returns the fraction of reported tokens that targets will have to compute; 1
// before the first response.
func (t *Tracker) missRatio() float64 {
	if t.responses == 0 {
		return 1
	}
	return t.meanMiss
}

// Load is the estimated load of one target.
type Load struct {
	QueueTokens float64
	OwnInFlight int
	InFlight    int     // own and, as far as they have reported, all peers'
	Slowdown    float64 // measured over predicted time to first token; at least 1
	// Delay is how much longer than the others a slow target takes for a call without a prompt, in seconds.
	Delay float64
	// Silence is the time for which the target has sent nothing while a request of this VM was
	// waiting there; zero without such a request.
	Silence time.Duration
}

// Report is a target's last report of its load.
type Report struct {
	Queued int           // prompt tokens
	Rate   float64       // prefill rate, tokens/s
	Age    time.Duration // time since the target made the report
}

// Handle refers to a target's record, for estimates without lookups.
type Handle struct{ o *targetLoad }

// Handle returns a handle for a target's current record. After Forget the handle can still be
// used, but refers to the dropped record.
func (t *Tracker) Handle(target ids.Target) Handle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Handle{o: t.loadOf(target)}
}

// Estimate combines reports with the work sent since, for all targets at once, and stores the
// results in out. handles, reports and out must have the same length. Estimate reduces the
// reported work by the target's prefill rate times the report's age, and adds the work that
// this VM and, as far as they have reported, its peers have sent since. The result is at least
// the work that still waits for its first token. since is the time that has passed since the
// ages in reports were determined.
func (t *Tracker) Estimate(handles []Handle, reports []Report, since time.Duration, now time.Time, out []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPaces(now)
	miss := t.missRatio()
	overall := t.overall.decayed(now)
	for i, h := range handles {
		r := reports[i]
		r.Age += since
		out[i] = h.o.estimate(r, miss, now)
		pace := h.o.pace.value()
		out[i].Slowdown = max(out[i].Slowdown, overall*pace)
		if pace > 1 { // saves a lookup for each of the other targets
			if s := t.paces.services[h.o.pace.service]; s != nil {
				out[i].Delay = (pace - 1) * s.plain
			}
		}
	}
}

func (o *targetLoad) estimate(r Report, miss float64, now time.Time) Load {
	tokens := float64(r.Queued) * miss
	if r.Age > sendWindow {
		tokens = 0 // too old to use; only the work sent within sendWindow is known
		r.Age = sendWindow
	}
	for i := len(o.sent) - 1; i >= 0 && now.Sub(o.sent[i].at) < r.Age; i-- {
		tokens += o.sent[i].tokens
	}
	tokens -= r.Rate * r.Age.Seconds()
	return Load{
		QueueTokens: max(tokens, o.pending+o.peers.Pending, 0), OwnInFlight: o.inFlight, InFlight: o.inFlight + o.peers.InFlight,
		Slowdown: o.slowdown.decayed(now), Silence: o.silence(now),
	}
}

func (o *targetLoad) silence(now time.Time) time.Duration {
	if len(o.unanswered) == 0 {
		return 0
	}
	return now.Sub(o.unanswered[0].sentAt)
}
