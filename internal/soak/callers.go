package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// call is one call of a caller, and its result.
type call struct {
	id        string
	path      string
	key       string
	vm        *process
	sent      time.Time
	ended     time.Time
	status    int // 0: no response
	body      string
	broken    bool // the response was cut off
	signed    bool
	faultFree bool // no fault on its VM or outside the VMs, from faultFreeTime before it was sent to its end
	// vmFaultFree says that there was no fault on its VM and its path to the store, whatever there was outside the VMs.
	vmFaultFree bool
	version     int // newest configuration that the store confirmed propagationTime before the call was sent
	// Streams of engines of several software versions.
	resumes   string // id of the call that brought the first event of the stream that this one takes up; empty: none
	after     int    // number of the last event before this call
	leave     int    // the caller leaves after so many events; zero: it stays
	left      bool   // it has left
	sentBody  string // the body as replicas record it
	bodyBytes int
}

// Paths of the routes, by kind.
const (
	pathOnce   = "/once/"
	pathRepeat = "/repeat/"
	pathStream = "/stream/"
)

var paths = []string{pathOnce, pathRepeat, pathStream}

// callers make calls continuously, each over its own keep-alive connections.
type callers struct {
	h      *harness
	number atomic.Int64 // of the last call
	mu     sync.Mutex
	calls  []call
	// streams are those that began, with all calls that took them up.
	streams []*stream
	wg      sync.WaitGroup
}

// callPause is the mean pause between two calls of one caller.
const callPause = 15 * time.Millisecond

// run starts n callers, which call until ctx ends.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
		c.wg.Go(func() {
			defer transport.CloseIdleConnections()
			for ctx.Err() == nil {
				c.callRandom(rng, transport)
				pause := c.pause()
				time.Sleep(pause/2 + rand.N(pause))
			}
		})
	}
}

// pause returns the mean pause between two calls of one caller.
func (c *callers) pause() time.Duration {
	if c.h.shortage || c.h.hushes || c.h.floods != nil {
		return shortagePause
	}
	return callPause
}

// streamShape is the size of streams, and the time that callers have.
type streamShape struct {
	chunks   int           // events of a stream
	interval time.Duration // between them
	deadline time.Duration // how long a caller waits for a response, of any route
}

// usualStreams is the shape of streams in most soaks.
var usualStreams = streamShape{chunks: 6, interval: 5 * time.Millisecond, deadline: deadline}

// deadline is how long a caller usually waits for a response.
const deadline = 2 * time.Second

// timeoutMargin is how much sooner than its callers a route gives up.
const timeoutMargin = 200 * time.Millisecond

// shapeOf returns the shape of streams in a soak.
func shapeOf(o *Options) streamShape {
	if o.Hushes || o.Floods {
		return hushedStreams
	}
	return usualStreams
}

// setTimeouts sets the timeouts of all routes.
func (h *harness) setTimeouts(d time.Duration) {
	for _, r := range h.config.Routes {
		r["timeoutMs"] = d.Milliseconds()
	}
}

// callRandom makes one call on a random route, with one of the keys that faults replace.
func (c *callers) callRandom(rng *rand.Rand, transport *http.Transport) {
	path := paths[rng.IntN(len(paths))]
	if c.h.shortage && rng.Float64() < repeatShare {
		path = pathRepeat
	}
	c.call(rng, transport, path, c.h.key(rng.IntN(keyCount)))
}

// call makes one call to a random VM. If it is to engines of several software versions, the caller may leave and take
// the stream up.
func (c *callers) call(rng *rand.Rand, transport *http.Transport, path, key string) {
	if path == pathStream && c.h.versions {
		c.readStream(rng, transport, key)
		return
	}
	c.send(rng, transport, call{path: path, key: key})
}

// send makes one call to a random VM and returns it with its result.
func (c *callers) send(rng *rand.Rand, transport *http.Transport, out call) call {
	h := c.h
	out.id, out.vm, out.version = fmt.Sprintf("s%08d", c.number.Add(1)), h.pickVM(rng), h.confirmedVersion()
	faultFree, vmFaultFree := h.faultFree(out.vm), out.vm.faultFree(faultFreeTime)
	out.sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), h.streams.deadline)
	defer cancel()
	spec := platformlab.Call{ID: out.id, Host: host, Path: out.path + "x", Key: out.key, Body: "body of " + out.id, Deadline: h.streams.deadline}
	if out.path == pathStream {
		spec.Model, spec.Tokens = model, 1000
		spec.Parts = []string{"aa:500", fmt.Sprintf("b%d:400", rng.IntN(20)), out.id + ":100"}
		spec.Resumes, spec.LastEvent = out.resumes, out.after
	}
	if h.floods != nil {
		spec.Body += strings.Repeat("x", drawBody(rng))
	}
	out.sentBody, out.bodyBytes = platformlab.Body(spec.Body), len(spec.Body)
	req, err := spec.Request(ctx, "http://"+out.vm.listen)
	if err != nil {
		panic(err) // addresses of the harness are always valid
	}
	if h.floods != nil && rng.IntN(2) == 0 {
		req.ContentLength = -1 // sent in chunks
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		out.status, out.signed = resp.StatusCode, platformlab.Signed(resp)
		if h.floods != nil && rng.IntN(lateReaders) == 0 {
			time.Sleep(rand.N(lateReading))
		}
		out.read(resp.Body)
		_ = resp.Body.Close()
	}
	out.ended = time.Now()
	out.faultFree = faultFree && h.faultFree(out.vm)
	out.vmFaultFree = vmFaultFree && out.vm.faultFree(faultFreeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, out)
	return out
}

// all returns a copy of the calls made so far.
func (c *callers) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}

// wantBody returns the body of a complete response to the call. A stream has the given number of events.
func (c *call) wantBody(chunks int, longAnswers bool) string {
	if c.path != pathStream {
		return platformlab.Answer(c.id, longAnswers)
	}
	var b strings.Builder
	for n := c.after + 1; n <= chunks; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", n, n, c.id)
	}
	return b.String()
}
