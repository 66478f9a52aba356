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
		Usage: "run threadwalld processes under random faults and check their guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "executable `FILE` of the daemon", Value: "bin/threadwalld"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 uses the current time"},
			&cli.IntFlag{Name: "seeds", Usage: "run `N` seeds, one after the other", Value: 1},
			&cli.IntFlag{Name: "vms", Usage: "number of entry VMs", Value: 4},
			&cli.IntFlag{Name: "callers", Usage: "number of concurrent callers", Value: 12},
			&cli.DurationFlag{Name: "faults", Usage: "`DURATION` for which faults are injected", Value: 15 * time.Second},
			&cli.BoolFlag{Name: "drills", Usage: "have the store come back from older copies of itself"},
			&cli.BoolFlag{Name: "cuts", Usage: "cut VMs off from all replicas, and make replicas brittle"},
			&cli.BoolFlag{Name: "parts", Usage: "have parts of prompts crash engines, and most connections go to one VM at times"},
			&cli.BoolFlag{Name: "versions", Usage: "run engines of several software versions whose streams break off and are taken up"},
			&cli.BoolFlag{Name: "shortage", Usage: "have most calls of a service fail while all VMs are restarted, or replicas leave just after cuts"},
			&cli.BoolFlag{Name: "hushes", Usage: "have engines fall silent and go on while configurations change and retries are short"},
			&cli.BoolFlag{Name: "floods", Usage: "have replicas send bytes without an end while callers send large bodies, and kill VMs that exceed their memory"},
			&cli.BoolFlag{Name: "crowds", Usage: "have clients that don't behave come to VMs in crowds, and kill VMs that exceed their memory"},
			&cli.BoolFlag{Name: "keep", Usage: "keep logs even if there were no violations"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	failedSeeds := 0
	for i := range c.Int("seeds") {
		report, err := soak.Run(ctx, soak.Options{
			Program: c.String("program"), Seed: seed + uint64(i), VMs: c.Int("vms"), Callers: c.Int("callers"),
			FaultDuration: c.Duration("faults"), Keep: c.Bool("keep"), Drills: c.Bool("drills"), Cuts: c.Bool("cuts"), Versions: c.Bool("versions"), Parts: c.Bool("parts"),
			Shortage: c.Bool("shortage"), Hushes: c.Bool("hushes"), Floods: c.Bool("floods"), Crowds: c.Bool("crowds"),
		})
		if err != nil {
			return eris.Wrapf(err, "seed %d", seed+uint64(i))
		}
		line, err := json.Marshal(report)
		if err != nil {
			return eris.Wrap(err, "encode report")
		}
		_, _ = fmt.Fprintln(c.Root().Writer, string(line))
		if len(report.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return eris.Errorf("%d of %d seeds had violations", failedSeeds, c.Int("seeds"))
	}
	return nil
}
