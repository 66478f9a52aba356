package news

import (
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/quarantine"
)

// TestCrashesOnTheWire checks that reports of requests that were in progress when replicas crashed
// are the same after encoding and decoding, and that a VM handles a message that contains nothing
// else.
func TestCrashesOnTheWire(t *testing.T) {
	sender := quarantine.NewLedger(nil, nil)
	request := (&quarantine.Request{Body: [][]byte{[]byte("fatal")}}).Fingerprint()
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		sender.Crashed(quarantine.Finding{Request: request, Crash: quarantine.Crash{Replica: quarantine.Replica(i), Sent: at, Ended: at}})
	}
	m := Message{VM: "vm1", Crashes: sender.DueReports(1)}
	data, err := Encode(&m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data, resolveIn())
	if err != nil || len(got.Crashes) != 1 || !slices.Equal(got.Crashes[0].Crashes, m.Crashes[0].Crashes) || got.Crashes[0].Request != request {
		t.Fatalf("sent %+v, decoded %+v, %v", m.Crashes, got.Crashes, err)
	}
	if len(data) > 150 {
		t.Errorf("one request with three crashes takes %d bytes, want at most 150", len(data))
	}
	x := newExchange()
	x.Crashes = quarantine.NewLedger(nil, nil)
	x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}})
	x.handleMessage(t, m)
	if _, yes := x.Crashes.Quarantined(request); !yes {
		t.Error("a VM that received the report does not quarantine the request")
	}
}

// TestCrashesResentToRestartedPeer checks that a peer that has restarted gets all quarantined
// requests at once, before they are due to be sent again.
func TestCrashesResentToRestartedPeer(t *testing.T) {
	x := newExchange()
	x.Crashes = quarantine.NewLedger(nil, nil)
	x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}})
	request := (&quarantine.Request{Body: [][]byte{[]byte("fatal")}}).Fingerprint()
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		x.Crashes.Crashed(quarantine.Finding{Request: request, Crash: quarantine.Crash{Replica: quarantine.Replica(i), Sent: at, Ended: at}})
	}
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1})
	for x.Crashes.Pending() {
		x.Crashes.DueReports(100) // the rounds in which the report is sent
	}
	if n := len(x.Crashes.DueReports(100)); n != 0 {
		t.Fatalf("%d reports are sent again before they are due, want 0", n)
	}
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1})
	if n := len(x.Crashes.DueReports(100)); n != 0 {
		t.Errorf("%d reports are sent again to a peer that has not restarted, want 0", n)
	}
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 2})
	if n := len(x.Crashes.DueReports(100)); n != 1 {
		t.Errorf("%d reports are sent to a peer that has restarted, want 1", n)
	}
}
