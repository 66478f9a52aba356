// Package traffic counts the bytes that a VM exchanges, by purpose and by whether the
// remote end is in another failure domain, where transfer is expensive and slow.
//
// It counts the payload that the sockets read and write, without packet headers and
// retransmissions.
package traffic

import (
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"
)

// Purpose is the purpose for which bytes are exchanged.
type Purpose uint8

// The purposes.
const (
	Requests    Purpose = iota // callers' requests, sent to targets
	Responses                  // responses of targets
	Feeds                      // cache feeds of engines and KV stores, both directions
	Orders                     // orders to engines and reads of their state, both directions
	PeerUpdates                // updates sent to peers
	Mirror                     // copies of the store requested from peers, both directions
	Tunnels                    // connections to targets that peers have opened through this VM, both directions
	purposeCount
)

var purposeNames = [purposeCount]string{"requests", "answers", "feeds", "orders", "news", "mirror", "tunnels"}

// String returns the purpose's name as used in metrics and logs.
func (p Purpose) String() string { return purposeNames[p] }

// Meter counts bytes. Safe for concurrent use. The zero value counts everything as
// within the failure domain.
type Meter struct {
	// CrossDomain reports whether an address (ip:port) is in another failure domain. It must
	// be set before the first connection. Nil means that no address is.
	CrossDomain func(addr string) bool

	sameDomain, crossDomain [purposeCount]atomic.Int64
}

// Add counts bytes. A nil Meter counts nothing.
func (m *Meter) Add(p Purpose, crossDomain bool, bytes int) {
	switch {
	case m == nil:
	case crossDomain:
		m.crossDomain[p].Add(int64(bytes))
	default:
		m.sameDomain[p].Add(int64(bytes))
	}
}

// Count is the number of bytes of one purpose, within the failure domain and beyond it.
type Count struct {
	Within int64 `json:"within"`
	Beyond int64 `json:"beyond"`
}

// Counts returns the counts so far by purpose.
func (m *Meter) Counts() map[string]Count {
	out := map[string]Count{}
	for p := range purposeCount {
		out[p.String()] = Count{Within: m.sameDomain[p].Load(), Beyond: m.crossDomain[p].Load()}
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (m *Meter) MarshalJSON() ([]byte, error) { return json.Marshal(m.Counts()) }

// MarshalZerologObject implements zerolog.LogObjectMarshaler. It logs only the bytes
// exchanged with other failure domains.
func (m *Meter) MarshalZerologObject(e *zerolog.Event) {
	for p := range purposeCount {
		e.Int64(p.String(), m.crossDomain[p].Load())
	}
}

// Conn returns a connection that counts the bytes written to nc as out and those read from
// nc as in. It returns nc itself if m is nil.
func (m *Meter) Conn(nc net.Conn, out, in Purpose) net.Conn {
	if m == nil {
		return nc
	}
	crossDomain := m.CrossDomain != nil && m.CrossDomain(nc.RemoteAddr().String())
	return &conn{Conn: nc, meter: m, out: out, in: in, crossDomain: crossDomain}
}

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	meter       *Meter
	out, in     Purpose
	crossDomain bool
}

var (
	_ net.Conn     = (*conn)(nil)
	_ syscall.Conn = (*conn)(nil)
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Add(c.in, c.crossDomain, n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Add(c.out, c.crossDomain, n)
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
