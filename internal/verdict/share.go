package verdict

import "time"

// Workload: one workspace demands more than its share while the engines are busy. Its calls are
// refused first; the calls of all workspaces are refused only when the wait is too long to be
// useful. docs/design/limits.md has the measurements.

// Waits holds the predicted waits beyond which calls are refused.
type Waits struct {
	Soft time.Duration // for workspaces at twice their fair share
	Hard time.Duration // for all workspaces, at priority 0
	Step float64       // factor on Hard for each step of priority
}

// Longest returns the longest predicted wait at which a call is admitted. It is Hard for a
// workspace at or below its fair share, and falls linearly to Soft at twice its share. over is
// the use of the workspace as a multiple of its share.
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
