package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab"
	"github.com/threadwall/threadwall/internal/settings"
)

const workspace = "redes-cartago"

// harness runs an example platform with VMs in the test process.
type harness struct {
	*testing.T
	s   *lab.StandIns
	vms *lab.VMs
}

var domains = []ids.FailureDomain{"sala-heredia", "sala-cartago"}

// start starts the example platform and perDomain VMs in each of domains.
func start(t *testing.T, perDomain int) *harness {
	t.Helper()
	return startWithNetwork(t, perDomain, nil)
}

// startWithNetwork starts the platform and VMs as start does. network returns the value of
// lab.StandIns.Network, which sets the store and peer addresses of each VM.
func startWithNetwork(t *testing.T, perDomain int, network func(*lab.StandIns) func(settings.Settings) (string, string)) *harness {
	t.Helper()
	return startWithOptions(t, perDomain, lab.StartOptions{}, network)
}

// startWithOptions starts the platform with the options o, and VMs as startWithNetwork does. It
// replaces the domains and the engine of o. network may be nil.
func startWithOptions(t *testing.T, perDomain int, o lab.StartOptions, network func(*lab.StandIns) func(settings.Settings) (string, string)) *harness {
	t.Helper()
	ex, err := lab.ReadExample("../../examples/solano")
	if err != nil {
		t.Fatal(err)
	}
	o.Domains, o.Engine = domains, lab.DefaultEngine
	s, err := lab.Start(t.Context(), ex, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if network != nil {
		s.Network = network(s)
	}
	vms, err := lab.StartVMs(t.Context(), s, domains, perDomain, "cost")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { vms.Stop(context.Background()) })
	return &harness{T: t, s: s, vms: vms}
}

func (h *harness) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(h.vms.Entries()[0]+"/v1"), option.WithAPIKey(lab.KeyOf(workspace)), option.WithMaxRetries(0))
}

// params returns a request that uses the template check-contract.
func params(question string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "template:check-contract",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxTokens: openai.Int(20),
		Metadata:  map[string]string{"contract": "Contract 5: two drums of size M-10, for three weeks."},
	}
}

// wantText returns the complete response of a simulated engine to a question.
func wantText(question string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%d:%s ", i, lab.AnswerTag(question))
	}
	return b.String()
}

// arm arms a fault on all engines, to be injected count times by each. Count 0 disarms it; a
// negative count is unlimited.
func (h *harness) arm(f lab.Fault, count int) {
	for _, e := range h.s.Engines {
		e.Faults().Arm(lab.FaultSpec{Fault: f, Count: count})
	}
}

// stream sends a question with OpenAI's Go client and returns the streamed text and the error.
func (h *harness) stream(question string) (string, error) {
	c := h.client()
	st := c.Chat.Completions.NewStreaming(h.Context(), params(question))
	defer func() { _ = st.Close() }()
	var b strings.Builder
	for st.Next() {
		if ch := st.Current().Choices; len(ch) > 0 {
			b.WriteString(ch[0].Delta.Content)
		}
	}
	return b.String(), st.Err()
}

// TestOfficialClient checks that OpenAI's Go client gets complete responses to a chat completion
// and a text completion, and the list of models.
func TestOfficialClient(t *testing.T) {
	h := start(t, 1)
	c := h.client()
	got, err := c.Chat.Completions.New(t.Context(), params("whole?"))
	if err != nil {
		t.Fatal(err)
	}
	if got.Choices[0].Message.Content != wantText("whole?", 20) || got.Choices[0].FinishReason != "stop" {
		t.Fatalf("got response %+v, want content %q and finish reason stop", got.Choices[0], wantText("whole?", 20))
	}
	if !strings.Contains(got.ID, "req-") || got.Usage.PromptTokens == 0 {
		t.Fatalf("got ID %q and usage %+v, want an ID with req- and prompt tokens above 0", got.ID, got.Usage)
	}
	models, err := c.Models.List(t.Context())
	if err != nil || len(models.Data) != 3 {
		t.Fatalf("got models %v and error %v, want 3 models", models, err)
	}
	text, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "yard", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("plain?")}, MaxTokens: openai.Int(5),
	})
	if err != nil || text.Choices[0].Text != wantText("plain?", 5) {
		t.Fatalf("got completion %v and error %v, want text %q", text, err, wantText("plain?", 5))
	}
}

// TestStreamsCompleteUnderFaults checks that a caller gets the complete response under each
// fault of a target: the stream is resumed, or another replica continues it.
func TestStreamsCompleteUnderFaults(t *testing.T) {
	h := start(t, 1)
	for _, f := range []lab.Fault{
		"", lab.FaultTruncate, lab.FaultCloseEarly, lab.FaultDuplicate, lab.FaultReorder, lab.FaultCross,
	} {
		h.arm(f, 1)
		q := "fault " + string(f)
		text, err := h.stream(q)
		if err != nil || text != wantText(q, 20) {
			t.Errorf("fault %q: error %v, text %q", f, err, text)
		}
		h.arm(f, 0)
	}
}

// TestRefusalsAreRetried checks that a request that a target refused as not run is sent to
// another target.
func TestRefusalsAreRetried(t *testing.T) {
	h := start(t, 1)
	armed := 0
	for _, e := range h.s.Engines {
		if armed++; armed <= 3 {
			e.Faults().Arm(lab.FaultSpec{Fault: lab.FaultRefuse, Count: 1})
		}
	}
	for i := range 10 {
		q := fmt.Sprint("refused ", i)
		if text, err := h.stream(q); err != nil || text != wantText(q, 20) {
			t.Errorf("error %v, text %q", err, text)
		}
	}
}

// TestLostResponseIsContinued breaks streams at targets that no longer have the response when
// asked to resume it, for example after a restart. Another target continues such a stream,
// since the template allows it.
func TestLostResponseIsContinued(t *testing.T) {
	h := start(t, 1)
	h.arm(lab.FaultForget, -1)
	for _, e := range h.s.Engines {
		e.Faults().Arm(lab.FaultSpec{Fault: lab.FaultTruncate, Count: 1})
	}
	noneContinued := true
	for i := range 8 {
		q := fmt.Sprint("forgotten ", i)
		text, err := h.stream(q)
		if err == nil && text != wantText(q, 20) {
			t.Errorf("stream ended without an error after %q, want %q", text, wantText(q, 20))
		}
		if err == nil && h.vms.Daemons[0].Metrics().Retries > 0 {
			noneContinued = false
		}
	}
	if noneContinued {
		t.Error("no stream was continued")
	}
}

// TestBookingSurvivesCallerDisconnect checks that a caller whose connection breaks while its
// booking runs gets the response when it repeats the call, and that the booking runs once.
func TestBookingSurvivesCallerDisconnect(t *testing.T) {
	h := start(t, 1)
	for _, svc := range h.s.Services {
		svc.Faults().Arm(lab.FaultSpec{Fault: lab.FaultStall, Count: 1})
	}
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.vms.Entries()[0]+"/v1/services/booking/bookings", strings.NewReader("{}"))
	req.Header.Set("Authorization", "Bearer "+lab.KeyOf(workspace))
	req.Header.Set("Idempotency-Key", "gone")
	go func() {
		waitFor(t, func() bool { objects, _, _ := h.s.Store.List(t.Context(), "claims/"); return len(objects) == 1 })
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the first caller got a response")
	}
	waitFor(t, func() bool {
		resp, _ := h.post(1, "/v1/services/booking/bookings", lab.KeyOf(workspace), "gone", "{}")
		return resp.StatusCode == http.StatusOK
	})
	if h.runs("gone") != 1 {
		t.Errorf("the booking ran %d times, want once", h.runs("gone"))
	}
}

// TestNotRunCoversAllAttempts checks that a refusal after an attempt that may have run does
// not claim "not run", whatever the last target reported.
func TestNotRunCoversAllAttempts(t *testing.T) {
	h := start(t, 1)
	for _, r := range h.s.Records {
		fault := lab.FaultRefuse
		if r.ID == "yard-1" {
			fault = lab.FaultLostAnswer
		}
		if e := h.s.Engines[r.ID]; e != nil {
			e.Faults().Arm(lab.FaultSpec{Fault: fault, Count: -1})
		}
	}
	ran, wrong := int64(0), 0
	for i := range 40 {
		before := h.served()
		resp, body := h.post(0, "/v1/chat/completions", lab.KeyOf(workspace), "",
			fmt.Sprintf(`{"model":"yard","max_tokens":3,"messages":[{"role":"user","content":"q %d"}]}`, i))
		if resp.StatusCode == http.StatusOK {
			t.Fatalf("unexpected success: %s", body)
		}
		if h.served() > before {
			ran++
			if resp.Header.Get("X-Threadwall-Outcome") == "not-run" {
				wrong++
			}
		}
	}
	if ran == 0 || wrong > 0 {
		t.Errorf("%d requests ran, %d of them were reported as not-run", ran, wrong)
	}
}

// served returns how many responses the engines completed.
func (h *harness) served() int64 {
	var n int64
	for _, e := range h.s.Engines {
		n += e.Served.Load()
	}
	return n
}

// TestBrokenStreamIsNeverComplete checks that a stream that breaks at every attempt, also when
// resumed, ends with an error and does not look complete.
func TestBrokenStreamIsNeverComplete(t *testing.T) {
	h := start(t, 1)
	h.arm(lab.FaultTruncate, -1)
	text, err := h.stream("broken?")
	if err == nil {
		t.Fatalf("no error after %q", text)
	}
	if !strings.HasPrefix(wantText("broken?", 20), text) {
		t.Fatalf("delivered text %q is no prefix of the response", text)
	}
}

// post sends a request to the VM with index entry. key is the API key and idem the idempotency
// key; both may be empty. It returns the response and its body, which is closed.
func (h *harness) post(entry int, path, key, idem, body string) (*http.Response, string) {
	h.Helper()
	req, _ := http.NewRequestWithContext(h.Context(), http.MethodPost, h.vms.Entries()[entry]+path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idem != "" {
		req.Header.Set("Idempotency-Key", idem)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		h.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp, string(b)
}

// TestTypedErrors checks the status, the code and the outcome of error responses, and that each
// has a request ID.
func TestTypedErrors(t *testing.T) {
	h := start(t, 1)
	key := lab.KeyOf(workspace)
	chat := func(model, rest string) string {
		return `{"model":"` + model + `","messages":[{"role":"user","content":"x"}]` + rest + `}`
	}
	for _, c := range []struct {
		name, path, key, idem, body string
		status                      int
		code, outcome               string
	}{
		{"no key", "/v1/chat/completions", "", "", "{}", 401, "invalid_api_key", "not-run"},
		{"wrong key", "/v1/chat/completions", "nope", "", "{}", 401, "invalid_api_key", "not-run"},
		{"no JSON", "/v1/chat/completions", key, "", "{", 400, "invalid_request", "not-run"},
		{"no model", "/v1/chat/completions", key, "", "{}", 400, "invalid_request", "not-run"},
		{"no messages", "/v1/chat/completions", key, "", `{"model":"yard"}`, 400, "invalid_request", "not-run"},
		{"unknown model", "/v1/chat/completions", key, "", chat("none", ""), 404, "model_not_found", "not-run"},
		{"unknown template", "/v1/chat/completions", key, "", chat("template:none", ""), 404, "template_not_found", "not-run"},
		{"parameter missing", "/v1/chat/completions", key, "", chat("template:check-contract", ""), 400, "invalid_parameter", "not-run"},
		{"parameter too long", "/v1/chat/completions", key, "", chat("template:check-contract", `,"metadata":{"contract":"`+strings.Repeat("x", 70000)+`"}`), 400, "invalid_parameter", "not-run"},
		{"body too long", "/v1/chat/completions", key, "", strings.Repeat(" ", 5<<20), 413, "request_too_large", "not-run"},
		{"unknown service", "/v1/services/none/x", key, "k", "{}", 404, "service_not_found", "not-run"},
		{"no idempotency key", "/v1/services/booking/x", key, "", "{}", 400, "idempotency_key_required", "not-run"},
		{"expired idempotency key", "/v1/services/booking/x", key, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "{}", 422, "idempotency_key_expired", "not-run"},
		{"unknown path", "/v1/none", key, "", "{}", 400, "invalid_request", "not-run"},
	} {
		resp, body := h.post(0, c.path, c.key, c.idem, c.body)
		var e struct {
			Error struct{ Code, Outcome, Message, RequestID string }
		}
		_ = json.Unmarshal([]byte(body), &e)
		if resp.StatusCode != c.status || e.Error.Code != c.code || e.Error.Outcome != c.outcome || resp.Header.Get("X-Request-Id") == "" {
			t.Errorf("%s: got status %d, request ID %q and body %s; want status %d, a request ID, code %s and outcome %s",
				c.name, resp.StatusCode, resp.Header.Get("X-Request-Id"), body, c.status, c.code, c.outcome)
		}
	}
}

// runs returns how often services ran the booking with an idempotency key.
func (h *harness) runs(key string) int { return h.s.Runs()[key] }

// TestBookings checks that a booking runs at most once, whether it is repeated, its response is
// lost, it is refused, or the store is down or loses responses, and that the response says whether
// it ran.
func TestBookings(t *testing.T) {
	h := start(t, 1)
	key := lab.KeyOf(workspace)
	book := func(entry int, idem, body string) (*http.Response, string) {
		return h.post(entry, "/v1/services/booking/bookings", key, idem, body)
	}
	first, a := book(0, "k1", `{"d":1}`)
	again, b := book(1, "k1", `{"d":1}`)
	if first.StatusCode != 200 || again.StatusCode != 200 || a != b || h.runs("k1") != 1 {
		t.Fatalf("booking and its repeat: got %d %q, then %d %q, with %d runs; want status 200 and the same body twice, and 1 run",
			first.StatusCode, a, again.StatusCode, b, h.runs("k1"))
	}
	if resp, body := book(1, "k1", `{"d":2}`); resp.StatusCode != 422 || h.runs("k1") != 1 {
		t.Fatalf("same key with another body: got status %d, body %s, %d runs; want status 422 and 1 run", resp.StatusCode, body, h.runs("k1"))
	}

	arm := func(f lab.Fault, n int) {
		for _, svc := range h.s.Services {
			svc.Faults().Arm(lab.FaultSpec{Fault: f, Count: n})
		}
	}
	arm(lab.FaultLostAnswer, 1)
	resp, body := book(0, "k2", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "unknown" {
		t.Fatalf("lost response: got outcome %q, body %s; want outcome unknown", resp.Header.Get("X-Threadwall-Outcome"), body)
	}
	arm(lab.FaultLostAnswer, 0)
	resp, body = book(1, "k2", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "unknown" || h.runs("k2") != 1 {
		t.Fatalf("repeat after a lost response: got outcome %q, body %s, %d runs; want outcome unknown and 1 run",
			resp.Header.Get("X-Threadwall-Outcome"), body, h.runs("k2"))
	}

	arm(lab.FaultRefuse, 1) // each of the two replicas refuses once
	resp, body = book(0, "k3", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "not-run" || h.runs("k3") != 0 {
		t.Fatalf("refused by all: got outcome %q, body %s, %d runs; want outcome not-run and no run",
			resp.Header.Get("X-Threadwall-Outcome"), body, h.runs("k3"))
	}
	if resp, body = book(1, "k3", "{}"); resp.StatusCode != 200 || h.runs("k3") != 1 {
		t.Fatalf("repeat after a refusal as not run: got status %d, body %s, %d runs; want status 200 and 1 run", resp.StatusCode, body, h.runs("k3"))
	}

	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	resp, body = book(0, "k4", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" || h.runs("k4") != 0 {
		t.Fatalf("store down: got outcome %q, Retry-After %q, body %s, %d runs; want outcome not-run, a Retry-After and no run",
			resp.Header.Get("X-Threadwall-Outcome"), resp.Header.Get("Retry-After"), body, h.runs("k4"))
	}
	if text, err := h.stream("store down?"); err != nil || text != wantText("store down?", 20) {
		t.Fatalf("prompt with the store down: error %v, text %q", err, text)
	}
	h.s.Store.SetFaults(lab.StoreFaults{LostResponse: 1})
	resp, body = book(0, "k5", "{}")
	if resp.StatusCode != 200 || h.runs("k5") != 1 {
		t.Fatalf("lost store responses: got status %d, body %s, %d runs; want status 200 and 1 run", resp.StatusCode, body, h.runs("k5"))
	}
}

// TestCancelReachesTarget checks that closing the connection of a request cancels it at the
// target.
func TestCancelReachesTarget(t *testing.T) {
	h := start(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	c := h.client()
	p := params("cancel?")
	p.MaxTokens = openai.Int(100_000)
	st := c.Chat.Completions.NewStreaming(ctx, p)
	if !st.Next() {
		t.Fatal(st.Err())
	}
	cancel()
	waitFor(t, func() bool {
		var n int64
		for _, e := range h.s.Engines {
			n += e.Cancelled.Load()
		}
		return n == 1
	})
}

// waitFor polls until cond holds. It fails the test after 20 s.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 20 s")
		}
	}
}
