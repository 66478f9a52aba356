// Package sockets makes TCP connections whose silence is noticed.
//
// A connection can go silent without a reset: the other end lost power, or what lies
// between forgot it. Nothing on it ever fails then, unless the kernel asks. So every
// connection that this process makes probes its idle end, and gives up data that is
// not acknowledged.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a silent connection breaks. They must be shorter than the time in
// which a VM has to notice what the connection no longer tells it: a few seconds. A
// link that loses some packets in a hundred still gets one of two probes through.
const (
	probeAfter = time.Second
	probeEvery = time.Second
	probes     = 2
	// unacknowledged is how long sent data may wait for its acknowledgement.
	unacknowledged = 2500 * time.Millisecond
)

// Dialer returns a dialer of such connections. timeout bounds connecting.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if ctl := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			}); ctl != nil {
				return ctl
			}
			return err
		},
	}
}
