package platformlab

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Room bounds the requests that a replica takes at the same time, and makes it fall over if it has to
// refuse too many for want of room. Set the fields before the replica starts.
type Room struct {
	// Slots is how many requests run at a time, and Waiting how many more wait for a slot.
	Slots, Waiting int
	// MaxRefused is the number of refusals within one second beyond which the replica falls over; zero:
	// it never does.
	MaxRefused int
	// OnFall is called, in a goroutine of its own, when the replica has fallen over. The replica's server
	// is closed by then.
	OnFall func(*Replica)
	// Reported is the number of slots that the replica's entry names; zero: Slots. An engine that names more than it has
	// looks able to do more than it can.
	Reported int

	mu      sync.Mutex
	running int
	queue   []chan struct{} // of requests that wait, in order; each is closed when its request may run
	refused []time.Time     // within the last second
	fallen  bool
}

// SetBrittle changes how many requests wait, and after how many refusals in a second the replica falls over.
func (m *Room) SetBrittle(waiting, maxRefused int) { m.Set(m.Slots, waiting, maxRefused) }

// Set changes how many requests run and wait, and after how many refusals in a second the replica falls over; zero: it
// never does.
func (m *Room) Set(slots, waiting, maxRefused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Slots, m.Waiting, m.MaxRefused = slots, waiting, maxRefused
	m.admit()
}

// take waits for a slot. It returns false if there is no room to wait or if the caller has left; the
// request has then not run. The caller of take must call release once the request has run.
func (m *Room) take(r *Replica, req *http.Request) (release func(), ok bool) {
	m.mu.Lock()
	if m.running+len(m.queue) >= m.Slots+m.Waiting {
		m.refuse(r)
		m.mu.Unlock()
		return nil, false
	}
	turn := make(chan struct{})
	m.queue = append(m.queue, turn)
	m.admit()
	m.mu.Unlock()
	select {
	case <-turn:
		return m.release, true
	case <-req.Context().Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.queue, turn); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	} else { // it was admitted meanwhile
		m.running--
		m.admit()
	}
	return nil, false
}

// admit lets waiting requests run while there are slots. The caller holds m.mu.
func (m *Room) admit() {
	for m.running < m.Slots && len(m.queue) > 0 {
		close(m.queue[0])
		m.queue = m.queue[1:]
		m.running++
	}
}

func (m *Room) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	m.admit()
}

// refuse counts a refusal. The caller holds m.mu.
func (m *Room) refuse(r *Replica) {
	now := time.Now()
	m.refused = append(m.refused, now)
	for now.Sub(m.refused[0]) > time.Second {
		m.refused = m.refused[1:]
	}
	if m.MaxRefused == 0 || len(m.refused) <= m.MaxRefused || m.fallen {
		return
	}
	m.fallen = true
	go func() {
		r.Crash()
		if m.OnFall != nil {
			m.OnFall(r)
		}
	}()
}
