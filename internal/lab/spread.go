package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// PropagationRow holds the times until changes of configuration are in force on all VMs.
type PropagationRow struct {
	VMs       int        `json:"vms"`
	SingleMS  []float64  `json:"single_ms"` // per single change, sorted
	BurstSize int        `json:"burst_size"`
	BurstMS   float64    `json:"burst_ms"` // from the last write of the burst
	Calls     StoreCalls `json:"store_calls"`
	// LeavingMS holds, per engine, the time from when it starts to report that it is leaving
	// until every VM knows, with the object API down. Sorted.
	LeavingMS []float64 `json:"leaving_ms"`
}

const (
	singleChanges      = 20
	burstChanges       = 200
	propagationTimeout = 20 * time.Second
)

// MeasurePropagation measures one failure domain with vms daemons in this process.
func MeasurePropagation(ctx context.Context, ex *Example, vms int) (PropagationRow, error) {
	domains := []ids.FailureDomain{"sala-heredia"}
	s, err := Start(ctx, ex, StartOptions{Domains: domains, Engine: DefaultEngine})
	if err != nil {
		return PropagationRow{}, err
	}
	defer s.Close()
	fleet, err := StartVMs(ctx, s, domains, vms, "cost")
	if err != nil {
		return PropagationRow{}, err
	}
	defer fleet.Stop(ctx)
	time.Sleep(2 * time.Second) // let the streams between VMs connect
	before := s.Store.Calls()
	row := PropagationRow{VMs: vms, BurstSize: burstChanges}
	for i := range singleChanges {
		took, err := fleet.measureChange(ctx, s, i, 1)
		if err != nil {
			return row, err
		}
		row.SingleMS = append(row.SingleMS, took)
		time.Sleep(100 * time.Millisecond)
	}
	slices.Sort(row.SingleMS)
	if row.BurstMS, err = fleet.measureChange(ctx, s, 1000, burstChanges); err != nil {
		return row, err
	}
	after := s.Store.Calls()
	row.Calls = StoreCalls{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches}
	s.Store.SetFaults(StoreFaults{Down: true})
	for id, e := range s.Engines {
		took, err := fleet.measureLeaving(ids.Target(id), e)
		if err != nil {
			return row, err
		}
		row.LeavingMS = append(row.LeavingMS, took)
	}
	slices.Sort(row.LeavingMS)
	return row, nil
}

// measureLeaving makes an engine report that it is leaving and returns the time until every
// VM knows, in milliseconds.
func (v *VMs) measureLeaving(id ids.Target, e *Engine) (float64, error) {
	start := time.Now()
	e.SetLeaving(true)
	for _, d := range v.Daemons {
		for d.Fleet.Members.State(id, time.Now()) != routing.Leaving {
			if time.Since(start) > propagationTimeout {
				return 0, eris.Errorf("VM %s does not know after %v that target %s is leaving", d.Settings.VM, propagationTimeout, id)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return float64(time.Since(start).Microseconds()) / 1000, nil
}

// measureChange writes n documents, numbered from first on, and returns the time from the last
// write until all VMs have the configuration revision of that write, in milliseconds.
func (v *VMs) measureChange(ctx context.Context, s *StandIns, first, n int) (float64, error) {
	var last objectapi.Revision
	for i := first; i < first+n; i++ {
		o := config.Object{Kind: config.KindDocument, Name: fmt.Sprint("spread-", i), Document: &config.Document{Text: "text"}}
		value, err := json.Marshal(o)
		if err != nil {
			return 0, eris.Wrap(err, "encode document")
		}
		if last, err = s.Store.Create(ctx, o.Key(), value); err != nil {
			return 0, eris.Wrap(err, "write document")
		}
	}
	start := time.Now()
	for _, d := range v.Daemons {
		for d.Node.Config.Revision() < last {
			if time.Since(start) > propagationTimeout {
				return 0, eris.Errorf("VM %s is at configuration revision %d after %v, want %d", d.Settings.VM, d.Node.Config.Revision(), propagationTimeout, last)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return float64(time.Since(start).Microseconds()) / 1000, nil
}
