// Package demand keeps one picture of the load of each service that is the same on all VMs: what
// callers ask for, what is admitted, how long calls wait and how far predictions are off, by route
// and by workspace.
//
// # Load
//
// A VM of a large fleet receives about one call per second, so its own calls say little about
// the load of a service. When VMs judged an overload by their own calls, they refused between 0.25
// and 0.52 of the same load.
//
// # Algorithm
//
// Each VM keeps sums of its calls that decay with decayTime. The sums of several VMs add up, so
// a report replaces the previous one of its VM, a lost report is made good by the next one, and the
// VMs of a tree forward only sums. Between two reports a VM's rates are assumed to stay as they were.
// If this VM hears only some of the listed VMs, it scales the sums up to all of them.
//
// # Size
//
// A report holds at most maxRoutes routes and maxWorkspaces workspaces, whatever the configuration.
// A VM keeps one report per peer that it hears directly, or one for the whole fleet if it hears sums.
package demand

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// decayTime is the time in which a sum decays to 1/e. It covers several calls of a VM that
	// receives one call per second, and is shorter than the bursts that admission has to follow.
	decayTime = 2 * time.Second
	// reportTTL is the time for which the report of a VM counts: several rounds of reports.
	reportTTL = 2500 * time.Millisecond
	// maxRoutes and maxWorkspaces bound a report. The sums of all further routes and workspaces are
	// added up under the hash 0.
	maxRoutes     = 32
	maxWorkspaces = 32
	// maxSum bounds the sums of a report; a report with a larger one is malformed.
	maxSum = 1e9
)

// Class identifies calls that are counted together.
type Class struct {
	Service   string
	Route     string
	Workspace ids.Workspace // empty: the route is public
}

// HashOf returns the hash that identifies a service, route or workspace in reports. It is never 0.
func HashOf(name string) uint32 { return max(uint32(xxh3.HashString(name)), 1) }

// RouteSums are the sums of one route and service, of one or several VMs. They decay with
// decayTime; Rate converts them to rates. Work is measured in seconds of prefill at the assumed
// rate for calls with a prompt, and in calls for all others.
type RouteSums struct {
	_       struct{} `cbor:",toarray"`
	Service uint32   // HashOf its name
	Route   uint32   // HashOf its name; 0: several routes
	// Calls counts the calls of callers, Admitted those that were sent to a target, and Refused
	// those that were refused for lack of room.
	Calls, Admitted, Refused float32
	// Work is the work of the admitted calls, and Begun that of the calls whose first event arrived.
	Work, Begun float32
	// Predicted and Measured are the predicted and the measured seconds until the first event, of
	// the calls whose first event arrived.
	Predicted, Measured float32
	// Streaming is the time between the first and the last event, in seconds.
	Streaming float32
	// Late counts calls that missed the objective of their route, and Paused those with a longer
	// gap between two events than their route allows.
	Late, Paused float32
}

// WorkspaceSums are the sums of one workspace at one service, like RouteSums.
type WorkspaceSums struct {
	_         struct{} `cbor:",toarray"`
	Service   uint32
	Workspace uint32 // HashOf its name, which is empty for calls of public routes; 0: several workspaces
	// Offered is the work that callers asked for, and Admitted the part that was sent to targets.
	Offered, Admitted float32
}

// Report holds the sums of one VM, or the totals of several.
type Report struct {
	_          struct{} `cbor:",toarray"`
	Routes     []RouteSums
	Workspaces []WorkspaceSums
}

// Empty reports whether there is nothing to report.
func (r *Report) Empty() bool { return len(r.Routes) == 0 && len(r.Workspaces) == 0 }

// Rate returns the rate per second that sustains a sum.
func Rate(sum float32) float64 { return float64(sum) / decayTime.Seconds() }

// plus returns the sums of s and o, which are of the same route.
func (s RouteSums) plus(o RouteSums) RouteSums {
	s.Calls += o.Calls
	s.Admitted += o.Admitted
	s.Refused += o.Refused
	s.Work += o.Work
	s.Begun += o.Begun
	s.Predicted += o.Predicted
	s.Measured += o.Measured
	s.Streaming += o.Streaming
	s.Late += o.Late
	s.Paused += o.Paused
	return s
}

// times returns the sums multiplied by a factor.
func (s RouteSums) times(f float32) RouteSums {
	s.Calls *= f
	s.Admitted *= f
	s.Refused *= f
	s.Work *= f
	s.Begun *= f
	s.Predicted *= f
	s.Measured *= f
	s.Streaming *= f
	s.Late *= f
	s.Paused *= f
	return s
}

// valid reports whether all sums are numbers that a VM can have counted. NaN or infinity would stay
// in the totals of all VMs.
func (s RouteSums) valid() bool {
	return validSum(s.Calls) && validSum(s.Admitted) && validSum(s.Refused) && validSum(s.Work) && validSum(s.Begun) &&
		validSum(s.Predicted) && validSum(s.Measured) && validSum(s.Streaming) && validSum(s.Late) && validSum(s.Paused)
}

func (s WorkspaceSums) plus(o WorkspaceSums) WorkspaceSums {
	s.Offered += o.Offered
	s.Admitted += o.Admitted
	return s
}

func (s WorkspaceSums) times(f float32) WorkspaceSums {
	s.Offered *= f
	s.Admitted *= f
	return s
}

func (s WorkspaceSums) valid() bool { return validSum(s.Offered) && validSum(s.Admitted) }

func validSum(v float32) bool { return v >= 0 && v < maxSum }

// decay returns the fraction of a sum that is left after d.
func decay(d time.Duration) float32 {
	return float32(math.Exp(-max(d, 0).Seconds() / decayTime.Seconds()))
}

// Picture is the load of one service on all VMs. It is immutable.
type Picture struct {
	Routes     []RouteSums
	Workspaces []WorkspaceSums
	// VMs is the number of VMs whose sums are included, this one among them, and Listed the number
	// of VMs in the fleet, to which the sums are scaled up; zero: not known yet.
	VMs, Listed int
	// Age is the age of the oldest report that is included.
	Age time.Duration
}

// Total returns the sums of all routes.
func (p *Picture) Total() RouteSums {
	var out RouteSums
	for _, s := range p.Routes {
		out = out.plus(s)
	}
	return out
}

// Route returns the sums of one route, given its name; they are zero if there were no calls.
func (p *Picture) Route(name string) RouteSums {
	hash := HashOf(name)
	for _, s := range p.Routes {
		if s.Route == hash {
			return s
		}
	}
	return RouteSums{}
}

// Workspace returns the sums of one workspace, given its name. Workspaces of low demand are included
// in the sums under the hash 0 only; false: this is one of them.
func (p *Picture) Workspace(name ids.Workspace) (WorkspaceSums, bool) {
	hash := HashOf(string(name))
	for _, s := range p.Workspaces {
		if s.Workspace == hash {
			return s, true
		}
	}
	return WorkspaceSums{}, false
}
