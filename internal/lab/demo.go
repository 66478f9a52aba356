package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/daemon"
	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/loopback"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/settings"
)

// DemoSpec configures a demo.
type DemoSpec struct {
	Example  string // directory, see ReadExample
	Domains  []ids.FailureDomain
	VMs      int      // per failure domain
	Policies []string // routing policies to compare
	Requests int      // per policy
	Rate     float64  // requests/s; 0: unlimited
	Seed     uint64
	Progress io.Writer // receives progress lines and descriptions of lost requests; required
}

// DemoRow is the result of one policy.
type DemoRow struct {
	Policy           string  `json:"policy"`
	Requests         int     `json:"requests"`
	Completed        int     `json:"whole"`
	Lost             int     `json:"lost"`    // lost requests, and bookings whose reported outcome is wrong
	Duplicates       int     `json:"doubled"` // bookings that ran more than once
	Refused          int     `json:"refused"`
	Unknown          int     `json:"unknown"`
	HitRate          float64 `json:"hit_rate"`          // fraction of the prompt tokens that were cached
	RecomputedTokens int64   `json:"recomputed_tokens"` // prompt tokens that were not cached
	TTFT             TTFT    `json:"ttft_ms"`
	Seconds          float64 `json:"seconds"`
}

// TTFT holds quantiles of the time to first token, in milliseconds.
type TTFT struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Demo runs an example under each policy, with stand-ins and VMs in this process. On error
// it also returns the rows of the policies that finished.
func Demo(ctx context.Context, spec DemoSpec) ([]DemoRow, error) {
	ex, err := ReadExample(spec.Example)
	if err != nil {
		return nil, err
	}
	var rows []DemoRow
	for _, policy := range spec.Policies {
		row, err := spec.runPolicy(ctx, ex, policy)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (spec DemoSpec) runPolicy(ctx context.Context, ex *Example, policy string) (DemoRow, error) {
	s, err := Start(ctx, ex, StartOptions{Domains: spec.Domains, Engine: DefaultEngine})
	if err != nil {
		return DemoRow{}, err
	}
	defer s.Close()
	fleet, err := StartVMs(ctx, s, spec.Domains, spec.VMs, policy)
	if err != nil {
		return DemoRow{}, err
	}
	defer fleet.Stop(ctx)
	load := ex.Spec(fleet.Entries())
	load.Requests, load.Rate, load.Seed = spec.Requests, spec.Rate, spec.Seed
	load.BookingShare, load.Concurrency, load.Retries = 0.2, 128, 6
	load.Progress = func(done, total int) {
		if done%max(total/10, 1) == 0 {
			_, _ = fmt.Fprintf(spec.Progress, "%-12s %4d/%d requests\n", policy, done, total)
		}
	}
	res := load.Run(ctx)
	for _, w := range res.Wrong {
		_, _ = fmt.Fprintln(spec.Progress, " ", w)
	}
	return demoRow(policy, s, res), nil
}

func demoRow(policy string, s *StandIns, res *Result) DemoRow {
	prompted, cached := s.Tokens()
	duplicates, misreported := CheckRuns(s.Runs(), res)
	row := DemoRow{
		Policy: policy, Requests: res.Requests, Completed: res.Completed, Lost: res.Lost + misreported, Duplicates: duplicates,
		Refused: res.Refused, Unknown: res.Unknown, RecomputedTokens: prompted - cached,
		TTFT: QuantilesOf(res.TTFT), Seconds: res.Seconds,
	}
	if prompted > 0 {
		row.HitRate = float64(cached) / float64(prompted)
	}
	return row
}

// QuantilesOf returns quantiles in milliseconds of a histogram that holds microseconds.
func QuantilesOf(h *hdrhistogram.Histogram) TTFT {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return TTFT{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// VMs are threadwall daemons in this process.
type VMs struct {
	Daemons []*daemon.Daemon
}

// readyTimeout is the time within which all daemons must become ready.
const readyTimeout = 10 * time.Second

// StartVMs adds perDomain entry VMs in each domain to the platform's list, starts them and waits
// until they are ready. The VMs of a domain are peers of each other. On error it returns the VMs
// started so far, which the caller must stop.
func StartVMs(ctx context.Context, s *StandIns, domains []ids.FailureDomain, perDomain int, policy string) (*VMs, error) {
	v := &VMs{}
	var all []settings.Settings
	for _, d := range domains {
		var local []settings.Settings
		for i := range perDomain {
			local = append(local, vmSettings(s, d, i, policy))
		}
		for i := range local {
			for j := range local {
				if i != j {
					local[i].Peers = append(local[i].Peers, local[j].PeerListen)
				}
			}
		}
		all = append(all, local...)
	}
	for i, set := range all {
		peerAddr := set.PeerListen
		if s.Network != nil {
			all[i].Store, peerAddr = s.Network(set)
		}
		err := s.Put(ctx, platform.Record{
			ID: string(set.VM), Role: platform.RoleEntry, FailureDomain: set.FailureDomain, Addr: set.Listen,
			PeerAddr: peerAddr, AdminAddr: set.AdminListen, State: platform.StateLive,
		})
		if err != nil {
			return v, err
		}
	}
	for _, set := range all {
		d, err := daemon.New(set.WithDefaults(), daemon.Options{LogTo: io.Discard})
		if err != nil {
			return v, err
		}
		if err := d.Start(ctx); err != nil {
			return v, err
		}
		v.Daemons = append(v.Daemons, d)
	}
	return v, v.waitReady(ctx)
}

func vmSettings(s *StandIns, d ids.FailureDomain, i int, policy string) settings.Settings {
	return settings.Settings{
		VM: ids.VM(fmt.Sprintf("entry-%s-%d", d, i+1)), FailureDomain: d,
		Listen: loopback.Addr(), PeerListen: loopback.Addr(), AdminListen: loopback.Addr(),
		Store: s.StoreURL, Policy: policy, WeightLoadsPerMinute: 600, ReadyNotice: durations.Duration(time.Millisecond),
	}
}

func (v *VMs) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, d := range v.Daemons {
		for !isReady(ctx, d.Settings.Listen) {
			if time.Now().After(end) || ctx.Err() != nil {
				return eris.Errorf("%s is not ready: %s", d.Settings.VM, d.Status().Reason)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Entries returns the base URLs at which the VMs accept callers' requests.
func (v *VMs) Entries() []string {
	var out []string
	for _, d := range v.Daemons {
		out = append(out, "http://"+d.Settings.Listen)
	}
	return out
}

// Stop shuts all daemons down gracefully, one after another.
func (v *VMs) Stop(ctx context.Context) {
	for _, d := range v.Daemons {
		_ = d.Stop(ctx)
	}
}
