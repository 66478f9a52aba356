package canary

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Bounds limit the number of calls that a bad version may receive during an order's time to
// Share times all calls plus Slack.
type Bounds struct {
	Share float64 // fraction of all calls, 0 to 1
	Slack float64 // number of calls
}

const (
	// minProvingPart is the minimum length of the stage proving, as a fraction of the order's
	// time. Versions may turn bad only after some seconds.
	minProvingPart = 0.25
	// maxProvingPart is the fraction of the order's time at which the tentative verdict ends
	// the stage proving.
	maxProvingPart = 0.50
	// loadingPart is the length of the stage loading, as a fraction of the order's time, if
	// loadingShare of the calls goes to the canary and loadingBudget allows that length. In this
	// stage a part of the targets gets the load it would have in service.
	loadingPart = 0.12
	// loadingShare is the fraction of the calls that load the canary's targets.
	loadingShare = 0.25
	// minLoadedTargets is the minimum number of loaded targets if there are several.
	minLoadedTargets = 2
	// minLoadingTime is the minimum length of the stage loading: reporting and judging the
	// counts takes that long.
	minLoadingTime = 800 * time.Millisecond
	// maxLoadingFactor is the factor by which the stage loading is extended at most while the
	// tentative verdict is bad.
	maxLoadingFactor = 2
	// provingBudget and loadingBudget are the fractions of Bounds.Share that each stage may use.
	provingBudget = 0.8
	loadingBudget = 0.35
	// provingSlack is the fraction of Bounds.Slack that the stage proving may use if there are
	// few calls.
	provingSlack = 0.4
	// promotingDeadline is the fraction of the order's time at which the order completes even
	// if VMs have not reported that they have drained.
	promotingDeadline = 0.85
	// noAnswerDeadline is the fraction of the order's time at which an order rolls back if its
	// canary has answered no call.
	noAnswerDeadline = 0.90
	// minShareRaise is the smallest factor by which the share is raised, so that small changes
	// cause no write.
	minShareRaise = 1.5
)

// Facts are the inputs of a step besides the record.
type Facts struct {
	Self    ids.VM
	Order   *Order        // nil if there is no order
	Elapsed time.Duration // since the start of the order
	Finding Finding
	// Rate is the number of answered calls to the service per second, since the start of the order.
	Rate float64
	// Versions is the number of the service's targets that may take calls, by version.
	Versions map[ids.SoftwareVersion]int
	// Warm is the number of the canary's targets that have warmed up after their start.
	Warm int
	// Drained is set if no live VM has calls left at other versions.
	Drained bool
	// StableGone is set if the version in service has had no target for stableGoneTimeout.
	StableGone bool
}

// Step is the next state of a record and of the status of its order.
type Step struct {
	Record Record
	// Report is the end to write to the status; Running if the order has no end to write.
	Report End
	// Begin is set if the status is to be set to running.
	Begin bool
}

// Next returns the next state of a service. It is a pure function, and repeating a step has no
// effect.
func (b Bounds) Next(r Record, f Facts) Step {
	r.By, r.Elapsed = f.Self, f.Elapsed
	o := f.Order
	switch {
	case r.Stable == "" && o != nil && o.HasStatus && o.Reported == Completed:
		r.Stable = o.Target
	case r.Stable == "":
		r.Stable = versions(f.Versions).oldest(func(v ids.SoftwareVersion) bool {
			return r.barred(v) || o != nil && v == o.Target && len(f.Versions) > 1
		})
	case f.StableGone && r.Canary == "":
		if v := versions(f.Versions).oldest(r.barred); v != "" {
			r.Stable = v
		}
	}
	switch {
	case o == nil:
		return Step{Record: r.idle()}
	case o.HasStatus && o.Reported != Running:
		return Step{Record: r.settle(o)}
	case r.Order != o.OrderID:
		return b.begin(r, f)
	case r.End == RolledBack:
		return Step{Record: r, Report: RolledBack}
	case r.End == Completed:
		return Step{Record: r, Report: Completed}
	default:
		return b.advance(r, f)
	}
}

// idle returns the record without a rollout.
func (r Record) idle() Record {
	r.Canary, r.Stage, r.Share, r.Part, r.Entered = "", Idle, 0, 0, 0
	return r
}

// settle applies the end that the status of an order gives.
func (r Record) settle(o *Order) Record {
	if r.Order != o.OrderID {
		r.Reason = ""
	}
	r.Order, r.End = o.OrderID, o.Reported
	r = r.idle()
	if o.Reported == Completed {
		r.Stable = o.Target
		r.Barred = without(r.Barred, o.Target)
	} else if r.Stable != o.Target && !r.barred(o.Target) {
		r.Barred = append(without(r.Barred, o.Target), o.Target)
	}
	return r
}

func without(all []ids.SoftwareVersion, v ids.SoftwareVersion) []ids.SoftwareVersion {
	var out []ids.SoftwareVersion
	for _, x := range all {
		if x != v {
			out = append(out, x)
		}
	}
	return out
}

// begin starts the rollout that an order asks for.
func (b Bounds) begin(r Record, f Facts) Step {
	r = r.idle()
	r.Order, r.End, r.Reason, r.Elapsed = f.Order.OrderID, Running, "", 0
	r.Barred = without(r.Barred, f.Order.Target)
	if f.Order.Target == r.Stable {
		r.End, r.Reason = Completed, "it is in service"
		return Step{Record: r, Report: Completed}
	}
	r.Canary, r.Stage, r.Share, r.Part = f.Order.Target, Proving, b.provingShare(f), 1
	return Step{Record: r, Begin: true}
}

// provingShare returns the fraction of the calls that go to a canary in the stage proving.
func (b Bounds) provingShare(f Facts) float64 {
	share := b.Share * provingBudget
	if calls := f.Rate * f.Order.Within.Seconds() * maxProvingPart; calls > 0 {
		share = max(share, min(b.Slack*provingSlack/calls, loadingShare))
	}
	return share
}

// advance returns the next step of an order in progress.
func (b Bounds) advance(r Record, f Facts) Step {
	within := f.Order.Within
	passed := func(since time.Duration, part float64) bool {
		return f.Elapsed-since >= time.Duration(float64(within)*part)
	}
	if f.Finding.Verdict == Bad {
		return r.rollBack("its answers are worse than those of the version in service")
	}
	switch r.Stage {
	case Proving:
		if share := b.provingShare(f); share > r.Share*minShareRaise {
			r.Share = share
		}
		proven := f.Finding.Verdict == Good || passed(0, maxProvingPart) && f.Finding.Tentative == Good && f.Finding.Calls > 0
		switch {
		case passed(0, minProvingPart) && proven && (2*f.Warm >= f.Versions[r.Canary] || passed(0, maxProvingPart)):
			part := loadedPart(f.Versions[r.Canary])
			return r.enter(Loading, part, part)
		case passed(0, maxProvingPart) && f.Finding.Calls > 0 && f.Finding.Tentative == Bad:
			return r.rollBack("its answers lean to worse than those of the version in service")
		case passed(0, noAnswerDeadline):
			return r.rollBack("it has answered no call in time")
		}
	case Loading:
		loaded := f.Elapsed - r.Entered
		if loaded >= b.loadingTime(r.Share, within) && f.Finding.Tentative == Good {
			return r.enter(Promoting, 1, 1)
		}
		if loaded >= maxLoadingFactor*b.loadingTime(r.Share, within) {
			return r.rollBack("its answers under load lean to worse than those of the version in service")
		}
	case Promoting:
		if f.Drained || passed(0, promotingDeadline) {
			return Step{Record: r, Report: Completed}
		}
	}
	return Step{Record: r}
}

// loadedPart returns the fraction of a canary's targets that get load. If there are several,
// it is at least two targets, so that one broken target can be distinguished from a bad version.
func loadedPart(targets int) float64 {
	if targets < severalTargets {
		return loadingShare
	}
	return max(loadingShare, minLoadedTargets/float64(targets))
}

// loadingTime returns the length of the stage loading for a share of the calls: the larger the
// share, the shorter the stage.
func (b Bounds) loadingTime(share float64, within time.Duration) time.Duration {
	part := min(loadingPart*loadingShare, b.Share*loadingBudget) / max(share, loadingShare)
	return max(time.Duration(part*float64(within)), minLoadingTime)
}

// enter returns the step into a stage.
func (r Record) enter(s Stage, share, part float64) Step {
	r.Stage, r.Share, r.Part, r.Entered = s, share, part, r.Elapsed
	return Step{Record: r}
}

// rollBack ends an order. It changes the record first, so that no call goes to the canary after
// the status says rolled back.
func (r Record) rollBack(reason string) Step {
	r.End, r.Reason = RolledBack, reason
	r.Barred = append(without(r.Barred, r.Canary), r.Canary)
	return Step{Record: r.idle()}
}
