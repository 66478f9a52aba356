package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// twoVersions are weights whose version 2 was declared at a given time. Version 1 may be used for
// the time within after that.
type twoVersions struct {
	declared time.Time
	within   time.Duration
}

func (w twoVersions) Wanted(_ ids.Model, now time.Time) (ids.WeightsVersion, time.Duration, []routing.WeightsBound) {
	since := now.Sub(w.declared)
	return "2", since, []routing.WeightsBound{{OlderThan: 2, StartWithin: float32((w.within - since).Seconds())}}
}

func (w twoVersions) Left(_ ids.Model, has ids.WeightsVersion, now time.Time) (time.Duration, bool) {
	return w.within - now.Sub(w.declared), has != "2"
}

// setWeights sets the fleet's replicas and their weights.
func (tf *testFleet) setWeights(weights map[*fakeReplica]ids.WeightsVersion) {
	var records []platform.Record
	for s, w := range weights {
		records = append(records, platform.Record{ID: string(s.id), Role: platform.RoleService, Service: "svc", Addr: s.addr, Incarnation: 1, Weights: w})
	}
	tf.f.Fleet.Members.ApplyPlatform(records, time.Now())
	tf.f.Fleet.Refresh()
}

// promptRoute is a route whose prompts may wait for long before they are given up.
func promptRoute() catalog.Route {
	r := route(catalog.Stream, 2)
	r.Prompts, r.Objective = true, 10*time.Second
	return r
}

// loadSlack is the delay that real sockets may add on a loaded machine. TestWithdrawnOnTime checks
// the exact time of a withdrawal.
const loadSlack = time.Second

// TestWithdrawnOnTime checks in virtual time when a send is withdrawn: when its replica's weights
// become too old, also if the newer version is declared while it waits, and never once it has begun
// or ended.
func TestWithdrawnOnTime(t *testing.T) {
	const within = 9 * time.Second
	for _, c := range []struct {
		name     string
		declared time.Duration // after the send
		begun    time.Duration // zero: never
		want     time.Duration // zero: never
	}{
		{"old when sent", -2 * time.Second, 0, 7 * time.Second},
		{"declared while it waits", 1500 * time.Millisecond, 0, 10500 * time.Millisecond},
		{"too old when sent", -time.Minute, 0, time.Nanosecond},
		{"begun before", -2 * time.Second, 6999 * time.Millisecond, 0},
		{"newest throughout", time.Hour, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := time.Now()
				ctx, cancel := context.WithCancelCause(t.Context())
				r := promptRoute()
				send := &attempt{
					r:   &run{f: &Forwarder{Weights: futureVersion{twoVersions{declared: sent.Add(c.declared), within: within}}}, call: Call{Prompt: &Prompt{Model: "m"}}, route: &r},
					c:   &choice{target: routing.Target{Weights: "1"}},
					ctx: ctx, cancel: cancel,
				}
				send.watchWeights()
				if c.begun > 0 {
					time.AfterFunc(c.begun, send.stopWeightsWatch)
				}
				var at time.Duration
				stop := context.AfterFunc(ctx, func() { at = max(time.Since(sent), 1) })
				defer stop()
				time.Sleep(time.Minute)
				synctest.Wait()
				if at != c.want {
					t.Errorf("withdrawn after %v, want %v", at, c.want)
				}
				if withdrawn := send.r.f.Stats.Withdrawn.Load(); (withdrawn == 1) != (c.want > 0) {
					t.Errorf("%d sends were counted as withdrawn", withdrawn)
				}
				send.stopWeightsWatch()
			})
		})
	}
}

// TestWithdrawnFromOldWeightsInTime lets a call wait at a replica with old weights until these may
// no longer be used: it is withdrawn before the replica begins it, and goes to a replica with the
// new weights. It guards against a fault in which the call stayed and began 10.5 s after the new
// weights were declared (incident inc1).
func TestWithdrawnFromOldWeightsInTime(t *testing.T) {
	const within = 400 * time.Millisecond
	left := make(chan time.Time, 1)
	old := newFakeReplica(t, "old", holdUntilClosed(left))
	fresh := newFakeReplica(t, "new", func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
		return false
	})
	tf := newFleet(t, promptRoute(), old, fresh)
	declared := time.Now()
	tf.f.Weights = twoVersions{declared: declared, within: within}
	tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1"})
	time.AfterFunc(within/2, func() { tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1", fresh: "2"}) })
	resp, body, err := tf.ask(t, "Model", "m")
	if err != nil || resp.StatusCode != http.StatusOK || body == "" {
		t.Errorf("got %v, body %q, %v, want 200 with a body", resp, body, err)
	}
	select {
	case at := <-left:
		if late := at.Sub(declared) - within; late < 0 || late > loadSlack {
			t.Errorf("the call left the replica with old weights %v after these had become too old", late)
		}
	case <-time.After(time.Second):
		t.Error("the call is still at the replica with old weights")
	}
}

// TestBegunStreamFinishesOnOldWeights lets weights become too old while a stream runs on them: the
// stream continues to its end.
func TestBegunStreamFinishesOnOldWeights(t *testing.T) {
	const within = 150 * time.Millisecond
	old := newFakeReplica(t, "old", func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
		time.Sleep(2 * within)
		_, _ = io.WriteString(c, "id: 2\ndata: y\n\n")
		return false
	})
	r := promptRoute()
	r.MaxEventGap = time.Second
	tf := newFleet(t, r, old)
	tf.f.Weights = twoVersions{declared: time.Now(), within: within}
	tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1"})
	resp, body, err := tf.ask(t, "Model", "m")
	if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(body, "data: y") || tf.f.Stats.Withdrawn.Load() != 0 {
		t.Errorf("got %v, body %q, %v, %d withdrawn, want 200 with both events and 0 withdrawn", resp, body, err, tf.f.Stats.Withdrawn.Load())
	}
}

// holdUntilClosed holds a call until the VM withdraws it, and sends the time of the withdrawal.
func holdUntilClosed(left chan<- time.Time) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		left <- time.Now()
		return false
	}
}

// TestOnceCallFailsWhenWithdrawn withdraws a call that may not be repeated: it fails, is not
// reported as "not run", and does not go to another replica.
func TestOnceCallFailsWhenWithdrawn(t *testing.T) {
	const within = 300 * time.Millisecond
	left := make(chan time.Time, 1)
	old := newFakeReplica(t, "old", holdUntilClosed(left))
	fresh := newFakeReplica(t, "new", ok("x"))
	r := promptRoute()
	r.Attempts, r.Resumable = 1, false
	tf := newFleet(t, r, old, fresh)
	tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1"})
	declared := time.Now()
	time.AfterFunc(50*time.Millisecond, func() { tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1", fresh: "2"}) })
	tf.f.Weights = unseenVersion{twoVersions{declared: declared, within: within}}
	resp, _, err := tf.ask(t, "Model", "m")
	if err != nil || resp.StatusCode != http.StatusBadGateway || len(fresh.requests()) != 0 || tf.f.Stats.Withdrawn.Load() != 1 {
		t.Errorf("got %v, %v, %d calls at the other replica, %d withdrawn, want 502, 0 calls and 1 withdrawn", resp, err, len(fresh.requests()), tf.f.Stats.Withdrawn.Load())
	}
	if late := (<-left).Sub(declared) - within; late < 0 || late > loadSlack {
		t.Errorf("the call left the replica with old weights %v after these had become too old", late)
	}
}

// unseenVersion are weights whose newest version is declared while calls wait, so that decisions do
// not know it.
type unseenVersion struct{ twoVersions }

func (unseenVersion) Wanted(ids.Model, time.Time) (ids.WeightsVersion, time.Duration, []routing.WeightsBound) {
	return "1", time.Hour, nil
}

// futureVersion are weights whose version 2 is declared at a future time.
type futureVersion struct{ twoVersions }

func (w futureVersion) Left(m ids.Model, has ids.WeightsVersion, now time.Time) (time.Duration, bool) {
	if now.Before(w.declared) {
		return 0, false
	}
	return w.twoVersions.Left(m, has, now)
}

// TestWeightsNamedWhileCallWaits declares a version while a call waits at a replica that had the
// newest one when the call was sent: the call is withdrawn all the same.
func TestWeightsNamedWhileCallWaits(t *testing.T) {
	const within = 300 * time.Millisecond
	left := make(chan time.Time, 1)
	old := newFakeReplica(t, "old", holdUntilClosed(left))
	r := promptRoute()
	r.Timeout = 5 * time.Second
	tf := newFleet(t, r, old)
	declared := time.Now().Add(200 * time.Millisecond)
	tf.f.Weights = futureVersion{twoVersions{declared: declared, within: within}}
	tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1"})
	if resp, _, err := tf.ask(t, "Model", "m"); err != nil || resp.StatusCode == http.StatusOK {
		t.Errorf("got %v, %v, want a status other than 200", resp, err)
	}
	if late := (<-left).Sub(declared) - within; late < 0 || late > weightsCheckInterval+loadSlack {
		t.Errorf("the call left the replica with old weights %v after these had become too old", late)
	}
}

// TestOnlyStreamsAreWithdrawn checks that a call is not withdrawn if the VM can't see when it
// begins, or if its weights don't matter.
func TestOnlyStreamsAreWithdrawn(t *testing.T) {
	plain, noPrompts := promptRoute(), promptRoute()
	plain.Kind = catalog.Idempotent
	noPrompts.Prompts = false
	stream := promptRoute()
	prompt := &Prompt{Model: "m"}
	for name, c := range map[string]struct {
		route  catalog.Route
		prompt *Prompt
		want   bool
	}{
		"a stream": {stream, prompt, true}, "no stream": {plain, prompt, false}, "no prompts on its route": {noPrompts, prompt, false}, "no prompt": {stream, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				send := &attempt{
					r:   &run{f: &Forwarder{Weights: twoVersions{declared: time.Now(), within: time.Second}}, call: Call{Prompt: c.prompt}, route: &c.route},
					c:   &choice{target: routing.Target{Weights: "1"}},
					ctx: ctx, cancel: cancel,
				}
				send.watchWeights()
				time.Sleep(time.Minute)
				synctest.Wait()
				if withdrawn := ctx.Err() != nil; withdrawn != c.want {
					t.Errorf("withdrawn: %v, want %v", withdrawn, c.want)
				}
				send.stopWeightsWatch()
			})
		})
	}
}

// TestBegunCallNotWithdrawn stops the watch of a send with its first event, and once more when its
// timer has already fired: an event that was read is passed on and not cut off.
func TestBegunCallNotWithdrawn(t *testing.T) {
	for name, end := range map[string]func(*attempt){"begun": (*attempt).stopWeightsWatch, "begun when the timer fires": func(send *attempt) {
		send.stopWeightsWatch()
		send.recheckWeights() // the timer has fired already
	}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				r := promptRoute()
				send := &attempt{
					r:   &run{f: &Forwarder{Weights: twoVersions{declared: time.Now(), within: time.Second}}, call: Call{Prompt: &Prompt{Model: "m"}}, route: &r},
					c:   &choice{target: routing.Target{Weights: "1"}},
					ctx: ctx, cancel: cancel,
				}
				send.watchWeights()
				time.Sleep(time.Second - 1)
				end(send)
				time.Sleep(time.Minute)
				synctest.Wait()
				if ctx.Err() != nil || send.r.f.Stats.Withdrawn.Load() != 0 {
					t.Error("the send was withdrawn")
				}
			})
		})
	}
}

// TestOnceCallAvoidsExpiringWeights offers old weights that may be used for less than 2 s more:
// only calls that lose nothing when they are withdrawn go there.
func TestOnceCallAvoidsExpiringWeights(t *testing.T) {
	resumable, once, plain := promptRoute(), promptRoute(), promptRoute()
	once.Attempts, once.Resumable = 1, false
	plain.Kind, plain.Resumable = catalog.Idempotent, false
	for name, c := range map[string]struct {
		route catalog.Route
		want  int
	}{"may run again": {resumable, 1}, "may run once": {once, 0}, "start not visible": {plain, 0}} {
		t.Run(name, func(t *testing.T) {
			old := newFakeReplica(t, "old", events(2, 0, false))
			tf := newFleet(t, c.route, old)
			tf.f.Weights = twoVersions{declared: time.Now(), within: 1800 * time.Millisecond}
			tf.setWeights(map[*fakeReplica]ids.WeightsVersion{old: "1"})
			if _, _, err := tf.ask(t, "Model", "m"); err != nil {
				t.Fatal(err)
			}
			if got := len(old.requests()); got != c.want {
				t.Errorf("%d calls went to the old weights, want %d", got, c.want)
			}
		})
	}
}

// TestWithdrawalNotCountedAgainstReplica withdraws calls from a replica several times: this does
// not count against the replica, but each call may have run.
func TestWithdrawalNotCountedAgainstReplica(t *testing.T) {
	old := newFakeReplica(t, "old", ok("x"))
	r := promptRoute()
	tf := newFleet(t, r, old)
	call := &run{f: tf.f, route: &r}
	for range 5 {
		call.recordOutcome(t.Context(), &attempt{c: &choice{target: routing.Target{ID: "old", Incarnation: 1}}}, outcome.Wrap(errOldWeights, outcome.Unknown, outcome.CodeUpstream, "send", "old", "withdrawn"))
	}
	if status := tf.f.Fleet.Members.Targets(time.Now()); len(status) != 1 || status[0].State != routing.Live {
		t.Errorf("the replica counts as %+v, want one live replica", status)
	}
	if !call.mayHaveRun {
		t.Error("the calls are recorded as not run")
	}
}

// TestEndedSendNotCountedAsWithdrawn ends a send before its replica's weights become too old: the
// send does not count as withdrawn.
func TestEndedSendNotCountedAsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		r := promptRoute()
		send := &attempt{
			r:   &run{f: &Forwarder{Weights: twoVersions{declared: time.Now(), within: time.Second}}, call: Call{Prompt: &Prompt{Model: "m"}}, route: &r},
			c:   &choice{target: routing.Target{Weights: "1"}},
			ctx: ctx, cancel: cancel,
		}
		send.stall = newStallTimer(send.reportStall)
		send.watchWeights()
		send.end()
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := send.r.f.Stats.Withdrawn.Load(); n != 0 {
			t.Errorf("%d sends were counted as withdrawn, want 0", n)
		}
	})
}
