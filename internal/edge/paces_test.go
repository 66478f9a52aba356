package edge

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// TestPaceLogIsBounded guards against changes of slow targets that the log lacks or repeats, and against a
// line for each of many targets at once.
func TestPaceLogIsBounded(t *testing.T) {
	var slow []loadview.SlowTarget
	for i := range 2 * maxPaceLines {
		slow = append(slow, loadview.SlowTarget{Target: ids.Target(fmt.Sprint("e", i)), Pace: 3})
	}
	l := loggedPaces{}
	for i, want := range []struct {
		slow            []loadview.SlowTarget
		started, ceased int
	}{
		{slow, maxPaceLines, 0},
		{slow, maxPaceLines, 0},
		{slow, 0, 0},
		{slow[:1], 0, maxPaceLines},
		{slow[:1], 0, maxPaceLines - 1},
		{slow[:1], 0, 0},
	} {
		started, ceased := l.update(want.slow)
		if len(started) != want.started || len(ceased) != want.ceased {
			t.Errorf("call %d: got %d targets that have become slow and %d that have recovered, want %d and %d", i, len(started), len(ceased), want.started, want.ceased)
		}
	}
}
