package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// TestLedgersConverge generates crashes and answers at several VMs, and reports that arrive late,
// twice, in any order or not at all. After all ledgers have exchanged snapshots, they must agree on
// the quarantined requests. A request without a crash must not be quarantined.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		const vms = 3
		var all [vms]*Ledger
		for i := range all {
			all[i] = c.ledger()
		}
		type message struct {
			from    int
			reports []Report
		}
		var late []message
		requests := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			request := rapid.SampledFrom(requests).Draw(t, "request")
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				replica := replicaNamed(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "replica")))
				all[vm].Crashed(Finding{named(request), Crash{Replica: replica, Sent: c.now.Add(-50 * time.Millisecond), Ended: c.now}})
			case 2:
				all[vm].Answered(named(request))
			case 3:
				late = append(late, message{vm, all[vm].DueReports(vms - 1)})
			case 4:
				if len(late) > 0 {
					m := late[rapid.IntRange(0, len(late)-1).Draw(t, "message")]
					all[vm].Receive(ids.VM(fmt.Sprint(m.from)), m.reports, rapid.Bool().Draw(t, "forward"))
				}
			}
		}
		for range 2 * vms {
			for i, l := range all {
				snapshot := l.Snapshot()
				for j, o := range all {
					if i != j {
						o.Receive(ids.VM(fmt.Sprint(i)), snapshot, false)
					}
				}
			}
		}
		for _, request := range append(requests, "never crashed") {
			_, want := all[0].Quarantined(named(request))
			for i, l := range all[1:] {
				if _, got := l.Quarantined(named(request)); got != want {
					t.Errorf("%s: quarantined at VM 0: %v, at VM %d: %v", request, want, i+1, got)
				}
			}
			if want && request == "never crashed" {
				t.Error("a request without a crash is quarantined")
			}
		}
	})
}
