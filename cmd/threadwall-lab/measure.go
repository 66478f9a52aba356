package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/capacity"
	"github.com/threadwall/threadwall/internal/lab"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/yardstick"
)

func yardstickCommand() *cli.Command {
	return &cli.Command{
		Name:  "yardstick",
		Usage: "measure routing policies in virtual time; the same seed gives the same results",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "workload", Usage: "run only these workloads"},
			&cli.BoolFlag{Name: "variants", Usage: "also run the product's policy with some of its inputs disabled"},
			&cli.BoolFlag{Name: "product-only", Usage: "omit the baseline policies"},
			&cli.BoolFlag{Name: "restarts", Usage: "compare the seconds before and after restarts of all VMs instead"},
			&cli.BoolFlag{Name: "overload", Usage: "compare overload with and without admission control instead"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("restarts") {
				return yardstick.PrintRestarts(os.Stdout, runAll(yardstick.Restarts(c.Uint64("seed"))))
			}
			if c.Bool("overload") {
				return yardstick.Print(os.Stdout, runAll(yardstick.Overload(c.Uint64("seed"))))
			}
			var results []*yardstick.Result
			for _, w := range yardstick.Workloads(c.Uint64("seed")) {
				if only := c.StringSlice("workload"); len(only) > 0 && !slices.Contains(only, w.Name) {
					continue
				}
				for _, p := range policies(c.Bool("product-only"), c.Bool("variants")) {
					results = append(results, yardstick.Run(w, p))
				}
			}
			return yardstick.Print(os.Stdout, results)
		},
	}
}

// runAll runs the product's policy on each workload.
func runAll(workloads []yardstick.Workload) []*yardstick.Result {
	var out []*yardstick.Result
	for _, w := range workloads {
		out = append(out, yardstick.Run(w, yardstick.Product()))
	}
	return out
}

func policies(productOnly, variants bool) []yardstick.Policy {
	out := []yardstick.Policy{yardstick.Product()}
	if !productOnly {
		out = append(yardstick.Baselines(), out...)
	}
	if variants {
		out = append(out, yardstick.Variants()...)
	}
	return out
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the coefficients that docs/CAPACITY.md uses, and print them as JSON",
		Action: func(context.Context, *cli.Command) error {
			var out capacityOutput
			// Numbers of replicas and of cache view entries.
			for _, size := range [][2]int{{9, 10_000}, {153, 10_000}, {153, 100_000}, {600, 100_000}} {
				out.Decide = append(out.Decide, capacity.Decide(size[0], size[1]))
			}
			for _, vms := range []int{2, 8, 22} {
				row, err := capacity.MeasureUpdates(capacity.UpdatesSpec{VMs: vms, Targets: 153, Dispatches: 1.5, Workspaces: 10, Span: 5 * time.Second})
				if err != nil {
					return err
				}
				out.News = append(out.News, row)
			}
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(out)
		},
	}
}

// capacityOutput is the JSON output of the capacity command.
type capacityOutput struct {
	Decide []capacity.DecideRow  `json:"decide"`
	News   []capacity.UpdatesRow `json:"news"`
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the overhead of the router compared with direct calls to a simulated engine",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringFlag{Name: "direct", Usage: "base `URL` of a running engine; without it, everything runs in this process"},
			&cli.StringFlag{Name: "routed", Usage: "base `URL` of a running VM"},
			&cli.IntFlag{Name: "pid", Usage: "process `ID` of that VM's daemon"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("direct") != "" {
				row, err := lab.OverheadOf(ctx, c.String("direct"), c.String("routed"), c.Int("pid"))
				if err != nil {
					return err
				}
				return json.NewEncoder(os.Stdout).Encode(row)
			}
			ex, err := lab.ReadExample(c.String("example"))
			if err != nil {
				return err
			}
			row, err := lab.Overhead(ctx, ex)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(row)
		},
	}
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay recorded routing decisions and report the first that differs",
		ArgsUsage: "FILE, as written by: threadwall timeline --kind decision --last 10000 -o json",
		Action: func(_ context.Context, c *cli.Command) error {
			data, err := os.ReadFile(c.Args().First())
			if err != nil {
				return eris.Wrap(err, "read timeline")
			}
			var events []timeline.Event
			if err := json.Unmarshal(data, &events); err != nil {
				return eris.Wrap(err, "decode timeline")
			}
			n, err := replay(events)
			fmt.Printf("%d decisions replayed\n", n)
			return err
		},
	}
}

// replay replays the decisions in events. It returns the number of decisions with the recorded
// result, and an error at the first that differs. It skips decisions that can't be replayed.
func replay(events []timeline.Event) (int, error) {
	policies := map[string]*routing.Router{"cost": routing.NewCost()}
	n := 0
	for _, e := range events {
		var rec routing.Record
		if e.Kind != timeline.KindDecision || json.Unmarshal(e.Detail, &rec) != nil || policies[rec.Policy] == nil {
			continue
		}
		if got := routing.Replay(policies[rec.Policy], &rec); got != rec.Chosen {
			return n, eris.Errorf("request %s on %s at %s: recorded %s, replayed %s", e.Request, e.VM, e.At, rec.Chosen, got)
		}
		n++
	}
	return n, nil
}

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "measure how long configuration changes take to be in force on all VMs of a domain",
		Flags: []cli.Flag{exampleFlag(), &cli.IntFlag{Name: "vms", Value: 22}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ex, err := lab.ReadExample(c.String("example"))
			if err != nil {
				return err
			}
			row, err := lab.MeasurePropagation(ctx, ex, c.Int("vms"))
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(row)
		},
	}
}

func plotsCommand() *cli.Command {
	return &cli.Command{
		Name:  "plots",
		Usage: "run the measurements and draw the plots of docs/plots",
		Flags: []cli.Flag{&cli.StringFlag{Name: "dir", Value: "docs/plots", Usage: "write SVG files to `DIR`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := os.MkdirAll(c.String("dir"), 0o755); err != nil {
				return eris.Wrap(err, "create directory")
			}
			return capacity.Plots(c.String("dir"))
		},
	}
}
