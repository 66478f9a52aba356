package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/fx"

	"github.com/threadwall/threadwall/internal/edge"
	"github.com/threadwall/threadwall/internal/settings"
	"github.com/threadwall/threadwall/platform"
)

// heapShare is the part of the process's memory that the Go heap may take; the rest
// is for stacks, sockets and what the runtime needs beside it.
const heapShare = 0.6

// runEdge runs the daemon of a VM that serves opaque requests.
func runEdge(s settings.Settings) error {
	debug.SetMemoryLimit(int64(float64(s.Edge.MemoryMB<<20) * heapShare))
	// SIGHUP says that the settings have changed. All of them take effect at a start,
	// so there is nothing to do but to stay alive.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, edge.Options{Adapter: platform.New(s), LogTo: os.Stdout}),
		fx.StopTimeout(s.Edge.Grace.D()+stopMargin),
		edge.Module,
	)
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	return nil
}
