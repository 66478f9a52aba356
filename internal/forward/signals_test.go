package forward

import (
	"net/http"
	"testing"

	"github.com/threadwall/threadwall/internal/catalog"
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
			a := newStandIn(t, "a", says(first))
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
