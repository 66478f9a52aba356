package forward

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/outcome"
)

// TestSignalsApplyToAnyResponse checks that a requested rest and an announced leaving take effect
// on a response that does not state that the call did not run, on a failure and on a success.
func TestSignalsApplyToAnyResponse(t *testing.T) {
	for name, first := range map[string]string{
		"a refusal without a not-run header": "HTTP/1.1 503 X\r\nRest: 5s\r\n",
		"a refusal":                          "HTTP/1.1 503 X\r\nNot-Run: yes\r\nRest: 5s\r\n",
		"a failure":                          "HTTP/1.1 500 X\r\nSigned: yes\r\nLeaving: yes\r\n",
		"a served call":                      "HTTP/1.1 200 OK\r\nSigned: yes\r\nLeaving: yes\r\n",
		"another incarnation":                "HTTP/1.1 200 OK\r\nSigned: yes\r\nBy: other\r\nLeaving: yes\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a := newFakeReplica(t, "a", respondHead(first))
			tf := newFleet(t, route(catalog.Once, 1), a)
			for range 2 {
				resp, _, err := tf.ask(t)
				if err != nil {
					t.Fatal(err)
				}
				if len(a.requests()) == 0 {
					t.Fatalf("the first call got %d without being sent", resp.StatusCode)
				}
			}
			want := 1
			if name == "another incarnation" {
				want = 2 // the signals are those of the other incarnation
			}
			if n := len(a.requests()); n != want {
				t.Errorf("%d calls were sent, want %d", n, want)
			}
			if resp, _, err := tf.ask(t); want == 1 && (err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "") {
				t.Errorf("a call that no replica can take got %v, %v, want 503 with a Retry-After", resp, err)
			}
		})
	}
}

// The test below guards against a fault in which the VM checked a replica's signals only when it
// chose the replica. A call was sent on outdated signals if connecting took a second or the VM was
// suspended.

// TestSignalsCheckedBeforeFirstByte holds a call up between the decision and the send, as a slow
// connect or a suspended VM does. In that time another response says that the replica rests or
// leaves: nothing is sent, and the call goes to another replica or is refused as not run.
func TestSignalsCheckedBeforeFirstByte(t *testing.T) {
	for name, s := range map[string]membership.Signals{"rest": {Rest: time.Minute}, "leaving": {Leaving: true}} {
		tf := newFleet(t, route(catalog.Once, 1), newFakeReplica(t, "a", ok("")))
		r := &run{f: tf.f, req: httptest.NewRequest(http.MethodPost, "/", nil), ends: time.Now().Add(time.Minute)}
		c := &choice{}
		c.target.ID, c.target.Incarnation = "a", 1
		before := (&attempt{r: &run{f: r.f, req: r.req, ends: r.ends, route: &tf.f.Catalog.Get().Routes[0]}, c: c}).request().BeforeWrite
		if refusal := before(); refusal != nil {
			t.Fatalf("%s: a call is refused without a reason: %v", name, refusal)
		}
		tf.f.Fleet.ApplySignals("a", 1, s, time.Now())
		if refusal := before(); refusal == nil || refusal.Outcome != outcome.NotRun || !errors.Is(refusal, errNotAllowed) {
			t.Errorf("%s: the call is not refused as not run: %v", name, refusal)
		}
	}
}
