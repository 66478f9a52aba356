package dispatch

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Prompt is one request to a model, with its template rendered. It is not safe for
// concurrent use.
type Prompt struct {
	Request   ids.Request
	Workspace ids.Workspace
	Model     ids.Model
	Path      string // of the API, the same for callers and targets
	Stream    bool
	Template  config.Prompt
	Levels    []prefix.Level // the longest prefixes, at most maxLevels
	Tokens    int32          // estimated length of the prompt

	body      []byte                     // as received from the caller
	fields    map[string]json.RawMessage // of the body that the target gets
	wantUsage bool                       // the caller asked for usage in the stream
}

// Paths of the model API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// maxLevels bounds the prefixes of a prompt that are looked up in the cache view.
const maxLevels = 64

// message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the message's content if it is a string, or the joined text parts if
// it is an array.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// requestHead holds the fields that threadwall reads from a caller's body. Other fields
// are forwarded unchanged.
type requestHead struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	Prompt        json.RawMessage   `json:"prompt"`
	Stream        bool              `json:"stream"`
	Metadata      map[string]string `json:"metadata"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// UnknownTemplateError reports a template that does not exist or that the workspace
// may not use.
type UnknownTemplateError struct{ Name string }

// Error implements error.
func (e *UnknownTemplateError) Error() string { return "there is no template " + e.Name }

// ReadPrompt parses a caller's body and renders its template. An error means that the
// request is invalid. It is an *UnknownTemplateError if the template is unknown. The
// Prompt keeps body, which must not change afterwards.
func ReadPrompt(req ids.Request, ws ids.Workspace, path string, body []byte, cfg *config.Config) (*Prompt, error) {
	var head requestHead
	if err := json.Unmarshal(body, &head); err != nil {
		return nil, eris.Errorf("the body can't be decoded as a JSON request: %v", err)
	}
	p := &Prompt{
		Request: req, Workspace: ws, Path: path, Stream: head.Stream, body: body,
		wantUsage: head.StreamOptions.IncludeUsage,
	}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, eris.Errorf("the body can't be decoded as a JSON request: %v", err)
	}
	if head.Model == "" {
		return nil, eris.New("\"model\" is missing")
	}
	shared, err := p.applyTemplate(&head, cfg)
	if err != nil {
		return nil, err
	}
	texts, err := p.compose(&head, shared)
	if err != nil {
		return nil, err
	}
	p.Levels, p.Tokens = prefix.Chain(prefix.Seed(ws, p.Model), texts)
	if extra := len(p.Levels) - maxLevels; extra > 0 {
		p.Levels = p.Levels[extra:] // the longest prefixes save the most work
	}
	return p, nil
}

// applyTemplate resolves the model and returns the texts of the template's levels.
func (p *Prompt) applyTemplate(head *requestHead, cfg *config.Config) ([]string, error) {
	name, isTemplate := strings.CutPrefix(head.Model, config.TemplateModelPrefix)
	if !isTemplate {
		p.Model = ids.Model(head.Model)
		p.Template = config.PlainPrompt(p.Model)
		return nil, nil
	}
	t, ok := cfg.Templates[name]
	if !ok || t.Prompt == nil || !cfg.MayUse(p.Workspace, name) {
		return nil, &UnknownTemplateError{Name: name}
	}
	p.Model, p.Template = t.Prompt.Model, *t.Prompt
	delete(p.fields, "metadata")
	return cfg.Render(p.Workspace, p.Template, head.Metadata)
}

// compose puts the template's shared levels before the caller's prompt in the body for
// the target, and returns the texts of all levels.
func (p *Prompt) compose(head *requestHead, shared []string) ([]string, error) {
	if p.Path == PathCompletions {
		return p.composeText(head, shared)
	}
	if len(head.Messages) == 0 {
		return nil, eris.New("\"messages\" is missing or empty")
	}
	texts := append([]string(nil), shared...)
	var all []json.RawMessage
	for _, level := range shared {
		all = append(all, systemMessage(level))
	}
	for i, raw := range head.Messages {
		var m message
		if err := json.Unmarshal(raw, &m); err != nil {
			return nil, eris.Errorf("messages[%d]: %v", i, err)
		}
		texts = append(texts, prefix.Chunks(m.text())...)
		all = append(all, raw)
	}
	p.set("messages", all)
	return texts, nil
}

func (p *Prompt) composeText(head *requestHead, shared []string) ([]string, error) {
	var text string
	if err := json.Unmarshal(head.Prompt, &text); err != nil || text == "" {
		return nil, eris.New("\"prompt\" must be a string that is not empty")
	}
	p.set("prompt", strings.Join(shared, "")+text)
	return append(append([]string(nil), shared...), prefix.Chunks(text)...), nil
}

func systemMessage(text string) json.RawMessage {
	content, _ := json.Marshal(text)
	raw, _ := json.Marshal(message{Role: "system", Content: content})
	return raw
}

func (p *Prompt) set(field string, value any) {
	raw, _ := json.Marshal(value) // can't fail: all values are plain data
	p.fields[field] = raw
}

// streamOptions requests usage at the end of a stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// targetBody returns the body for the target. delivered is the text of earlier
// attempts that the caller already has; the target continues after it.
func (p *Prompt) targetBody(delivered string) []byte {
	p.set("model", p.Model)
	p.set("priority", -p.Template.Priority) // engines serve the lowest value first
	p.set("cache_salt", string(p.Workspace))
	if p.Stream {
		p.set("stream_options", streamOptions{IncludeUsage: true})
	}
	if delivered != "" {
		return p.continuationBody(delivered)
	}
	body, _ := json.Marshal(p.fields)
	return body
}

// continuationBody returns a body that requests the rest of a response after the text
// delivered.
func (p *Prompt) continuationBody(delivered string) []byte {
	f := make(map[string]json.RawMessage, len(p.fields)+2)
	for k, v := range p.fields {
		f[k] = v
	}
	c := Prompt{fields: f}
	if p.Path == PathCompletions {
		var prompt string
		_ = json.Unmarshal(f["prompt"], &prompt)
		c.set("prompt", prompt+delivered)
	} else {
		var messages []json.RawMessage
		_ = json.Unmarshal(f["messages"], &messages)
		content, _ := json.Marshal(delivered)
		last, _ := json.Marshal(message{Role: "assistant", Content: content})
		c.set("messages", append(messages, last))
		c.set("continue_final_message", true)
		c.set("add_generation_prompt", false)
	}
	body, _ := json.Marshal(f)
	return body
}
