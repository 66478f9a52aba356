package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// A request that crashes each replica that runs it, and is repeated at all VMs.

const (
	// fatalBody is the beginning of such requests.
	fatalBody = "fatal"
	// fatalWork is how long a replica runs one before it ends.
	fatalWork = 30 * time.Millisecond
	// fatalEvery is the pause between two repeats.
	fatalEvery = 200 * time.Millisecond
	// fatalMost is how many replicas one may reach later than contact after the third
	// has ended.
	fatalMost = 3
)

// fatalCall is one repeat.
type fatalCall struct {
	id   string
	sent time.Time
	calm bool // nothing was wrong with its VM for a while
}

// crashUnder ends a replica that such a request has crashed; another one comes.
func (w *world) crashUnder(r *replica) {
	end := w.begin()
	r.proxy.Close()
	w.mu.Lock()
	for i, o := range w.replicas {
		if o == r {
			w.replicas = append(w.replicas[:i], w.replicas[i+1:]...)
			break
		}
	}
	w.crashes++
	w.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		defer end()
		w.store.Remove("servers", r.ID)
		w.replace(r)
	})
}

// repeatFatal sends one such request again and again for some seconds.
func (w *world) repeatFatal(rng *rand.Rand) {
	defer w.begin()()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	body := fmt.Sprint(fatalBody, " ", rng.Uint64())
	for range 15 + rng.IntN(25) {
		p := w.anyVM(rng)
		id := fmt.Sprintf("f%016x", rng.Uint64())
		w.mu.Lock()
		w.fatal[body] = append(w.fatal[body], fatalCall{id, time.Now(), p.calm(contact)})
		w.mu.Unlock()
		go w.sendFatal(p, id, body, transport)
		time.Sleep(fatalEvery)
	}
}

func (w *world) sendFatal(p *process, id, body string, transport *http.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	call := platformlab.Call{ID: id, Host: host, Path: pathRepeat + "x", Key: w.key(0), Body: body, Deadline: deadline}
	req, err := call.Request(ctx, "http://"+p.listen)
	if err != nil {
		panic(err) // the soak's own addresses are always valid
	}
	if resp, err := transport.RoundTrip(req); err == nil {
		_ = resp.Body.Close()
	}
}

// fatalBound: such a request reaches few replicas once all VMs can know of it. VMs that
// were all killed have forgotten.
func (c *checker) fatalBound() {
	for body, calls := range c.w.fatal {
		var ends []time.Time // runs end soon after they begin
		for _, k := range calls {
			for _, r := range c.runs[k.id] {
				ends = append(ends, r.At)
			}
		}
		if len(ends) < fatalMost {
			continue
		}
		known := ends[fatalMost-1].Add(contact + time.Second) // it has ended by then, and a crash more
		late := 0
		for _, k := range calls {
			if k.calm && k.sent.After(known) && !c.w.forgotten(known, k.sent) {
				late += len(c.runs[k.id])
			}
		}
		if late > fatalMost {
			c.say("the request %q reached %d replicas after all VMs could know that it crashes them", body, late)
		}
	}
}

// forgotten tells whether all VMs were killed between two moments, or shortly before.
func (w *world) forgotten(from, to time.Time) bool {
	for _, at := range w.wiped {
		if at.After(from.Add(-2*contact)) && at.Before(to) {
			return true
		}
	}
	return false
}
