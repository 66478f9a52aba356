// Command threadwalld is the router daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"github.com/threadwall/threadwall/internal/daemon"
	"github.com/threadwall/threadwall/internal/settings"
)

// shutdownMargin is the time that a shutdown may take in addition to the ready notice and drain
// timeout, or to the grace period of an edge daemon.
const shutdownMargin = 15 * time.Second

func main() {
	flag := &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "read settings from `FILE` (JSON with comments)", Required: true}
	app := &cli.Command{
		Name:                  "threadwalld",
		Usage:                 "route LLM traffic from an entry VM to engines and services",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the daemon until SIGTERM or SIGINT", Flags: []cli.Flag{flag}, Action: run},
			{Name: "check-config", Usage: "validate a settings file and print it with all defaults", Flags: []cli.Flag{flag}, Action: checkConfig},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "threadwalld:", err)
		os.Exit(1)
	}
}

// gcPercent lets the heap grow to four times the live heap before a garbage collection. The
// daemon's live heap is small, and collections increase tail latency.
const gcPercent = 300

// heapShare is the fraction of the process's memory beyond which the heap is collected more often.
const heapShare = 0.85

func run(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if s.Edge != nil {
		return runEdge(s, path)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * heapShare))
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, daemon.Options{LogTo: os.Stderr}),
		fx.StopTimeout(s.ReadyNotice.D()+s.DrainTimeout.D()+shutdownMargin),
		daemon.Module,
	)
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	return nil
}

func checkConfig(_ context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	return settings.Print(c.Root().Writer, s)
}
