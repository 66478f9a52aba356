package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab"
)

// A prompt or service call that crashes its target, and is repeated by callers, used to reach
// ever more targets. Limits on attempts and the retry budget apply within one call, for
// threadwall's own API as for opaque calls, so that each repeat reached two or three targets.
// Results before quarantine applied to them, for 8 s of repeats every 250 ms:
//
//	prompt:  36 targets crashed, 12 of them more than 3 s after the third
//	service: 28 targets crashed, 15 of them more than 3 s after the third
const (
	fatalText   = "crashes-what-runs-it"
	fatalRest   = 300 * time.Millisecond
	repeatEvery = 250 * time.Millisecond
	knownAfter  = 3 * time.Second
	mostAfter   = 3
)

// TestFatalRequests repeats a request that crashes its target at VMs of two failure domains.
// At most mostAfter targets may crash later than knownAfter after the third crash, when all
// VMs must know of the request. Other calls must be served.
func TestFatalRequests(t *testing.T) {
	key := lab.KeyOf(workspace)
	for name, ask := range map[string]func(h *harness, n int) int{
		"prompt": func(h *harness, n int) int {
			body := fmt.Sprintf(`{"model":"yard","stream":true,"messages":[{"role":"user","content":%q}]}`, fatalText)
			resp, _ := h.post(n%len(h.vms.Entries()), "/v1/chat/completions", key, "", body)
			return resp.StatusCode
		},
		"service": func(h *harness, n int) int {
			resp, _ := h.post(n%len(h.vms.Entries()), "/v1/services/booking/x", key, fmt.Sprint("fatal-", n), fatalText)
			return resp.StatusCode
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startWith(t, 2, lab.StartOptions{CrashText: fatalText, RestartDelay: fatalRest}, nil)
			statuses := map[int]int{}
			for n := range int(8 * time.Second / repeatEvery) {
				statuses[ask(h, n)]++
				time.Sleep(repeatEvery)
			}
			crashes := h.s.Crashes()
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
				t.Errorf("%d targets crashed after all VMs had to know of the request, allowed are %d", late, mostAfter)
			}
			time.Sleep(fatalRest)
			if resp, body := h.post(0, "/v1/services/booking/x", key, "other", "harmless"); resp.StatusCode != http.StatusOK {
				t.Errorf("another call got status %d: %s", resp.StatusCode, strings.TrimSpace(body))
			}
		})
	}
}
