package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

const (
	testIdle    = 100 * time.Millisecond
	testSilence = 4 * testIdle
	// testEvents is the number of events of a stream; testBefore of them come before the silence.
	testEvents, testBefore = 6, 3
)

// silentEngine writes the beginning of a stream, is silent, and goes on unless it stays silent.
type silentEngine struct {
	stays  bool
	resume http.HandlerFunc // of requests for the rest of the stream
}

func (e *silentEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body) // the server notices that a connection closes once the body is read
	if err != nil {
		return
	}
	if r.URL.Path == engine.PathResume {
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.resume(w, r)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	writeEvents(w, id, 1, testBefore)
	silence := testSilence
	if e.stays {
		silence = time.Minute
	}
	select {
	case <-time.After(silence):
	case <-r.Context().Done():
		return
	}
	writeEvents(w, id, testBefore+1, testEvents)
}

// writeEvents writes the events from one number to another, the last of which says that the stream is complete.
func writeEvents(w http.ResponseWriter, id string, from, to int) {
	for n := from; n <= to; n++ {
		data := fmt.Sprintf(`{"id":%q,"choices":[{"text":"%d","finish_reason":null}]}`, id, n)
		switch n {
		case testEvents - 1:
			data = strings.Replace(data, "null", `"stop"`, 1)
		case testEvents:
			data = "[DONE]"
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	}
	_ = http.NewResponseController(w).Flush()
}

// resumes answers a request for the rest of a stream.
func resumes(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Attempt string `json:"attempt"`
		After   int    `json:"after"`
	}
	_ = json.NewDecoder(r.Body).Decode(&asked) // the events of a wrong request would not be accepted
	writeEvents(w, asked.Attempt, asked.After+1, testEvents)
}

func answers(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// recordingSink keeps the data of all events.
type recordingSink struct {
	countingSink
	data []string
}

func (s *recordingSink) Event(data []byte) error {
	s.data = append(s.data, string(data))
	return nil
}

// runStream runs one stream at the engine and returns its events.
func runStream(t *testing.T, e *silentEngine, budget float64) (events []string, err error) {
	srv := httptest.NewServer(e)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	addr := strings.TrimPrefix(srv.URL, "http://")
	fl := fleet.New(membership.New("vm", membership.DefaultTuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), nil)
	fl.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleService, Service: "svc", Addr: addr}}, time.Now())
	fl.Refresh()
	sink := &recordingSink{}
	r := &run{
		d: &Dispatcher{
			Fleet: fl, Engine: engine.NewClient(time.Second), Events: timeline.NewLog("vm", hlc.New(nil), 100), IdleTimeout: testIdle, Stats: &Stats{},
			Budget: retry.NewBudget(0, budget, time.Minute, nil),
		},
		p: &Prompt{Request: "r1", Stream: true}, sink: sink, attempts: 1,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call := &engine.Call{Attempt: "a1", Target: "e1", Addr: addr, Path: PathChat, Body: []byte("{}")}
	err = r.send(ctx, call, choice{target: routing.Target{ID: ids.Target("e1")}}, fl.Load.Sent("e1", 1, time.Now()))
	return sink.data, err
}

// TestIdleStreamStaysAtItsTarget has a target fall silent for longer than the idle timeout and go on, while something keeps the
// stream from being resumed. It guards against streams whose connection was closed before anything had replaced it.
func TestIdleStreamStaysAtItsTarget(t *testing.T) {
	for name, c := range map[string]struct {
		resume http.HandlerFunc
		budget float64
	}{
		"the retry budget is used up":  {resumes, 0},
		"the target forgot the stream": {answers(http.StatusNotFound), 10},
		"the resume fails":             {answers(http.StatusInternalServerError), 10},
		"the resume breaks off":        {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 10},
		"the resume is silent":         {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 10},
		"the rest comes both ways": {func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(testSilence - testIdle)
			resumes(w, r)
		}, 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			events, err := runStream(t, &silentEngine{resume: c.resume}, c.budget)
			if err != nil || len(events) != testEvents {
				t.Errorf("got %d events %q, %v, want all %d", len(events), events, err, testEvents)
			}
		})
	}
}

// TestIdleStreamIsResumed has a target send nothing more over its connection, as when the link is lost: the rest comes over another
// one when the idle timeout has passed.
func TestIdleStreamIsResumed(t *testing.T) {
	began := time.Now()
	events, err := runStream(t, &silentEngine{stays: true, resume: resumes}, 1)
	if err != nil || len(events) != testEvents {
		t.Errorf("got %d events %q, %v, want all %d", len(events), events, err, testEvents)
	}
	if took := time.Since(began); took > 10*testIdle {
		t.Errorf("the stream was complete after %v", took)
	}
}
