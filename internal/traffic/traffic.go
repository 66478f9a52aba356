// Package traffic counts the bytes that a VM exchanges, by purpose and by whether the
// other end stands in another failure domain, where each byte is dear and slow.
//
// Payload is counted, as the sockets give and take it: neither the headers of packets
// nor packets that are sent again.
package traffic

import (
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"
)

// Purpose is what bytes are exchanged for.
type Purpose uint8

// The purposes.
const (
	Requests Purpose = iota // of callers, to targets
	Answers                 // of targets
	Feeds                   // cache feeds of engines and stores, both ways
	Orders                  // orders to engines and looks at their state, both ways
	PeerUpdates                    // sent to peers
	Mirror                  // copies of the store, asked of peers, both ways
	purposeCount
)

var purposeNames = [purposeCount]string{"requests", "answers", "feeds", "orders", "news", "mirror"}

// String returns the purpose's name in metrics and logs.
func (p Purpose) String() string { return purposeNames[p] }

// Meter counts bytes. Safe for concurrent use. The zero value counts everything as
// within the failure domain.
type Meter struct {
	// CrossDomain tells whether an address (ip:port) is in another failure domain. It is set
	// before the first connection is made. Nil: none is.
	CrossDomain func(addr string) bool

	near, far [purposeCount]atomic.Int64
}

// Add counts bytes. A nil Meter counts nothing.
func (m *Meter) Add(p Purpose, far bool, bytes int) {
	switch {
	case m == nil:
	case far:
		m.far[p].Add(int64(bytes))
	default:
		m.near[p].Add(int64(bytes))
	}
}

// Count is the bytes of one purpose as operators see them.
type Count struct {
	Within int64 `json:"within"` // the failure domain
	Beyond int64 `json:"beyond"`
}

// Counts returns what was counted so far, by purpose.
func (m *Meter) Counts() map[string]Count {
	out := map[string]Count{}
	for p := range purposeCount {
		out[p.String()] = Count{Within: m.near[p].Load(), Beyond: m.far[p].Load()}
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (m *Meter) MarshalJSON() ([]byte, error) { return json.Marshal(m.Counts()) }

// MarshalZerologObject implements zerolog.LogObjectMarshaler: the bytes that crossed a
// boundary of failure domains.
func (m *Meter) MarshalZerologObject(e *zerolog.Event) {
	for p := range purposeCount {
		e.Int64(p.String(), m.far[p].Load())
	}
}

// Conn counts what is written to nc as out, and what is read from it as in. It returns
// nc itself if m is nil.
func (m *Meter) Conn(nc net.Conn, out, in Purpose) net.Conn {
	if m == nil {
		return nc
	}
	far := m.CrossDomain != nil && m.CrossDomain(nc.RemoteAddr().String())
	return &conn{Conn: nc, meter: m, out: out, in: in, far: far}
}

// conn is a counted connection.
type conn struct {
	net.Conn
	meter   *Meter
	out, in Purpose
	far     bool
}

var (
	_ net.Conn     = (*conn)(nil)
	_ syscall.Conn = (*conn)(nil)
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Add(c.in, c.far, n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Add(c.out, c.far, n)
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
