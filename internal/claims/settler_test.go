package claims

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/threadwall/threadwall/internal/storetest"
)

// TestSettlementInProgressIsPending checks that a settlement counts as pending until
// its write has ended, since a graceful shutdown waits for it.
func TestSettlementInProgressIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New()
		s := NewSettler(store.ForActor(0))
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		s.put(settlement{key: "k", record: Record{Attempt: "a"}, version: 1, state: StateRan})
		synctest.Wait()
		if len(store.Waiting()) != 1 || s.Pending() != 1 {
			t.Errorf("%d writes in progress, %d pending; want 1 and 1", len(store.Waiting()), s.Pending())
		}
		store.Drain() // nothing is stored at that key: the claim is gone, so its state no longer matters
		if s.Pending() != 0 {
			t.Errorf("%d pending after the write, want none", s.Pending())
		}
		cancel()
		synctest.Wait()
	})
}
