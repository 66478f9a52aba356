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

// TestSignalsCountWhateverTheAnswer heeds a rest that is asked for, and a leaving, on an answer
// that does not say that the call did not run, on one that fails and on one that serves.
func TestSignalsCountWhateverTheAnswer(t *testing.T) {
	for name, first := range map[string]string{
		"a refusal that does not say that nothing ran": "HTTP/1.1 503 X\r\nRest: 5s\r\n",
		"a refusal":           "HTTP/1.1 503 X\r\nNot-Run: yes\r\nRest: 5s\r\n",
		"a failure":           "HTTP/1.1 500 X\r\nSigned: yes\r\nLeaving: yes\r\n",
		"a served call":       "HTTP/1.1 200 OK\r\nSigned: yes\r\nLeaving: yes\r\n",
		"another incarnation": "HTTP/1.1 200 OK\r\nSigned: yes\r\nBy: other\r\nLeaving: yes\r\n",
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
				want = 2 // it speaks of itself
			}
			if n := len(a.requests()); n != want {
				t.Errorf("%d calls were sent, want %d", n, want)
			}
			if resp, _, err := tf.ask(t); want == 1 && (err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "") {
				t.Errorf("a call that nobody can take got %v, %v", resp, err)
			}
		})
	}
}

// What a replica asks for was looked at when it was chosen. A call whose connection took a second,
// or whose VM stood still, was sent by what had been known before.

// TestSignalsAreAskedBeforeTheFirstByte holds a call up between the decision and the send, as a
// slow connect or a suspended VM does. Meanwhile another answer says that the replica rests, or
// leaves: nothing is sent, and the call goes to another replica or is refused as not run.
func TestSignalsAreAskedBeforeTheFirstByte(t *testing.T) {
	for name, s := range map[string]membership.Signals{"rest": {Rest: time.Minute}, "leaving": {Leaving: true}} {
		tf := newFleet(t, route(catalog.Once, 1), newFakeReplica(t, "a", ok("")))
		r := &run{f: tf.f, req: httptest.NewRequest(http.MethodPost, "/", nil), ends: time.Now().Add(time.Minute)}
		c := &choice{}
		c.target.ID, c.target.Incarnation = "a", 1
		before := (&try{r: &run{f: r.f, req: r.req, ends: r.ends, route: &tf.f.Catalog.Get().Routes[0]}, c: c}).request().Before
		if refusal := before(); refusal != nil {
			t.Fatalf("%s: a call is held back without need: %v", name, refusal)
		}
		tf.f.Fleet.Signaled("a", 1, s, time.Now())
		if refusal := before(); refusal == nil || refusal.Outcome != outcome.NotRun || !errors.Is(refusal, errNoLongerAllowed) {
			t.Errorf("%s: the call is sent all the same: %v", name, refusal)
		}
	}
}
