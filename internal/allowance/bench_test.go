package allowance

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
)

// benchLimiter returns a limiter with vms peers, each of which has reported use of all workspaces.
func benchLimiter(vms, workspaces int) (*Limiter, []Use, []ids.Workspace) {
	l := New("self", nil)
	var names []ids.VM
	for i := range vms {
		names = append(names, nameOf(i))
	}
	l.SetVMs(append(names, "self"))
	limits := map[ids.Workspace]Limit{}
	var uses []Use
	var spaces []ids.Workspace
	for i := range workspaces {
		ws := ids.Workspace(fmt.Sprint("w", i))
		limits[ws] = Limit{1e9, 1e9}
		uses = append(uses, Use{Workspace: HashOf(ws), Used: 1000, Offered: 1000})
		spaces = append(spaces, ws)
	}
	l.SetLimits(limits)
	for i := range vms {
		l.RecordUse(names[i], 1, 1, uses)
	}
	return l, uses, spaces
}

// BenchmarkTake measures one verdict on one of 90 VMs, with 16 workspaces.
func BenchmarkTake(b *testing.B) {
	l, _, spaces := benchLimiter(89, 16)
	i := 0
	for b.Loop() {
		l.Take(Call{Workspace: spaces[i%len(spaces)], Cost: 9200})
		i++
	}
}

// BenchmarkRecordUse measures one report of a peer on all workspaces, in a fleet of 90 VMs that
// report to each other directly, with 16 and with 580 workspaces.
func BenchmarkRecordUse(b *testing.B) {
	for _, n := range []int{16, 580} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			l, uses, _ := benchLimiter(89, n)
			seq := uint64(1)
			for b.Loop() {
				seq++
				l.RecordUse("vm0", 1, seq, uses)
			}
		})
	}
}

// BenchmarkRecordFleetUse measures one report of the total use of the other VMs in a fleet of 380.
func BenchmarkRecordFleetUse(b *testing.B) {
	l, uses, _ := benchLimiter(379, 580)
	for b.Loop() {
		l.RecordFleetUse(uses)
	}
}
