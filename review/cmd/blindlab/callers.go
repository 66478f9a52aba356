package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callers send requests to one VM.
type callers struct {
	vm     *machine
	p      *platform
	rec    *recorder
	client http.Client

	mu  sync.Mutex
	ran []ranRequest
}

// ranRequest is a request that was answered by a service.
type ranRequest struct {
	sent    time.Time
	service string
}

func newCallers(m *machine, p *platform, rec *recorder) *callers {
	return &callers{vm: m, p: p, rec: rec, client: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// run sends requests until the platform ends.
func (c *callers) run() {
	for n := 1; ; n++ {
		go c.call(fmt.Sprintf("%s-%d", c.vm.name, n))
		select {
		case <-c.p.done:
			return
		case <-time.After(requestPause):
		}
	}
}

func (c *callers) call(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vm.listen+path+"1", strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		c.rec.printf("%s: %v", id, err)
		return
	}
	req.Host, req.GetBody = host, nil
	for name, value := range map[string]string{"X-Request-Id": id, "X-Request-Deadline": "3000", "Api-Key": key} {
		req.Header.Set(name, value)
	}
	c.rec.printf("%s: sent", id)
	sent := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.printf("%s: no answer: %v", id, err)
		return
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.rec.printf("%s: answered with %d", id, resp.StatusCode)
		return
	}
	c.rec.printf("%s: answered by %s", id, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran = append(c.ran, ranRequest{sent: sent, service: string(body)})
}

// lateAt returns how many requests the old service ran that were sent too late after the confirmation.
func (c *callers) lateAt(confirmed time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.ran {
		if age := r.sent.Sub(confirmed); r.service == oldService && age > configApply {
			n++
			c.rec.printf("%s: a request that was sent %d ms after the confirmation was run by %s", c.vm.name, age.Milliseconds(), r.service)
		}
	}
	return n
}
