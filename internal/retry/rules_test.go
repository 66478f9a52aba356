package retry

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// ruleFleet is a fleet in which each VM that may spends all that it may.
type ruleFleet struct {
	*testFleet
	t *testing.T
}

func newRuleFleet(t *testing.T) *ruleFleet {
	f := &ruleFleet{testFleet: newTestFleet(0, 12), t: t}
	f.pick = func(*testProcess, int) []ids.VM { return nil }
	return f
}

// spend has VMs spend all that they may, and checks the bound.
func (f *ruleFleet) spend(all ...*testProcess) {
	f.t.Helper()
	for _, p := range all {
		for f.retry(p) {
		}
	}
	if got, allowed := f.exceeded(); float64(got) > allowed {
		f.t.Errorf("%d retries in the window, %.0f are allowed", got, allowed)
	}
}

// TestSharesOfBurst plays one order of events for each rule of the division, which fails without the rule.
func TestSharesOfBurst(t *testing.T) {
	for name, play := range map[string]func(f *ruleFleet){
		"a VM joins whose entry another has not read": func(f *ruleFleet) {
			a := f.join("a")
			f.now = f.now.Add(testWindow + maxLoanTime + testListTTL)
			f.read(a)
			b := f.join("b")
			f.state(b)
			a.receive()
			f.state(a) // by a list without b
			b.receive()
			f.spend(b, a)
		},
		"a VM joins after another has spent by a smaller count": func(f *ruleFleet) {
			a := f.join("a")
			f.spend(a)
			b := f.join("b")
			f.read(a)
			f.exchange()
			f.spend(b)
		},
		"a VM joins after another was killed that had spent by a smaller count": func(f *ruleFleet) {
			f.spend(f.join("a"))
			a := f.start("a")
			b := f.join("b")
			f.read(a)
			f.exchange()
			f.spend(b)
		},
		"a VM restarts": func(f *ruleFleet) {
			f.spend(f.join("a"))
			a := f.start("a")
			f.read(a)
			f.spend(a)
		},
		"a VM is gone and its entry removed": func(f *ruleFleet) {
			a, b := f.join("a"), f.join("b")
			f.read(a)
			f.exchange()
			f.spend(b)
			delete(f.running, "b")
			delete(f.entries, "b")
			f.rev++
			f.read(a)
			f.spend(a)
		},
		"a VM joins that has never seen an entry that was removed": func(f *ruleFleet) {
			a, b := f.join("a"), f.join("b")
			f.read(a)
			f.exchange()
			f.spend(a, b)
			delete(f.running, "b")
			delete(f.entries, "b")
			f.rev++
			f.read(a)
			c := f.join("c")
			f.read(a)
			f.exchange()
			f.spend(a, c)
		},
		"a VM joins while another is cut off, and waits for its list to be too old": func(f *ruleFleet) {
			a := f.join("a")
			f.now = f.now.Add(testListTTL)
			a.cut = true
			b := f.join("b")
			f.spend(a)
			f.now = f.now.Add(testWindow + maxLoanTime)
			f.read(b)
			f.spend(a, b)
			f.now = f.now.Add(testListTTL)
			f.read(b)
			f.spend(b, a)
		},
		"a restored store lacks the entry of a VM that goes on": func(f *ruleFleet) {
			old := f.start("old")
			a := f.join("a")
			f.now = f.now.Add(2 * testWindow)
			f.read(a)
			f.spend(a)
			f.entries, f.rev = map[ids.VM]objectapi.Revision{}, objectapi.StartOf(1)+f.rev
			f.register(old, false)
			f.read(old)
			f.spend(old)
		},
		"an entry is created anew in a restored store": func(f *ruleFleet) {
			a := f.join("a")
			f.spend(a)
			f.entries, f.rev = map[ids.VM]objectapi.Revision{}, objectapi.StartOf(1)+f.rev
			f.spend(f.join("a"))
		},
		"a restarted VM creates its entry anew in a restored store": func(f *ruleFleet) {
			f.spend(f.join("a"))
			a := f.start("a")
			f.read(a)
			f.entries, f.rev = map[ids.VM]objectapi.Revision{}, objectapi.StartOf(1)+f.rev
			f.read(a)
			f.register(a, false)
			f.read(a)
			f.spend(a)
		},
	} {
		t.Run(name, func(t *testing.T) { play(newRuleFleet(t)) })
	}
}

// TestLoansMoveRetries checks what a loan takes from its lender, and that one that is not spent in time or is
// returned adds nothing.
func TestLoansMoveRetries(t *testing.T) {
	f := newTestFleet(0, 4)
	f.start("a")
	f.start("b")
	f.converge()
	a, b := f.running["a"], f.running["b"]
	for range 4 {
		if !f.retry(a) {
			t.Fatal("a retry was refused although both VMs together have four")
		}
	}
	if f.retry(a) || f.retry(b) {
		t.Error("a fifth retry was allowed")
	}
	f.now = f.now.Add(testWindow + 2*testWindow/windowSlots)
	f.converge()
	if got := b.budgets.Of("svc").Lend("a", 7, 0.5); got != 0.5 {
		t.Errorf("%v was lent, want 0.5", got)
	}
	f.now = f.now.Add(testWindow / windowSlots)
	for range 2 {
		b.budgets.Of("svc").Return("a", 7)
	}
	if remaining := b.budgets.Of("svc").Remaining(); remaining != 2 {
		t.Errorf("%v retries remain after a loan was returned twice, want 2", remaining)
	}
	f.loanDelay = func() (time.Duration, bool) { return maxLoanTime, true }
	retries := 0
	for f.retry(a) {
		retries++
	}
	if retries != 2 {
		t.Errorf("%d retries with loans that come too late, want 2", retries)
	}
}
