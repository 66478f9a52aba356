package queries

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/cli/common"
	"github.com/threadwall/threadwall/internal/daemon"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// vmStatus is a VM's status, or the error of the query.
type vmStatus struct {
	VM     string  `json:"vm"`
	Error  string  `json:"error,omitempty"`
	Status *status `json:"status,omitempty"`
}

// status is the status of a VM of either kind. Only entry VMs for opaque requests report the demand.
type status struct {
	daemon.Status
	Demand []demand.Status `json:"demand,omitempty"`
}

// Status returns the command "threadwall status".
func Status() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show each VM's readiness, configuration revision and view of the targets",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "targets", Aliases: []string{"t"}, Usage: "show each VM's view of each target"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			vms, err := common.VMs(ctx, c)
			if err != nil {
				return err
			}
			all := make([]vmStatus, len(vms))
			var wg sync.WaitGroup
			for i, vm := range vms {
				wg.Go(func() {
					var s status
					all[i].VM = vm.Name
					if err := common.GetJSON(ctx, vm, "/status", &s); err != nil {
						all[i].Error = eris.Cause(err).Error()
						return
					}
					all[i].Status = &s
				})
			}
			wg.Wait()
			return common.Print(c, all, func(w io.Writer) { printStatus(w, all, c.Bool("targets")) })
		},
	}
}

func printStatus(w io.Writer, all []vmStatus, targets bool) {
	common.Row(w, "VM", "DOMAIN", "READY", "CONFIG", "WATCHER", "IN FLIGHT", "PENDING CLAIMS", "NOTE")
	for _, s := range all {
		if s.Status == nil {
			common.Row(w, s.VM, "?", "?", "?", "?", "?", "?", s.Error)
			continue
		}
		st := s.Status
		common.Row(w, st.VM, st.FailureDomain, st.Ready, st.ConfigRevision, st.Watcher, st.InFlight, st.PendingClaims, st.Reason)
	}
	printDemand(w, all)
	if !targets {
		return
	}
	common.Row(w)
	common.Row(w, "VM", "TARGET", "STATE", "INCARNATION", "WEIGHTS", "QUEUED", "RUNNING", "BREAKER")
	for _, s := range all {
		if s.Status == nil {
			continue
		}
		for _, t := range s.Status.Targets {
			common.Row(w, s.VM, t.ID, t.StateName, t.Incarnation, t.Weights, t.Report.QueuedTokens, t.Report.Running, t.BreakerOpen)
		}
	}
}

// printDemand prints the load of the services as the VM sees it that hears the most others: all VMs
// that hear each other see the same.
func printDemand(w io.Writer, all []vmStatus) {
	var best *vmStatus
	heard := func(v *vmStatus) int {
		n := 0
		for _, s := range v.Status.Demand {
			n = max(n, s.VMs)
		}
		return n
	}
	for i := range all {
		if v := &all[i]; v.Status != nil && len(v.Status.Demand) > 0 && (best == nil || heard(v) > heard(best)) {
			best = v
		}
	}
	if best == nil {
		return
	}
	common.Row(w)
	common.Row(w, "SERVICE", "ROUTE", "CALLS/s", "ADMITTED/s", "REFUSED/s", "WAIT ms", "LATE/s", "PAUSED/s", "SEEN BY")
	row := func(service string, r demand.RouteStatus, by string) {
		common.Row(w, service, r.Route, rate(r.Calls), rate(r.Admitted), rate(r.Refused), rate(r.WaitMs), rate(r.Late), rate(r.Paused), by)
	}
	for _, s := range best.Status.Demand {
		total := s.Total
		total.Route = "(all)"
		row(s.Service, total, fmt.Sprintf("%s, with %d of %d VMs, %d ms old", best.VM, s.VMs, s.Listed, s.AgeMs))
		for _, r := range s.Routes {
			row(s.Service, r, "")
		}
	}
	common.Row(w)
	common.Row(w, "SERVICE", "WORKSPACE", "OFFERED/s", "ADMITTED/s")
	for _, s := range best.Status.Demand {
		for _, x := range s.Workspaces {
			common.Row(w, s.Service, x.Workspace, rate(x.Offered), rate(x.Admitted))
		}
	}
}

// rate formats a rate or a time.
func rate(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// collectEvents gets the events of all VMs, merged in causal order, and returns the names of the
// VMs that could not be queried.
func collectEvents(ctx context.Context, c *cli.Command, request string) (events []timeline.Event, missing []string, err error) {
	vms, err := common.VMs(ctx, c)
	if err != nil {
		return nil, nil, err
	}
	logs := make([][]timeline.Event, len(vms))
	failed := make([]bool, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { failed[i] = common.GetJSON(ctx, vm, "/timeline?request="+request, &logs[i]) != nil })
	}
	wg.Wait()
	for i, vm := range vms {
		if failed[i] {
			missing = append(missing, vm.Name)
		}
	}
	return timeline.Merge(logs...), missing, nil
}

// Timeline returns the command "threadwall timeline".
func Timeline() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all VMs into one causal order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of the request `ID`"},
			&cli.StringFlag{Name: "kind", Usage: "only events of `KIND`, such as membership, config or claim"},
			&cli.IntFlag{Name: "last", Value: 100, Usage: "at most the last `N` events"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			events, missing, err := collectEvents(ctx, c, c.String("request"))
			if err != nil {
				return err
			}
			var kept []timeline.Event
			for _, e := range events {
				if k := c.String("kind"); k == "" || string(e.Kind) == k {
					kept = append(kept, e)
				}
			}
			kept = kept[max(0, len(kept)-c.Int("last")):]
			return common.Print(c, kept, func(w io.Writer) {
				common.Row(w, "AT", "VM", "KIND", "REQUEST", "PEER", "TEXT")
				for _, e := range kept {
					common.Row(w, e.At, e.VM, e.Kind, e.Request, e.Peer, e.Text)
				}
				for _, m := range missing {
					common.Row(w, "?", m, "", "", "", "this VM did not respond; its events are missing")
				}
			})
		},
	}
}

// Explain returns the command "threadwall explain".
func Explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show how a request was routed and why, from the VMs' timelines or from their logs",
		ArgsUsage: "REQUEST",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "logs", Usage: "read the daemons' logs from `FILE` (- is the standard input) instead of querying the VMs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return eris.New("explain requires a request id, as found in the response header X-Request-Id")
			}
			if files := c.StringSlice("logs"); len(files) > 0 {
				return explainFromLogs(c, files)
			}
			events, missing, err := collectEvents(ctx, c, c.Args().First())
			if err != nil {
				return err
			}
			if len(events) == 0 {
				return eris.Errorf("no VM that responded has events of request %s (no response from: %v)", c.Args().First(), missing)
			}
			return common.Print(c, events, func(w io.Writer) {
				for _, e := range events {
					common.Row(w, e.At, e.VM, e.Kind, e.Peer, e.Text)
					if e.Kind == timeline.KindDecision {
						printDecision(w, e.Detail)
					}
				}
			})
		},
	}
}

// explainFromLogs prints the log lines that explain a request.
func explainFromLogs(c *cli.Command, files []string) error {
	lines, err := openLogs(files, os.Stdin)
	if err != nil {
		return err
	}
	found := explainLogs(lines, c.Args().First())
	if len(found) == 0 {
		return eris.Errorf("no log line in %v belongs to request %s", files, c.Args().First())
	}
	return common.Print(c, found, func(w io.Writer) {
		for _, l := range found {
			common.Row(w, l.Time.Format("15:04:05.000"), l.VM, l.Event, l.text())
		}
	})
}

func printDecision(w io.Writer, detail json.RawMessage) {
	var d routing.Record
	if json.Unmarshal(detail, &d) != nil {
		return
	}
	common.Row(w, "", "", "policy "+d.Policy, "", "")
	for reason, n := range d.Filtered {
		common.Row(w, "", "", "filtered", n, reason)
	}
	common.Row(w, "", "", "", "TARGET", "COST s", "QUEUED tokens", "CACHED tokens", "STATE")
	for _, x := range d.Candidates {
		mark := ""
		if x.Target == d.Chosen {
			mark = "chosen"
		}
		common.Row(w, "", "", mark, x.Target, x.Cost, int(x.Input.QueueTokens), x.Input.Cached, x.Input.State)
	}
}
