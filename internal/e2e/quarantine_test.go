package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab"
)

// A prompt, or a call of a service, crashed whatever ran it and was asked again and again.
// The interface for callers of threadwall's own has the same gap as that for opaque calls:
// its bounds on attempts and its retry budget count within one call, so that each repeat
// was sent on, to two or three targets. Eight seconds of repeats, one each 250 ms:
//
//	prompt:  36 targets crashed, 12 of them more than three seconds after the third
//	service: 28 targets crashed, 15 of them more than three seconds after the third
const (
	fatalText   = "crashes-what-runs-it"
	fatalRest   = 300 * time.Millisecond
	repeatEvery = 250 * time.Millisecond
	knownAfter  = 3 * time.Second
	mostAfter   = 3
)

// TestFatalRequests repeats what crashes targets at VMs of two failure domains, and asks for
// the bound on what it reaches after it is to be known, and that others are served.
func TestFatalRequests(t *testing.T) {
	key := lab.KeyOf(workspace)
	for name, ask := range map[string]func(w *world, n int) int{
		"prompt": func(w *world, n int) int {
			body := fmt.Sprintf(`{"model":"yard","stream":true,"messages":[{"role":"user","content":%q}]}`, fatalText)
			resp, _ := w.post(n%len(w.vms.Entries()), "/v1/chat/completions", key, "", body)
			return resp.StatusCode
		},
		"service": func(w *world, n int) int {
			resp, _ := w.post(n%len(w.vms.Entries()), "/v1/services/booking/x", key, fmt.Sprint("fatal-", n), fatalText)
			return resp.StatusCode
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWith(t, 2, lab.StartOptions{CrashText: fatalText, RestartDelay: fatalRest}, nil)
			statuses := map[int]int{}
			for n := range int(8 * time.Second / repeatEvery) {
				statuses[ask(w, n)]++
				time.Sleep(repeatEvery)
			}
			crashes := w.s.Crashes()
			if len(crashes) < 3 {
				t.Fatalf("only %d targets crashed", len(crashes))
			}
			late := 0
			for _, at := range crashes {
				if at.After(crashes[2].Add(knownAfter)) {
					late++
				}
			}
			t.Logf("%d targets crashed, %d of them more than %v after the third; statuses %v", len(crashes), late, knownAfter, statuses)
			if late > mostAfter {
				t.Errorf("%d targets crashed after the request was to be known, %d are allowed", late, mostAfter)
			}
			time.Sleep(fatalRest)
			if resp, body := w.post(0, "/v1/services/booking/x", key, "other", "harmless"); resp.StatusCode != http.StatusOK {
				t.Errorf("another call got %d, %s", resp.StatusCode, strings.TrimSpace(body))
			}
		})
	}
}
