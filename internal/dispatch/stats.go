package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
)

// Stats counts the work of a dispatcher, for the metrics. BudgetEmpty counts the retries
// that were not made because the retry budget was empty. Safe for concurrent use.
type Stats struct {
	Attempts, Retries, Resumes, Continued, BudgetEmpty atomic.Int64
	PromptTokens, CachedTokens, OutputTokens, Events   atomic.Int64
}

// deliveredText collects the text delivered to the caller, for templates that let another
// target continue the response.
type deliveredText struct{ b strings.Builder }

// add appends the text of the first choice in one stream event.
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

// Len returns the length in bytes.
func (t *deliveredText) Len() int { return t.b.Len() }

func (t *deliveredText) String() string { return t.b.String() }
