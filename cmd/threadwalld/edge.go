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

// runEdge runs the daemon of a VM that serves opaque requests. The settings at path are
// read again at SIGHUP.
func runEdge(s settings.Settings, path string) error {
	debug.SetMemoryLimit(int64(float64(s.Edge.MemoryMB<<20) * heapShare))
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, edge.Options{
			Adapter: platform.New(s), LogTo: os.Stdout, Hangup: hangup,
			Reload: func() (settings.Settings, error) { return settings.Load(path) },
		}),
		fx.StopTimeout(s.Edge.Grace.D()+stopMargin),
		edge.Module,
	)
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	return nil
}
