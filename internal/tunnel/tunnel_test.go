package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/tunnelpb"
)

// peerVM is a VM that serves tunnels behind a link that can be cut.
type peerVM struct {
	Peer
	server *Server
	grpc   *grpc.Server
	link   *heldLink
}

// startPeer starts a VM that serves tunnels to a target.
func startPeer(t *testing.T, connect func(ctx context.Context, id ids.Target) (net.Conn, tunnelpb.Result)) *peerVM {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peerVM{server: &Server{Connect: connect, Max: 4}, grpc: grpc.NewServer(ServerOptions()...)}
	tunnelpb.RegisterTunnelServer(p.grpc, p.server)
	go func() { _ = p.grpc.Serve(l) }()
	t.Cleanup(p.grpc.Stop)
	p.link = newHeldLink(t, l.Addr().String())
	p.Peer = Peer{VM: "peer", Addr: p.link.l.Addr().String()}
	return p
}

// heldLink forwards connections and, while held, keeps back what the server sends.
type heldLink struct {
	l        net.Listener
	upstream string
	mu       sync.Mutex
	held     chan struct{} // closed on release; nil: not held
	conns    []net.Conn
}

func newHeldLink(t *testing.T, upstream string) *heldLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &heldLink{l: l, upstream: upstream}
	t.Cleanup(func() { _ = l.Close(); h.release(); h.cut() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", upstream)
			if err != nil {
				_ = c.Close()
				continue
			}
			h.mu.Lock()
			h.conns = append(h.conns, c, s)
			h.mu.Unlock()
			go func() { _, _ = io.Copy(s, c); _ = s.Close() }()
			go h.copyBack(c, s)
		}
	}()
	return h
}

func (h *heldLink) copyBack(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		h.mu.Lock()
		held := h.held
		h.mu.Unlock()
		if held != nil {
			<-held
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			_ = to.Close()
			return
		}
	}
}

func (h *heldLink) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = make(chan struct{})
}

func (h *heldLink) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held != nil {
		close(h.held)
		h.held = nil
	}
}

// cut closes all connections.
func (h *heldLink) cut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.conns = nil
}

// target is a server that records what it receives and answers each line.
type target struct {
	l     net.Listener
	mu    sync.Mutex
	lines []string
	ended chan struct{} // one element for each connection that its client closed
}

func startTarget(t *testing.T, answer func(c net.Conn, line string)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	tg := &target{l: l, ended: make(chan struct{}, 10)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						_ = c.Close()
						tg.ended <- struct{}{}
						return
					}
					tg.mu.Lock()
					tg.lines = append(tg.lines, line)
					tg.mu.Unlock()
					answer(c, line)
				}
			}()
		}
	}()
	return tg
}

func (tg *target) received() int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return len(tg.lines)
}

// connect is a Server.Connect that reaches the target.
func (tg *target) connect(ctx context.Context, _ ids.Target) (net.Conn, tunnelpb.Result) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", tg.l.Addr().String())
	if err != nil {
		return nil, tunnelpb.Result_NO_ANSWER
	}
	return c, tunnelpb.Result_CONNECTED
}

func echo(c net.Conn, line string) { _, _ = io.WriteString(c, line) }

func dial(t *testing.T, c *Client, p *peerVM, within time.Duration) (*Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	conn, err := c.Dial(ctx, p.Peer, "i-1")
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

func newClient(t *testing.T) *Client {
	c := &Client{MaxOpen: 8}
	t.Cleanup(c.Close)
	return c
}

func within(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("not within 5 s: " + what)
}

// TestTunnelCarriesExchanges makes several exchanges, with data beyond the windows, and checks that closing
// the tunnel closes the connection to the target.
func TestTunnelCarriesExchanges(t *testing.T) {
	tg := startTarget(t, func(c net.Conn, line string) {
		for range 40 {
			echo(c, line)
		}
	})
	p := startPeer(t, tg.connect)
	conn, err := dial(t, newClient(t), p, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	line := fmt.Sprintf("%08000d\n", 7)
	for range 3 {
		if _, err := io.WriteString(conn, line); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 40*len(line))
		if _, err := io.ReadFull(conn, got); err != nil || string(got[39*len(line):]) != line {
			t.Fatalf("the answer is wrong, or incomplete: %v", err)
		}
		if !conn.Alive() {
			t.Error("the idle connection does not count as alive")
		}
	}
	_ = conn.Close()
	select {
	case <-tg.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the target is open 5 s after the tunnel was closed")
	}
	within(t, "the peer serves no tunnel", func() bool { return p.server.OpenTunnels() == 0 })
}

// TestEndsOfTunnelsAreToldApart checks that a tunnel that breaks never looks like one that the target closed:
// an answer may end with its connection.
func TestEndsOfTunnelsAreToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(c net.Conn, p *peerVM)
		want error
	}{
		"closed by the target": {func(c net.Conn, _ *peerVM) { _ = c.Close() }, io.EOF},
		"reset by the target": {func(c net.Conn, _ *peerVM) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, syscall.ECONNRESET},
		"cut between the VMs": {func(_ net.Conn, p *peerVM) { p.link.cut() }, ErrBroken},
		"peer killed":         {func(_ net.Conn, p *peerVM) { p.grpc.Stop() }, ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			var p *peerVM
			tg := startTarget(t, func(tc net.Conn, line string) {
				echo(tc, line)
				time.Sleep(50 * time.Millisecond)
				c.end(tc, p)
			})
			p = startPeer(t, tg.connect)
			conn, err := dial(t, newClient(t), p, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "x\n"); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if err == nil {
				err = io.EOF
			}
			if string(got) != "x\n" || !errors.Is(err, c.want) {
				t.Errorf("got %q, %v, want %v", got, err, c.want)
			}
			if c.want != io.EOF && errors.Is(err, io.EOF) {
				t.Errorf("%v looks like a complete answer", err)
			}
		})
	}
}

// TestLateAnswerOfPeerSendsNothing holds back the peer's answer that the target is connected. The dial fails, and
// nothing reaches the target, then or later.
func TestLateAnswerOfPeerSendsNothing(t *testing.T) {
	tg := startTarget(t, echo)
	p := startPeer(t, tg.connect)
	c := newClient(t)
	first, err := dial(t, c, p, time.Second) // so that the connection between the VMs is established
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Close()
	<-tg.ended
	for _, lost := range []bool{false, true} {
		p.link.hold()
		if _, err := dial(t, c, p, 100*time.Millisecond); err == nil {
			t.Fatal("the dial succeeded without an answer")
		}
		if lost {
			p.link.cut()
		}
		p.link.release()
		within(t, "the peer serves no tunnel", func() bool { return p.server.OpenTunnels() == 0 })
	}
	if n := tg.received(); n > 0 || c.Open() != 0 {
		t.Errorf("%d requests reached the target, and %d tunnels are open", n, c.Open())
	}
}

// TestFailedWriteCountsAsWritten breaks a tunnel before a write. Nobody knows what has reached the target, so the
// write must not claim that nothing has.
func TestFailedWriteCountsAsWritten(t *testing.T) {
	tg := startTarget(t, echo)
	p := startPeer(t, tg.connect)
	conn, err := dial(t, newClient(t), p, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	p.grpc.Stop()
	within(t, "the tunnel has ended", func() bool { return !conn.Alive() })
	if n, err := io.WriteString(conn, "x\n"); err != nil && n != 2 {
		t.Errorf("%d bytes count as written, with error %v", n, err)
	}
	_ = conn.Close()
	if n, err := io.WriteString(conn, "x\n"); err == nil || n != 0 {
		t.Errorf("a write on a closed connection returned %d, %v", n, err)
	}
}

// TestPeerRefusesTunnels checks that a peer that is full or leaving opens no tunnel, and that the callers of open
// tunnels of a leaving one do not use them again.
func TestPeerRefusesTunnels(t *testing.T) {
	tg := startTarget(t, echo)
	p := startPeer(t, tg.connect)
	c := newClient(t)
	var open []*Conn
	for range 4 {
		conn, err := dial(t, c, p, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
	}
	want := func(result tunnelpb.Result) {
		t.Helper()
		_, err := dial(t, c, p, time.Second)
		var r *Refusal
		if !errors.As(err, &r) || r.Result != result {
			t.Errorf("got %v, want %v", err, result)
		}
	}
	want(tunnelpb.Result_FULL)
	p.server.Leave()
	want(tunnelpb.Result_LEAVING)
	for _, conn := range open {
		within(t, "the tunnel is not used again", func() bool { return !conn.Alive() })
		if _, err := io.WriteString(conn, "x\n"); err != nil {
			t.Error("an exchange in progress fails:", err)
		}
		if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
			t.Error("an exchange in progress fails:", err)
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	p.server.Drain(ctx)
	if ctx.Err() != nil {
		t.Error("the peer has not drained")
	}
}

// TestTunnelsAreBounded checks that a VM opens no more tunnels than it may, and that failed ones do not count.
func TestTunnelsAreBounded(t *testing.T) {
	tg := startTarget(t, echo)
	p := startPeer(t, tg.connect)
	p.server.Max = 100
	c := &Client{MaxOpen: 2}
	t.Cleanup(c.Close)
	gone := &peerVM{Peer: Peer{VM: "gone", Addr: "127.0.0.1:1"}}
	for range 5 {
		if _, err := dial(t, c, gone, 200*time.Millisecond); err == nil {
			t.Fatal("a tunnel through a peer that does not exist was opened")
		}
	}
	a, err := dial(t, c, p, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := dial(t, c, p, time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := dial(t, c, p, time.Second); !errors.Is(err, ErrFull) {
		t.Errorf("got %v, want ErrFull", err)
	}
	_ = a.Close()
	if _, err := dial(t, c, p, time.Second); err != nil {
		t.Errorf("no tunnel after one was closed: %v", err)
	}
}

// BenchmarkExchange measures one exchange of 800 bytes over an open tunnel, both VMs and the target in this process.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	connect := func(ctx context.Context, _ ids.Target) (net.Conn, tunnelpb.Result) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
		if err != nil {
			return nil, tunnelpb.Result_NO_ANSWER
		}
		return c, tunnelpb.Result_CONNECTED
	}
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions()...)
	tunnelpb.RegisterTunnelServer(server, &Server{Connect: connect, Max: 4})
	go func() { _ = server.Serve(pl) }()
	defer server.Stop()
	c := &Client{MaxOpen: 4}
	defer c.Close()
	conn, err := c.Dial(context.Background(), Peer{VM: "peer", Addr: pl.Addr().String()}, "i-1")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	data := make([]byte, 800)
	for b.Loop() {
		if _, err := conn.Write(data); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, data); err != nil {
			b.Fatal(err)
		}
	}
}
