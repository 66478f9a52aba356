package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
)

// Load is a target's response to a probe. Services that are not engines omit the fields
// that only engines have.
type Load struct {
	Incarnation  ids.Incarnation    `json:"incarnation"`
	Leaving      bool               `json:"leaving,omitempty"`
	Weights      ids.WeightsVersion `json:"weights,omitempty"`
	Model        ids.Model          `json:"model,omitempty"`
	QueuedTokens int                `json:"queued_tokens"`
	Running      int                `json:"running"`
	Slots        int                `json:"slots"`
	PrefillRate  float64            `json:"prefill_rate"` // tokens/s
}

// EventBatch is a batch of cache events. Last is the number of the engine's newest event,
// which may come after the last event of the batch.
type EventBatch struct {
	Incarnation ids.Incarnation    `json:"incarnation"`
	Weights     ids.WeightsVersion `json:"weights"`
	Last        uint64             `json:"last"`
	Events      []cacheview.Event  `json:"events"`
}

// Size limits of response bodies in bytes.
const (
	maxLoadBody   = 64 << 10
	maxEventsBody = 2 << 20
)

// Probe reads a target's load. It fails unless the target responds with status 200 within
// timeout. Unlike those of Start and Resume, its errors have no outcome.
func (c *Client) Probe(ctx context.Context, addr string, timeout time.Duration) (Load, error) {
	var l Load
	err := c.get(ctx, "http://"+addr+PathLoad, timeout, maxLoadBody, &l)
	return l, err
}

// Events reads the engine's cache events that follow event number after. It fails as Probe
// does.
func (c *Client) Events(ctx context.Context, addr string, after uint64, timeout time.Duration) (EventBatch, error) {
	var b EventBatch
	err := c.get(ctx, fmt.Sprintf("http://%s%s?after=%d", addr, PathEvents, after), timeout, maxEventsBody, &b)
	return b, err
}

func (c *Client) get(ctx context.Context, url string, timeout time.Duration, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d, want 200", url, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return eris.Wrapf(err, "read response of %s", url)
	}
	return eris.Wrapf(json.Unmarshal(body, into), "decode response of %s", url)
}
