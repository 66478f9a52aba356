package dispatch

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/relay"
)

// countingSink counts the events that it gets and those that were flushed.
type countingSink struct{ events, flushed int }

func (*countingSink) Start(ids.Target)                  {}
func (s *countingSink) Event([]byte) error              { s.events++; return nil }
func (s *countingSink) Flush() error                    { s.flushed = s.events; return nil }
func (*countingSink) Response(ids.Target, []byte) error { return nil }

// TestIdleTimeoutAfterDuplicateEvent has a target send an event, then nothing, the same event
// again or a part of the next one, and then stall. The caller must get the event at once, and
// the stream must end after the idle timeout. It guards against a fault in which a duplicate
// event stopped the idle timer for good, and one in which duplicates, one after another, kept a stream open that brought nothing.
func TestIdleTimeoutAfterDuplicateEvent(t *testing.T) {
	const idle = 2 * time.Second
	const event = "id: 1\ndata: {\"id\":\"a1\"}\n\n"
	const pause = 300 * time.Millisecond // between the parts of what has no end
	for name, rest := range map[string]struct {
		text  string
		again bool // without an end
	}{
		"nothing": {}, "a duplicate": {event, false}, "an incomplete event": {"id: 2\ndata: {", false},
		"duplicates": {event, true}, "blank lines": {"\n", true}, "comments": {": ping\n\n", true}, "types without data": {"event: ping\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body, target := io.Pipe()
				sink := &countingSink{}
				s := &stream{
					r:    &run{d: &Dispatcher{IdleTimeout: idle, Stats: &Stats{}}, p: &Prompt{}, sink: sink},
					call: &engine.Call{Target: "e1", Attempt: "a1"},
					conn: &conn{
						response: engine.NewResponse(body), stateTimer: time.AfterFunc(time.Hour, func() {}),
						cancel: func() { _ = body.CloseWithError(errors.New("idle timeout")) },
					},
					verifier: relay.NewVerifier("a1"), work: loadview.New().Sent("e1", 0, time.Now()),
				}
				go func() {
					_, _ = io.WriteString(target, event)
					if rest.text == "" {
						return
					}
					_, err := io.WriteString(target, rest.text)
					for err == nil && rest.again {
						time.Sleep(pause)
						_, err = io.WriteString(target, rest.text)
					}
				}()
				var took time.Duration
				var err error
				began := time.Now()
				go func() {
					err = s.relay()
					took = time.Since(began)
				}()
				time.Sleep(idle / 2)
				synctest.Wait()
				if sink.events != 1 || sink.flushed != 1 {
					t.Errorf("the sink got %d events, %d of them flushed; want one, flushed", sink.events, sink.flushed)
				}
				time.Sleep(idle)
				synctest.Wait()
				if err == nil || took != idle {
					t.Errorf("the stream ended after %v with error %v, want an error after %v", took, err, idle)
				}
				_ = body.Close()
				synctest.Wait()
			})
		})
	}
}
