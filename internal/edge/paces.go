package edge

import (
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
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
	logged := loggedPaces{}
	return func() {
		started, ceased := logged.update(d.Fleet.Load.SlowTargets(clock.Now()))
		for _, s := range started {
			d.Log.State("pace").Str("target", string(s.Target)).Bool("slow", true).Float64("factor", s.Pace).Float64("own_answers", s.Answers).Send()
		}
		for _, id := range ceased {
			d.Log.State("pace").Str("target", string(id)).Bool("slow", false).Send()
		}
	}
}

// loggedPaces holds the targets that were last logged as slow.
type loggedPaces map[ids.Target]bool

// update returns the changes to log, at most maxPaceLines, and records them.
func (l loggedPaces) update(slow []loadview.SlowTarget) (started []loadview.SlowTarget, ceased []ids.Target) {
	now := map[ids.Target]bool{}
	for _, s := range slow {
		now[s.Target] = true
		if !l[s.Target] && len(started) < maxPaceLines {
			l[s.Target] = true
			started = append(started, s)
		}
	}
	for id := range l {
		if !now[id] && len(started)+len(ceased) < maxPaceLines {
			delete(l, id)
			ceased = append(ceased, id)
		}
	}
	return started, ceased
}
