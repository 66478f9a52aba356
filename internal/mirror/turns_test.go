package mirror

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestStaggeredFallbackToStore makes the store unavailable to all VMs: they must not all call it
// at once, and must read from the first VM again when the store has recovered.
func TestStaggeredFallbackToStore(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMs(t, &store, 12)
	for _, v := range vms[1:] {
		await(t, string(v.name)+" reads from a", awaitTimeout, func() bool { return v.reader.Source() == "a" })
	}
	for _, v := range vms {
		v.storeLost.Store(true)
	}
	time.Sleep(maxContactAge + readWait + readTimeout + 2*rankStep)
	direct := 0
	for _, v := range vms {
		if v.reader.Source() == storeSource {
			direct++
		}
	}
	if direct > 6 {
		t.Errorf("%d of %d VMs read the store %v after they stopped reading from the first VM, want at most 6", direct, len(vms), 2*rankStep)
	}
	for _, v := range vms {
		v.storeLost.Store(false)
	}
	rev := store.Add(1)
	for _, v := range vms {
		await(t, "a change at "+string(v.name), awaitTimeout, func() bool { return uint64(v.revision()) >= rev })
	}
	await(t, "all read from a", awaitTimeout, func() bool {
		for _, v := range vms[1:] {
			if v.reader.Source() != "a" {
				return false
			}
		}
		return true
	})
}

// TestStoreDelayOfLastDomain checks that the first VM of the last of six failure domains may read
// the store within 1 s, and that unresponsive VMs add no delay.
func TestStoreDelayOfLastDomain(t *testing.T) {
	var before []Peer
	for _, vm := range []ids.VM{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2", "e1", "e2"} {
		before = append(before, Peer{VM: vm, CrossDomain: true})
	}
	r := &Reader{UpstreamPeers: func() []Peer { return before }}
	now := time.Now()
	if got := r.storeDelay(now); got > time.Second {
		t.Errorf("may read the store after %v, want at most 1 s", got)
	}
	before = append([]Peer{{VM: "f1"}}, before...)
	second := r.storeDelay(now)
	r.avoid.failed("f1", now)
	if first := r.storeDelay(now); second-first != rankStep {
		t.Errorf("may read the store after %v if the preferred VM is unresponsive, and after %v otherwise; want rankStep less", first, second)
	}
}

// TestMaxBlindTime adds up how long a VM may miss changes after the VM that reads the store for the
// others has lost contact with it: in the failure domain of that VM, and in the last of six domains.
func TestMaxBlindTime(t *testing.T) {
	const limit, crossDomainReaders = 2500 * time.Millisecond, 10
	own := maxContactAge + readWait + seekInterval + rankStep + avoidStale
	last := crossDomainMaxAge + readWait + seekInterval + crossDomainReaders*crossDomainStep + avoidStale
	if own > limit || last > limit {
		t.Errorf("%v in the reader's domain, %v in the last domain, want at most 2.5 s", own, last)
	}
}
