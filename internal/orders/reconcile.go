package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/timeline"
)

// PathOrders is the path at which engines accept orders: POST with a Message.
const PathOrders = "/orders"

// Message is the request body of an order.
type Message struct {
	Fence uint64 `json:"fence"`
	DesiredState
}

// MaxOrder is the timeout of one order. The lease's WaitOut must be at least as long.
const MaxOrder = 10 * time.Second

// Engines provides the state of the engines of the failure domain.
type Engines interface {
	Engines() []EngineStatus
}

// DesiredStateSource provides the desired states of engines.
type DesiredStateSource interface {
	DesiredStates(ctx context.Context) (map[ids.Target]DesiredState, error)
}

// Sender sends an order. Send returns nil once the engine has carried it out. Implementations
// must be safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, o Order, token lease.Token) error
}

// Intents reads the desired states that operators record in the object API.
type Intents struct{ Store objectapi.Store }

var _ DesiredStateSource = Intents{}

// DesiredStates implements DesiredStateSource.
func (i Intents) DesiredStates(ctx context.Context) (map[ids.Target]DesiredState, error) {
	objects, _, err := i.Store.List(ctx, Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "read intents")
	}
	return Decode(objects), nil
}

// HTTPSender posts orders to engines at PathOrders.
type HTTPSender struct{}

var _ Sender = HTTPSender{}

// Send implements Sender.
func (HTTPSender) Send(ctx context.Context, o Order, token lease.Token) error {
	body, err := json.Marshal(Message{Fence: token.Fence, DesiredState: o.Desired})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	return post(ctx, "http://"+o.Addr+PathOrders, body)
}

// Reconciler sends orders while its VM holds the failure domain's lease.
type Reconciler struct {
	Desired DesiredStateSource
	Sender  Sender
	Lease   *lease.Lease
	Engines Engines
	Events  *timeline.Log
	// LoadLimiter limits loads from the weight store. Only the lease holder orders loads, so
	// its limiter applies to the whole failure domain. Each VM has a limiter of its own, which
	// also refills while the VM does not hold the lease. Nil means no limit.
	LoadLimiter *rate.Limiter

	// MaxUnavailable returns how many engines of a model may be out of service, given all
	// engines. Nil means one in DefaultOneIn.
	MaxUnavailable func(m ids.Model, engines []EngineStatus) MaxUnavailable

	mu   sync.Mutex
	busy map[ids.Target]bool // targets with an order in progress
	wg   sync.WaitGroup
}

// NewReconciler returns a reconciler of the intents in s that orders at most
// loadsPerMinute loads of weights. Its rate limiter starts without tokens.
func NewReconciler(s objectapi.Store, l *lease.Lease, e Engines, log *timeline.Log, loadsPerMinute float64) *Reconciler {
	limiter := rate.NewLimiter(rate.Limit(loadsPerMinute/60), max(int(loadsPerMinute/60), 1))
	limiter.AllowN(clock.Now(), limiter.Burst())
	return &Reconciler{
		Desired: Intents{Store: s}, Sender: HTTPSender{}, Lease: l, Engines: e, Events: log, LoadLimiter: limiter,
		busy: map[ids.Target]bool{},
	}
}

// Reconcile compares desired and reported states once and starts the orders that are due.
// It does not wait for them; see Wait. Cancelling ctx cancels them. Reconcile does nothing
// unless this VM holds the lease, and returns an error if the desired states can't be read.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	if _, ok := r.Lease.Held(); !ok {
		return nil
	}
	desired, err := r.Desired.DesiredStates(ctx)
	if err != nil {
		return err
	}
	engines := r.Engines.Engines()
	r.markBusy(engines)
	maxUnavailable := func(m ids.Model) MaxUnavailable {
		if r.MaxUnavailable == nil {
			return MaxUnavailable{OneIn: DefaultOneIn}
		}
		return r.MaxUnavailable(m, engines)
	}
	for _, o := range Plan(desired, engines, maxUnavailable) {
		if !r.reserve(o) {
			continue
		}
		r.wg.Go(func() {
			defer r.release(o.Target)
			r.send(ctx, o)
		})
	}
	return nil
}

// markBusy sets Busy on engines with an order in progress.
func (r *Reconciler) markBusy(engines []EngineStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range engines {
		engines[i].Busy = r.busy[engines[i].Target]
	}
}

// Wait waits until the orders in progress have ended.
func (r *Reconciler) Wait() { r.wg.Wait() }

// reserve marks the order's target as busy and returns true if the target has no other
// order and the rate limit of the weight store allows the load.
func (r *Reconciler) reserve(o Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[o.Target] || o.LoadsWeights && r.LoadLimiter != nil && !r.LoadLimiter.Allow() {
		return false
	}
	if r.busy == nil {
		r.busy = map[ids.Target]bool{}
	}
	r.busy[o.Target] = true
	return true
}

func (r *Reconciler) release(t ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, t)
}

// send sends one order, unless the lease has ended. The order may outlast the lease: a
// successor waits for MaxOrder after the lease's end.
func (r *Reconciler) send(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, MaxOrder)
	defer cancel()
	token, ok := r.Lease.Held()
	if !ok {
		return
	}
	err := r.Sender.Send(ctx, o, token)
	text := "done"
	if err != nil {
		text = err.Error() // the next call of Reconcile reads the resulting state
	}
	r.Events.Record(timeline.Event{Kind: timeline.KindOrder, Peer: string(o.Target), Text: text}, Message{Fence: token.Fence, DesiredState: o.Desired})
}

func post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build order")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return eris.New("order refused: the target has seen a newer fencing token")
	default:
		return eris.Errorf("order refused with status %d", resp.StatusCode)
	}
}
