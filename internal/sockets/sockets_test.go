package sockets

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDeadPeerDetection checks the socket options that make the kernel detect a dead peer within
// a few seconds, both on an idle connection and while sent data is unacknowledged.
func TestDeadPeerDetection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := Dialer(time.Second).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	want := map[int]int{unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 2, unix.TCP_USER_TIMEOUT: 2500}
	err = raw.Control(func(fd uintptr) {
		for option, value := range want {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil || got != value {
				t.Errorf("option %d: got %d, %v, want %d", option, got, err, value)
			}
		}
		if on, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE); err != nil || on == 0 {
			t.Errorf("SO_KEEPALIVE: got %d, %v, want it enabled", on, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
