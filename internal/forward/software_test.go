package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
)

// A software version may be taken out of service while a call to it is held up between the decision
// and the send, by a slow connect or a suspended VM. The version's targets then stop without
// draining, and a call that may run only once would be lost there.

// TestRetiredVersionGetsNoFirstByte holds a call up while its target's version is rolled back, and
// while all calls move to another version: nothing is sent, and the call has not run.
func TestRetiredVersionGetsNoFirstByte(t *testing.T) {
	for name, later := range map[string]canary.Record{
		"rolled back": {Service: "s", Stable: "v1", Barred: []ids.SoftwareVersion{"v2"}},
		"promoting":   {Service: "s", Stable: "v2", Canary: "v3", Stage: canary.Promoting, Share: 1},
	} {
		tf := newFleet(t, route(catalog.Once, 1), newFakeReplica(t, "a", ok("")))
		tf.f.Software = &canary.Gate{Log: eventlog.New(io.Discard, nil)}
		tf.f.Software.Apply(canary.Record{Service: "s", Stable: "v1", Canary: "v2", Stage: canary.Proving, Share: 0.1, Part: 1}, 1)
		r := &run{f: tf.f, req: httptest.NewRequest(http.MethodPost, "/", nil), ends: time.Now().Add(time.Minute), service: "s", route: &tf.f.Catalog.Get().Routes[0]}
		c := &choice{}
		c.target.ID, c.target.Incarnation, c.target.Software = "a", 1, "v2"
		before := (&attempt{r: r, c: c}).request().BeforeWrite
		if refusal := before(); refusal != nil {
			t.Fatalf("%s: a call is refused without a reason: %v", name, refusal)
		}
		tf.f.Software.Apply(later, 2)
		if refusal := before(); refusal == nil || refusal.Outcome != outcome.NotRun || !errors.Is(refusal, errNotAllowed) {
			t.Errorf("%s: the call is not refused as not run: %v", name, refusal)
		}
	}
}
