package news

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// missingOrder returns the running VMs that have not received the order that sender issued.
func (f *treeFleet) missingOrder(sender ids.VM) (out []ids.VM) {
	for _, p := range f.all {
		if !f.orderReceived[p.VM] && !f.stopped[p.VM] && p.VM != sender {
			out = append(out, p.VM)
		}
	}
	return out
}

// issueOrder makes a VM issue an order.
func (f *treeFleet) issueOrder(sender ids.VM, o Order) {
	f.trees[sender].enqueue(event{VM: shortenVM(sender), Orders: []Order{o}})
}

// TestOrderReachesPartitionedDomain issues an order while a domain is partitioned for half a second:
// its VMs get the order after that. It guards against a domain that never got an order because the
// two datagrams to its root were lost.
func TestOrderReachesPartitionedDomain(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	f.partitioned["z4"] = true
	sender := f.all[40].VM
	f.issueOrder(sender, Order{Target: "e1"})
	f.run(500 * time.Millisecond)
	if n := len(f.missingOrder(sender)); n != 33 {
		t.Fatalf("%d VMs have not received the order during the partition, want the 33 of the domain", n)
	}
	f.partitioned["z4"] = false
	f.run(time.Second)
	if missing := f.missingOrder(sender); len(missing) > 0 {
		t.Errorf("%v have not received the order 1 s after the partition has healed", missing)
	}
}

// TestOrderSurvivesFailedParent stops the parent of the VM that issues an order at the same time: the
// order goes out through the next parent.
func TestOrderSurvivesFailedParent(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	sender := f.all[40].VM
	f.stopped[f.trees[sender].parent] = true
	f.issueOrder(sender, Order{Target: "e1"})
	f.run(1800 * time.Millisecond)
	if missing := f.missingOrder(sender); len(missing) > 0 {
		t.Errorf("%v have not received the order 1.8 s after the parent of its sender has failed", missing)
	}
}

// TestOrderIsNotRepeatedForever issues an order in a fleet without loss, with one VM that receives
// nothing. After eventTTL the order is no longer sent, and until then only its parent repeats it.
func TestOrderIsNotRepeatedForever(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	f.receivesNothing["vm-3-20"] = true
	sender := f.all[40].VM
	f.issueOrder(sender, Order{Target: "e1"})
	copies := map[ids.VM]int{}
	for end := f.now.Add(eventTTL + time.Second); f.now.Before(end); {
		f.run(treeStep)
		for _, m := range f.inTransit {
			if len(m.d.Events) > 0 {
				copies[m.to.VM]++
			}
			if n := len(m.d.Events); n > 0 && end.Sub(f.now) < 500*time.Millisecond {
				t.Fatalf("%s sends %d events to %s after the time of the order", m.from.VM, n, m.to.VM)
			}
		}
	}
	if missing := f.missingOrder(sender); len(missing) != 1 {
		t.Errorf("%v have not received the order, want only the VM that receives nothing", missing)
	}
	for _, p := range f.all {
		if p.FailureDomain != "z3" && copies[p.VM] > 12 { // a root gets some copies from each other root and child
			t.Errorf("%s gets %d copies of the order, want at most 12", p.VM, copies[p.VM])
		}
	}
}

// TestLaterOrderSupersedes issues the start and the end of an order to one target while nothing
// arrives: only the end is sent afterwards.
func TestLaterOrderSupersedes(t *testing.T) {
	f := newTreeFleet(t, 2, 4, 0)
	f.run(2 * time.Second)
	sender := f.all[3].VM
	f.partitioned["z1"] = true
	f.issueOrder(sender, Order{Target: "e1", Weights: "2"})
	f.issueOrder(sender, Order{Target: "e2", Weights: "2"})
	f.run(300 * time.Millisecond)
	f.issueOrder(sender, Order{Target: "e1", Weights: "2", Done: true})
	f.run(100 * time.Millisecond)
	f.partitioned["z1"] = false
	var got []Order
	for range 100 {
		f.run(treeStep)
		for _, m := range f.inTransit {
			if m.from.FailureDomain == "z0" && m.to.FailureDomain == "z1" {
				for _, e := range m.d.Events {
					got = append(got, e.Orders...)
				}
			}
		}
	}
	targets := map[ids.Target]bool{}
	for _, o := range got {
		targets[o.Target] = true
		if o.Target == "e1" && !o.Done {
			t.Errorf("the start of the order to e1 is sent after its end")
		}
	}
	if !targets["e1"] || !targets["e2"] {
		t.Errorf("got orders to %v, want e1 and e2", targets)
	}
}

// TestWindow adds event numbers out of order, twice and far apart.
func TestWindow(t *testing.T) {
	var w window
	for _, c := range []struct {
		n   uint64
		new bool
	}{{1000, true}, {1000, false}, {999, true}, {1003, true}, {1001, true}, {1001, false}, {999, false}, {1066, true}, {1002, false}, {1004, true}, {1 << 40, true}, {1066, false}} {
		if got := w.add(c.n); got != c.new {
			t.Errorf("adding %d to %+v: got %v, want %v", c.n, w, got, c.new)
		}
	}
}

// TestEventNumbersOnTheWire encodes a digest with a numbered and an unnumbered event and with
// acknowledgements.
func TestEventNumbersOnTheWire(t *testing.T) {
	var d digest
	d.setEvents([]event{{VM: 7, Number: 1796242706001, Orders: []Order{{Target: "e1"}}}, {VM: 8, StoreDown: []string{"a"}}})
	d.Acks = []ack{{VM: 9, Received: window{Last: 5, Mask: 3}}}
	data, err := Encode(&Message{VM: "vm1", Report: &d})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data, resolveIn())
	if err != nil {
		t.Fatal(err)
	}
	if e := m.Report.Events; len(e) != 2 || e[0].Number != 1796242706001 || e[1].Number != 0 {
		t.Errorf("got events %+v, want the first with number 1796242706001 and the second with none", e)
	}
	if a := m.Report.Acks; len(a) != 1 || a[0].VM != 9 || !a[0].Received.has(4) || a[0].Received.has(6) {
		t.Errorf("got acknowledgements %+v, want events 4 and 5 of VM 9", a)
	}
}
