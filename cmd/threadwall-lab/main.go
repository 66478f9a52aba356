// Command threadwall-lab runs simulated engines, services and a simulated platform, generates
// load that checks every response, and runs the project's measurements.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:                  "threadwall-lab",
		Usage:                 "simulate engines, services and the platform, and generate load that checks every response",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{demoCommand(), upCommand(), loadCommand(), yardstickCommand(), capacityCommand(), verifyCommand(), overheadCommand(), replayCommand(), spreadCommand(), plotsCommand(), soakCommand(), payoffCommand()},
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
		Usage: "run an example with several VMs in this process under each policy, and print a table",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringSliceFlag{Name: "domain", Value: []string{"sala-heredia", "sala-cartago"}, Usage: "failure domains to run"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"round-robin", "cost"}, Usage: "policies to compare"},
			&cli.IntFlag{Name: "vms", Value: 2, Usage: "entry VMs in each domain"},
			&cli.IntFlag{Name: "requests", Value: 2000, Usage: "requests per policy"},
			&cli.FloatFlag{Name: "rate", Value: 150, Usage: "requests per second"},
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
		if r.Lost > 0 || r.Duplicates > 0 {
			return eris.Errorf("policy %s: %d requests lost or misreported, %d executed more than once; want none", r.Policy, r.Lost, r.Duplicates)
		}
	}
	return nil
}

// demoOutput is the JSON output of the demo command: the fields of the last policy's row, and the
// rows of all policies.
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
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%.1f\t%.1f\t%.1f\t\n", r.Policy, r.Requests, r.Completed, r.Lost, r.Duplicates,
			r.Refused, r.HitRate, r.RecomputedTokens, r.TTFT.P50, r.TTFT.P95, r.TTFT.P99)
	}
	return t.Flush()
}

func upCommand() *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "start an example's simulated VMs at the addresses in its lab/vms.json and run until interrupted",
		Flags: []cli.Flag{
			exampleFlag(), &cli.StringFlag{Name: "store", Value: "127.0.0.1:7000", Usage: "`ADDR` of the object API"},
			&cli.StringSliceFlag{Name: "only", Usage: "start only these VMs of the example, or \"store\", so that each can run in a separate process"},
			&cli.DurationFlag{Name: "token-every", Value: lab.DefaultEngine.TokenEvery, Usage: "time between two tokens of an engine's response"},
			&cli.IntFlag{Name: "slots", Value: lab.DefaultEngine.Slots, Usage: "responses that an engine generates concurrently"},
			&cli.StringFlag{Name: "runs", Usage: "`FILE` to which services append the key of each executed call"},
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
		Usage: "run an example's workload against running VMs, check every response and print the results as JSON",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of a VM's interface for callers"},
			&cli.IntFlag{Name: "requests", Value: 1000},
			&cli.FloatFlag{Name: "rate", Value: 100},
			&cli.FloatFlag{Name: "bookings", Value: 0.2, Usage: "fraction of requests that are bookings"},
			&cli.IntFlag{Name: "retries", Value: 10, Usage: "maximum retries per request by a caller"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: load,
	}
}

// loadOutput is the JSON output of the load command. It includes the keys of calls, which the
// verify command checks against the calls that the services executed.
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

func verifyCommand() *cli.Command {
	return &cli.Command{
		Name:  "verify",
		Usage: "compare the responses that callers received with the calls that services executed; fail if a call was lost, executed twice or reported wrongly",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Required: true, Usage: "output `FILE` of the load command"},
			&cli.StringFlag{Name: "runs", Required: true, Usage: "`FILE` to which services appended the keys of executed calls"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			data, err := os.ReadFile(c.String("load"))
			if err != nil {
				return eris.Wrap(err, "read output of the load command")
			}
			var out loadOutput
			if err := json.Unmarshal(data, &out); err != nil {
				return eris.Wrap(err, "decode output of the load command")
			}
			runs, err := lab.ReadRuns(c.String("runs"))
			if err != nil {
				return err
			}
			out.Result.Booked, out.Result.NotRun = out.Booked, out.NotRun
			duplicates, misreported := lab.CheckRuns(runs, out.Result)
			fmt.Printf("requests %d, completed %d, refused %d, unknown %d, caller retries %d; bookings executed %d, more than once %d, misreported %d, lost or wrong %d\n",
				out.Requests, out.Completed, out.Refused, out.Unknown, out.Retries, len(runs), duplicates, misreported, out.Lost)
			for _, w := range out.Wrong {
				fmt.Println(" ", w)
			}
			if duplicates+misreported+out.Lost > 0 {
				return eris.New("verification failed: calls were lost, executed twice or reported wrongly")
			}
			return nil
		},
	}
}
