package daemon

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/gateway"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/timing"
)

// Bounds of callers' and operators' connections.
const (
	headTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// bodyTimeout is longer than the bound of the gateway, which responds.
	bodyTimeout = 35 * time.Second
	// writeTimeout bounds each write of a response, as the gateway does for streams.
	writeTimeout     = 60 * time.Second
	operatorHeadSize = 16 << 10 // bytes
	// connectionShare is the fraction of the memory that connections of callers and their heads may take.
	connectionShare = 0.25
	// bodyShare is the fraction of the memory that callers' bodies may take.
	bodyShare = 0.25
	// intakeShare is the fraction of the memory for what targets have sent and nobody has used yet.
	intakeShare = 0.25
	// connectionLogInterval is the interval at which closed connections are logged.
	connectionLogInterval = time.Second
)

// buildServers builds the servers for the listeners of callers, peers and operators.
func (d *Daemon) buildServers(listeners []net.Listener) {
	shares, memory := ingress.DivideDescriptors(d.Settings.MaxDescriptors), d.Settings.MemoryMB<<20
	limits := ingress.Limits{HeadBytes: d.Settings.MaxHeadBytes, HeadTimeout: headTimeout, IdleTimeout: idleTimeout, BodyTimeout: bodyTimeout}
	d.callers = ingress.Limit(listeners[0], ingress.Config{
		Name: "callers", Budget: ingress.NewBudget(int64(float64(memory) * connectionShare)), MaxConns: ingress.MaxCallers(memory, shares),
		Limits: func() ingress.Limits { return limits }, WriteTimeout: writeTimeout,
		RefusalFields: gateway.HeaderOutcome + ": " + outcome.NotRun.String() + "\r\n",
	})
	d.callerSrv = d.callers.Server(d.Gateway.Handler())
	ofOperators := limits
	ofOperators.HeadBytes = operatorHeadSize
	d.operators = ingress.Limit(listeners[2], ingress.Config{
		Name: "admin", Budget: ingress.NewBudget(ingress.OperatorMemory), MaxConns: shares.Operators,
		Limits: func() ingress.Limits { return ofOperators }, WriteTimeout: writeTimeout,
	})
	d.adminSrv = d.operators.Server(d.adminHandler())
	d.peers = ingress.LimitPeers(listeners[1], ingress.MaxPeers(memory, shares))
	d.peerSrv = grpc.NewServer(ingress.PeerServerOptions()...)
}

// logConnections logs what listeners have closed or refused, until ctx ends.
func (d *Daemon) logConnections(ctx context.Context) {
	logClosed := ingress.ClosedLog(func() *zerolog.Event { return d.Log.Warn().Str("step", "accept") }, d.peers, d.callers, d.operators)
	for timing.Sleep(ctx, connectionLogInterval) {
		logClosed()
	}
}
