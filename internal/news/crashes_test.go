package news

import (
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/quarantine"
)

// TestCrashesAreTold has a VM hear of requests under which replicas crashed: they pass the
// wire unchanged, and a message that brings nothing else is taken in.
func TestCrashesAreTold(t *testing.T) {
	teller := quarantine.NewLedger(nil, nil)
	request := (&quarantine.Request{Body: []byte("fatal")}).Fingerprint()
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		teller.Crashed(quarantine.Finding{Request: request, Crash: quarantine.Crash{Replica: quarantine.Replica(i), Sent: at, Ended: at}})
	}
	m := Message{VM: "vm1", Crashes: teller.DueReports(1)}
	data, err := Encode(&m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data, resolveIn())
	if err != nil || len(got.Crashes) != 1 || !slices.Equal(got.Crashes[0].Crashes, m.Crashes[0].Crashes) || got.Crashes[0].Request != request {
		t.Fatalf("told %+v, decoded %+v, %v", m.Crashes, got.Crashes, err)
	}
	if len(data) > 150 {
		t.Errorf("one case with three crashes takes %d bytes", len(data))
	}
	x := newExchange()
	x.Crashes = quarantine.NewLedger(nil, nil)
	x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}})
	x.takeMessage(t, m)
	if _, yes := x.Crashes.Quarantined(request); !yes {
		t.Error("a VM that was told does not keep the request from replicas")
	}
}

// TestToldAgainToOneThatStarts has a peer start again: it is told at once what is quarantined,
// though its turn to be told again has not come.
func TestToldAgainToOneThatStarts(t *testing.T) {
	x := newExchange()
	x.Crashes = quarantine.NewLedger(nil, nil)
	x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}})
	request := (&quarantine.Request{Body: []byte("fatal")}).Fingerprint()
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		x.Crashes.Crashed(quarantine.Finding{Request: request, Crash: quarantine.Crash{Replica: quarantine.Replica(i), Sent: at, Ended: at}})
	}
	x.takeMessage(t, Message{VM: "vm1", Incarnation: 1})
	for x.Crashes.Pending() {
		x.Crashes.DueReports(100) // the rounds in which it is told
	}
	if n := len(x.Crashes.DueReports(100)); n != 0 {
		t.Fatalf("%d cases are told again before their turn", n)
	}
	x.takeMessage(t, Message{VM: "vm1", Incarnation: 1})
	if n := len(x.Crashes.DueReports(100)); n != 0 {
		t.Errorf("%d cases are told again to one that has not started", n)
	}
	x.takeMessage(t, Message{VM: "vm1", Incarnation: 2})
	if n := len(x.Crashes.DueReports(100)); n != 1 {
		t.Errorf("%d cases are told to one that has started, want 1", n)
	}
}
