package crowd

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab"
)

const (
	// spoiltEngineCalls is the number of calls to spoilt engines, fewer than their workspace may have under way.
	spoiltEngineCalls = 150
	// nearlyLongWhole lies just below what a VM reads of a whole response of an engine, in bytes.
	nearlyLongWhole = 8_000_000
)

// engineCaller is a caller of engines over the daemon's own interface, on a new connection for each call.
func engineCaller(body string) Form {
	return Form{Fresh: func() []byte {
		target := Target{Host: "vm", Path: "/v1/chat/completions", Body: body, Head: []string{
			"Authorization: Bearer " + lab.KeyOf("hidroelectrica-norte"), "Idempotency-Key: " + string(ids.NewRequest()), "Connection: close",
		}}
		return []byte(target.whole())
	}}
}

const (
	wholeCall  = `{"model":"yard","messages":[{"role":"user","content":"x"}]}`
	streamCall = `{"model":"yard","stream":true,"messages":[{"role":"user","content":"x"}]}`
)

// TestManyEnginesWithoutAnEnd has the engines of many calls to the daemon's own interface send without an end at the same moment: their sum stays
// within the VM's memory.
func TestManyEnginesWithoutAnEnd(t *testing.T) {
	forms := map[string]Form{
		"long body then slowly":    {Start: []byte(wholeHead), Part: repeated("x"), Limit: nearlyLongWhole, Drip: []byte("x")},
		"small fields and no body": LongHeads()["small fields and no body"],
	}
	streams := Events()
	maps.DeleteFunc(streams, func(name string, _ Form) bool {
		return name != "event without an end" && name != "long event then slowly" && name != "comments"
	})
	play := func(call string) func(t *testing.T, f Form) {
		return func(t *testing.T, f Form) {
			s := &spoilt{form: f}
			v := startGatewayWith(t, manyDescriptors, lab.StartOptions{OnCall: s.respond})
			endureSpoilt(t, v, s, engineCaller(call), spoiltEngineCalls, gatewayMemoryMB)
		}
	}
	each(t, forms, play(wholeCall))
	each(t, streams, play(streamCall))
}

// TestLargestResponsesOfEnginesInCalm has a few callers get the largest whole responses that engines may send: each arrives whole.
func TestLargestResponsesOfEnginesInCalm(t *testing.T) {
	text := strings.Repeat("x", nearlyLongWhole)
	v := startGatewayWith(t, manyDescriptors, lab.StartOptions{OnCall: func(w http.ResponseWriter, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","choices":[{"finish_reason":"stop","text":"%s"}]}`, r.Header.Get(engine.HeaderRequestID), text)
		return true
	}})
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+v.listen+"/v1/chat/completions", strings.NewReader(wholeCall))
			if err != nil {
				t.Error(err)
				return
			}
			req.Header.Set("Authorization", "Bearer "+lab.KeyOf("hidroelectrica-norte"))
			if status, got, err := do(req); err != nil || status != http.StatusOK || !strings.Contains(got, text) {
				t.Errorf("status %d, %d bytes, error %v; want 200 and %d bytes and more", status, len(got), err, len(text))
			}
		})
	}
	calls.Wait()
}
