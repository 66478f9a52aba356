// Package sockets creates TCP connections that detect a dead peer, and limits the kernel's send
// buffer of accepted connections.
//
// A connection can die without a reset: the peer lost power, or a middlebox dropped the state of
// the connection. Reads and writes on it then hang unless the kernel probes the peer. Connections
// made with Dialer therefore use keepalive probes, and fail when sent data is not acknowledged in
// time.
package sockets

import (
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
)

// Dialer returns a dialer for connections that detect a dead peer. timeout bounds each dial.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if ctl := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); ctl != nil {
				return ctl
			}
			return err
		},
	}
}
