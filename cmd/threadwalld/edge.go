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

// runEdge runs the daemon of a VM that serves opaque requests. On SIGHUP, the daemon reloads the
// settings at path.
func runEdge(s settings.Settings, path string) error {
	if d := s.Edge.TestSuspension.D(); d > 0 {
		go simulateSuspensions(d)
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, edge.Options{
			Adapter: platform.New(s), LogTo: os.Stdout, Hangup: hangup.Signals(),
			LimitHeap: func(bytes int64) { debug.SetMemoryLimit(bytes) },
			Reload:    func() (settings.Settings, error) { return settings.Load(path) },
		}),
		fx.StopTimeout(s.Edge.Grace.D()+shutdownMargin),
		edge.Module,
	)
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	return nil
}

// simulateSuspensions simulates a suspension of the VM for d on each SIGUSR2. For tests.
func simulateSuspensions(d time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	for range signals {
		clock.Skip(d)
	}
}
