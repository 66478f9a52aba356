package claims

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/threadwall/threadwall/internal/storetest"
)

// A settlement that is being written counts as pending until its write has ended:
// a graceful shutdown waits for it.
func TestSettlementInHandIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New()
		s := NewSettler(store.As(0))
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		s.put(settlement{key: "k", record: Record{Attempt: "a"}, version: 1, state: StateRan})
		synctest.Wait()
		if len(store.Waiting()) != 1 || s.Pending() != 1 {
			t.Errorf("%d writes under way, %d pending", len(store.Waiting()), s.Pending())
		}
		store.Drain() // nothing is stored at that key: the claim has gone, and so has its end
		if s.Pending() != 0 {
			t.Errorf("%d pending after the write", s.Pending())
		}
		cancel()
		synctest.Wait()
	})
}
