package gossip

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// TestFill checks on random updates that Fill always sends urgent reports, never loses a
// demand, keeps all other updates within the budget, and empties the outbox.
func TestFill(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := New()
		budget := rapid.IntRange(0, 500).Draw(rt, "budget")
		urgent, demands := map[uint32]bool{}, map[uint32]uint32{}
		for i := range rapid.IntRange(0, 40).Draw(rt, "news") {
			id := uint32(rapid.IntRange(1, 10).Draw(rt, "id"))
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				o.Report(&peerpb.TargetReport{Target: id, Leaving: true}, true)
				urgent[id] = true
			case 1:
				o.Report(&peerpb.TargetReport{Target: id, QueuedTokens: uint32(i)}, false)
			case 2:
				o.Dispatch(&peerpb.Dispatch{Target: id, Prefixes: []uint64{uint64(i)}})
			default:
				d := uint32(rapid.IntRange(0, 50).Draw(rt, "demand"))
				o.Demand(&peerpb.Demand{Workspace: id, Decirequests: d})
				demands[id] = d
			}
		}
		sent := map[uint32]bool{}
		for round := 0; o.Pending(); round++ {
			if round > 200 {
				rt.Fatalf("the outbox is not empty after 200 messages; the budget is now %d bytes", budget)
			}
			n := &peerpb.News{}
			o.Fill(n, budget)
			rest := proto.Clone(n).(*peerpb.News)
			rest.Reports = nil
			for _, r := range n.Reports {
				if r.Leaving {
					delete(urgent, r.Target)
				} else {
					rest.Reports = append(rest.Reports, r)
				}
			}
			if size := proto.Size(rest); size > budget {
				rt.Fatalf("updates other than urgent reports take %d bytes, want at most %d", size, budget)
			}
			for _, d := range n.Demands {
				sent[d.Workspace] = true
			}
			budget += 20 // an update that was too large for one message fits in a later one
		}
		if len(urgent) > 0 {
			rt.Fatalf("urgent reports were lost: %v", urgent)
		}
		for id := range demands {
			if !sent[id] {
				rt.Fatalf("the demand of workspace %d was never sent", id)
			}
		}
	})
}

func TestDemandIsSentWhenItChanges(t *testing.T) {
	o := New()
	send := func(rate uint32) int {
		o.Demand(&peerpb.Demand{Workspace: 1, Decirequests: rate})
		n := &peerpb.News{}
		o.Fill(n, 1000)
		return len(n.Demands)
	}
	for i, want := range []struct{ rate, sent uint32 }{{100, 1}, {110, 0}, {130, 1}, {100, 0}, {90, 1}, {0, 1}, {0, 0}} {
		if got := send(want.rate); got != int(want.sent) {
			t.Errorf("step %d, rate %d: sent %d times", i, want.rate, got)
		}
	}
}
