// Package loopback hands out loopback addresses for servers of the lab and of tests whose
// address must be known before they listen, or must stay the same while they are down. A
// port that the kernel picks ("127.0.0.1:0") suits neither case: once it is closed, the
// kernel may assign it to the next socket.
//
// # Exclusive addresses
//
// Each process reserves one IP address within 127.0.0.0/8, or several. It holds a listener
// on lockPort of that IP until it ends. The kernel allows one such listener, so a process
// that picks a reserved IP picks another one. The addresses of two concurrent processes
// therefore differ in their IP, and a process hands out each address once.
//
// The ports lie below the range from which the kernel assigns ports to outgoing connections
// and to listeners that ask for any port. So sockets bound to all IPs, such as those of a
// resolver, take none of them either, and a connection attempt to an address without a
// listener cannot connect to itself.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// lockPort is the port whose listener reserves an IP for a process.
	lockPort  = 20_000
	firstPort = lockPort + 1
	// lastPort lies below the kernel's ephemeral port range, which starts at 32,768 by default.
	lastPort = 29_999
	// maxAttempts is the number of IPs to try. Nearly all of the 16 million are free.
	maxAttempts = 100
)

// Addr returns an address, ip:port, that is reserved for the caller until this process ends,
// for TCP and UDP, whether a server listens on it or not. It panics if no address is
// available, as httptest does if no server can listen. Safe for concurrent use.
func Addr() string {
	addr, err := pool.next()
	if err != nil {
		panic(err)
	}
	return addr
}

// pool holds this process's reserved IPs.
var pool hostPool

// hostPool holds the IPs reserved until the process ends. It reserves another IP when all
// ports of the last one have been handed out.
type hostPool struct {
	mu  sync.Mutex
	all []*host
}

// next returns the next unused address.
func (s *hostPool) next() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) > 0 {
		if addr, ok := s.all[len(s.all)-1].next(); ok {
			return addr, nil
		}
	}
	h, err := reserveHost(randomIP)
	if err != nil {
		return "", err
	}
	s.all = append(s.all, h)
	addr, ok := h.next()
	if !ok {
		return "", eris.Errorf("no free port from %d to %d on the newly reserved loopback IP %s", firstPort, lastPort, h.ip)
	}
	return addr, nil
}

// host is an IP that is reserved while lock is open. Not safe for concurrent use.
type host struct {
	ip   string
	lock net.Listener
	last int // last port that was handed out
}

// randomIP picks a random loopback IP outside of 127.0.0.0/16 and 127.1.0.0/16, where other
// programs listen.
func randomIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(253), rand.IntN(256), 1+rand.IntN(254))
}

// reserveHost picks IPs until it can reserve one, at most maxAttempts times.
func reserveHost(pick func() string) (*host, error) {
	var err error
	for range maxAttempts {
		h := &host{ip: pick(), last: firstPort - 1}
		if h.lock, err = net.Listen("tcp", h.addr(lockPort)); err == nil {
			return h, nil
		}
	}
	return nil, eris.Wrap(err, "reserve a loopback IP")
}

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// next returns the next address of this IP; ok is false when its ports are used up.
func (h *host) next() (addr string, ok bool) {
	for h.last < lastPort {
		h.last++
		if addr := h.addr(h.last); isFree(addr) {
			return addr, true
		}
	}
	return "", false
}

// isFree reports whether addr can be bound for TCP and UDP. It cannot if a server listens on
// the port on all IPs. The listeners that isFree opens for the check conflict with no other
// process, since the IP is reserved for this one.
func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
