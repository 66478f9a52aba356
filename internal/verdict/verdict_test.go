package verdict

import (
	"testing"
	"time"
)

// TestLate checks which calls are refused at a given queue, and when they should be retried.
func TestLate(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, c := range []struct {
		name    string
		a       Arrival
		queue   time.Duration
		refused bool
	}{
		{"idle", Arrival{Objective: objective, Usual: 3000}, 0, false},
		{"on time", Arrival{Objective: objective, Usual: 3000}, 400 * time.Millisecond, false},
		{"late", Arrival{Objective: objective, Usual: 3000}, 430 * time.Millisecond, true},
		{"usually long prompts", Arrival{Objective: objective, Usual: 25_000}, 0, true},
		{"urgent", Arrival{Objective: objective, Usual: 3000, Urgent: true}, time.Second, false},
		{"urgent and far too late", Arrival{Objective: objective, Usual: 3000, Urgent: true}, 2 * time.Second, true},
		{"no objective", Arrival{Usual: 3000}, time.Minute, false},
	} {
		r, refused := Late(c.a, Best{Queue: c.queue, Rate: 50_000})
		if refused != c.refused {
			t.Errorf("%s: refused %v, want the opposite; predicted %v", c.name, refused, r.Predicted)
		}
		if refused && (r.RetryAfter < retryAfterMin || r.Predicted < c.queue) {
			t.Errorf("%s: got %+v, want a delay of at least retryAfterMin and a prediction of at least the queue", c.name, r)
		}
	}
	early, _ := Late(Arrival{Objective: objective, Jitter: 0}, Best{Queue: time.Second})
	late, _ := Late(Arrival{Objective: objective, Jitter: 0.999}, Best{Queue: time.Second})
	if late.RetryAfter-early.RetryAfter < retryAfterSpread*9/10 {
		t.Errorf("retry delays are not spread: %v and %v", early.RetryAfter, late.RetryAfter)
	}
}

// TestPlanTransfer plans transfers for prompts like those of the workload: long ones with 6,300
// shared tokens of 9,190, and short ones with 198 of 826.
func TestPlanTransfer(t *testing.T) {
	long, short := Prompt{Tokens: 9190, Shared: 6300}, Prompt{Tokens: 826, Shared: 198}
	store := func(tokens int32) Source { return Source{Addr: "store", Tokens: tokens} }
	for _, c := range []struct {
		name string
		p    Prompt
		at   Locations
		want TransferPlan
	}{
		{"held elsewhere", long, Locations{Holder: Source{"b", 6300}}, TransferPlan{Fetch: "b", Work: 2890}},
		{"partly held here, all elsewhere", long, Locations{Held: 2520, Holder: Source{"b", 6300}, Store: store(6300)}, TransferPlan{Fetch: "b", Work: 2890}},
		{"nowhere", long, Locations{Rendezvous: "h", Store: store(0)}, TransferPlan{Fetch: "h", Save: true, Work: 9190}},
		{"nowhere, this is the rendezvous target", long, Locations{Store: store(0)}, TransferPlan{Fetch: "store", Save: true, Work: 9190}},
		{"in the store", long, Locations{Rendezvous: "h", Store: store(6300)}, TransferPlan{Fetch: "store", Work: 2890}},
		{"partly in the store", long, Locations{Rendezvous: "h", Store: store(2520)}, TransferPlan{Fetch: "store", Save: true, Work: 6670}},
		{"partly elsewhere, all in the store", long, Locations{Holder: Source{"b", 2520}, Store: store(6300)}, TransferPlan{Fetch: "store", Work: 2890}},
		{"partly elsewhere, little more in the store", long, Locations{Holder: Source{"b", 2520}, Store: store(3000)}, TransferPlan{Fetch: "b", Save: true, Work: 6670}},
		{"partly here, all in the store", long, Locations{Held: 2520, Store: store(6300)}, TransferPlan{Fetch: "store", Work: 2890}},
		{"held here", long, Locations{Held: 6300, Store: store(6300)}, TransferPlan{Fetch: "store", Work: 2890}},
		{"held here, not in the store", long, Locations{Held: 6300, Store: store(0)}, TransferPlan{Fetch: "store", Work: 2890}},
		{"unshared suffix too long to save", Prompt{Tokens: 20_000, Shared: 6300}, Locations{Held: 6300, Store: store(0)}, TransferPlan{Fetch: "store", Work: 13_700}},
		{"the store lacks little", long, Locations{Held: 6300, Store: store(6000)}, TransferPlan{Fetch: "store", Work: 2890}},
		{"no store", long, Locations{Rendezvous: "h"}, TransferPlan{Work: 9190}},
		{"short, held elsewhere", short, Locations{Holder: Source{"b", 198}, Rendezvous: "h", Store: store(198)}, TransferPlan{Work: 826}},
		{"short, held here", short, Locations{Held: 198, Store: store(0)}, TransferPlan{Work: 628}},
	} {
		if got := PlanTransfer(c.p, c.at); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestLongest checks the longest waits at which calls of workspaces are admitted.
func TestLongest(t *testing.T) {
	w := Waits{Soft: 1500 * time.Millisecond, Hard: 6 * time.Second, Step: 1.25}
	for _, c := range []struct {
		priority int
		over     float64
		want     time.Duration
	}{
		{0, 0.5, 6 * time.Second},
		{0, 1, 6 * time.Second},
		{0, 1.5, 3750 * time.Millisecond},
		{0, 3, 1500 * time.Millisecond},
		{1, 1, 7500 * time.Millisecond},
		{-1, 1, 4800 * time.Millisecond},
	} {
		if got := w.Longest(c.priority, c.over); got != c.want {
			t.Errorf("priority %d, %v times its share: %v, want %v", c.priority, c.over, got, c.want)
		}
	}
}
