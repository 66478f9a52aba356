package mirror

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestTurnsWithoutTheStore takes the store from all VMs: they do not all turn to it at once,
// and read from the first one again when it is back.
func TestTurnsWithoutTheStore(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMs(t, &store, 12)
	for _, v := range vms[1:] {
		await(t, string(v.name)+" reads from a", soon, func() bool { return v.reader.Source() == "a" })
	}
	for _, v := range vms {
		v.cut.Store(true)
	}
	time.Sleep(freshAge + questionWait + questionTimeout + 2*turnStep)
	direct := 0
	for _, v := range vms {
		if v.reader.Source() == storeSource {
			direct++
		}
	}
	if direct > 6 {
		t.Errorf("%d of %d VMs ask the store %v after it was lost", direct, len(vms), 2*turnStep)
	}
	for _, v := range vms {
		v.cut.Store(false)
	}
	rev := store.Add(1)
	for _, v := range vms {
		await(t, "a change at "+string(v.name), soon, func() bool { return uint64(v.revision()) >= rev })
	}
	await(t, "all read from a", soon, func() bool {
		for _, v := range vms[1:] {
			if v.reader.Source() != "a" {
				return false
			}
		}
		return true
	})
}

// TestTurnOfTheLastDomain gives the first VM of the last of six failure domains its turn
// within a second, and takes the VMs that are gone out of the order.
func TestTurnOfTheLastDomain(t *testing.T) {
	var before []Peer
	for _, vm := range []ids.VM{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2", "e1", "e2"} {
		before = append(before, Peer{VM: vm, CrossDomain: true})
	}
	r := &Reader{UpstreamPeers: func() []Peer { return before }}
	now := time.Now()
	if got := r.turn(now); got > time.Second {
		t.Errorf("its turn comes after %v", got)
	}
	before = append([]Peer{{VM: "f1"}}, before...)
	second := r.turn(now)
	r.avoid.failed("f1", now)
	if first := r.turn(now); second-first != turnStep {
		t.Errorf("its turn comes after %v when the one before it is gone, and after %v else", first, second)
	}
}

// TestBlindTime adds up how long a VM may be blind when the reader of the store is cut off
// from it: in the reader's failure domain, and in the last of six domains.
func TestBlindTime(t *testing.T) {
	const most, farReaders = 2500 * time.Millisecond, 10
	own := freshAge + questionWait + seekEvery + turnStep + avoidStale
	last := freshFar + questionWait + seekEvery + farReaders*farStep + avoidStale
	if own > most || last > most {
		t.Errorf("%v in the reader's domain, %v in the last one", own, last)
	}
}
