package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/threadwall/threadwall/internal/gateway"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/services"
)

// LoadSpec is a mixed workload of streamed prompts and bookings.
type LoadSpec struct {
	Entries    []string // base URLs, http://ip:port, at which VMs accept callers' requests
	Workspaces []string // names; a workspace's key is KeyOf(name)
	Template   string
	Parameter  string // the template's request parameter
	// Texts returns parameter text number i of a workspace.
	Texts             func(workspace string, i int) string
	TextsPerWorkspace int // distinct parameter texts of one workspace
	Service           string
	Requests          int
	BookingShare      float64 // fraction of requests that are bookings
	Concurrency       int
	Rate              float64 // requests/s; 0: as fast as Concurrency allows
	MaxTokens         int
	Seed              uint64
	Retries           int // maximum per request: of a booking, or of a prompt whose request or stream failed
	// Progress, if set, is called after each request, concurrently.
	Progress func(done, total int)
}

// KeyOf returns the API key of an example workspace.
func KeyOf(workspace string) string { return "key-" + workspace }

// Result summarizes a workload from the callers' point of view.
type Result struct {
	Requests  int                     `json:"requests"`
	Completed int                     `json:"whole"`
	Lost      int                     `json:"lost"`    // without a complete response or a typed refusal, or with a wrong response
	Refused   int                     `json:"refused"` // ended with a refusal, after all retries
	Unknown   int                     `json:"unknown"` // bookings whose outcome the caller was not told
	Retries   int                     `json:"retries"`
	Seconds   float64                 `json:"seconds"`
	TTFT      *hdrhistogram.Histogram `json:"-"` // in microseconds
	Booked    []string                `json:"-"` // idempotency keys reported to callers as run
	NotRun    []string                `json:"-"` // idempotency keys reported to callers as not run
	Wrong     []string                `json:"-"` // descriptions of the first 10 lost requests
}

// Bounds of histograms, in microseconds, and their significant digits.
const (
	histMin    = 1
	histMax    = 120_000_000
	histDigits = 3
)

// loader runs one workload.
type loader struct {
	spec   LoadSpec
	client *http.Client
	mu     sync.Mutex
	res    Result
	done   atomic.Int64
}

// Run sends the workload's requests and checks every response. It returns when all have
// ended, or early when ctx ends.
func (s LoadSpec) Run(ctx context.Context) *Result {
	l := &loader{spec: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Concurrency}}}
	l.res.TTFT = hdrhistogram.New(histMin, histMax, histDigits)
	start := time.Now()
	work := make(chan int)
	var wg sync.WaitGroup
	for range s.Concurrency {
		wg.Go(func() {
			for i := range work {
				l.send(ctx, i)
				if s.Progress != nil {
					s.Progress(int(l.done.Add(1)), s.Requests)
				}
			}
		})
	}
	for i := range s.Requests {
		if s.Rate > 0 {
			due := start.Add(time.Duration(float64(i) / s.Rate * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
		if ctx.Err() != nil {
			break
		}
		work <- i
	}
	close(work)
	wg.Wait()
	l.client.CloseIdleConnections()
	l.res.Seconds = time.Since(start).Seconds()
	return &l.res
}

func (l *loader) send(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(l.spec.Seed, uint64(i)))
	// An exponential distribution makes a few workspaces large.
	ws := l.spec.Workspaces[min(int(r.ExpFloat64()*2), len(l.spec.Workspaces)-1)]
	l.update(func(res *Result) { res.Requests++ })
	if r.Float64() < l.spec.BookingShare {
		l.booking(ctx, r, ws)
		return
	}
	l.prompt(ctx, r, ws, i)
}

func (l *loader) update(f func(*Result)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.res)
}

func (l *loader) recordLost(format string, args ...any) {
	l.update(func(res *Result) {
		res.Lost++
		if len(res.Wrong) < 10 {
			res.Wrong = append(res.Wrong, fmt.Sprintf(format, args...))
		}
	})
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

// defaultRetryDelay is the wait before a caller's retry if the response sets none.
const defaultRetryDelay = 200 * time.Millisecond

// waitRetry waits before a retry for as long as the response asks, but at most 5 s. resp may be
// nil.
func waitRetry(ctx context.Context, resp *http.Response) {
	wait := defaultRetryDelay
	if resp != nil {
		if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
			wait = time.Duration(ms) * time.Millisecond
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 5*time.Second)):
	}
}

func (l *loader) entry(r *rand.Rand) string { return l.spec.Entries[r.IntN(len(l.spec.Entries))] }

func (l *loader) post(ctx context.Context, url, ws, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+KeyOf(ws))
	if key != "" {
		req.Header.Set(services.HeaderIdempotencyKey, key)
	}
	return l.client.Do(req)
}

type promptBody struct {
	Model     string            `json:"model"`
	Messages  []promptMessage   `json:"messages"`
	Metadata  map[string]string `json:"metadata"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

type promptMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (l *loader) prompt(ctx context.Context, r *rand.Rand, ws string, i int) {
	question := fmt.Sprintf("Question %d of %s: is this in order?", i, ws)
	body, _ := json.Marshal(promptBody{
		Model: "template:" + l.spec.Template, Stream: true, MaxTokens: l.spec.MaxTokens,
		Messages: []promptMessage{{Role: "user", Content: question}},
		Metadata: map[string]string{l.spec.Parameter: l.spec.Texts(ws, min(int(r.ExpFloat64()*3), l.spec.TextsPerWorkspace-1))},
	})
	start := time.Now()
	for try := 0; ; try++ {
		resp, err := l.post(ctx, l.entry(r)+"/v1/chat/completions", ws, "", body)
		if err == nil && resp.StatusCode == http.StatusOK {
			problem := l.readStream(resp, AnswerTag(question), start)
			if problem == "" {
				l.update(func(res *Result) { res.Completed++ })
				return
			}
			if try >= l.spec.Retries || strings.HasPrefix(problem, "wrong") {
				l.recordLost("request %d: %s", i, problem)
				return
			}
			resp = nil
		} else if try >= l.spec.Retries {
			l.recordRefusal(resp, err, i)
			return
		}
		drain(resp)
		l.update(func(res *Result) { res.Retries++ })
		waitRetry(ctx, resp)
	}
}

func drain(resp *http.Response) {
	if resp != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
		_ = resp.Body.Close()
	}
}

// recordRefusal counts a request that ended without a response to its prompt. A refusal with
// an outcome counts as refused, anything else as lost.
func (l *loader) recordRefusal(resp *http.Response, err error, i int) {
	if err != nil {
		l.recordLost("request %d: %v", i, err)
		return
	}
	defer drain(resp)
	var ref errorBody
	if json.NewDecoder(resp.Body).Decode(&ref) != nil || ref.Error.Outcome == "" {
		l.recordLost("request %d: status %d without an outcome", i, resp.StatusCode)
		return
	}
	l.update(func(res *Result) { res.Refused++ })
}

// readStream checks a streamed response token by token. It returns a description of the
// fault, or "". A description that starts with "wrong" stands for a wrong response, which must
// not be retried. "broken" stands for a stream that ended before [DONE]; the caller may retry it.
func (l *loader) readStream(resp *http.Response, tag string, start time.Time) string {
	defer func() { _ = resp.Body.Close() }()
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(make([]byte, 0, 4096), 1<<20)
	var text strings.Builder
	finished, failed := false, false
	for scan.Scan() {
		line := scan.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		failed = failed || line == "event: error"
		if !ok || failed {
			continue
		}
		if data == "[DONE]" {
			finished = true
			continue
		}
		t := textOf(data)
		if t != "" && text.Len() == 0 {
			l.update(func(res *Result) { _ = res.TTFT.RecordValue(time.Since(start).Microseconds()) })
		}
		text.WriteString(t)
	}
	tokens := strings.Fields(text.String())
	for n, tok := range tokens {
		if tok != fmt.Sprintf("%d:%s", n, tag) {
			return fmt.Sprintf("wrong: token %d is %q, want tag %s", n, tok, tag)
		}
	}
	switch {
	case finished && len(tokens) != l.spec.MaxTokens:
		return fmt.Sprintf("wrong: looks complete with %d of %d tokens", len(tokens), l.spec.MaxTokens)
	case !finished:
		return "broken"
	default:
		return ""
	}
}

// booking makes one booking, with the same idempotency key in all attempts.
func (l *loader) booking(ctx context.Context, r *rand.Rand, ws string) {
	key := uuid.NewString()
	body := []byte(fmt.Sprintf(`{"drum":"D-%d"}`, r.IntN(1000)))
	// The booking is known not to have run only if every attempt ended with "not-run".
	notRun := true
	for try := 0; ; try++ {
		resp, err := l.post(ctx, l.entry(r)+"/v1/services/"+l.spec.Service+"/bookings", ws, key, body)
		if err == nil && resp.StatusCode == http.StatusOK {
			drain(resp)
			l.update(func(res *Result) { res.Completed++; res.Booked = append(res.Booked, key) })
			return
		}
		if err == nil {
			notRun = notRun && resp.Header.Get(gateway.HeaderOutcome) == outcome.NotRun.String()
			drain(resp)
		} else {
			notRun = false
		}
		if try >= l.spec.Retries {
			l.recordBookingEnd(key, notRun)
			return
		}
		l.update(func(res *Result) { res.Retries++ })
		waitRetry(ctx, resp)
	}
}

func (l *loader) recordBookingEnd(key string, notRun bool) {
	l.update(func(res *Result) {
		if notRun {
			res.Refused++
			res.NotRun = append(res.NotRun, key)
			return
		}
		res.Unknown++
	})
}
