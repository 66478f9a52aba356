package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
)

// Stats counts what the dispatcher did; published as metrics.
type Stats struct {
	Attempts, Retries, Resumes, Continued, BudgetEmpty atomic.Int64
	PromptTokens, CachedTokens, OutputTokens, Events   atomic.Int64
}

// deliveredText gathers the text that the caller has, for templates that allow
// another target to continue it.
type deliveredText struct{ b strings.Builder }

// add appends the text of one chunk.
func (t *deliveredText) add(data []byte) {
	if !bytes.Contains(data, []byte(`"choices"`)) {
		return
	}
	var chunk struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 {
		t.b.WriteString(chunk.Choices[0].Delta.Content)
		t.b.WriteString(chunk.Choices[0].Text)
	}
}

// Len returns the text's length in bytes.
func (t *deliveredText) Len() int { return t.b.Len() }

// String returns the text.
func (t *deliveredText) String() string { return t.b.String() }
