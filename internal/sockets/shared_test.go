package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingConn is a connection whose Write gets an error, and whose Read gets an end then, as the kernel does it.
type failingConn struct {
	net.Conn
	write error // nil: Write blocks until its deadline
	ended chan struct{}
}

func (c failingConn) Write([]byte) (int, error) {
	if c.write == nil {
		<-c.ended
		return 0, os.ErrDeadlineExceeded
	}
	return 0, c.write
}

func (c failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c failingConn) SetWriteDeadline(time.Time) error {
	if c.write == nil {
		close(c.ended)
	}
	return nil
}

// TestFailureOfWriteIsNoEnd checks which errors of a Write a Read reports in place of the end.
func TestFailureOfWriteIsNoEnd(t *testing.T) {
	for _, c := range []struct{ write, want error }{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{syscall.EPIPE, io.EOF}, // the peer had closed its side
		{net.ErrClosed, io.EOF},
	} {
		conn := &sharedConn{Conn: failingConn{write: &net.OpError{Op: "write", Err: c.write}}}
		_, _ = conn.Write([]byte("x"))
		for range 2 {
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("write: %v, read: %v, want %v", c.write, err, c.want)
			}
		}
	}
}

// TestEndDoesNotWaitForWrite reads an end while a Write is blocked.
func TestEndDoesNotWaitForWrite(t *testing.T) {
	conn := &sharedConn{Conn: failingConn{ended: make(chan struct{})}}
	written := make(chan error)
	go func() {
		_, err := conn.Write([]byte("x"))
		written <- err
	}()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want an end", err)
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want the deadline", err)
	}
}

// TestEndIsReadAsItCame has a peer close its side, or reset the connection, while it is written to.
func TestEndIsReadAsItCame(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for _, reset := range []bool{false, true} {
		for range 20 {
			raw, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn := ShareErrors(raw)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write(make([]byte, 8<<20)) // fails when the connection ends
			}()
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(peer, "x")
			if !reset {
				_ = peer.(*net.TCPConn).CloseWrite()
			}
			_ = peer.(*net.TCPConn).SetLinger(0)
			_ = peer.Close()
			<-written // the Write gets the kernel's error
			data, err := io.ReadAll(conn)
			if string(data) != "x" || errors.Is(err, syscall.ECONNRESET) != reset {
				t.Errorf("reset without an end %v: got %q, %v", reset, data, err)
			}
			_ = conn.Close()
		}
	}
}
