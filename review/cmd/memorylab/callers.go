package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// connections is the number of connections that the callers of a VM open before they send.
const connections = 40

// callers send requests to one VM on connections that they keep.
type callers struct {
	vm     *machine
	p      *platform
	rec    *recorder
	client http.Client
	number atomic.Int64
	all    sync.WaitGroup

	sent, whole, refused, lost atomic.Int64
}

func newCallers(m *machine, p *platform, rec *recorder) *callers {
	return &callers{vm: m, p: p, rec: rec, client: http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2 * connections, IdleConnTimeout: 12 * time.Second, // four fifths of idleTimeoutMs
		DisableCompression: true,
	}}}
}

// openConnections opens the connections by as many small requests at the same time.
func (c *callers) openConnections() {
	for range connections {
		c.send(smallBody)
	}
	c.wait()
}

func (c *callers) wait() { c.all.Wait() }

// send starts a request with a body of a size, which is sent in chunks.
func (c *callers) send(size int) {
	n := c.number.Add(1)
	id, kind := fmt.Sprintf("%s-%d", c.vm.name, n), routeOf(n)
	c.sent.Add(1)
	c.rec.printf("%s: sent to %s, %d bytes in chunks", id, kind.name, size)
	c.all.Go(func() { c.call(id, n, kind, size) })
}

func (c *callers) call(id string, n int64, kind *route, size int) {
	ctx, cancel := context.WithTimeout(context.Background(), kind.timeout)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vm.listen+kind.path+"1", &pacedBody{left: size})
	if err != nil {
		c.rec.printf("%s: %v", id, err)
		return
	}
	req.ContentLength, req.Host = -1, host // of unknown length: sent in chunks
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Request-Deadline": fmt.Sprint(kind.timeout.Milliseconds()), "Api-Key": key, "X-Model": model,
		"X-Token-Count": kind.tokens, "X-Prompt-Prefix": fmt.Sprintf(kind.shared+",%x:430", n%25, id),
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	status, complete := 0, false
	if err == nil {
		status = resp.StatusCode
		body, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		complete = rerr == nil
		if complete && status == http.StatusOK && bytes.Count(body, []byte("\n\n")) == kind.events {
			c.whole.Add(1)
			c.rec.printf("%s: answered whole, on a kept connection: %v", id, kept)
			return
		}
	}
	switch {
	case complete && status >= http.StatusMultipleChoices:
		c.refused.Add(1)
		c.rec.printf("%s: answered with %d", id, status)
	case kept && c.p.hasBegun(id):
		c.lost.Add(1)
		c.rec.printf("%s: LOST: a sound replica had begun it, and its kept connection closed without a complete answer", id)
	default:
		c.rec.printf("%s: no answer (kept connection: %v, begun by a replica: %v): %v", id, kept, c.p.hasBegun(id), err)
	}
}

// pacedBody is a body that is sent at about 8 MB/s.
type pacedBody struct{ left int }

const (
	pieceBytes = 125_000
	piecePause = 15 * time.Millisecond
)

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, pieceBytes)
	copy(p, strings.Repeat("x", n))
	if b.left > pieceBytes {
		time.Sleep(time.Duration(float64(piecePause) * float64(n) / pieceBytes))
	}
	b.left -= n
	return n, nil
}
