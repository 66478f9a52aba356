package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
)

// chunk returns the data of one event of a streamed response.
func (g *generation) chunk(text, finish string) string {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	if g.chat {
		return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":1,"model":"lab","choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}]}`,
			engine.ResponseIDPrefix+string(g.attempt), text, reason)
	}
	return fmt.Sprintf(`{"id":%q,"object":"text_completion","created":1,"model":"lab","choices":[{"index":0,"text":%q,"finish_reason":%s}]}`,
		engine.ResponseIDPrefix+string(g.attempt), text, reason)
}

func (g *generation) usageJSON() string {
	return fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		g.prompt, g.total, g.prompt+g.total, g.cached)
}

func (g *generation) usage() string {
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":1,"model":"lab","choices":[],%s}`,
		engine.ResponseIDPrefix+string(g.attempt), g.usageJSON())
}

// serveStream writes the events that follow event number after, and injects armed faults.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, after int) {
	g.addReaders(1)
	defer g.addReaders(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(w)
	_ = ctl.Flush()
	write := func(n int, data string) bool {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		return err == nil && ctl.Flush() == nil
	}
	for n := after + 1; ; n++ {
		data, ok := g.next(r.Context(), n)
		if !ok {
			return
		}
		if !e.writeWithFaults(w, ctl, g, n, data, write) {
			return
		}
	}
}

// writeWithFaults writes event n, or injects an armed fault in its place. It returns
// false if the response has to end.
func (e *Engine) writeWithFaults(w http.ResponseWriter, ctl *http.ResponseController, g *generation, n int, data string, write func(int, string) bool) bool {
	if n < faultFromEvent {
		return write(n, data)
	}
	switch {
	case e.faults.trigger(FaultTruncate):
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s", n, data[:len(data)/2])
		_ = ctl.Flush()
		panic(http.ErrAbortHandler)
	case e.faults.trigger(FaultCloseEarly):
		return false
	case e.faults.trigger(FaultDuplicate):
		ok := write(n, data)
		return ok && write(n, data)
	case e.faults.trigger(FaultReorder):
		return write(n+1, data) && write(n, data)
	case e.faults.trigger(FaultCross):
		return write(n, strings.ReplaceAll(data, string(g.attempt), string(ids.NewAttempt())))
	case e.faults.trigger(FaultStall):
		time.Sleep(stallTime)
		return write(n, data)
	default:
		return write(n, data)
	}
}

// serveFull writes a response that is not streamed, once all its tokens are generated.
func (e *Engine) serveFull(w http.ResponseWriter, r *http.Request, g *generation) {
	g.addReaders(1)
	defer g.addReaders(-1)
	var text strings.Builder
	for n := 1; ; n++ {
		data, ok := g.next(r.Context(), n)
		if !ok {
			break
		}
		text.WriteString(textOf(data))
	}
	if r.Context().Err() != nil {
		return
	}
	choice := fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}`, text.String())
	object := "chat.completion"
	if !g.chat {
		choice, object = fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":"stop"}`, text.String()), "text_completion"
	}
	body := fmt.Sprintf(`{"id":%q,"object":%q,"created":1,"model":"lab","choices":[%s],%s}`,
		engine.ResponseIDPrefix+string(g.attempt), object, choice, g.usageJSON())
	w.Header().Set("Content-Type", "application/json")
	if e.faults.trigger(FaultTruncate) || e.faults.trigger(FaultLostAnswer) {
		_, _ = w.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body))
}

// textOf returns the text in the data of an event, or "" if the data carries none, as a usage
// event does.
func textOf(data string) string {
	var c struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

// serveResume streams the rest of an attempt's response, from the event after the one that the
// caller names.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt ids.Attempt `json:"attempt"`
		After   int         `json:"after"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	e.setHeaders(w, body.Attempt)
	e.mu.Lock()
	g := e.responses[body.Attempt]
	e.mu.Unlock()
	if g == nil || e.faults.trigger(FaultForget) {
		http.Error(w, `{"error":{"message":"no response of this attempt"}}`, http.StatusNotFound)
		return
	}
	e.serveStream(w, r, g, body.After)
}
