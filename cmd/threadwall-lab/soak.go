package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run threadwalld as processes under drawn faults and check its promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "the daemon: `FILE`", Value: "bin/threadwalld"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0: the time of day"},
			&cli.IntFlag{Name: "seeds", Usage: "how many `N` seeds, one after the other", Value: 1},
			&cli.IntFlag{Name: "vms", Usage: "entry VMs", Value: 4},
			&cli.IntFlag{Name: "callers", Usage: "callers at a time", Value: 12},
			&cli.DurationFlag{Name: "faults", Usage: "for how long faults are injected", Value: 15 * time.Second},
			&cli.BoolFlag{Name: "keep", Usage: "leave logs in place also when all promises were kept"},
		},
		Action: soakRun,
	}
}

func soakRun(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	broken := 0
	for i := range c.Int("seeds") {
		report, err := soak.Run(ctx, soak.Options{
			Program: c.String("program"), Seed: seed + uint64(i), VMs: c.Int("vms"), Callers: c.Int("callers"),
			Faults: c.Duration("faults"), Keep: c.Bool("keep"),
		})
		if err != nil {
			return eris.Wrapf(err, "seed %d", seed+uint64(i))
		}
		line, err := json.Marshal(report)
		if err != nil {
			return eris.Wrap(err, "encode report")
		}
		_, _ = fmt.Fprintln(c.Root().Writer, string(line)) // as all commands print
		if len(report.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return eris.Errorf("%d of %d seeds broke a promise", broken, c.Int("seeds"))
	}
	return nil
}
