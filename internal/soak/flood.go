package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// In a soak with floods, replicas send bytes without an end in place of some responses, in all forms; callers send bodies up to the limit,
// with and without a length, and some read late. The soak takes the part of the platform: it kills a VM that exceeds its memory. No
// VM may be killed, and no call without a flood may fail, but for want of memory that is in use.

const (
	// maxBodyBytes is the limit of bodies, in bytes.
	maxBodyBytes = 4 << 20
	// floodEvery is the number of responses of a replica of which it floods one, and floodBytes the most that it sends then, in bytes.
	floodEvery, floodBytes = 40, 32 << 20
	// mostFloodBytes is how much of a flood may be taken, in bytes: the VM's bound of 1.5 MiB (polls: 2 MiB and their chunks), and
	// what the kernels of VM, proxy and replica hold.
	mostFloodBytes = 4 << 20
	// One in lateReaders callers reads its response up to lateReading later.
	lateReaders = 8
	lateReading = 2 * time.Second
)

// floods is what the soak records of floods. Safe for concurrent use.
type floods struct {
	mu     sync.Mutex
	report FloodReport
	hit    map[string]bool // calls whose response was flooded
}

// FloodReport counts floods and what they did.
type FloodReport struct {
	Floods int `json:"floods"`
	// MostTaken is how much of one flood was taken, in bytes, and Form its form.
	MostTaken int64  `json:"most_taken"`
	Form      string `json:"form"`
	// TooMuch counts floods of which more than mostFloodBytes were taken, by form.
	TooMuch map[string]int `json:"too_much,omitempty"`
	// LargeBodies counts calls with a body of more than 1 MB, and LargeRefused those of them that were refused with 503.
	LargeBodies  int `json:"large_bodies"`
	LargeRefused int `json:"large_refused"`
}

func newFloods(o *Options) *floods {
	if !o.Floods {
		return nil
	}
	return &floods{hit: map[string]bool{}, report: FloodReport{TooMuch: map[string]int{}}}
}

// setFloods has a replica flood some responses. The caller holds h.mu.
func (h *harness) setFloods(r *replica) {
	if f := h.floods; f != nil {
		r.Flood = &platformlab.FloodRule{Every: floodEvery, Limit: floodBytes, OnFlood: f.add}
		r.LongAnswers = true
	}
}

// add records a flood.
func (f *floods) add(request, form string, sent int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hit[request] = true
	f.report.Floods++
	if sent > mostFloodBytes {
		f.report.TooMuch[form]++
	}
	if sent > f.report.MostTaken {
		f.report.MostTaken, f.report.Form = sent, form
	}
}

// excuses reports whether a call may fail because a replica flooded its response.
func (f *floods) excuses(k *call) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hit[k.id] || k.refusedForMemory()
}

// noMemory is a part of the body of the response to a call that is refused because the memory for bodies is used up.
const noMemory = "memory for bodies"

// refusedForMemory reports whether the call was refused because the memory for bodies was used up.
func (k *call) refusedForMemory() bool {
	return k.status == http.StatusServiceUnavailable && strings.Contains(k.body, noMemory)
}

// largeBody checks that no body is refused while half of its VM's memory was free, shortly before and after: bodies with a length have
// their memory before they arrive.
func (c *checker) largeBody(k *call) {
	if c.h.floods == nil || !k.refusedForMemory() {
		return
	}
	if most, age, ok := k.vm.memory.mostBetween(k.sent.Add(-memoryLag), k.ended.Add(memoryLag)); ok && most < littleMemoryMB<<20/2 {
		c.report("call %s with a body of %d bytes was refused by %s after %v, which used %d MiB at most of %d (last sample %v before %v after it)", k.id, k.bodyBytes, k.vm.name, k.ended.Sub(k.sent), most>>20, littleMemoryMB, age, memoryLag)
	}
}

// memoryLag is how long before or after a call the use of memory may have been high, so that the call is refused: VMs divide their
// memory at intervals, and bodies that have their memory arrive.
const memoryLag = time.Second

// drawBody draws the size of a body, in bytes, without its first words: most are small, some near the limit.
func drawBody(rng *rand.Rand) int {
	switch rng.IntN(8) {
	case 0:
		return maxBodyBytes - 1000 - rng.IntN(200_000)
	case 1, 2:
		return rng.IntN(1 << 20)
	default:
		return rng.IntN(20_000)
	}
}

// reportFloods adds what floods did to the report, and violations.
func (h *harness) reportFloods(calls []call, r *Report) {
	if h.floods == nil {
		return
	}
	f := h.floods
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range calls {
		if k := &calls[i]; k.bodyBytes > 1_000_000 {
			f.report.LargeBodies++
			if k.refusedForMemory() {
				f.report.LargeRefused++
			}
		}
	}
	r.Floods = f.report
	for form, n := range f.report.TooMuch {
		r.Violations = append(r.Violations, fmt.Sprintf("of %d floods of %q, VMs took more than %d bytes", n, form, mostFloodBytes))
	}
}
