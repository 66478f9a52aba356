package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// A claim may be deleted only if no VM can accept a duplicate of its call any more.
// Only a key that contains its own time allows that: every VM refuses a UUIDv7 older
// than the template's retention as expired before it looks up the claim. Claims of
// other keys are kept for good.
const (
	// expirySlack is the time that a claim is kept beyond the retention. It must
	// exceed the clock skew between VMs plus the longest request.
	expirySlack = time.Hour
	// maxAhead is how far in the future the time of a key may be.
	maxAhead = 5 * time.Minute
)

// KeyTime returns the time in a UUIDv7 key, or the zero time for any other key.
func KeyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// Expired reports whether a key must be refused because its time is older than
// retention or more than maxAhead in the future. A zero keyTime never expires.
func Expired(keyTime, now time.Time, retention time.Duration) bool {
	if keyTime.IsZero() {
		return false
	}
	return now.Sub(keyTime) > retention || keyTime.Sub(now) > maxAhead
}

// Sweep deletes at most limit claims under prefix that no call can refer to any
// more, and returns how many it deleted. It stops at the first error of the store.
// Several VMs may sweep at once: each delete is conditional on the version that was
// read.
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
