package forward

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/threadwall/threadwall/internal/catalog"
)

// SaveBudget bounds the bytes that this VM has saved to the store of KV cache. The
// store's link carries fetches, too: saves that fill it make callers wait for
// seconds. Safe for concurrent use.
type SaveBudget struct {
	mu      sync.Mutex
	vms     int
	link    float64
	limiter *rate.Limiter
}

const (
	// saveShare is the part of the store's link that all VMs' saves may take.
	saveShare = 0.3
	// saveBurst is how many seconds of its share a VM may use at once.
	saveBurst = 4
	// leastBurst lets a VM with a small share save a usual prompt, in bytes.
	leastBurst = 256 << 20
)

// SetVMs tells how many VMs share the link.
func (b *SaveBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms, b.limiter = max(n, 1), nil
}

// Allow takes a save of so many bytes out of the budget, or returns false.
func (b *SaveBudget) Allow(store *catalog.KVStore, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if store.LinkBytes <= 0 {
		return true // the store's speed is not known
	}
	if b.limiter == nil || b.link != store.LinkBytes {
		share := store.LinkBytes * saveShare / float64(max(b.vms, 1))
		b.link, b.limiter = store.LinkBytes, rate.NewLimiter(rate.Limit(share), max(int(share*saveBurst), leastBurst))
	}
	return b.limiter.AllowN(time.Now(), int(bytes))
}
