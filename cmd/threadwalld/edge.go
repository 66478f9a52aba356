package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/edge"
	"github.com/threadwall/threadwall/internal/hangup"
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
	if d := s.Edge.TestSuspension.D(); d > 0 {
		go suspendAtSignal(d)
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, edge.Options{
			Adapter: platform.New(s), LogTo: os.Stdout, Hangup: hangup.Signals(),
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

// suspendAtSignal lets the VM seem to have been suspended for d at each SIGUSR2.
func suspendAtSignal(d time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	for range signals {
		clock.Skip(d)
	}
}
