package retry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Values of these tests.
const (
	testWindow  = 10 * time.Second
	testListTTL = 12 * time.Second
)

// testFleet is a fleet of VMs that divide a burst, and the store that has their list. Everything happens in
// virtual time.
type testFleet struct {
	ratio, burst float64
	now          time.Time
	rev          objectapi.Revision
	entries      map[ids.VM]objectapi.Revision // in the store
	processes    []*testProcess                // all that ever ran
	running      map[ids.VM]*testProcess
	// pick returns the VMs that p asks for loans; nil: all that it reaches.
	pick func(p *testProcess, limit int) []ids.VM
	// loanDelay returns how long a question or answer takes, and whether it arrives; nil: at once.
	loanDelay func() (time.Duration, bool)
}

// testProcess is one process of a VM.
type testProcess struct {
	vm      ids.VM
	budgets *ServiceBudgets
	cut     bool      // it reaches neither the store nor its peers
	sent    time.Time // when its pending read of the list was sent; zero: there is none
	answer  *List     // of the pending read; nil: the store has not answered
	inbox   []testMessage
	// Times of its requests, of its retries, and of the latter and of its loans to others.
	requests, retries, spent []time.Time
}

type testMessage struct {
	from ids.VM
	Statement
}

func newTestFleet(ratio, burst float64) *testFleet {
	return &testFleet{ratio: ratio, burst: burst, now: time.Unix(1000, 0), entries: map[ids.VM]objectapi.Revision{}, running: map[ids.VM]*testProcess{}}
}

func (f *testFleet) start(vm ids.VM) *testProcess {
	p := &testProcess{vm: vm, budgets: NewServiceBudgets(vm, f.ratio, f.burst, testWindow, testListTTL, func() time.Time { return f.now })}
	p.budgets.Lenders = Lenders{
		Pick: func(limit int) []ids.VM { return f.pickLenders(p, limit) },
		Send: func(to ids.VM, l Loan) { f.sendLoan(p, to, l) },
	}
	f.processes = append(f.processes, p)
	f.running[vm] = p
	return p
}

func (f *testFleet) pickLenders(p *testProcess, limit int) []ids.VM {
	if f.pick != nil {
		return f.pick(p, limit)
	}
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(f.running)), func(vm ids.VM) bool { return vm == p.vm })
	return others[:min(limit, len(others))]
}

// sendLoan delivers a question or an answer of p.
func (f *testFleet) sendLoan(p *testProcess, to ids.VM, l Loan) {
	if l.Kind == LoanAnswer && l.Amount > 0 {
		p.spent = append(p.spent, f.now)
	}
	arrives := true
	if f.loanDelay != nil {
		var delay time.Duration
		delay, arrives = f.loanDelay()
		f.now = f.now.Add(delay)
	}
	other := f.running[to]
	lost := !arrives || other == nil || p.cut || other.cut
	switch {
	case lost && l.Kind == LoanQuestion: // without the wait for the answer
		p.budgets.ReceiveLoan(to, &Loan{Number: l.Number, Service: l.Service, Kind: LoanAnswer})
	case lost && l.Kind == LoanAnswer && other != nil:
		other.budgets.ReceiveLoan(p.vm, &Loan{Number: l.Number, Service: l.Service, Kind: LoanAnswer})
	case !lost:
		other.budgets.ReceiveLoan(p.vm, &l)
	}
}

// join starts a VM that creates its entry and reads the list.
func (f *testFleet) join(vm ids.VM) *testProcess {
	p := f.start(vm)
	f.register(p, false)
	f.read(p)
	return p
}

// answerRead has the store answer the pending read of p.
func (f *testFleet) answerRead(p *testProcess) {
	l := List{Revision: f.rev, Sent: p.sent, OwnEntry: f.entries[p.vm]}
	l.VMs = slices.Collect(maps.Keys(f.entries))
	p.answer = &l
}

// applyRead has p handle the answer of its pending read.
func (p *testProcess) applyRead() {
	p.budgets.SetList(*p.answer)
	p.sent, p.answer = time.Time{}, nil
}

// read has p read the list without delay.
func (f *testFleet) read(p *testProcess) {
	p.sent = f.now
	f.answerRead(p)
	p.applyRead()
}

// register has p create its entry. If the answer is lost, p doesn't know that it has.
func (f *testFleet) register(p *testProcess, answerLost bool) {
	if f.entries[p.vm] != 0 {
		return
	}
	f.rev++
	f.entries[p.vm] = f.rev
	if !answerLost {
		p.budgets.EntryCreated(f.rev)
	}
}

// state has p send its statement, if it has one, to all others.
func (f *testFleet) state(p *testProcess) {
	st := p.budgets.Statement()
	if st == nil {
		return
	}
	for _, other := range f.running {
		if other != p && !other.cut && !p.cut {
			other.inbox = append(other.inbox, testMessage{p.vm, *st})
		}
	}
}

// receive has p handle the messages that it has received.
func (p *testProcess) receive() {
	for _, m := range p.inbox {
		p.budgets.Receive(m.from, &m.Statement)
	}
	p.inbox = nil
}

// exchange lets all VMs that are not cut off exchange statements.
func (f *testFleet) exchange() {
	for range 2 {
		for _, vm := range slices.Sorted(maps.Keys(f.running)) {
			f.state(f.running[vm])
		}
		for _, vm := range slices.Sorted(maps.Keys(f.running)) {
			f.running[vm].receive()
		}
	}
}

// converge lets all VMs that are not cut off read the list and exchange statements.
func (f *testFleet) converge() {
	for range 4 {
		for _, vm := range slices.Sorted(maps.Keys(f.running)) {
			if p := f.running[vm]; !p.cut {
				f.register(p, false)
				f.read(p)
				p.receive()
				f.state(p)
			}
		}
	}
}

func (f *testFleet) request(p *testProcess) {
	p.budgets.Of("svc").Deposit()
	p.requests = append(p.requests, f.now)
}

// retry has p retry if it may.
func (f *testFleet) retry(p *testProcess) bool {
	a := p.budgets.SpendOrBorrow(context.Background(), "svc")
	if !a.Allowed() {
		return false
	}
	p.retries = append(p.retries, f.now)
	p.spent = append(p.spent, f.now)
	return true
}

// exceeded returns the retries of the window that ends now and how many are allowed: the burst, and for
// each process the fraction of its requests in the window that ended with its last retry or loan.
func (f *testFleet) exceeded() (got int, allowed float64) {
	allowed = f.burst
	for _, p := range f.processes {
		got += within(p.retries, f.now, testWindow)
		if within(p.spent, f.now, testWindow+maxLoanTime) > 0 {
			allowed += f.ratio * float64(within(p.requests, p.spent[len(p.spent)-1], testWindow))
		}
	}
	return got, allowed
}

// within counts the times in the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

// TestFleetKeepsBudget generates random kills, restarts, joins, departures, cuts, suspensions, lost and late
// messages, and a store that comes back from older copies. In each window that ends with a retry all VMs
// together keep the budget.
func TestFleetKeepsBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestFleet(rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "ratio"), float64(rapid.IntRange(2, 30).Draw(rt, "burst")))
		f.loanDelay = func() (time.Duration, bool) {
			return time.Duration(rapid.SampledFrom([]int{0, 0, 3, 30, 49, 60}).Draw(rt, "loan delay")) * time.Millisecond, rapid.IntRange(0, 4).Draw(rt, "lost") > 0
		}
		copied := maps.Clone(f.entries)
		suspended := map[ids.VM]bool{}
		for range rapid.IntRange(1, 250).Draw(rt, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 300, 2500, 10100, 12100}).Draw(rt, "pause")) * time.Millisecond)
			vm := ids.VM(fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(rt, "vm")))
			p := f.running[vm]
			action := rapid.SampledFrom(fleetActions).Draw(rt, "action")
			switch {
			case action == "start" && p == nil:
				f.start(vm)
			case action == "restore":
				f.rev = objectapi.StartOf(f.rev.Era()+1) + f.rev - objectapi.StartOf(f.rev.Era()) + 1
				f.entries = maps.Clone(copied)
			case action == "copy":
				copied = maps.Clone(f.entries)
			case action == "converge":
				f.converge()
			case action == "exchange":
				f.exchange()
			case action == "remove" && p == nil: // operators remove the entries of VMs that are gone
				f.rev++
				delete(f.entries, vm)
			case p == nil:
			case action == "spend":
				for f.retry(p) {
					if got, allowed := f.exceeded(); float64(got) > allowed+1e-6 {
						rt.Fatalf("%d retries in the window, %.1f are allowed", got, allowed)
					}
				}
			case suspended[vm] && action != "kill":
				suspended[vm] = action != "resume"
			default:
				f.act(rt, p, action, suspended)
			}
		}
	})
}

var fleetActions = []string{
	"start", "start", "kill", "kill all", "remove", "restore", "copy", "converge", "exchange", "exchange", "spend", "spend", "spend", "request",
	"cut", "heal", "suspend", "resume", "register", "register, answer lost", "register and read", "read", "read", "send read", "answer read", "apply read", "state", "receive", "lose messages",
}

// act carries out an action of a running process.
func (f *testFleet) act(rt *rapid.T, p *testProcess, action string, suspended map[ids.VM]bool) {
	switch action {
	case "kill":
		delete(f.running, p.vm)
		delete(suspended, p.vm)
	case "kill all":
		for vm := range f.running {
			f.start(vm)
			delete(suspended, vm)
		}
	case "request":
		for range rapid.IntRange(1, 30).Draw(rt, "requests") {
			f.request(p)
		}
	case "cut", "heal":
		p.cut = action == "cut"
	case "suspend":
		suspended[p.vm] = true
	case "register", "register, answer lost":
		if !p.cut {
			f.register(p, action != "register")
		}
	case "register and read":
		if !p.cut {
			f.register(p, false)
			f.read(p)
		}
	case "read":
		if !p.cut {
			f.read(p)
		}
	case "send read":
		p.sent, p.answer = f.now, nil
	case "answer read":
		if !p.sent.IsZero() && !p.cut {
			f.answerRead(p)
		}
	case "apply read":
		if p.answer != nil {
			p.applyRead()
		}
	case "state":
		f.state(p)
	case "receive":
		p.receive()
	case "lose messages":
		p.inbox = nil
	}
}

// TestVMsShareTheBurst checks that VMs that start together have the whole burst between them once
// they have heard each other, and that one that joins gets its part without a window's wait.
func TestVMsShareTheBurst(t *testing.T) {
	f := newTestFleet(0.2, 40)
	for i := range 8 {
		f.start(ids.VM(fmt.Sprint("vm", i)))
	}
	f.converge()
	for vm, p := range f.running {
		if remaining := p.budgets.Of("svc").Remaining(); remaining != 5 {
			t.Errorf("%s, one of 8 VMs, may retry %v times, want 5", vm, remaining)
		}
	}
	joins := f.start("vm8")
	f.converge()
	f.converge()
	if remaining := joins.budgets.Of("svc").Remaining(); remaining != 40.0/9 {
		t.Errorf("a VM that joins may retry %v times, want 40/9", remaining)
	}
}

// TestEntryCreatedBeforeLateList checks that a list from before a VM's entry was created, which is read after that, does not
// make the VM wait for a predecessor.
func TestEntryCreatedBeforeLateList(t *testing.T) {
	f := newTestFleet(0, 40)
	p := f.start("vm0")
	f.join("vm1")
	p.sent = f.now
	f.answerRead(p)
	f.register(p, false)
	p.applyRead()
	f.converge()
	if s := p.budgets.Share(); s.VMs != 2 {
		t.Errorf("got %+v, want a half", s)
	}
}

// TestShareWithoutPeers checks that a VM has its part of the burst a window and listTTL after its entry was
// written although another listed VM is gone, and none while its list is too old.
func TestShareWithoutPeers(t *testing.T) {
	f := newTestFleet(0, 40)
	f.start("gone")
	f.converge()
	delete(f.running, "gone")
	p := f.start("vm0")
	f.converge()
	if s := p.budgets.Share(); s.VMs != 0 || s.Wait.Reason != waitsForPeers || !s.Wait.Until.Equal(f.now.Add(testWindow+maxLoanTime+testListTTL)) {
		t.Errorf("before the other VM has stated anything: %+v", s)
	}
	f.now = f.now.Add(testWindow + maxLoanTime + testListTTL)
	f.read(p)
	if s := p.budgets.Share(); s.VMs != 2 || s.Retries != 20 {
		t.Errorf("a window and listTTL later: %+v, want a half", s)
	}
	f.now = f.now.Add(testListTTL + time.Millisecond)
	if s := p.budgets.Share(); s.VMs != 0 || s.Wait.Reason != waitsForNewerList {
		t.Errorf("cut off from the store: %+v", s)
	}
}

// TestRestartedVMWaitsForAWindow checks that a process whose VM's entry exists has no part of the burst
// for a window, and its part after that.
func TestRestartedVMWaitsForAWindow(t *testing.T) {
	f := newTestFleet(0, 40)
	f.start("vm0")
	f.start("vm1")
	f.converge()
	started := f.now
	p := f.start("vm0")
	f.converge()
	if s := p.budgets.Share(); s.VMs != 0 || s.Wait.Reason != waitsForPredecessor || !s.Wait.Until.Equal(started.Add(testWindow+maxLoanTime)) {
		t.Errorf("just after the restart: %+v", s)
	}
	f.now = started.Add(testWindow + maxLoanTime)
	f.converge()
	if s := p.budgets.Share(); s.VMs != 2 || s.Retries != 20 {
		t.Errorf("a window later: %+v, want a half", s)
	}
}

// TestSharesGrowAfterDepartures checks that VMs whose entries were removed count for a window and listTTL, and that the
// others have their parts of the burst after that.
func TestSharesGrowAfterDepartures(t *testing.T) {
	f := newTestFleet(0.2, 40)
	for i := range 8 {
		f.start(ids.VM(fmt.Sprint("vm", i)))
	}
	f.converge()
	for i := range 4 {
		vm := ids.VM(fmt.Sprint("vm", i))
		delete(f.running, vm)
		delete(f.entries, vm)
		f.rev++
	}
	for _, want := range []float64{5, 10} {
		f.converge()
		for vm, p := range f.running {
			if remaining := p.budgets.Of("svc").Remaining(); remaining != want {
				t.Errorf("%s may retry %v times, want %v", vm, remaining, want)
			}
		}
		f.now = f.now.Add(testWindow + maxLoanTime + testListTTL + time.Millisecond)
	}
}
