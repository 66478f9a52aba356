package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// pictureTTL is the time for which a picture is reused. It adds little to the age of reports, of
	// which a VM sends at most two a second.
	pictureTTL = 50 * time.Millisecond
	// minSum is the sum below which a route or workspace counts as idle and is dropped.
	minSum = 1e-3
)

// Tracker counts the calls of this VM and combines them with the reports of the others. Safe for
// concurrent use; a nil Tracker counts nothing, and its pictures are empty.
type Tracker struct {
	now func() time.Time

	mu         sync.Mutex
	routes     map[routeKey]*counted[RouteSums]
	workspaces map[workspaceKey]*counted[WorkspaceSums]
	peers      map[ids.VM]*peerReport
	fleet      *fleetReport // total of the fleet, if peers report only that; nil otherwise
	listed     int          // VMs in the fleet, this one included; zero: not known
	pictures   map[uint32]cachedPicture
}

type routeKey struct{ service, route uint32 }

type workspaceKey struct{ service, workspace uint32 }

// counted are sums as of a point in time.
type counted[S interface{ times(f float32) S }] struct {
	sums S
	at   time.Time
}

// value returns the sums decayed to now.
func (c *counted[S]) value(now time.Time) S { return c.sums.times(decay(now.Sub(c.at))) }

// peerReport is the last report of one VM.
type peerReport struct {
	incarnation int64
	seq         uint64
	at          time.Time
	report      Report
}

// fleetReport is the last total of the fleet.
type fleetReport struct {
	at           time.Time
	report       Report
	vms          int  // VMs whose sums it includes
	includesThis bool // this VM is one of them
}

type cachedPicture struct {
	at      time.Time
	picture *Picture
}

// New returns a tracker without calls. If now is nil, clock.Now is used.
func New(now func() time.Time) *Tracker {
	if now == nil {
		now = clock.Now
	}
	return &Tracker{
		now: now, routes: map[routeKey]*counted[RouteSums]{}, workspaces: map[workspaceKey]*counted[WorkspaceSums]{},
		peers: map[ids.VM]*peerReport{}, pictures: map[uint32]cachedPicture{},
	}
}

// SetListed sets the number of VMs in the fleet, this one included.
func (t *Tracker) SetListed(vms int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = vms
}

// Decided counts a call and whether it was admitted. work is its work, as for RouteSums.
func (t *Tracker) Decided(c Class, work float64, admitted bool) {
	if t == nil {
		return
	}
	route, ws := RouteSums{Calls: 1}, WorkspaceSums{Offered: float32(work)}
	if admitted {
		route.Admitted, route.Work, ws.Admitted = 1, float32(work), float32(work)
	} else {
		route.Refused = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.addRoute(c, route, now)
	t.addWorkspace(c, ws, now)
}

// FirstEvent counts the first event of an admitted call, or its whole response. predicted is the
// time until then that the decision assumed, without calibration.
func (t *Tracker) FirstEvent(c Class, work float64, predicted, measured time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRoute(c, RouteSums{Begun: float32(work), Predicted: float32(predicted.Seconds()), Measured: float32(measured.Seconds())}, t.now())
}

// Ended counts the end of a response: the time between its first and its last event, whether it
// missed its objective, and whether it had a longer gap between two events than its route allows.
func (t *Tracker) Ended(c Class, streaming time.Duration, late, paused bool) {
	if t == nil {
		return
	}
	s := RouteSums{Streaming: float32(streaming.Seconds())}
	if late {
		s.Late = 1
	}
	if paused {
		s.Paused = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRoute(c, s, t.now())
}

// addRoute adds to the sums of a call's route. The caller holds the lock.
func (t *Tracker) addRoute(c Class, s RouteSums, now time.Time) {
	key := routeKey{HashOf(c.Service), HashOf(c.Route)}
	e := t.routes[key]
	if e == nil {
		if len(t.routes) >= maxRoutes {
			key.route = 0
		}
		if e = t.routes[key]; e == nil {
			e = &counted[RouteSums]{sums: RouteSums{Service: key.service, Route: key.route}, at: now}
			t.routes[key] = e
		}
	}
	e.sums, e.at = e.value(now).plus(s), now
}

// addWorkspace adds to the sums of a call's workspace. The caller holds the lock.
func (t *Tracker) addWorkspace(c Class, s WorkspaceSums, now time.Time) {
	key := workspaceKey{HashOf(c.Service), HashOf(string(c.Workspace))}
	e := t.workspaces[key]
	if e == nil {
		e = &counted[WorkspaceSums]{sums: WorkspaceSums{Service: key.service, Workspace: key.workspace}, at: now}
		t.workspaces[key] = e
	}
	e.sums, e.at = e.value(now).plus(s), now
}

// OwnReport returns the sums of this VM's own calls, and drops those of idle routes and workspaces.
func (t *Tracker) OwnReport() Report {
	if t == nil {
		return Report{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownReport(t.now())
}

// ownReport implements OwnReport. The caller holds the lock.
func (t *Tracker) ownReport(now time.Time) Report {
	var out Report
	for key, e := range t.routes {
		s := e.value(now)
		if s.Calls < minSum && s.Measured < minSum && s.Streaming < minSum {
			delete(t.routes, key)
			continue
		}
		out.Routes = append(out.Routes, s)
	}
	for key, e := range t.workspaces {
		s := e.value(now)
		if s.Offered < minSum {
			delete(t.workspaces, key)
			continue
		}
		out.Workspaces = append(out.Workspaces, s)
	}
	out.normalize()
	return out
}

// Sum adds reports up.
func Sum(reports ...Report) Report {
	var out Report
	routes, workspaces := map[routeKey]int{}, map[workspaceKey]int{} // indexes in out
	for _, r := range reports {
		for _, s := range r.Routes {
			if !s.valid() {
				continue
			}
			key := routeKey{s.Service, s.Route}
			if i, ok := routes[key]; ok {
				out.Routes[i] = out.Routes[i].plus(s)
				continue
			}
			routes[key] = len(out.Routes)
			out.Routes = append(out.Routes, s)
		}
		for _, s := range r.Workspaces {
			if !s.valid() {
				continue
			}
			key := workspaceKey{s.Service, s.Workspace}
			if i, ok := workspaces[key]; ok {
				out.Workspaces[i] = out.Workspaces[i].plus(s)
				continue
			}
			workspaces[key] = len(out.Workspaces)
			out.Workspaces = append(out.Workspaces, s)
		}
	}
	out.normalize()
	return out
}

// checked returns the report without malformed sums, and with a bounded number of others.
func (r Report) checked() Report {
	if len(r.Routes) > 2*maxRoutes || len(r.Workspaces) > 2*maxWorkspaces {
		return Sum(r)
	}
	var out Report
	for _, s := range r.Routes {
		if s.valid() {
			out.Routes = append(out.Routes, s)
		}
	}
	for _, s := range r.Workspaces {
		if s.valid() {
			out.Workspaces = append(out.Workspaces, s)
		}
	}
	return out
}

// normalize sorts a report and bounds its size: beyond maxRoutes and maxWorkspaces the sums with
// the lowest demand are added up under the hash 0 of their service. Workspaces are compared by their
// part of the service's demand, since work has another unit at services without prompts.
func (r *Report) normalize() {
	offered := map[uint32]float32{}
	for _, s := range r.Workspaces {
		offered[s.Service] += s.Offered
	}
	part := func(s *WorkspaceSums) float32 { return s.Offered / max(offered[s.Service], minSum) }
	slices.SortFunc(r.Routes, func(a, b RouteSums) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
	})
	r.Routes = fold(r.Routes, maxRoutes, func(a, b RouteSums) bool { return a.Service == b.Service }, func(s RouteSums) RouteSums { s.Route = 0; return s }, RouteSums.plus)
	slices.SortFunc(r.Workspaces, func(a, b WorkspaceSums) int {
		return cmp.Or(cmp.Compare(part(&b), part(&a)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	r.Workspaces = fold(r.Workspaces, maxWorkspaces, func(a, b WorkspaceSums) bool { return a.Service == b.Service }, func(s WorkspaceSums) WorkspaceSums { s.Workspace = 0; return s }, WorkspaceSums.plus)
}

// fold keeps the first limit sums and adds up the others by service, for at most limit services: the
// services of a malformed report are not bounded. rest returns the sum under the hash 0, and plus
// adds two sums; the result takes its name from the first.
func fold[S any](sums []S, limit int, same func(a, b S) bool, rest func(S) S, plus func(a, b S) S) []S {
	if len(sums) <= limit {
		return sums
	}
	out := slices.Clone(sums[:limit])
	for _, s := range sums[limit:] {
		i := slices.IndexFunc(out[limit:], func(o S) bool { return same(o, s) })
		if i < 0 {
			if len(out) < 2*limit {
				out = append(out, rest(s))
			}
			continue
		}
		out[limit+i] = plus(out[limit+i], s)
	}
	return out
}

// RecordPeer records a VM's report, which replaces the one before. It ignores a report that is not
// newer than the last, by incarnation and sequence number.
func (t *Tracker) RecordPeer(vm ids.VM, incarnation int64, seq uint64, r Report) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[vm]
	if old != nil && (incarnation < old.incarnation || incarnation == old.incarnation && seq <= old.seq) {
		return
	}
	t.peers[vm] = &peerReport{incarnation: incarnation, seq: seq, at: t.now(), report: r.checked()}
	t.fleet = nil
}

// RecordFleet records the total of vms VMs, in place of the reports of single VMs. includesThis
// reports whether this VM is one of them.
func (t *Tracker) RecordFleet(total Report, vms int, includesThis bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = &fleetReport{at: t.now(), report: total.checked(), vms: vms, includesThis: includesThis}
	clear(t.peers)
}

// Picture returns the load of a service on all VMs.
func (t *Tracker) Picture(service string) *Picture {
	if t == nil {
		return &Picture{}
	}
	hash := HashOf(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if c, ok := t.pictures[hash]; ok && now.Sub(c.at) < pictureTTL {
		return c.picture
	}
	p := t.picture(hash, now)
	if len(t.pictures) >= maxRoutes {
		clear(t.pictures)
	}
	t.pictures[hash] = cachedPicture{at: now, picture: p}
	return p
}

// picture implements Picture. The caller holds the lock.
func (t *Tracker) picture(service uint32, now time.Time) *Picture {
	reports, vms, oldest := t.currentReports(now)
	total := Sum(reports...)
	scale := float32(1)
	if t.listed > vms {
		scale = float32(t.listed) / float32(vms)
	}
	p := &Picture{VMs: vms, Age: oldest}
	if t.listed > 0 {
		p.Listed = max(t.listed, vms)
	}
	for _, s := range total.Routes {
		if s.Service == service {
			p.Routes = append(p.Routes, s.times(scale))
		}
	}
	for _, s := range total.Workspaces {
		if s.Service == service {
			p.Workspaces = append(p.Workspaces, s.times(scale))
		}
	}
	return p
}

// currentReports returns the reports that count, the number of VMs that they include and the age of
// the oldest one. It drops expired reports. The caller holds the lock.
func (t *Tracker) currentReports(now time.Time) (reports []Report, vms int, oldest time.Duration) {
	if t.fleet != nil && now.Sub(t.fleet.at) <= reportTTL {
		reports, vms, oldest = []Report{t.fleet.report}, t.fleet.vms, now.Sub(t.fleet.at)
		if !t.fleet.includesThis {
			reports, vms = append(reports, t.ownReport(now)), vms+1
		}
		return reports, max(vms, 1), oldest
	}
	t.fleet = nil
	reports, vms = []Report{t.ownReport(now)}, 1
	for vm, p := range t.peers {
		age := now.Sub(p.at)
		if age > reportTTL {
			delete(t.peers, vm)
			continue
		}
		reports, vms, oldest = append(reports, p.report), vms+1, max(oldest, age)
	}
	return reports, vms, oldest
}
