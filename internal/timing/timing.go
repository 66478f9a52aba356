// Package timing provides waits that end with a context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
