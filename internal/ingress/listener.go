package ingress

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// class is what a connection is doing, in the order in which connections make room.
type class int

const (
	refused class = iota // its client was told so, and is given the time to read it
	waiting              // for a whole head: a new connection, or one on which a further head came in part
	idle                 // a call was served, and no part of another head was read that wasn't whole
	inBody               // the head is whole, the body is not
	serving              // the request is whole; such a connection makes room only if its client doesn't read
	closed
	classes
)

var classNames = [classes]string{"refused", "waiting", "idle", "in-body", "serving", "closed"}

// roomCauses are the causes with which connections of the classes make room.
var roomCauses = [serving]Cause{RoomRefused, RoomWaiting, RoomIdle, RoomBody}

// Config is what a Listener needs.
type Config struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// Budget is the memory for its connections.
	Budget *Budget
	// MaxConns bounds the number of its connections.
	MaxConns int
	// Limits returns the limits in force.
	Limits func() Limits
	// SendBuffer is the size of the kernel's send buffer of a connection, in bytes. Zero: the kernel's default.
	SendBuffer int
	// WriteTimeout bounds each write of a response. Zero: the server's handler has a bound of its own.
	WriteTimeout time.Duration
	// RefusalFields are further fields of refusals, each with its line end.
	RefusalFields string
}

// Listener bounds the connections of a TCP listener. Its server must be the one of Server. Safe for concurrent use.
type Listener struct {
	net.Listener
	config Config
	counts [causes]atomic.Int64

	mu        sync.Mutex
	lists     [classes]list.List // of *Conn, in the order in which they entered their class
	open      int
	fullSince time.Time     // when a connection first found no room since the last one that did; zero: it did
	room      chan struct{} // there may be room for the connection that waits for it
	draining  bool

	done      chan struct{} // closed by Close
	closeOnce sync.Once
}

// Limit returns a Listener for the connections of l.
func Limit(l net.Listener, c Config) *Listener {
	limited := &Listener{Listener: l, config: c, room: make(chan struct{}, 1), done: make(chan struct{})}
	limitBuffer(l)
	return limited
}

// limitBuffer bounds the receive buffers of connections from their beginning. The largest that a connection can have later is that of its
// listener.
func limitBuffer(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer) // on failure the kernel's default applies
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, l.acceptFailed(err)
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if conn := l.admit(tcp); conn != nil {
			return conn, nil
		}
	}
}

// admit returns the connection with its bounds, and waits shortly for room. Nil: there is none, and it was closed.
func (l *Listener) admit(tcp *net.TCPConn) *Conn {
	_ = tcp.SetReadBuffer(ReceiveBuffer) // on failure the kernel's default applies
	if l.config.SendBuffer > 0 {
		_ = tcp.SetWriteBuffer(l.config.SendBuffer)
	}
	c := &Conn{Conn: tcp, l: l, class: closed}
	c.await(time.Now())
	for {
		wait := l.tryAdmit(c)
		if wait == 0 {
			return c
		}
		if wait < 0 {
			l.counts[NoRoom].Add(1)
			_ = tcp.SetLinger(0) // what it has sent is of no use
			_ = tcp.Close()
			return nil
		}
		select {
		case <-l.room:
		case <-time.After(wait):
		}
	}
}

// tryAdmit admits a connection if there is room, and returns zero. Otherwise it returns how long to wait for some; negative: not any
// longer. Only the first connection after the last room was taken waits, the others are better off at another VM.
func (l *Listener) tryAdmit(c *Conn) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if (l.open < l.config.MaxConns || l.makeRoom(nil)) && l.take(c, ConnBytes) {
		l.open++
		l.enter(c, waiting)
		l.fullSince = time.Time{}
		return 0
	}
	now := time.Now()
	if l.fullSince.IsZero() {
		l.fullSince = now
	}
	if wait = l.fullSince.Add(roomWait).Sub(now); wait <= 0 {
		return -1
	}
	return wait
}

// take charges a connection, and closes others until there is room. The caller holds mu.
func (l *Listener) take(c *Conn, bytes int64) bool {
	for !l.config.Budget.Take(bytes) {
		if !l.makeRoom(c) {
			return false
		}
	}
	c.charged += bytes
	return true
}

// makeRoom closes the connection that has to make room first, other than keep; false: there is none. The caller holds mu.
func (l *Listener) makeRoom(keep *Conn) bool {
	for class := refused; class < serving; class++ {
		first := l.lists[class].Front()
		if first != nil && first.Value.(*Conn) == keep {
			first = first.Next()
		}
		if first == nil {
			continue
		}
		l.closeFor(first.Value.(*Conn), roomCauses[class])
		return true
	}
	for e := l.lists[serving].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c != keep && c.unread() {
			l.closeFor(c, RoomUnread)
			return true
		}
	}
	return false
}

// closeFor closes a connection. The caller holds mu.
func (l *Listener) closeFor(c *Conn, cause Cause) {
	l.counts[cause].Add(1)
	l.leave(c)
	_ = c.Conn.Close() // ends its reads and writes
}

// enter moves a connection to a class. The caller holds mu.
func (l *Listener) enter(c *Conn, to class) {
	if c.place != nil {
		l.lists[c.class].Remove(c.place)
	}
	c.class, c.place, c.entered = to, l.lists[to].PushBack(c), time.Now()
	if to < serving {
		l.signalRoom()
	}
}

// signalRoom wakes up the connection that waits for room. The caller holds mu.
func (l *Listener) signalRoom() {
	if l.fullSince.IsZero() {
		return
	}
	select {
	case l.room <- struct{}{}:
	default: // it was woken up already
	}
}

// leave ends the accounting of a connection. The caller holds mu.
func (l *Listener) leave(c *Conn) {
	if c.class == closed {
		return
	}
	l.lists[c.class].Remove(c.place)
	c.class, c.place = closed, nil
	l.open--
	l.config.Budget.Put(c.charged)
	c.charged = 0
	l.signalRoom()
}

// move moves a connection to a class; false: it has made room meanwhile.
func (l *Listener) move(c *Conn, to class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.class == closed {
		return false
	}
	l.enter(c, to)
	return true
}

// charge charges a connection; errClosed: it has made room meanwhile, errNoMemory: there is no room.
func (l *Listener) charge(c *Conn, bytes int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.class == closed:
		return net.ErrClosed
	case !l.take(c, bytes):
		return errNoMemory
	default:
		return nil
	}
}

// tryKeep charges a connection until its end, if there is room without closing others.
func (l *Listener) tryKeep(c *Conn, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.class == closed || !l.config.Budget.Take(bytes) {
		return false
	}
	c.charged += bytes
	c.kept += bytes
	return true
}

// release gives back what a connection was charged for a request.
func (l *Listener) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.class != closed {
		keep := ConnBytes + c.kept
		l.config.Budget.Put(c.charged - keep)
		c.charged = keep
	}
}

// connState follows the states of the server's connections.
func (l *Listener) connState(c net.Conn, s http.ConnState) {
	if conn, ok := c.(*Conn); ok && s == http.StateIdle {
		conn.requestDone()
	}
}

// Stats are what a listener holds, and what it has closed or refused.
type Stats struct {
	Open     int              `json:"open"`
	MaxConns int              `json:"max_conns"`
	ByState  map[string]int   `json:"by_state"`
	Used     int64            `json:"used_bytes"`
	Limit    int64            `json:"limit_bytes"`
	Closed   map[string]int64 `json:"closed"`
}

// Stats returns what the listener holds now, and what it has closed or refused by cause since its start.
func (l *Listener) Stats() Stats {
	s := Stats{MaxConns: l.config.MaxConns, ByState: map[string]int{}, Closed: map[string]int64{}}
	s.Used, s.Limit = l.config.Budget.Used(), l.config.Budget.Limit()
	for cause := range causes {
		if n := l.counts[cause].Load(); n > 0 {
			s.Closed[cause.String()] = n
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Open = l.open
	for class := refused; class < closed; class++ {
		if n := l.lists[class].Len(); n > 0 {
			s.ByState[classNames[class]] = n
		}
	}
	return s
}

// Name returns the listener's name in logs and metrics.
func (l *Listener) Name() string { return l.config.Name }
