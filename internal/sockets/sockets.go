// Package sockets creates TCP connections that detect a dead peer, and limits the kernel's send
// buffer of accepted connections.
//
// A connection can die without a reset: the peer lost power, or a middlebox dropped the state of
// the connection. Reads and writes on it then hang unless the kernel probes the peer. Connections
// made with Dialer therefore use keepalive probes, and fail when sent data is not acknowledged in
// time.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which the connection to a dead peer fails. They must be shorter than the few
// seconds within which a VM has to notice a fault. Two probes allow for a link that loses a few
// percent of its packets.
const (
	probeAfter = time.Second // idle time before the first keepalive probe
	probeEvery = time.Second
	probes     = 2 // unanswered probes after which the connection fails
	// userTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2500 * time.Millisecond
	// The same for accepted connections. There may be hundreds of them, most of them idle.
	listenProbeAfter  = 5 * time.Second
	listenProbeEvery  = 2 * time.Second
	listenUserTimeout = 8 * time.Second
)

// Listen returns a TCP listener whose connections detect a dead peer.
func Listen(addr string) (net.Listener, error) {
	l := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: listenProbeAfter, Interval: listenProbeEvery, Count: probes},
		Control:         setUserTimeout(listenUserTimeout),
	}
	return l.Listen(context.Background(), "tcp", addr)
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT on a socket. Connections that a listener
// accepts have the listener's.
func setUserTimeout(d time.Duration) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		if ctl := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); ctl != nil {
			return ctl
		}
		return err
	}
}

// Dialer returns a dialer for connections that detect a dead peer. timeout bounds each dial.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control:         setUserTimeout(userTimeout),
	}
}
