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

// countingSink counts what callers get.
type countingSink struct{ events, flushed int }

func (*countingSink) Start(ids.Target)               {}
func (s *countingSink) Event([]byte) error           { s.events++; return nil }
func (s *countingSink) Flush() error                 { s.flushed = s.events; return nil }
func (*countingSink) Response(ids.Target, []byte) error { return nil }

// TestSilenceAfterADuplicate lets a target send an event, the same once more or a part of
// the next, and nothing then: the caller has the event at once, and the target is given up
// after the idle time. Before, a duplicate stopped the clock for good.
func TestSilenceAfterADuplicate(t *testing.T) {
	const idle = 2 * time.Second
	const event = "id: 1\ndata: {\"id\":\"a1\"}\n\n"
	for name, rest := range map[string]string{"nothing": "", "a duplicate": event, "a torn event": "id: 2\ndata: {"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body, target := io.Pipe()
				sink := &countingSink{}
				s := &stream{
					r:    &run{d: &Dispatcher{IdleTimeout: idle, Stats: &Stats{}}, p: &Prompt{}, sink: sink},
					call: &engine.Call{Target: "e1", Attempt: "a1"},
					conn: &conn{
						answer: &engine.Response{Body: body}, timer: time.AfterFunc(time.Hour, func() {}),
						cancel: func() { _ = body.CloseWithError(errors.New("given up")) },
					},
					verifier: relay.NewVerifier("a1"), work: loadview.New().Sent("e1", 0, time.Now()),
				}
				go func() {
					_, _ = io.WriteString(target, event)
					if rest != "" {
						_, _ = io.WriteString(target, rest)
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
					t.Errorf("%d events, %d flushed", sink.events, sink.flushed)
				}
				time.Sleep(idle)
				synctest.Wait()
				if err == nil || took != idle {
					t.Errorf("ended after %v with %v, want %v", took, err, idle)
				}
				_ = body.Close()
				synctest.Wait()
			})
		})
	}
}
