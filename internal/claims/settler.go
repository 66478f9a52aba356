package claims

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/ring"
	"github.com/threadwall/threadwall/internal/timing"
)

// settlement is the final state of a claim that is still to be written.
type settlement struct {
	key       string
	record    Record
	version   objectapi.Revision // of the stored claim; unknown if abandoned
	state     State
	response  *Response
	abandoned bool // the claim may or may not have been written
}

// Settler writes the final states of claims and retries during an outage of the
// store. If the VM crashes, its pending settlements are lost: their claims stay in
// StateClaimed, and duplicates of the calls get the outcome "unknown". A Settler is safe
// for concurrent use.
type Settler struct {
	store   objectapi.Store
	ring    *ring.Ring[settlement]
	writing atomic.Int64 // settlements taken off the ring and not yet written or put back
}

// settlerQueue is the number of settlements that may wait for the store.
const settlerQueue = 4096

// Bounds of the jittered exponential backoff between writes.
const (
	settleBackoffMin = 50 * time.Millisecond
	settleBackoffMax = 5 * time.Second
)

// NewSettler returns a settler. Failed and abandoned settlements are written only while
// Run runs; the caller must call it once.
func NewSettler(store objectapi.Store) *Settler {
	return &Settler{store: store, ring: ring.New[settlement](settlerQueue)}
}

// Pending returns the number of claims to be settled, including the one that is
// being written, which a graceful shutdown must not interrupt.
func (s *Settler) Pending() int { return s.ring.Len() + int(s.writing.Load()) }

// Dropped returns the number of settlements lost because the queue was full. Their claims
// stay as they are stored.
func (s *Settler) Dropped() uint64 { return s.ring.Dropped() }

func (s *Settler) put(x settlement) { s.ring.TryPut(x) }

// Run writes settlements until ctx ends.
func (s *Settler) Run(ctx context.Context) {
	backoff := settleBackoffMin
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-s.ring.Out():
			s.writing.Add(1)
			err := s.settle(ctx, x)
			if err != nil {
				s.put(x)
			}
			s.writing.Add(-1)
			if err == nil {
				backoff = settleBackoffMin
				continue
			}
			if !timing.Sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(backoff*2, settleBackoffMax)
		}
	}
}

// settle writes x once. A nil error means that the state is stored or no longer
// matters.
func (s *Settler) settle(ctx context.Context, x settlement) error {
	if x.abandoned {
		return s.abandon(ctx, x)
	}
	end := x.record
	end.State, end.Response = x.state, x.response
	if end.State == StateRan && end.Response == nil {
		end.Response = &Response{}
	}
	mine := func(stored []byte) bool {
		var r Record
		return json.Unmarshal(stored, &r) == nil && r.Attempt == end.Attempt && r.State == end.State
	}
	_, err := objectapi.ResolveUpdate(ctx, s.store, x.key, end.encode(), x.version, mine)
	if errors.Is(err, objectapi.ErrConflict) {
		return nil // the claim had expired and was deleted
	}
	return err
}

// abandon releases an attempt that was never dispatched because its claiming write
// was ambiguous. The write may be stored, lost or still in transit. If it is not
// stored, abandon creates a released record in its place: a create in transit then
// fails because the key exists, and an update in transit fails because the version
// differs.
func (s *Settler) abandon(ctx context.Context, x settlement) error {
	released := x.record
	released.State = StateReleased
	obj, err := s.store.Get(ctx, x.key)
	if errors.Is(err, objectapi.ErrNotFound) {
		_, err = objectapi.ResolveCreate(ctx, s.store, x.key, released.encode(), func(b []byte) bool {
			var r Record
			return json.Unmarshal(b, &r) == nil && r.Attempt == released.Attempt && r.State == StateReleased
		})
		if errors.Is(err, objectapi.ErrExists) {
			return errors.New("claim was created concurrently, retry")
		}
		return err
	}
	if err != nil {
		return err
	}
	var current Record
	if json.Unmarshal(obj.Value, &current) != nil || current.State != StateClaimed && current.State != StateReleased {
		return nil
	}
	if current.Attempt != released.Attempt {
		// Another attempt holds the key, or the record of the previous attempt is
		// still stored. Rewriting that one changes its version, so that a late
		// update fails.
		if current.State != StateReleased {
			return nil
		}
		released = current
	} else if current.State == StateReleased {
		return nil
	}
	_, err = s.store.Update(ctx, x.key, released.encode(), obj.Version)
	return err
}
