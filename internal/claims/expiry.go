package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// A claim may be deleted only when no duplicate of its call can be accepted any
// more. Only a key that carries its own time allows that: a UUIDv7 older than
// the template's retention is refused as expired, on every VM, before its claim
// is looked up. Claims of other keys are kept for good.
const (
	// expirySlack is how much longer than the retention a claim is kept. It must
	// exceed the clock error between VMs plus the longest request.
	expirySlack = time.Hour
	// maxAhead is how far in the future a key's time may lie.
	maxAhead = 5 * time.Minute
)

// KeyTime returns the time in a UUIDv7 key, or zero for any other key.
func KeyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// Expired tells whether a key's time makes it unacceptable.
func Expired(keyTime, now time.Time, retention time.Duration) bool {
	if keyTime.IsZero() {
		return false
	}
	return now.Sub(keyTime) > retention || keyTime.Sub(now) > maxAhead
}

// Sweep deletes claims under prefix that no call can refer to any more, at most
// limit of them, and returns how many. Several VMs may sweep at once: each
// delete is conditional on the version that was judged.
func Sweep(ctx context.Context, s objectapi.Store, prefix string, now time.Time, retention time.Duration, limit int) (int, error) {
	objects, _, err := s.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range objects {
		var r Record
		if deleted == limit || json.Unmarshal(o.Value, &r) != nil {
			continue
		}
		if r.KeyTime.IsZero() || now.Sub(r.KeyTime) <= retention+expirySlack {
			continue
		}
		if err := s.Delete(ctx, o.Key, o.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
