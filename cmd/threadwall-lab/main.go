// Command threadwall-lab runs small stand-ins for engines, services and the
// platform, and loads that check every answer.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/capacity"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/yardstick"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:                  "threadwall-lab",
		Usage:                 "stand-ins for what threadwall serves, and loads that check every answer",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{demoCommand(), upCommand(), loadCommand(), yardstickCommand(), capacityCommand(), verifyCommand(), overheadCommand(), replayCommand(), spreadCommand(), plotsCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "threadwall-lab:", err)
		os.Exit(1)
	}
}

func exampleFlag() cli.Flag {
	return &cli.StringFlag{Name: "example", Value: "examples/solano", Usage: "use the example in `DIR`"}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run an example with several VMs in this process, under each policy, and print a table",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringSliceFlag{Name: "domain", Value: []string{"sala-heredia", "sala-cartago"}, Usage: "failure domains to run"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"round-robin", "cost"}, Usage: "policies to compare"},
			&cli.IntFlag{Name: "vms", Value: 2, Usage: "entry VMs in each domain"},
			&cli.IntFlag{Name: "requests", Value: 2000, Usage: "requests under each policy"},
			&cli.FloatFlag{Name: "rate", Value: 150, Usage: "requests a second"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) error {
	var domains []ids.FailureDomain
	for _, d := range c.StringSlice("domain") {
		domains = append(domains, ids.FailureDomain(d))
	}
	rows, err := lab.Demo(ctx, lab.DemoSpec{
		Example: c.String("example"), Domains: domains, VMs: c.Int("vms"), Policies: c.StringSlice("policy"),
		Requests: c.Int("requests"), Rate: c.Float("rate"), Seed: c.Uint64("seed"), Progress: os.Stderr,
	})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(os.Stdout, rows)
	} else {
		err = printTable(os.Stdout, rows)
	}
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.Lost > 0 || r.Doubled > 0 {
			return eris.Errorf("policy %s: %d lost, %d doubled", r.Policy, r.Lost, r.Doubled)
		}
	}
	return nil
}

// demoOutput is the default policy's row, with all rows beside it.
type demoOutput struct {
	lab.DemoRow
	Policies []lab.DemoRow `json:"policies"`
}

func printJSON(w io.Writer, rows []lab.DemoRow) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(demoOutput{DemoRow: rows[len(rows)-1], Policies: rows})
}

func printTable(w io.Writer, rows []lab.DemoRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "policy\trequests\twhole\tlost\tdoubled\trefused\thit rate\trecomputed tokens\tTTFT p50\tp95\tp99 ms\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%.1f\t%.1f\t%.1f\t\n", r.Policy, r.Requests, r.Whole, r.Lost, r.Doubled,
			r.Refused, r.HitRate, r.RecomputedTokens, r.TTFT.P50, r.TTFT.P95, r.TTFT.P99)
	}
	return t.Flush()
}

func upCommand() *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "start an example's stand-ins at the addresses of its lab/vms.json and run until interrupted",
		Flags: []cli.Flag{
			exampleFlag(), &cli.StringFlag{Name: "store", Value: "127.0.0.1:7000", Usage: "`ADDR` of the object API"},
			&cli.StringSliceFlag{Name: "only", Usage: "start only these VMs of the example, or \"store\", so that each can be a process of its own"},
			&cli.DurationFlag{Name: "token-every", Value: lab.DefaultEngine.TokenEvery, Usage: "time between an engine's tokens"},
			&cli.IntFlag{Name: "slots", Value: lab.DefaultEngine.Slots, Usage: "answers that an engine generates at once"},
			&cli.StringFlag{Name: "runs", Usage: "services append the key of each call that ran to `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ex, err := lab.ReadExample(c.String("example"))
			if err != nil {
				return err
			}
			s, err := lab.Start(ctx, ex, lab.StartOptions{
				FixedPorts: true, StoreAddr: c.String("store"), Engine: lab.DefaultEngine,
				Only: c.StringSlice("only"), RunsFile: c.String("runs"),
			})
			if err != nil {
				return err
			}
			defer s.Close()
			fmt.Printf("object API at %s, %d engines, %d service replicas; stop with ^C\n", s.StoreURL, len(s.Engines), len(s.Services))
			<-ctx.Done()
			return nil
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "drive an example's workload against running VMs, check every answer and print the figures as JSON",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of a VM's callers' interface"},
			&cli.IntFlag{Name: "requests", Value: 1000},
			&cli.FloatFlag{Name: "rate", Value: 100},
			&cli.FloatFlag{Name: "bookings", Value: 0.2, Usage: "part of requests that are bookings"},
			&cli.IntFlag{Name: "retries", Value: 10, Usage: "retries of a caller"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: load,
	}
}

// loadOutput is what the load command prints; keys allow to check the services.
type loadOutput struct {
	*lab.Result
	TTFT   lab.TTFT `json:"ttft_ms"`
	Booked []string `json:"booked"`
	NotRun []string `json:"not_run"`
	Wrong  []string `json:"wrong"`
}

func load(ctx context.Context, c *cli.Command) error {
	ex, err := lab.ReadExample(c.String("example"))
	if err != nil {
		return err
	}
	spec := ex.Spec(c.StringSlice("entry"))
	spec.Requests, spec.Rate, spec.Seed = c.Int("requests"), c.Float("rate"), c.Uint64("seed")
	spec.BookingShare, spec.Retries, spec.Concurrency = c.Float("bookings"), c.Int("retries"), 256
	res := spec.Run(ctx)
	return json.NewEncoder(os.Stdout).Encode(loadOutput{
		Result: res, TTFT: lab.QuantilesOf(res.TTFT), Booked: res.Booked, NotRun: res.NotRun, Wrong: res.Wrong,
	})
}

func yardstickCommand() *cli.Command {
	return &cli.Command{
		Name:  "yardstick",
		Usage: "measure routing policies in virtual time; the same seed gives the same figures",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "workload", Usage: "only these workloads"},
			&cli.BoolFlag{Name: "variants", Usage: "also the product's policy without some of its knowledge"},
			&cli.BoolFlag{Name: "product-only", Usage: "leave the baselines out"},
			&cli.BoolFlag{Name: "restarts", Usage: "instead, compare the seconds before and after restarts of all VMs"},
			&cli.BoolFlag{Name: "overload", Usage: "instead, compare overload with and without admission"},
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

// runAll runs the product's policy on workloads.
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
		Usage: "measure the slopes that docs/CAPACITY.md works with, and print them as JSON",
		Action: func(context.Context, *cli.Command) error {
			var out capacityOutput
			for _, size := range [][2]int{{9, 10_000}, {153, 10_000}, {153, 100_000}, {600, 100_000}} {
				out.Decide = append(out.Decide, capacity.Decide(size[0], size[1]))
			}
			for _, vms := range []int{2, 8, 22} {
				row, err := capacity.News(capacity.NewsSpec{VMs: vms, Targets: 153, Dispatches: 1.5, Workspaces: 10, Span: 5 * time.Second})
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

// capacityOutput is what the capacity command prints.
type capacityOutput struct {
	Decide []capacity.DecideRow `json:"decide"`
	News   []capacity.NewsRow   `json:"news"`
}

func verifyCommand() *cli.Command {
	return &cli.Command{
		Name:  "verify",
		Usage: "check what callers were told against what services ran; fails if anything was lost, doubled or untrue",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Required: true, Usage: "output `FILE` of the load command"},
			&cli.StringFlag{Name: "runs", Required: true, Usage: "`FILE` that services appended to"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			data, err := os.ReadFile(c.String("load"))
			if err != nil {
				return eris.Wrap(err, "read load")
			}
			var out loadOutput
			if err := json.Unmarshal(data, &out); err != nil {
				return eris.Wrap(err, "read load")
			}
			runs, err := lab.ReadRuns(c.String("runs"))
			if err != nil {
				return err
			}
			out.Result.Booked, out.Result.NotRun = out.Booked, out.NotRun
			doubled, untrue := lab.Doubled(runs, out.Result)
			fmt.Printf("requests %d, whole %d, refused %d, unknown %d, caller retries %d; bookings run %d, doubled %d, untrue answers %d, lost or wrong %d\n",
				out.Requests, out.Whole, out.Refused, out.Unknown, out.Retries, len(runs), doubled, untrue, out.Lost)
			for _, w := range out.Wrong {
				fmt.Println(" ", w)
			}
			if doubled+untrue+out.Lost > 0 {
				return eris.New("a promise was broken")
			}
			return nil
		},
	}
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the router's own cost beside a direct call to a stand-in, in one run",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringFlag{Name: "direct", Usage: "base `URL` of a running engine; without it, everything runs in this process"},
			&cli.StringFlag{Name: "routed", Usage: "base `URL` of a running VM"},
			&cli.IntFlag{Name: "pid", Usage: "process `ID` of that VM"},
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
		Usage:     "make recorded decisions again and name the first that comes out otherwise",
		ArgsUsage: "FILE, as written by: threadwall timeline --kind decision --last 10000 -o json",
		Action: func(_ context.Context, c *cli.Command) error {
			data, err := os.ReadFile(c.Args().First())
			if err != nil {
				return eris.Wrap(err, "read time line")
			}
			var events []timeline.Event
			if err := json.Unmarshal(data, &events); err != nil {
				return eris.Wrap(err, "read time line")
			}
			n, err := replay(events)
			fmt.Printf("%d decisions replayed\n", n)
			return err
		},
	}
}

// replay returns how many decisions came out the same, and the first divergence.
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
		Usage: "measure how long changes of configuration take to be in force on all VMs of a domain",
		Flags: []cli.Flag{exampleFlag(), &cli.IntFlag{Name: "vms", Value: 22}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ex, err := lab.ReadExample(c.String("example"))
			if err != nil {
				return err
			}
			row, err := lab.Spread(ctx, ex, c.Int("vms"))
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
		Usage: "measure and draw the plots of docs/plots",
		Flags: []cli.Flag{&cli.StringFlag{Name: "dir", Value: "docs/plots", Usage: "write SVG files to `DIR`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := os.MkdirAll(c.String("dir"), 0o755); err != nil {
				return eris.Wrap(err, "make directory")
			}
			return capacity.Plots(c.String("dir"))
		},
	}
}
