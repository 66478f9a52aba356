package demand

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is the load of one service on all VMs, as this VM sees it. Rates are per second.
type Status struct {
	Service string `json:"service"`
	// VMs is the number of VMs whose calls are included, and Listed the number in the fleet, to which
	// the rates are scaled up; zero: not known yet.
	VMs    int `json:"vms"`
	Listed int `json:"listed"`
	// AgeMs is the time since the oldest report that is included arrived.
	AgeMs  int64         `json:"age_ms"`
	Total  RouteStatus   `json:"total"`
	Routes []RouteStatus `json:"routes"`
	// Workspaces are those with the most demand, at most 32, the largest first.
	Workspaces []WorkspaceStatus `json:"workspaces"`
}

// RouteStatus are the rates of one route.
type RouteStatus struct {
	Route    string  `json:"route,omitempty"`
	Calls    float64 `json:"calls"`
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"` // for lack of room
	// WaitMs is the mean measured time until the first event: the sum over the first events of a time
	// divided by the calls admitted in it, so it lags behind while waits grow.
	WaitMs float64 `json:"wait_ms"`
	Late   float64 `json:"late"`
	Paused float64 `json:"paused"`
}

// WorkspaceStatus is the demand of one workspace, in seconds of prefill per second, or in calls per
// second at services without prompts.
type WorkspaceStatus struct {
	Workspace string  `json:"workspace"`
	Offered   float64 `json:"offered"`
	Admitted  float64 `json:"admitted"`
}

// Names maps the hashes in reports to names.
type Names map[uint32]string

// Add adds a name.
func (n Names) Add(name string) { n[HashOf(name)] = name }

// of returns the name of a hash: the hash itself if the configuration does not contain the name.
func (n Names) of(hash uint32) string {
	if hash == 0 {
		return "(other)"
	}
	if hash == HashOf("") {
		return "(public)"
	}
	if name, ok := n[hash]; ok {
		return name
	}
	return fmt.Sprintf("#%08x", hash)
}

// Status returns the load of a service, with the names of its routes and workspaces.
func (p *Picture) Status(service string, names Names) Status {
	out := Status{
		Service: service, VMs: p.VMs, Listed: p.Listed, AgeMs: p.Age.Milliseconds(), Total: p.Total().status(""),
		Routes: []RouteStatus{}, Workspaces: []WorkspaceStatus{},
	}
	for _, s := range p.Routes {
		out.Routes = append(out.Routes, s.status(names.of(s.Route)))
	}
	slices.SortFunc(out.Routes, func(a, b RouteStatus) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Route, b.Route))
	})
	for _, s := range p.Workspaces {
		out.Workspaces = append(out.Workspaces, WorkspaceStatus{Workspace: names.of(s.Workspace), Offered: Rate(s.Offered), Admitted: Rate(s.Admitted)})
	}
	slices.SortFunc(out.Workspaces, func(a, b WorkspaceStatus) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Workspace, b.Workspace))
	})
	out.Workspaces = out.Workspaces[:min(len(out.Workspaces), maxWorkspaces)]
	return out
}

func (s RouteSums) status(route string) RouteStatus {
	out := RouteStatus{
		Route: route, Calls: Rate(s.Calls), Admitted: Rate(s.Admitted), Refused: Rate(s.Refused), Late: Rate(s.Late), Paused: Rate(s.Paused),
	}
	if s.Admitted > 0 {
		out.WaitMs = float64(s.Measured/s.Admitted) * float64(time.Second/time.Millisecond)
	}
	return out
}
