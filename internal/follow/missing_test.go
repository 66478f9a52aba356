package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
)

// These tests guard against VMs that go on waiting for a replica's entry after it was removed, and against
// VMs that give up a live replica whose entry expired in an outage of the store
// (docs/incidents/requests-after-entry-removed.md).

const (
	// testGrace is how long after the store's return a live replica may take to register again.
	testGrace = 2 * time.Second
	// dropDelay is how much later than it may a VM drops a replica.
	dropDelay = 20 * time.Millisecond
)

// outageStore is a store with one key space that can be made unavailable.
type outageStore struct {
	objectapi.Store

	mu      sync.Mutex
	objects map[string]objectapi.Object
	events  []objectapi.Object
	rev     objectapi.Revision
	lost    bool
	changed chan struct{} // closed with each change
}

func newOutageStore(ids ...string) *outageStore {
	s := &outageStore{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
	for _, id := range ids {
		s.put(id)
	}
	return s
}

func (s *outageStore) List(context.Context, string) ([]objectapi.Object, objectapi.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil, 0, objectapi.ErrUnavailable
	}
	var out []objectapi.Object
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, s.rev, nil
}

func (s *outageStore) Watch(ctx context.Context, _ string, after objectapi.Revision) ([]objectapi.Object, objectapi.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	for {
		s.mu.Lock()
		changed, lost, rev := s.changed, s.lost, s.rev
		var events []objectapi.Object
		for _, e := range s.events {
			if e.Version > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case lost:
			return nil, 0, objectapi.ErrUnavailable
		case len(events) > 0 || ctx.Err() != nil:
			return events, rev, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// change runs f under the lock and wakes up all watches.
func (s *outageStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the entry of a replica; the replica may be one that was listed before.
func (s *outageStore) put(id string) {
	s.change(func() {
		s.rev++
		o := atRevision(entryOf(engineOf(id, 100, platform.StateLive)), s.rev)
		s.objects[o.Key] = o
		s.events = append(s.events, o)
	})
}

// remove removes an entry, by itself or because it has expired.
func (s *outageStore) remove(id string) {
	s.change(func() {
		s.rev++
		delete(s.objects, "servers/"+id)
		s.events = append(s.events, objectapi.Object{Key: "servers/" + id, Version: s.rev, Deleted: true})
	})
}

func (s *outageStore) setLost(lost bool) { s.change(func() { s.lost = lost }) }

// runMissing follows a store with the replicas e1 and e2 in virtual time and runs a test's steps.
func runMissing(t *testing.T, steps func(s *outageStore, r *Replicas)) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newReplicas(t)
		r.ReturnGrace, r.Heartbeat = testGrace, time.Second
		store := newOutageStore("e1", "e2")
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { (&Follower{Store: store, Prefix: "servers/", Handler: r, Health: &StoreHealth{}}).Run(ctx) })
		all.Go(func() { r.Run(ctx) })
		time.Sleep(time.Minute)
		synctest.Wait()
		steps(store, r)
		cancel()
		all.Wait()
	})
}

// outage makes the store unavailable and returns when r has heard it again.
func outage(s *outageStore, r *Replicas, length time.Duration, meanwhile func()) {
	s.setLost(true)
	time.Sleep(length)
	if meanwhile != nil {
		meanwhile()
	}
	s.setLost(false)
	regained := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return time.Since(r.lapse.returned) < length
	}
	for !regained() {
		time.Sleep(time.Millisecond)
	}
}

// checkUsed checks whether a replica is used.
func checkUsed(t *testing.T, r *Replicas, id string, want bool, when string) {
	t.Helper()
	synctest.Wait()
	if got := r.find(id) != nil; got != want {
		t.Errorf("%s: the replica is used: %v, want %v", when, got, want)
	}
}

// TestRemovalAfterOutageIsNotALapse removes an entry while the store can be heard, some time after an
// outage: what is left of the time in which expired entries return is all that the replica gets.
func TestRemovalAfterOutageIsNotALapse(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 1900 * time.Millisecond} {
		runMissing(t, func(s *outageStore, r *Replicas) {
			outage(s, r, 4*time.Second, nil)
			time.Sleep(after)
			s.remove("e1")
			time.Sleep(testGrace - after + dropDelay)
			checkUsed(t, r, "e1", false, "the grace after the outage is over")
		})
	}
}

// TestRemovalDuringSecondOutage removes an entry while the store can be heard. An outage that follows does
// not prolong the wait: this VM has seen the removal.
func TestRemovalDuringSecondOutage(t *testing.T) {
	runMissing(t, func(s *outageStore, r *Replicas) {
		outage(s, r, 4*time.Second, nil)
		time.Sleep(500 * time.Millisecond)
		s.remove("e1")
		time.Sleep(500 * time.Millisecond)
		s.setLost(true)
		time.Sleep(testGrace - time.Second + dropDelay)
		checkUsed(t, r, "e1", false, "the grace after the first outage is over")
		s.setLost(false)
	})
}

// TestRemovalOfEntryWrittenAfterOutage removes an entry that its replica has written after the outage, so
// that it can't have expired in it.
func TestRemovalOfEntryWrittenAfterOutage(t *testing.T) {
	runMissing(t, func(s *outageStore, r *Replicas) {
		outage(s, r, 4*time.Second, nil)
		time.Sleep(500 * time.Millisecond)
		s.put("e1")
		time.Sleep(100 * time.Millisecond)
		s.remove("e1")
		time.Sleep(dropDelay)
		checkUsed(t, r, "e1", false, "its entry was removed")
	})
}

// TestExpiredEntriesReturn has entries expire in an outage, or just after it, whose replicas live and
// register again in time. They are used all the time.
func TestExpiredEntriesReturn(t *testing.T) {
	runMissing(t, func(s *outageStore, r *Replicas) {
		outage(s, r, 4*time.Second, func() { s.remove("e1") })
		time.Sleep(300 * time.Millisecond)
		s.remove("e2")
		for i := 0; i < 15 && !t.Failed(); i++ {
			time.Sleep(100 * time.Millisecond)
			checkUsed(t, r, "e1", true, "its entry expired in the outage")
			checkUsed(t, r, "e2", true, "its entry expired just after the outage")
		}
		s.put("e1")
		s.put("e2")
		time.Sleep(2 * testGrace)
		checkUsed(t, r, "e1", true, "it has registered again")
		checkUsed(t, r, "e2", true, "it has registered again")
	})
}

// TestExpiredEntryReturnsAfterSecondOutage begins a second outage before a live replica whose entry had
// expired in the first could register again. It is used all the time.
func TestExpiredEntryReturnsAfterSecondOutage(t *testing.T) {
	runMissing(t, func(s *outageStore, r *Replicas) {
		outage(s, r, 4*time.Second, func() { s.remove("e1") })
		time.Sleep(500 * time.Millisecond)
		s.setLost(true)
		for i := 0; i < 50 && !t.Failed(); i++ {
			time.Sleep(100 * time.Millisecond)
			checkUsed(t, r, "e1", true, "the store is away again")
		}
		outage(s, r, time.Second, nil)
		time.Sleep(time.Second)
		checkUsed(t, r, "e1", true, "the store is back")
		s.put("e1")
		time.Sleep(2 * testGrace)
		checkUsed(t, r, "e1", true, "it has registered again")
	})
}

// TestExpiredEntryOfDeadReplica checks that a replica whose entry does not return is dropped when the
// grace after the outage is over, not later.
func TestExpiredEntryOfDeadReplica(t *testing.T) {
	runMissing(t, func(s *outageStore, r *Replicas) {
		outage(s, r, 4*time.Second, func() { s.remove("e1") })
		time.Sleep(testGrace - dropDelay)
		checkUsed(t, r, "e1", true, "the grace is not over")
		time.Sleep(2 * dropDelay)
		checkUsed(t, r, "e1", false, "the grace is over")
	})
}

// TestReturnHeardFromPeerFirst has a VM hear of the store's return from a peer before the store answers it itself: its own first
// answer is no further return, so that the wait for a missing entry does not begin anew (soak --shortage, seed 9826).
func TestReturnHeardFromPeerFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newReplicas(t)
		r.ReturnGrace, r.Heartbeat = testGrace, time.Second
		time.Sleep(time.Hour)
		both := []objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLive)), entryOf(engineOf("e2", 100, platform.StateLive))}
		r.Listed(both, At{Revision: 10, Answered: time.Now()}, false)
		r.Unavailable()
		time.Sleep(time.Second)
		returned := time.Now().Add(-1700 * time.Millisecond)
		r.Listed(both[1:], At{Revision: 20, Answered: time.Now().Add(-300 * time.Millisecond), Regained: returned, Relayed: true}, true)
		checkUsed(t, r, "e1", true, "its entry may have expired in the outage")
		time.Sleep(20 * time.Millisecond)
		r.Listed(both[1:], At{Revision: 21, Answered: time.Now(), Regained: time.Now()}, true)
		time.Sleep(testGrace - 1700*time.Millisecond)
		r.Sweep()
		checkUsed(t, r, "e1", false, "the grace after the return is over")
	})
}

// TestEntryMissingInCopyReturns has the store come back from an older copy that lacks the entry of a live replica, without a call that
// failed. The replica is used all the time.
func TestEntryMissingInCopyReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newReplicas(t)
		r.ReturnGrace, r.Heartbeat = testGrace, time.Second
		time.Sleep(time.Hour)
		era := objectapi.StartOf(1)
		both := []objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLive)), entryOf(engineOf("e2", 100, platform.StateLive))}
		r.Listed(both, At{Revision: 10, Answered: time.Now()}, false)
		time.Sleep(time.Second)
		r.Listed(both[1:], At{Revision: era + 5, Answered: time.Now(), Regained: time.Now()}, true)
		time.Sleep(testGrace - time.Second)
		r.Sweep()
		checkUsed(t, r, "e1", true, "the copy lacks its entry")
		r.Changed([]objectapi.Object{atRevision(both[0], era+7)}, At{Revision: era + 7, Answered: time.Now()})
		time.Sleep(2 * testGrace)
		r.Sweep()
		checkUsed(t, r, "e1", true, "it has registered again")
	})
}
