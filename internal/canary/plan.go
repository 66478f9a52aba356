package canary

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Bounds are what operators tolerate of a version that turns out bad.
type Bounds struct {
	// Share and Slack bound the calls that it gets: a part of all calls of the order's time,
	// and so many besides.
	Share float64
	Slack float64
}

const (
	// provingPart is the part of an order's time for which a canary is proven at least:
	// versions may turn bad after some seconds.
	provingPart = 0.25
	// provingMost is the part at which the evidence that there is must do.
	provingMost = 0.50
	// loadingPart is the part in which some of its targets get the work that they would have in
	// service, and loadingShare the part of the calls that go there.
	loadingPart  = 0.12
	loadingShare = 0.25
	// loadedLeast is how many targets are loaded at least where there are several.
	loadedLeast = 2
	// loadingTimeLeast is how long it takes at least until counts have been told and judged.
	loadingTimeLeast = 800 * time.Millisecond
	// loadingMost is how many times as long loading lasts where the evidence is against it.
	loadingMost = 2
	// exposedProving and exposedLoading are the parts of Bounds.Share that each may use.
	exposedProving = 0.8
	exposedLoading = 0.35
	// slackUsed is the part of Bounds.Slack that proving may use where calls are few.
	slackUsed = 0.4
	// promotingMost is the part of an order's time at which the version is completed though VMs
	// have not told that they are done, and waitingMost that at which an order ends for which
	// there is nothing to go by.
	promotingMost = 0.85
	waitingMost   = 0.90
	// raiseFrom keeps the share from being written anew for small changes.
	raiseFrom = 1.5
)

// Facts are what a step goes by beside the record.
type Facts struct {
	Self    ids.VM
	Order   *Order // nil: none stands
	Elapsed time.Duration
	Finding Finding
	// Rate is how many calls a second the service gets.
	Rate float64
	// Versions are the service's targets that may take calls, by version.
	Versions map[ids.SoftwareVersion]int
	// Warm is how many of the canary's are not slow after their start.
	Warm int
	// Drained tells that no VM has calls left at other versions, as far as they are heard.
	Drained bool
	// StableGone tells that no target of the version in service has been there for a while.
	StableGone bool
}

// Step is the next state of a record, and what the status of the order is to say. Report is
// Running where the status says enough.
type Step struct {
	Record Record
	Report End
	// Begin tells that the status is to say that the order is under way.
	Begin bool
}

// Next returns the next state of a service. It is a pure function; a step that is made twice
// makes no difference.
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

// idle returns the record with no move under way.
func (r Record) idle() Record {
	r.Canary, r.Stage, r.Share, r.Part, r.Entered = "", Idle, 0, 0, 0
	return r
}

// settle takes over what the status says of an order.
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

// begin takes up an order.
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

// provingShare is the part of the calls that prove a canary.
func (b Bounds) provingShare(f Facts) float64 {
	share := b.Share * exposedProving
	if calls := f.Rate * f.Order.Within.Seconds() * provingMost; calls > 0 {
		share = max(share, min(b.Slack*slackUsed/calls, loadingShare))
	}
	return share
}

// advance moves an order that is under way on.
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
		if share := b.provingShare(f); share > r.Share*raiseFrom {
			r.Share = share
		}
		proven := f.Finding.Verdict == Good || passed(0, provingMost) && f.Finding.Tentative == Good && f.Finding.Calls > 0
		switch {
		case passed(0, provingPart) && proven && (2*f.Warm >= f.Versions[r.Canary] || passed(0, provingMost)):
			part := loadedPart(f.Versions[r.Canary])
			return r.enter(Loading, part, part)
		case passed(0, provingMost) && f.Finding.Calls > 0 && f.Finding.Tentative == Bad:
			return r.rollBack("its answers lean to worse than those of the version in service")
		case passed(0, waitingMost):
			return r.rollBack("it has answered no call in time")
		}
	case Loading:
		loaded := f.Elapsed - r.Entered
		if loaded >= b.loadingTime(r.Share, within) && f.Finding.Tentative == Good {
			return r.enter(Promoting, 1, 1)
		}
		if loaded >= loadingMost*b.loadingTime(r.Share, within) {
			return r.rollBack("its answers under load lean to worse than those of the version in service")
		}
	case Promoting:
		if f.Drained || passed(0, promotingMost) {
			return Step{Record: r, Report: Completed}
		}
	}
	return Step{Record: r}
}

// loadedPart is the part of a canary's targets that are loaded: two at least where there are
// several, so that one that is broken by itself is told apart.
func loadedPart(targets int) float64 {
	if targets < severalTargets {
		return loadingShare
	}
	return max(loadingShare, loadedLeast/float64(targets))
}

// loadingTime is for how long a share of the calls loads targets.
func (b Bounds) loadingTime(share float64, within time.Duration) time.Duration {
	part := min(loadingPart*loadingShare, b.Share*exposedLoading) / max(share, loadingShare)
	return max(time.Duration(part*float64(within)), loadingTimeLeast)
}

// enter goes on to a stage.
func (r Record) enter(s Stage, share, part float64) Step {
	r.Stage, r.Share, r.Part, r.Entered = s, share, part, r.Elapsed
	return Step{Record: r}
}

// rollBack ends an order. The record says so before the status does, so that no call follows.
func (r Record) rollBack(reason string) Step {
	r.End, r.Reason = RolledBack, reason
	r.Barred = append(without(r.Barred, r.Canary), r.Canary)
	return Step{Record: r.idle()}
}
