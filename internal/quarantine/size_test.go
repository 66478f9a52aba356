package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// TestSize fills a ledger to its limits and compares its memory with the figure in
// docs/CAPACITY.md.
func TestSize(t *testing.T) {
	const mostBytes = 600 << 10
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newClock()
	l := c.ledger()
	for i := range maxCases {
		f := named(fmt.Sprint(i))
		for j := range maxCrashes {
			at := c.now.Add(time.Duration(j) * time.Second)
			e := l.entry(f)
			e.add(Crash{Replica: Replica(i*maxCrashes + j), Sent: at, Ended: at})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	took := int(after.HeapAlloc) - int(before.HeapAlloc)
	t.Logf("%d cases of %d crashes take %d KB", maxCases, maxCrashes, took>>10)
	if took > mostBytes {
		t.Errorf("a full ledger takes %d bytes, allowed are %d", took, mostBytes)
	}
	runtime.KeepAlive(l)
}
