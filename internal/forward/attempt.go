package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/intake"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/relay"
	"github.com/threadwall/threadwall/internal/upstream"
)

// attempt is one send of a call to one replica. A goroutine of its own, the reader, sends the call and reads the response; the
// goroutine of the call does everything else.
type attempt struct {
	r       *run
	c       *choice
	work    *loadview.Work
	ctx     context.Context
	cancel  context.CancelCauseFunc
	stall   *stallTimer
	weights weightsWatch
	sent    time.Time
	heard   time.Time     // when the replica last sent something, or was sent the call
	timeout time.Duration // from heard on, until the replica counts as silent

	proceed chan bool // tells the reader to go on; false: to close the response
	// Set before the reader is told to go on after the head.
	head     *upstream.Response
	streamed bool   // the response is a stream
	limit    int64  // bytes of another response to read before any of it is passed on
	release  func() // returns the memory for them
	via      ids.VM // the peer through which the response comes; empty: this VM's own link

	timedOut  bool          // the replica has sent nothing within a timeout
	overtaken bool          // another replica has answered first
	paid      bool          // a retry was taken out of the budget for it
	ended     bool          // its outcome is recorded
	responded bool          // the replica's first event, or its response, has arrived
	computing bool          // the planner counts this send as computing shared parts
	framed    bool          // the response marks its own end
	unflushed bool          // an event was written and not flushed
	events    int           // complete events passed on
	unread    time.Duration // total time that writes to the caller took
}

func (r *run) newAttempt(ctx context.Context, c *choice, work *loadview.Work) *attempt {
	tctx, cancel := context.WithCancelCause(ctx)
	t := &attempt{r: r, c: c, work: work, ctx: tctx, cancel: cancel, sent: clock.Now(), proceed: make(chan bool, 1), release: func() {}}
	t.stall = newStallTimer(t.reportStall)
	t.watchWeights()
	return t
}

// launch sends the call to a choice.
func (r *run) launch(ctx context.Context, c *choice) *attempt {
	r.sends++
	r.attempts++ // recordOutcome reverts this if the attempt did not run
	r.tried = append(r.tried, c.target.ID)
	r.f.Stats.Attempts.Add(1)
	t := r.newAttempt(ctx, c, r.f.Fleet.Load.Sent(c.target.ID, c.work, clock.Now()))
	r.live = append(r.live, t)
	if !r.route.Resumable || r.attempts >= r.route.Attempts {
		for _, live := range r.live {
			live.work.MarkNotResumable()
		}
	}
	if r.call.Prompt != nil && r.route.Prompts {
		r.f.KV.sendStarted(c, r.call.Prompt.Model, kvcache.Shared(r.call.Prompt.Parts))
		t.computing = true
	}
	t.countTransfers()
	t.expect(t.firstEventTimeout())
	r.readers++
	go t.read(upstream.Replica{ID: c.target.ID, Addr: c.target.Addr}, t.request())
	return t
}

// expect starts the timeout for the replica's next output.
func (t *attempt) expect(timeout time.Duration) {
	t.heard, t.timeout = clock.Now(), timeout
	t.stall.start(timeout)
}

// silence returns how long the replica has sent nothing.
func (t *attempt) silence() time.Duration {
	if t.heard.IsZero() {
		return 0
	}
	return clock.Since(t.heard)
}

// end stops the timers of an attempt that is no longer under way.
func (t *attempt) end() {
	t.ended = true
	t.endComputing(false)
	t.stall.stop()
	t.stopWeightsWatch()
}

// arrival is what a reader reports. After a head, an event or a part of a longer response it waits until it is told to go on.
// Its last arrival is an end.
type arrival struct {
	from *attempt
	kind arrivalKind
	head *upstream.Response
	// event is one of a stream. Like part, it is valid until the reader goes on.
	event relay.RawEvent
	part  []byte // of a response that is not a stream
	more  bool   // another event is buffered, or another part follows
	err   error  // of an end; io.EOF: the response is complete
}

type arrivalKind uint8

const (
	arrivedHead arrivalKind = iota
	arrivedEvent
	arrivedPart
	arrivedEnd
)

// unreadArrivals is the largest number of arrivals of one reader that the call has not read yet: a whole response and its end.
const unreadArrivals = 2

// read sends the call and reports what arrives.
func (t *attempt) read(to upstream.Replica, req *upstream.Request) {
	err := t.readResponse(to, req)
	t.report(arrival{kind: arrivedEnd, err: err})
}

// report never blocks, since the channel has room for the arrivals of all readers.
func (t *attempt) report(a arrival) {
	a.from = t
	t.r.arrivals <- a
}

// reportAndWait reports an arrival and waits until it has been used. It returns false if the response is not wanted any more.
func (t *attempt) reportAndWait(a arrival) bool {
	t.report(a)
	select {
	case wanted := <-t.proceed:
		return wanted
	case <-t.ctx.Done():
		return false
	}
}

// errUnwanted is the end of a response that the call does not want any more.
var errUnwanted = errors.New("the response is not wanted any more")

func (t *attempt) readResponse(to upstream.Replica, req *upstream.Request) error {
	resp, err := t.r.f.Upstream.Send(t.ctx, to, req)
	if err != nil {
		return err
	}
	defer resp.Close()
	if !t.reportAndWait(arrival{kind: arrivedHead, head: resp}) {
		return errUnwanted
	}
	if t.streamed {
		return t.readEvents(resp)
	}
	return t.readParts(resp)
}

func (t *attempt) readEvents(resp *upstream.Response) error {
	in := relay.NewRawReader(resp.Body)
	for {
		ev, err := in.Next()
		if err != nil {
			return err
		}
		resp.PinBody()
		if !t.reportAndWait(arrival{kind: arrivedEvent, event: ev, more: in.Buffered()}) {
			return errUnwanted
		}
	}
}

// readParts reads up to t.limit bytes before it reports any, and the rest in chunks.
func (t *attempt) readParts(resp *upstream.Response) error {
	var buf bytes.Buffer
	if resp.Length() >= 0 {
		buf.Grow(int(t.limit) + bytes.MinRead) // avoids doubling the buffer
	}
	body := intake.UsedReader{From: resp.Body, Used: resp.Used}
	n, err := io.CopyN(&buf, body, t.limit)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if n < t.limit {
		resp.Close() // the target has finished; don't hold its slot while the caller reads
		t.report(arrival{kind: arrivedPart, part: buf.Bytes()})
		return io.EOF
	}
	if !t.reportAndWait(arrival{kind: arrivedPart, part: buf.Bytes(), more: true}) {
		return errUnwanted
	}
	chunk := make([]byte, chunkBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 && !t.reportAndWait(arrival{kind: arrivedPart, part: chunk[:n], more: true}) {
			return errUnwanted
		}
		if err != nil {
			return err
		}
	}
}
