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

// settlement is one claim's end that is still to be written.
type settlement struct {
	key       string
	record    Record
	version   objectapi.Revision // of the claim; unknown if abandoned
	state     State
	answer    *Response
	abandoned bool // the claim may or may not have been written
}

// Settler writes the ends of claims, again and again through an outage of the
// store. What it holds when the VM dies is lost; the claims then stay claimed,
// and their duplicates are answered "unknown".
type Settler struct {
	store  objectapi.Store
	ring   *ring.Ring[settlement]
	inHand atomic.Int64 // taken off the ring, and not yet written or put back
}

// settlerQueue is how many settlements may wait for the store.
const settlerQueue = 4096

// Backoff between tries, jittered.
const (
	settleBackoffMin = 50 * time.Millisecond
	settleBackoffMax = 5 * time.Second
)

// NewSettler returns a settler; Run must be called once.
func NewSettler(store objectapi.Store) *Settler {
	return &Settler{store: store, ring: ring.New[settlement](settlerQueue)}
}

// Pending returns how many claims wait to be settled, the one that is being
// written included: a shutdown that waits for none must not cut it off.
func (s *Settler) Pending() int { return s.ring.Len() + int(s.inHand.Load()) }

// Dropped returns how many settlements overflow has cost.
func (s *Settler) Dropped() uint64 { return s.ring.Dropped() }

func (s *Settler) put(x settlement) { s.ring.TryPut(x) }

// Run settles until ctx ends.
func (s *Settler) Run(ctx context.Context) {
	backoff := settleBackoffMin
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-s.ring.Out():
			s.inHand.Add(1)
			err := s.settle(ctx, x)
			if err != nil {
				s.put(x)
			}
			s.inHand.Add(-1)
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

// settle makes one try. A nil error means that the end is written, or that it
// can't matter any more.
func (s *Settler) settle(ctx context.Context, x settlement) error {
	if x.abandoned {
		return s.abandon(ctx, x)
	}
	end := x.record
	end.State, end.Response = x.state, x.answer
	if end.State == StateRan && end.Response == nil {
		end.Response = &Response{}
	}
	mine := func(stored []byte) bool {
		var r Record
		return json.Unmarshal(stored, &r) == nil && r.Attempt == end.Attempt && r.State == end.State
	}
	_, err := objectapi.ResolveUpdate(ctx, s.store, x.key, end.encode(), x.version, mine)
	if errors.Is(err, objectapi.ErrConflict) {
		return nil // somebody deleted the claim: it had expired
	}
	return err
}

// abandon releases an attempt whose claiming write was ambiguous and which was
// never dispatched. The write may be stored, lost or still under way. If it is
// not stored, a released record is created in its place: a create still under
// way then finds the key taken and fails, and an update still under way finds
// another version.
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
			return errors.New("claim appeared, look again")
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
		// Another attempt holds the key, or the one before ours is still on
		// record. A version moved by our rewrite makes a late update fail.
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
