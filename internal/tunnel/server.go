package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/tunnelpb"
)

// Server opens connections to targets for peers. Safe for concurrent use.
type Server struct {
	tunnelpb.UnimplementedTunnelServer
	// Connect connects to a target over this VM's own link. The result is CONNECTED if there is a
	// connection, and says otherwise why there is none.
	Connect func(ctx context.Context, id ids.Target) (net.Conn, tunnelpb.Result)
	// Max bounds the tunnels that this VM serves at the same time.
	Max int64

	open    atomic.Int64
	mu      sync.Mutex
	leaving bool
	notify  chan struct{} // closed when this VM starts to shut down; nil: not used yet

	// Served counts the tunnels that connected, and Refused those that did not.
	Served, Refused atomic.Int64
}

var _ tunnelpb.TunnelServer = (*Server)(nil)

// ServerOptions returns the options of the gRPC server that bound the memory of tunnels.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(connWindowBytes)}
}

// Open implements tunnelpb.TunnelServer.
func (s *Server) Open(stream grpc.BidiStreamingServer[tunnelpb.ToTarget, tunnelpb.FromTarget]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	defer s.open.Add(-1)
	conn, result := s.connect(stream.Context(), ids.Target(first.Target))
	if conn == nil {
		s.Refused.Add(1)
		return stream.Send(&tunnelpb.FromTarget{Result: result})
	}
	defer func() { _ = conn.Close() }()
	conn = sockets.ShareErrors(conn)
	s.Served.Add(1)
	if err := stream.Send(&tunnelpb.FromTarget{Result: result}); err != nil {
		return err
	}
	go func() { // ends with the stream
		copyToTarget(conn, stream)
		_ = conn.Close()
	}()
	return s.copyFromTarget(stream, conn)
}

// connect connects to a target, unless this VM takes no more tunnels. It counts the tunnel in s.open in
// any case.
func (s *Server) connect(ctx context.Context, id ids.Target) (net.Conn, tunnelpb.Result) {
	switch open := s.open.Add(1); {
	case s.isLeaving():
		return nil, tunnelpb.Result_LEAVING
	case open > s.Max:
		return nil, tunnelpb.Result_FULL
	}
	return s.Connect(ctx, id)
}

// copyToTarget writes what the caller sends, until the stream ends. It drops what arrives together with
// the end: the caller has given that request up. It also drops what comes after a failed write: copyFromTarget then tells the caller how
// the target has ended the connection, after all that it sent.
func copyToTarget(conn net.Conn, stream grpc.BidiStreamingServer[tunnelpb.ToTarget, tunnelpb.FromTarget]) {
	failed := false
	for {
		m, err := stream.Recv()
		if err != nil || stream.Context().Err() != nil {
			return
		}
		if !failed {
			_, err := conn.Write(m.Data)
			failed = err != nil
		}
	}
}

// copyFromTarget sends what the target sends, and how it ends the connection.
func (s *Server) copyFromTarget(stream grpc.BidiStreamingServer[tunnelpb.ToTarget, tunnelpb.FromTarget], conn net.Conn) error {
	var sending sync.Mutex // of messages on the stream
	send := func(m *tunnelpb.FromTarget) error {
		sending.Lock()
		defer sending.Unlock()
		return stream.Send(m)
	}
	done := make(chan struct{})
	var notice sync.WaitGroup
	notice.Go(func() {
		select {
		case <-s.leavingNotice():
			_ = send(&tunnelpb.FromTarget{Leaving: true})
		case <-done:
		}
	})
	defer notice.Wait()
	defer close(done)
	buf := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			if err := send(&tunnelpb.FromTarget{Data: slices.Clone(buf[:n])}); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return send(&tunnelpb.FromTarget{End: tunnelpb.End_CLOSED})
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			return send(&tunnelpb.FromTarget{End: tunnelpb.End_RESET})
		default:
			return err // this VM's own link may be lost: the stream ends without a word about the target
		}
	}
}

// Leave refuses further tunnels and asks the callers of the open ones to close them after the exchange in
// progress.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	close(s.noticeLocked())
}

// Drain waits until no tunnel is open or ctx ends. Call Leave before.
func (s *Server) Drain(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for s.open.Load() > 0 && timing.Sleep(ctx, pollInterval) {
	}
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) leavingNotice() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noticeLocked()
}

// noticeLocked returns the channel that Leave closes. The caller holds s.mu.
func (s *Server) noticeLocked() chan struct{} {
	if s.notify == nil {
		s.notify = make(chan struct{})
	}
	return s.notify
}

// OpenTunnels returns the number of tunnels that this VM serves now.
func (s *Server) OpenTunnels() int64 { return s.open.Load() }
