package verdict

import "time"

// The load: one workspace asks for more than its share while the engines are busy. It is
// refused first, and everybody only when the wait is past all use; docs/design/limits.md
// has the measurements.

// Waits are the predicted waits from which calls are refused.
type Waits struct {
	Soft time.Duration // of workspaces at twice their fair share
	Hard time.Duration // of everybody, at priority 0
	Step float64       // lengthens Hard for each step of priority, as a factor
}

// Longest is the longest predicted wait that is taken in. A workspace at or below its fair
// share gets Hard; one above it less and less, down to Soft at twice its share. over is its
// use as a multiple of its share.
func (w Waits) Longest(priority int, over float64) time.Duration {
	hard := float64(w.Hard)
	for range max(priority, -priority) {
		if priority > 0 {
			hard *= w.Step
		} else {
			hard /= w.Step
		}
	}
	soft := min(float64(w.Soft), hard)
	excess := min(max(over-1, 0), 1)
	return time.Duration(hard - (hard-soft)*excess)
}
