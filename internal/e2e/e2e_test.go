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

// world is an example with VMs in this process.
type world struct {
	*testing.T
	s   *lab.StandIns
	vms *lab.VMs
}

var domains = []ids.FailureDomain{"sala-heredia", "sala-cartago"}

func start(t *testing.T, each int) *world {
	t.Helper()
	return startOn(t, each, nil)
}

// startOn starts VMs on a network of the test's own.
func startOn(t *testing.T, each int, network func(*lab.StandIns) func(settings.Settings) (string, string)) *world {
	t.Helper()
	return startWith(t, each, lab.StartOptions{}, network)
}

// startWith starts stand-ins with some options.
func startWith(t *testing.T, each int, o lab.StartOptions, network func(*lab.StandIns) func(settings.Settings) (string, string)) *world {
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
	vms, err := lab.StartVMs(t.Context(), s, domains, each, "cost")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { vms.Stop(context.Background()) })
	return &world{T: t, s: s, vms: vms}
}

func (w *world) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(w.vms.Entries()[0]+"/v1"), option.WithAPIKey(lab.KeyOf(workspace)), option.WithMaxRetries(0))
}

func params(question string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "template:check-contract",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxTokens: openai.Int(20),
		Metadata:  map[string]string{"contract": "Contract 5: two drums of size M-10, for three weeks."},
	}
}

// wantText is the whole answer that the stand-in gives to a question.
func wantText(question string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%d:%s ", i, lab.AnswerTag(question))
	}
	return b.String()
}

// arm sets a fault on all engines.
func (w *world) arm(f lab.Fault, count int) {
	for _, e := range w.s.Engines {
		e.Faults().Arm(lab.FaultSpec{Fault: f, Count: count})
	}
}

// stream asks by the official client and returns the text and the stream's error.
func (w *world) stream(question string) (string, error) {
	c := w.client()
	st := c.Chat.Completions.NewStreaming(w.Context(), params(question))
	defer func() { _ = st.Close() }()
	var b strings.Builder
	for st.Next() {
		if ch := st.Current().Choices; len(ch) > 0 {
			b.WriteString(ch[0].Delta.Content)
		}
	}
	return b.String(), st.Err()
}

func TestOfficialClientWhole(t *testing.T) {
	w := start(t, 1)
	c := w.client()
	got, err := c.Chat.Completions.New(t.Context(), params("whole?"))
	if err != nil {
		t.Fatal(err)
	}
	if got.Choices[0].Message.Content != wantText("whole?", 20) || got.Choices[0].FinishReason != "stop" {
		t.Fatalf("answer %+v", got.Choices[0])
	}
	if !strings.Contains(got.ID, "req-") || got.Usage.PromptTokens == 0 {
		t.Fatalf("id %q, usage %+v", got.ID, got.Usage)
	}
	models, err := c.Models.List(t.Context())
	if err != nil || len(models.Data) != 3 {
		t.Fatalf("models %v, %v", models, err)
	}
	text, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "yard", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("plain?")}, MaxTokens: openai.Int(5),
	})
	if err != nil || text.Choices[0].Text != wantText("plain?", 5) {
		t.Fatalf("completion %v, %v", text, err)
	}
}

// Each fault of a target must leave the caller with the whole answer: the stream
// is resumed, or another replica continues it.
func TestStreamsAreWholeUnderFaults(t *testing.T) {
	w := start(t, 1)
	for _, f := range []lab.Fault{
		"", lab.FaultTruncate, lab.FaultCloseEarly, lab.FaultDuplicate, lab.FaultReorder, lab.FaultCross,
	} {
		w.arm(f, 1)
		q := "fault " + string(f)
		text, err := w.stream(q)
		if err != nil || text != wantText(q, 20) {
			t.Errorf("fault %q: error %v, text %q", f, err, text)
		}
		w.arm(f, 0)
	}
}

// A target that refuses with "not run" is followed by another.
func TestRefusalsAreRetried(t *testing.T) {
	w := start(t, 1)
	armed := 0
	for _, e := range w.s.Engines {
		if armed++; armed <= 3 {
			e.Faults().Arm(lab.FaultSpec{Fault: lab.FaultRefuse, Count: 1})
		}
	}
	for i := range 10 {
		q := fmt.Sprint("refused ", i)
		if text, err := w.stream(q); err != nil || text != wantText(q, 20) {
			t.Errorf("error %v, text %q", err, text)
		}
	}
}

// A target that breaks and has forgotten the answer when asked to resume (it
// restarted, say) is followed by another, since the template allows it.
func TestForgottenAnswerIsContinued(t *testing.T) {
	w := start(t, 1)
	w.arm(lab.FaultForget, -1)
	for _, e := range w.s.Engines {
		e.Faults().Arm(lab.FaultSpec{Fault: lab.FaultTruncate, Count: 1})
	}
	first := true
	for i := range 8 {
		q := fmt.Sprint("forgotten ", i)
		text, err := w.stream(q)
		if err == nil && text != wantText(q, 20) {
			t.Errorf("looks complete with %q", text)
		}
		if err == nil && w.vms.Daemons[0].Metrics().Retries > 0 {
			first = false
		}
	}
	if first {
		t.Error("no stream was continued")
	}
}

// A caller whose connection breaks while its booking runs gets the answer when it
// asks again; the booking runs once.
func TestBookingOutlivesItsCaller(t *testing.T) {
	w := start(t, 1)
	for _, svc := range w.s.Services {
		svc.Faults().Arm(lab.FaultSpec{Fault: lab.FaultStall, Count: 1})
	}
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, w.vms.Entries()[0]+"/v1/services/booking/bookings", strings.NewReader("{}"))
	req.Header.Set("Authorization", "Bearer "+lab.KeyOf(workspace))
	req.Header.Set("Idempotency-Key", "gone")
	go func() {
		waitFor(t, func() bool { objects, _, _ := w.s.Store.List(t.Context(), "claims/"); return len(objects) == 1 })
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the first caller was answered")
	}
	waitFor(t, func() bool {
		resp, _ := w.post(1, "/v1/services/booking/bookings", lab.KeyOf(workspace), "gone", "{}")
		return resp.StatusCode == http.StatusOK
	})
	if w.runs("gone") != 1 {
		t.Errorf("%d runs", w.runs("gone"))
	}
}

// A refusal after an attempt that may have run must not say "not run", whatever
// the last target said.
func TestNotRunIsTrueOverAllAttempts(t *testing.T) {
	w := start(t, 1)
	for _, r := range w.s.Records {
		fault := lab.FaultRefuse
		if r.ID == "yard-1" {
			fault = lab.FaultLostAnswer
		}
		if e := w.s.Engines[r.ID]; e != nil {
			e.Faults().Arm(lab.FaultSpec{Fault: fault, Count: -1})
		}
	}
	ran, untrue := int64(0), 0
	for i := range 40 {
		before := w.served()
		resp, body := w.post(0, "/v1/chat/completions", lab.KeyOf(workspace), "",
			fmt.Sprintf(`{"model":"yard","max_tokens":3,"messages":[{"role":"user","content":"q %d"}]}`, i))
		if resp.StatusCode == http.StatusOK {
			t.Fatalf("answered: %s", body)
		}
		if w.served() > before {
			ran++
			if resp.Header.Get("X-Threadwall-Outcome") == "not-run" {
				untrue++
			}
		}
	}
	if ran == 0 || untrue > 0 {
		t.Errorf("%d requests ran, %d of them were told not-run", ran, untrue)
	}
}

// served returns how many answers the engines generated to their end.
func (w *world) served() int64 {
	var n int64
	for _, e := range w.s.Engines {
		n += e.Served.Load()
	}
	return n
}

// A target that breaks every time, also when resumed, must yield an error and
// never a stream that looks complete.
func TestBrokenStreamIsNeverComplete(t *testing.T) {
	w := start(t, 1)
	w.arm(lab.FaultTruncate, -1)
	text, err := w.stream("broken?")
	if err == nil {
		t.Fatalf("no error after %q", text)
	}
	if !strings.HasPrefix(wantText("broken?", 20), text) {
		t.Fatalf("delivered %q is no prefix of the answer", text)
	}
}

func (w *world) post(entry int, path, key, idem, body string) (*http.Response, string) {
	w.Helper()
	req, _ := http.NewRequestWithContext(w.Context(), http.MethodPost, w.vms.Entries()[entry]+path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idem != "" {
		req.Header.Set("Idempotency-Key", idem)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp, string(b)
}

func TestTypedErrors(t *testing.T) {
	w := start(t, 1)
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
		{"model", "/v1/chat/completions", key, "", chat("none", ""), 404, "model_not_found", "not-run"},
		{"template", "/v1/chat/completions", key, "", chat("template:none", ""), 404, "template_not_found", "not-run"},
		{"parameter missing", "/v1/chat/completions", key, "", chat("template:check-contract", ""), 400, "invalid_parameter", "not-run"},
		{"parameter long", "/v1/chat/completions", key, "", chat("template:check-contract", `,"metadata":{"contract":"`+strings.Repeat("x", 70000)+`"}`), 400, "invalid_parameter", "not-run"},
		{"body long", "/v1/chat/completions", key, "", strings.Repeat(" ", 5<<20), 413, "request_too_large", "not-run"},
		{"service", "/v1/services/none/x", key, "k", "{}", 404, "service_not_found", "not-run"},
		{"no idempotency key", "/v1/services/booking/x", key, "", "{}", 400, "idempotency_key_required", "not-run"},
		{"old key", "/v1/services/booking/x", key, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "{}", 422, "idempotency_key_expired", "not-run"},
		{"path", "/v1/none", key, "", "{}", 400, "invalid_request", "not-run"},
	} {
		resp, body := w.post(0, c.path, c.key, c.idem, c.body)
		var e struct {
			Error struct{ Code, Outcome, Message, RequestID string }
		}
		_ = json.Unmarshal([]byte(body), &e)
		if resp.StatusCode != c.status || e.Error.Code != c.code || e.Error.Outcome != c.outcome || resp.Header.Get("X-Request-Id") == "" {
			t.Errorf("%s: status %d, body %s", c.name, resp.StatusCode, body)
		}
	}
}

func (w *world) runs(key string) int { return w.s.Runs()[key] }

func TestBookings(t *testing.T) {
	w := start(t, 1)
	key := lab.KeyOf(workspace)
	book := func(entry int, idem, body string) (*http.Response, string) {
		return w.post(entry, "/v1/services/booking/bookings", key, idem, body)
	}
	first, a := book(0, "k1", `{"d":1}`)
	again, b := book(1, "k1", `{"d":1}`)
	if first.StatusCode != 200 || again.StatusCode != 200 || a != b || w.runs("k1") != 1 {
		t.Fatalf("duplicate: %q then %q, %d runs", a, b, w.runs("k1"))
	}
	if resp, body := book(1, "k1", `{"d":2}`); resp.StatusCode != 422 || w.runs("k1") != 1 {
		t.Fatalf("other body: %d %s", resp.StatusCode, body)
	}

	arm := func(f lab.Fault, n int) {
		for _, svc := range w.s.Services {
			svc.Faults().Arm(lab.FaultSpec{Fault: f, Count: n})
		}
	}
	arm(lab.FaultLostAnswer, 1)
	resp, body := book(0, "k2", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "unknown" {
		t.Fatalf("lost answer: %s", body)
	}
	arm(lab.FaultLostAnswer, 0)
	resp, body = book(1, "k2", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "unknown" || w.runs("k2") != 1 {
		t.Fatalf("after a lost answer: %s, %d runs", body, w.runs("k2"))
	}

	arm(lab.FaultRefuse, 1) // each of the two replicas refuses once
	resp, body = book(0, "k3", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "not-run" || w.runs("k3") != 0 {
		t.Fatalf("refused by all: %s, %d runs", body, w.runs("k3"))
	}
	if resp, body = book(1, "k3", "{}"); resp.StatusCode != 200 || w.runs("k3") != 1 {
		t.Fatalf("after a true refusal: %d %s, %d runs", resp.StatusCode, body, w.runs("k3"))
	}

	w.s.Store.SetFaults(lab.StoreFaults{Down: true})
	resp, body = book(0, "k4", "{}")
	if resp.Header.Get("X-Threadwall-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" || w.runs("k4") != 0 {
		t.Fatalf("store down: %s, %d runs", body, w.runs("k4"))
	}
	if text, err := w.stream("store down?"); err != nil || text != wantText("store down?", 20) {
		t.Fatalf("prompt with the store down: %v", err)
	}
	w.s.Store.SetFaults(lab.StoreFaults{LostResponse: 1})
	resp, body = book(0, "k5", "{}")
	if resp.StatusCode != 200 || w.runs("k5") != 1 {
		t.Fatalf("lost store answers: %d %s, %d runs", resp.StatusCode, body, w.runs("k5"))
	}
}

// Cancelling a request by closing its connection reaches the target.
func TestCancelReachesTarget(t *testing.T) {
	w := start(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	c := w.client()
	p := params("cancel?")
	p.MaxTokens = openai.Int(100_000)
	st := c.Chat.Completions.NewStreaming(ctx, p)
	if !st.Next() {
		t.Fatal(st.Err())
	}
	cancel()
	waitFor(t, func() bool {
		var n int64
		for _, e := range w.s.Engines {
			n += e.Cancelled.Load()
		}
		return n == 1
	})
}

// waitFor waits for a condition that must come; the bound only ends a failed test.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about")
		}
	}
}
