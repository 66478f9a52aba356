package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestPeerReportShortensWait lets a peer report, while a call waits, that the newest version was
// declared earlier than this VM had recorded: the time of the withdrawal follows from the reported
// age.
func TestPeerReportShortensWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &follow.Weights{Decode: func([]byte) (follow.DesiredWeights, error) {
			return follow.DesiredWeights{Model: "m", Version: version}, nil
		}}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, follow.At{Sent: time.Now()}, false)
		version = 2
		w.Changed([]objectapi.Object{{}}, follow.At{Answered: time.Now()})
		ctx, cancel := context.WithCancelCause(t.Context())
		r := promptRoute()
		send := &attempt{
			r:   &run{f: &Forwarder{Weights: w}, call: Call{Prompt: &Prompt{Model: "m"}}, route: &r},
			c:   &choice{target: routing.Target{Weights: "1"}},
			ctx: ctx, cancel: cancel,
		}
		sent := time.Now()
		send.watchWeights()
		time.Sleep(time.Second)
		w.ApplyPeerAge(follow.VersionAge{Model: "m", Version: 2, Age: 5 * time.Second}, time.Now())
		var at time.Duration
		stop := context.AfterFunc(ctx, func() { at = time.Since(sent) })
		defer stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		if at > 6*time.Second {
			t.Errorf("withdrawn after %v, but the weights were too old after 5 s", at)
		}
	})
}
