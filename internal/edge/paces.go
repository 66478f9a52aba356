package edge

import (
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// paceLogEvery is the interval at which changes of slow targets are logged.
	paceLogEvery = time.Second
	// maxPaceLines bounds the lines of one interval. The remaining changes are logged in the next ones.
	maxPaceLines = 16
)

// paceLog returns a function that logs the targets that have started or ceased to count as slow at this
// VM since its last call.
func (d *Daemon) paceLog() func() {
	logged := map[ids.Target]bool{}
	return func() {
		lines := 0
		slow := map[ids.Target]bool{}
		for _, s := range d.Fleet.Load.SlowTargets(clock.Now()) {
			slow[s.Target] = true
			if !logged[s.Target] && lines < maxPaceLines {
				lines++
				logged[s.Target] = true
				d.Log.State("pace").Str("target", string(s.Target)).Bool("slow", true).Float64("factor", s.Pace).Float64("own_answers", s.Answers).Send()
			}
		}
		for id := range logged {
			if !slow[id] && lines < maxPaceLines {
				lines++
				delete(logged, id)
				d.Log.State("pace").Str("target", string(id)).Bool("slow", false).Send()
			}
		}
	}
}
