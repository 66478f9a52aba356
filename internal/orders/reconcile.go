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

// PathOrders is where engines take orders: POST Message.
const PathOrders = "/orders"

// Message is an order on the wire.
type Message struct {
	Fence uint64 `json:"fence"`
	DesiredState
}

// MaxOrder bounds one order. The lease's WaitOut must be at least as long.
const MaxOrder = 10 * time.Second

// Engines tells what is known of the domain's engines.
type Engines interface {
	Engines() []EngineStatus
}

// DesiredStateSource tells what state engines are to have.
type DesiredStateSource interface {
	DesiredStates(ctx context.Context) (map[ids.Target]DesiredState, error)
}

// Sender sends an order and returns when it has been carried out, or an error.
type Sender interface {
	Send(ctx context.Context, o Order, token lease.Token) error
}

// Intents are the wishes that operators record in the object API.
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

// HTTPSender sends orders to engines that take them at PathOrders.
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

// Reconciler sends orders while its VM holds the domain's lease.
type Reconciler struct {
	Desired DesiredStateSource
	Sender  Sender
	Lease   *lease.Lease
	Engines Engines
	Events  *timeline.Log
	// LoadLimiter limits reads from the weight store, for the whole domain: only the
	// lease's holder orders loads. A new holder begins with an empty bucket. Nil: no
	// limit.
	LoadLimiter *rate.Limiter

	// MaxUnavailable tells how many engines of a model may be out of service, given all engines.
	// Nil: one in DefaultOutShare.
	MaxUnavailable func(m ids.Model, engines []EngineStatus) MaxUnavailable

	mu   sync.Mutex
	busy map[ids.Target]bool // orders under way
	wg   sync.WaitGroup
}

// NewReconciler returns a reconciler that orders at most loadsPerMinute loads.
func NewReconciler(s objectapi.Store, l *lease.Lease, e Engines, log *timeline.Log, loadsPerMinute float64) *Reconciler {
	limiter := rate.NewLimiter(rate.Limit(loadsPerMinute/60), max(int(loadsPerMinute/60), 1))
	limiter.AllowN(clock.Now(), limiter.Burst())
	return &Reconciler{
		Desired: Intents{Store: s}, Sender: HTTPSender{}, Lease: l, Engines: e, Events: log, LoadLimiter: limiter,
		busy: map[ids.Target]bool{},
	}
}

// Reconcile looks once and sends what is due. Orders run on while it returns.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	if _, ok := r.Lease.Held(); !ok {
		return nil
	}
	wants, err := r.Desired.DesiredStates(ctx)
	if err != nil {
		return err
	}
	engines := r.Engines.Engines()
	r.markBusy(engines)
	pace := func(m ids.Model) MaxUnavailable {
		if r.MaxUnavailable == nil {
			return MaxUnavailable{OneIn: DefaultOneIn}
		}
		return r.MaxUnavailable(m, engines)
	}
	for _, o := range Plan(wants, engines, pace) {
		if !r.reserve(o) {
			continue
		}
		r.wg.Go(func() {
			defer r.free(o.Target)
			r.send(ctx, o)
		})
	}
	return nil
}

// markBusy notes which engines have an order under way.
func (r *Reconciler) markBusy(engines []EngineStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range engines {
		engines[i].Busy = r.busy[engines[i].Target]
	}
}

// Wait waits for orders that are under way.
func (r *Reconciler) Wait() { r.wg.Wait() }

// reserve takes an order if its target has none and the weight store's rate
// allows it.
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

func (r *Reconciler) free(t ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, t)
}

// send sends one order, unless the lease has ended. The order may take longer
// than the lease lasts: a successor waits for MaxOrder beyond its end.
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
		text = err.Error() // the next round reads back what became of it
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
		return eris.New("refused: the target knows a newer fencing number")
	default:
		return eris.Errorf("refused with status %d", resp.StatusCode)
	}
}
