package platformlab

import (
	"net/http"
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

	mu      sync.Mutex
	free    chan struct{} // one element for each free slot; nil until the first request
	inside  int           // requests that run or wait
	refused []time.Time   // within the last second
	fallen  bool
}

// SetBrittle changes how many requests wait, and after how many refusals in a second the replica falls over.
func (m *Room) SetBrittle(waiting, maxRefused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Waiting, m.MaxRefused = waiting, maxRefused
}

// take waits for a slot. It returns false if there is no room to wait or if the caller has left; the
// request has then not run. The caller of take must call release once the request has run.
func (m *Room) take(r *Replica, req *http.Request) (release func(), ok bool) {
	m.mu.Lock()
	if m.free == nil {
		m.free = make(chan struct{}, m.Slots)
		for range m.Slots {
			m.free <- struct{}{}
		}
	}
	if m.inside >= m.Slots+m.Waiting {
		m.refuse(r)
		m.mu.Unlock()
		return nil, false
	}
	m.inside++
	m.mu.Unlock()
	leave := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.inside--
	}
	select {
	case <-m.free:
		return func() { m.free <- struct{}{}; leave() }, true
	case <-req.Context().Done():
		leave()
		return nil, false
	}
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
