// Package tunnel connects an entry VM that has lost its link to a target to that target through a peer.
//
// The peer connects to the target over its own link and copies bytes in both directions, as a TCP proxy
// does. It neither reads nor repeats a request. Everything that decides about a call stays at the VM that
// received it: the choice of the target, attempts, budgets, proofs, deadlines and the outcome.
//
//   - A request is written only after the peer has said that the target is connected. If that answer is
//     lost, late or cut off, nothing has been written.
//   - A tunnel has one hop: a peer uses its own link only.
//   - Closing a tunnel closes the peer's connection to the target, which cancels the request there.
//   - A tunnel that breaks between the two VMs never looks like one that the target has closed.
//
// The number of tunnels, their buffers and the connections between VMs are bounded.
package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/tunnelpb"
)

// Peer is a VM through which tunnels may lead.
type Peer struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	Addr          string // ip:port
}

// Refusal is the error of a peer that did not connect to the target.
type Refusal struct {
	Peer   ids.VM
	Result tunnelpb.Result
}

// Error implements error.
func (r *Refusal) Error() string {
	return "tunnel through " + string(r.Peer) + ": " + r.Result.String()
}

// ErrFull is the error of a VM that has MaxOpen tunnels.
var ErrFull = eris.New("this VM has as many tunnels as it may")

// Limits of the connections between VMs.
const (
	// windowBytes is the flow-control window of one tunnel, and connWindowBytes that of all tunnels
	// between two VMs, in bytes. Fixed windows bound the memory of tunnels that are not read.
	windowBytes     = 64 << 10
	connWindowBytes = 1 << 20
	// peerDialTimeout bounds connecting to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// idleTimeout is how long a connection to a peer is kept without a tunnel.
	idleTimeout = 10 * time.Second
	// maxIdlePeers is the number of connections to peers beyond which those without a tunnel are closed.
	maxIdlePeers = 8
)

// Client opens tunnels. Safe for concurrent use. The zero value is ready for use, except for MaxOpen.
type Client struct {
	// MaxOpen bounds the open tunnels. It must be set before the first Dial.
	MaxOpen int64

	open   atomic.Int64
	mu     sync.Mutex
	peers  map[string]*peerConn // by address
	closed bool

	// Opened counts the tunnels that connected.
	Opened atomic.Int64
}

// peerConn is the connection to one peer.
type peerConn struct {
	grpc *grpc.ClientConn
	uses int // tunnels that are open or being opened
}

// Open returns the number of open tunnels.
func (c *Client) Open() int64 { return c.open.Load() }

// Dial connects to a target through a peer. ctx bounds connecting only. The error wraps a *Refusal if the
// peer has answered. After an error nothing has been sent to the target.
func (c *Client) Dial(ctx context.Context, p Peer, id ids.Target) (*Conn, error) {
	if c.open.Add(1) > c.MaxOpen {
		c.open.Add(-1)
		return nil, ErrFull
	}
	pc, err := c.peer(p.Addr)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	conn := &Conn{peer: p, cancel: cancel, onEnd: func() {
		c.open.Add(-1)
		c.release(pc)
	}}
	stop := context.AfterFunc(ctx, cancel)
	err = conn.connect(streamCtx, tunnelpb.NewTunnelClient(pc.grpc), id)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		cancel()
		conn.onEnd()
		return nil, eris.Wrapf(err, "tunnel through %s", p.VM)
	}
	conn.start()
	c.Opened.Add(1)
	return conn, nil
}

// connect asks the peer to connect to the target.
func (c *Conn) connect(ctx context.Context, client tunnelpb.TunnelClient, id ids.Target) error {
	addr, err := net.ResolveTCPAddr("tcp", c.peer.Addr)
	if err != nil {
		return eris.Wrapf(err, "address of %s", c.peer.VM)
	}
	c.addr = addr
	if c.stream, err = client.Open(ctx); err != nil {
		return err
	}
	if err := c.stream.Send(&tunnelpb.ToTarget{Target: string(id)}); err != nil {
		_, err = c.stream.Recv() // returns the status of the call
		return errors.Join(ErrBroken, err)
	}
	m, err := c.stream.Recv()
	switch {
	case err != nil:
		return err
	case m.Result != tunnelpb.Result_CONNECTED:
		return &Refusal{c.peer.VM, m.Result}
	}
	return nil
}

// peer returns the connection to the peer at addr, and counts a use of it.
func (c *Client) peer(addr string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if pc := c.peers[addr]; pc != nil {
		pc.uses++
		return pc, nil
	}
	c.closeIdle()
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(connWindowBytes), grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: peerDialTimeout, Multiplier: 1, MaxDelay: peerDialTimeout}, MinConnectTimeout: peerDialTimeout}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return sockets.Dialer(peerDialTimeout).DialContext(ctx, "tcp4", addr)
		}))
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer %s", addr)
	}
	if c.peers == nil {
		c.peers = map[string]*peerConn{}
	}
	pc := &peerConn{grpc: conn, uses: 1}
	c.peers[addr] = pc
	return pc, nil
}

// closeIdle closes connections without a tunnel if there are many. The caller holds c.mu.
func (c *Client) closeIdle() {
	for addr, pc := range c.peers {
		if len(c.peers) < maxIdlePeers {
			return
		}
		if pc.uses == 0 {
			_ = pc.grpc.Close()
			delete(c.peers, addr)
		}
	}
}

func (c *Client) release(pc *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.uses--
}

// Close closes the connections to all peers, and with them all tunnels.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, pc := range c.peers {
		_ = pc.grpc.Close()
	}
}
