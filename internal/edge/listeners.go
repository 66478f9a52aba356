package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/threadwall/threadwall/internal/ingress"
)

// Limits of callers that the configuration doesn't set.
const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
)

// What callers get beyond the limits of the configuration, since they may count a head without its line ends, and their clocks start
// before the VM's.
const (
	headSlack = 4 << 10 // bytes
	timeSlack = 2 * time.Second
)

// bodyTimeout bounds the time in which a body arrives. It is longer than the bound of the forwarder, which responds.
const bodyTimeout = 35 * time.Second

// operatorLimits are the limits of clients of the listeners for operators and for readiness checks.
var operatorLimits = ingress.Limits{HeadBytes: 16 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second, BodyTimeout: 5 * time.Second}

// operatorWriteTimeout bounds the sending of a response to them.
const operatorWriteTimeout = 10 * time.Second

// callerLimits returns the limits of callers that are in force.
func (d *Daemon) callerLimits() ingress.Limits {
	limits := ingress.Limits{HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout, BodyTimeout: bodyTimeout}
	c := d.Catalog.Get()
	if c == nil {
		return limits
	}
	if n := c.Limits.HeaderBytes; n > 0 {
		limits.HeadBytes = n + headSlack
	}
	if t := c.Limits.HeaderTimeout; t > 0 {
		limits.HeadTimeout = t + timeSlack
	}
	if t := c.Limits.IdleTimeout; t > 0 {
		limits.IdleTimeout = t + timeSlack
	}
	return limits
}

// serveHTTP opens the listeners for callers, readiness checks and operators, and serves them.
func (d *Daemon) serveHTTP() error {
	shares := ingress.DivideDescriptors(d.Settings.MaxDescriptors)
	operators := func(name string) ingress.Config {
		return ingress.Config{
			Name: name, Budget: ingress.NewBudget(ingress.OperatorMemory), MaxConns: shares.Operators, WriteTimeout: operatorWriteTimeout,
			Limits: func() ingress.Limits { return operatorLimits },
		}
	}
	for _, l := range []struct {
		addr    string
		handler http.Handler // all paths belong to callers, so there is no router in front of the forwarder
		config  ingress.Config
	}{
		{d.Settings.Listen, d.Forward, ingress.Config{
			Name: "callers", Budget: d.connections, MaxConns: ingress.MaxCallers(d.Settings.Edge.MemoryMB<<20, shares), Limits: d.callerLimits, SendBuffer: callerWriteBuffer,
		}},
		{d.Settings.Edge.ReadyListen, d.readyHandler(), operators("ready")},
		{d.Settings.AdminListen, d.adminHandler(), operators("admin")},
	} {
		raw, err := net.Listen("tcp", l.addr)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.addr)
		}
		listener := ingress.Limit(raw, l.config)
		d.listeners = append(d.listeners, listener)
		d.servers = append(d.servers, listener.Server(l.handler))
	}
	for i, server := range d.servers { // which read d.listeners
		d.run(d.listeners[i].Addr().String(), func() error { return server.Serve(d.listeners[i]) })
	}
	return nil
}

// connectionLog returns a function that logs what listeners have closed or refused since it was last called.
func (d *Daemon) connectionLog() func() {
	return ingress.ClosedLog(func() *zerolog.Event { return d.Log.State("connections-closed") }, d.peerListener, d.listeners...)
}
