package platformlab

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/lab/endless"
)

// FloodRule selects the responses in whose place a replica sends bytes without an end.
type FloodRule struct {
	Every int   // floods one response in Every
	Limit int64 // bytes after which the replica closes the connection by itself
	// OnFlood is called after each flood. request is empty for a poll.
	OnFlood func(request, form string, sent int64)

	responses atomic.Int64
}

// flood sends a flood in place of the response, if the rule selects it. streams states that the response is a stream.
func (f *FloodRule) flood(w http.ResponseWriter, req *http.Request, streams bool) bool {
	if f == nil || f.Every <= 0 {
		return false
	}
	n := f.responses.Add(1)
	if n%int64(f.Every) != 0 {
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	forms := endless.Forms
	if streams {
		forms = endless.Streams
	}
	names := slices.Sorted(maps.Keys(forms))
	name := names[n/int64(f.Every)%int64(len(names))]
	id := req.Header.Get("X-Request-Id")
	start := strings.ReplaceAll(forms[name][0], endless.Headers, "X-Request-Id: "+id+"\r\nX-Response-Signature: sig\r\n")
	// An event before the flood is the first one of the call, as a sound replica writes it.
	event, part := Event(1, id, ""), forms[name][1]
	start, part = strings.ReplaceAll(start, endless.FirstEvent, event), strings.ReplaceAll(part, endless.FirstEvent, event)
	if strings.Contains(start, event) && req.Header.Get("Last-Event-Id") != "" {
		start = strings.ReplaceAll(start, event, "") // the call has it already
	}
	f.OnFlood(id, name, endless.Write(c, start, part, f.Limit))
	return true
}

// Body returns what Run records of a request's body: long ones by their digest.
func Body(body string) string {
	if len(body) <= longBodyBytes {
		return body
	}
	sum := sha256.Sum256([]byte(body))
	return "sha256:" + hex.EncodeToString(sum[:])
}

const longBodyBytes = 4 << 10

// Answer returns the response of a replica to a call that is not a stream. Of replicas with LongAnswers, the one to each tenth call
// is long.
func Answer(id string, longAnswers bool) string {
	answer := "answer to " + id
	if longAnswers && strings.HasSuffix(id, "7") {
		answer += strings.Repeat(".", longAnswerBytes)
	}
	return answer
}

const longAnswerBytes = 300 << 10
