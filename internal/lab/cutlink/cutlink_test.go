package cutlink

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// TestCutLink checks that a cut link behaves as a partition does.
func TestCutLink(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := New(loopback.Addr(), echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	set := func(cut Cut) {
		t.Helper()
		if err := p.Set(cut); err != nil {
			t.Fatal(err)
		}
	}
	talk := func(c net.Conn) error {
		_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	for _, cut := range []Cut{Hangs, Refuses, Resets, OldLives} {
		old, err := net.Dial("tcp", p.addr)
		if err != nil || talk(old) != nil {
			t.Fatalf("cut %d: no connection before it: %v", cut, err)
		}
		set(cut)
		if err := talk(old); (err == nil) != (cut == OldLives) {
			t.Errorf("cut %d: the old connection returned %v", cut, err)
		}
		c, err := net.DialTimeout("tcp", p.addr, 200*time.Millisecond)
		switch {
		case cut == Hangs && (err == nil || !strings.Contains(err.Error(), "timeout")):
			t.Errorf("cut %d: a new connection got %v, want a timeout", cut, err)
		case (cut == Refuses || cut == OldLives) && err == nil:
			t.Errorf("cut %d: a new connection was established", cut)
		case cut == Resets && err != nil && !errors.Is(err, syscall.ECONNRESET): // the reset may arrive before Dial returns
			t.Errorf("cut %d: a new connection got %v, want a reset", cut, err)
		case cut == Resets && err == nil && talk(c) == nil:
			t.Errorf("cut %d: a new connection was not reset: %v", cut, err)
		}
		set(Up)
		if c, err := net.Dial("tcp", p.addr); err != nil || talk(c) != nil {
			t.Errorf("cut %d: no connection after it: %v", cut, err)
		}
	}
}
