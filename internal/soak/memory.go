package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/lab/procstat"
)

// The memory of a process as the platform counts it: anonymous memory, and bytes that its sockets have received and it has not read.

const (
	// littleMemoryMB is the memory of a VM, in MB, in a soak that looks at it, and usualMemoryMB in others.
	littleMemoryMB = 96
	usualMemoryMB  = 256
)

// memorySamples are the recent samples of the memory of a process. Safe for concurrent use.
type memorySamples struct {
	mu      sync.Mutex
	samples []memorySample
	unread  int64     // bytes, as of readAt
	readAt  time.Time // when unread was last looked at
}

type memorySample struct {
	at    time.Time
	bytes int64
}

// unreadInterval is the interval at which the sockets of a process are looked at.
const unreadInterval = 100 * time.Millisecond

// mostBetween returns the largest sample between two times, in bytes, and the age of the last one at the later time; false: there is
// none.
func (m *memorySamples) mostBetween(from, to time.Time) (most int64, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.samples {
		if !s.at.Before(from) && !s.at.After(to) {
			most, age, ok = max(most, s.bytes), to.Sub(s.at), true
		}
	}
	return most, age, ok
}

// memoryWatch takes the part of the platform, which kills a VM that exceeds its memory. Safe for concurrent use.
type memoryWatch struct {
	limit int64 // bytes

	mu     sync.Mutex
	most   int64 // bytes that a VM held
	killed int   // VMs
}

// watchInterval is the interval at which the memory of VMs is looked at.
const watchInterval = 10 * time.Millisecond

// newMemoryWatch returns the watch of a soak in which VMs have little memory. Nil: in this one nobody watches.
func newMemoryWatch(o *Options) *memoryWatch {
	if !o.Floods && !o.Crowds {
		return nil
	}
	return &memoryWatch{limit: littleMemoryMB << 20}
}

// memoryMB returns the memory of a VM, in MB.
func (h *harness) memoryMB() int {
	if h.watch != nil {
		return littleMemoryMB
	}
	return usualMemoryMB
}

// watchMemory samples the memory of all VMs, and kills those that exceed theirs. The returned function ends that.
func (h *harness) watchMemory() (stop func()) {
	if h.watch == nil {
		return func() {}
	}
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, p := range h.vms {
		watchers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(watchInterval):
				}
				h.lookAtMemory(p)
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
	}
}

// lookAtMemory samples the memory of a VM, and kills it if it exceeds its own.
func (h *harness) lookAtMemory(p *process) {
	used, ok := p.sampleMemory()
	if !ok {
		return
	}
	w := h.watch
	w.mu.Lock()
	w.most = max(w.most, used)
	over := used > w.limit
	if over {
		w.killed++
	}
	w.mu.Unlock()
	if !over {
		return
	}
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
	if err := p.start(); err != nil {
		panic(err) // as for other faults
	}
}

// reportMemory adds what VMs held to the report, and a violation for VMs that were killed.
func (h *harness) reportMemory(r *Report) {
	if h.watch == nil {
		return
	}
	h.watch.mu.Lock()
	defer h.watch.mu.Unlock()
	r.MostMemory, r.KilledForMemory = h.watch.most, h.watch.killed
	if r.KilledForMemory > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d VMs were killed since they exceeded their memory of %d MB", r.KilledForMemory, littleMemoryMB))
	}
}

// sampleMemory samples the memory of the process, in bytes; false: it isn't running.
func (p *process) sampleMemory() (int64, bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0, false
	}
	anonymous, ok := procstat.AnonymousMemory(cmd.Process.Pid)
	if !ok {
		return 0, false
	}
	m := &p.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.readAt) > unreadInterval {
		m.unread, m.readAt = procstat.UnreadBytes(cmd.Process.Pid), now
	}
	m.samples = append(m.samples, memorySample{time.Now(), anonymous + m.unread})
	return anonymous + m.unread, true
}
