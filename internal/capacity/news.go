package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/peers"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// UpdatesSpec describes one failure domain whose VMs exchange updates over gRPC streams on
// loopback.
type UpdatesSpec struct {
	VMs, Targets int
	Dispatches   float64       // per VM and second, each with a new prefix
	Workspaces   int           // with demand on each VM
	Span         time.Duration // for which updates are counted
}

// UpdatesRow is the mean cost of these updates per VM.
type UpdatesRow struct {
	VMs        int     `json:"vms"`
	BytesIn    float64 `json:"bytes_in_per_s"`     // bytes/s
	BytesOut   float64 `json:"bytes_out_per_s"`    // bytes/s
	Messages   float64 `json:"messages_out_per_s"` // messages/s
	CPU        float64 `json:"core_percent"`       // percent of one core
	HeapBytes  float64 `json:"heap_bytes"`
	Replicated float64 `json:"learned"` // mean fraction of all added cache view entries that a VM holds at the end, its own included
}

// updatesSpan is how long updates are counted for the plots.
const updatesSpan = 5 * time.Second

// warmUp is the time for connections to open before the count starts.
const warmUp = 1500 * time.Millisecond

// MeasureUpdates measures the updates of a domain for spec.Span, after connections had time to
// open. CPU time and heap are those of the whole process, divided by the number of VMs, so
// nothing else may run in the process in the meantime.
func MeasureUpdates(spec UpdatesSpec) (UpdatesRow, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var nodes []*peers.Node
	var records []platform.Record
	var servers []*grpc.Server
	for i := range spec.Targets {
		records = append(records, platform.Record{ID: fmt.Sprint("engine-", i), Role: platform.RoleEngine, State: platform.StateLive, Incarnation: 1, Weights: "w", FailureDomain: "fd"})
	}
	for i := range spec.VMs {
		n, srv, addr, err := newUpdatesNode(fmt.Sprintf("entry-domain-%02d", i))
		if err != nil {
			return UpdatesRow{}, err
		}
		nodes, servers = append(nodes, n), append(servers, srv)
		records = append(records, platform.Record{ID: string(n.VM), Role: platform.RoleEntry, State: platform.StateLive, FailureDomain: "fd", PeerAddr: addr})
	}
	defer func() {
		cancel()
		for i, n := range nodes {
			n.Close()
			servers[i].Stop()
		}
	}()
	for _, n := range nodes {
		n.Fleet.Members.ApplyPlatform(records, time.Now())
		n.SetTargets(records)
		n.Fleet.Refresh()
	}
	var wg sync.WaitGroup
	added := make([]int, len(nodes))
	for i, n := range nodes {
		wg.Go(func() { added[i] = drive(ctx, n, i, spec) })
	}
	time.Sleep(warmUp)
	before, cpu := counters(nodes), cpuTime()
	time.Sleep(spec.Span)
	after, used := counters(nodes), cpuTime()-cpu
	cancel()
	wg.Wait()
	return updatesRow(spec, nodes, added, before, after, used), nil
}

// newUpdatesNode starts the gRPC server of a VM on a free loopback port. It returns the VM's
// node, the server and its address.
func newUpdatesNode(vm string) (*peers.Node, *grpc.Server, string, error) {
	f := fleet.New(membership.New(ids.VM(vm), membership.DefaultTuning), cacheview.New(128<<10, nil), loadview.New(), routing.NewCost(), nil)
	n := &peers.Node{
		VM: ids.VM(vm), Domain: "fd", Incarnation: 1_700_000_000_000, Fleet: f, Allowances: allowance.New(ids.VM(vm), nil),
		Events: timeline.NewLog(ids.VM(vm), hlc.New(nil), 16),
		Config: confsync.New(func(objectapi.Revision, []objectapi.Object) {}), Platform: confsync.New(func(objectapi.Revision, []objectapi.Object) {}),
	}
	n.Init()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, "", err
	}
	srv := grpc.NewServer()
	peerpb.RegisterPeerServer(srv, &peers.Server{Node: n})
	go func() { _ = srv.Serve(n.CountTraffic(l)) }()
	return n, srv, l.Addr().String(), nil
}

// ampleRate is a limit that no workspace reaches, in requests/s.
const ampleRate = 1e6

// drive sends updates as the daemon's gossip loop does, with dispatches and demand at the
// rates of spec. It returns the number of cache view entries that it added.
func drive(ctx context.Context, n *peers.Node, i int, spec UpdatesSpec) int {
	const heartbeat, updateInterval = time.Second, 250 * time.Millisecond
	last, added, due := time.Time{}, 0, 0.0
	workspaces := make([]ids.Workspace, spec.Workspaces)
	for w := range workspaces {
		workspaces[w] = ids.Workspace(fmt.Sprint("workspace-", w))
		n.Allowances.SetLimit(workspaces[w], allowance.Limit{Rate: ampleRate, Burst: ampleRate})
	}
	for step := 0; ctx.Err() == nil; step++ {
		pause := n.UpdateInterval(updateInterval, heartbeat)
		for due += spec.Dispatches * pause.Seconds(); due >= 1; due-- {
			added++
			id := prefix.ID(uint64(i+1)<<40 + uint64(added))
			n.Fleet.Cache.Expect(ids.Target(fmt.Sprint("engine-", (added*7+i)%spec.Targets)), []prefix.Level{{ID: id, Tokens: 9000}}, 3000)
		}
		for _, ws := range workspaces {
			n.Allowances.Take(allowance.Call{Workspace: ws, Cost: 1})
		}
		if time.Since(last) >= heartbeat {
			n.AdvanceHeartbeat()
			last = time.Now()
		}
		if n.CollectDispatches() || last.Equal(time.Time{}) || time.Since(last) < pause {
			n.Broadcast(ctx, false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return added
}

type counts struct{ in, out, messages int64 }

func counters(nodes []*peers.Node) counts {
	var c counts
	for _, n := range nodes {
		c.in += n.BytesIn.Load()
		c.out += n.BytesOut.Load()
		c.messages += n.Messages.Load()
	}
	return c
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func updatesRow(spec UpdatesSpec, nodes []*peers.Node, added []int, before, after counts, cpu time.Duration) UpdatesRow {
	vmSeconds := float64(len(nodes)) * spec.Span.Seconds()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	expected, held := 0, 0
	for i, n := range nodes {
		expected += added[i] * len(nodes)
		held += len(n.Fleet.Cache.Entries(1 << 20))
	}
	return UpdatesRow{
		VMs: len(nodes), BytesIn: float64(after.in-before.in) / vmSeconds, BytesOut: float64(after.out-before.out) / vmSeconds,
		Messages: float64(after.messages-before.messages) / vmSeconds, CPU: 100 * cpu.Seconds() / vmSeconds,
		HeapBytes: float64(mem.HeapAlloc) / float64(len(nodes)), Replicated: float64(held) / float64(max(expected, 1)),
	}
}
