package forward

import (
	"context"
	"encoding/binary"
	"strings"
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/streams"
)

// A stream may go on only at the software version at which it began, since what two versions write does not fit
// together. Every way by which a begun stream is sent to a replica asks for its origin in softwareChoices or
// chooseOrigin: a resume within a response, a call by which a caller takes a stream up, and the move of a stalled
// or withdrawn call. The origin of a stream that another VM may have begun comes from package streams.

// Versions knows the software versions that replicas run. Safe for concurrent use.
type Versions interface {
	// SoleSoftware returns the version of a service's replicas if this VM has seen no other one.
	SoleSoftware(service string) (v ids.SoftwareVersion, ok bool)
	// FindSoftware returns the service, among those given, and the version with an identifier, if replicas run it,
	// and makes some of these replicas known to decisions. key spreads this over the replicas.
	FindSoftware(services []string, id streams.Version, key uint64) (service string, v ids.SoftwareVersion, ok bool)
	// ActivateSoftware makes some replicas of a version known to decisions.
	ActivateSoftware(service string, v ids.SoftwareVersion, key uint64)
}

// origin is the software version at which a call's stream began. Readers of attempts check it before they send.
type origin struct {
	key      streams.Key
	software atomic.Pointer[ids.SoftwareVersion] // nil: the stream has not begun, and the call takes none up
}

// version returns the version at which the stream began; false: it has not begun, and the call takes none up.
func (o *origin) version() (v ids.SoftwareVersion, known bool) {
	if p := o.software.Load(); p != nil {
		return *p, true
	}
	return "", false
}

func (o *origin) set(v ids.SoftwareVersion) { o.software.Store(&v) }

// spread returns a number that differs from stream to stream, for rendezvous hashing.
func (o *origin) spread() uint64 { return binary.BigEndian.Uint64(o.key[:]) }

// stepOrigin is the step of refusals of calls that take up a stream.
const stepOrigin = "origin"

// findOrigin finds out at which software version the stream began that the call takes up, if it takes one up. It
// refuses the call if that is not known or has no replica: the caller may ask again, or at another VM.
func (r *run) findOrigin(ctx context.Context) *outcome.Error {
	if r.route.Kind != streamKind {
		return nil
	}
	r.origin.key = r.streamKey()
	if r.call.Resumes == "" && r.call.LastEvent == "" || r.f.Versions == nil {
		return nil
	}
	if r.f.Streams == nil {
		return r.takeUpAtSole()
	}
	lookup := r.f.Streams.Lookup
	if r.call.Resumes == "" {
		lookup = r.f.Streams.LookupUnnamed
	}
	v, result := lookup(ctx, r.origin.key, r.service)
	if result != streams.Found {
		return r.refuseUnknownOrigin(result)
	}
	return r.takeUpAt(v)
}

// takeUpAtSole makes the call go on at the only version that this VM has seen.
func (r *run) takeUpAtSole() *outcome.Error {
	software, sole := r.f.Versions.SoleSoftware(r.service)
	if !sole {
		return r.refuseUnknownOrigin(streams.NotFound)
	}
	r.origin.set(software)
	return nil
}

// streamKey returns the key of the call's stream.
func (r *run) streamKey() streams.Key {
	first := r.call.Resumes
	if first == "" {
		first = r.call.ID
	}
	workspace := ids.Workspace("")
	if r.workspace != nil {
		workspace = r.workspace.Name
	}
	return streams.KeyOf(workspace, strings.ToLower(r.req.Host), first)
}

// takeUpAt makes the call go on at a version.
func (r *run) takeUpAt(v streams.Version) *outcome.Error {
	services := make([]string, 0, len(r.route.Split))
	for i := range r.route.Split {
		services = append(services, r.route.Split[i].Service)
	}
	service, software, ok := r.f.Versions.FindSoftware(services, v, r.origin.spread())
	if !ok {
		r.logOrigin(streams.Found, "")
		return r.refuseOrigin("no replica runs the software version at which the stream began")
	}
	r.service = service
	r.origin.set(software)
	r.logOrigin(streams.Found, software)
	return nil
}

// refuseUnknownOrigin refuses a call whose stream began at a version that the lookup with the given result did not find.
func (r *run) refuseUnknownOrigin(result streams.Result) *outcome.Error {
	r.logOrigin(result, "")
	return r.refuseOrigin("the software version at which the stream began is not known")
}

func (r *run) refuseOrigin(message string) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeNoTarget, stepOrigin, "", message).After(noTargetRetryAfter)
}

func (r *run) logOrigin(result streams.Result, software ids.SoftwareVersion) {
	r.f.Log.Request("origin", string(r.call.ID)).Str("resumes", string(r.call.Resumes)).Str("result", result.String()).
		Str("service", r.service).Str("software", string(software)).Send()
}

// beginStream records where the stream begins, or goes on, before its first event is passed on.
func (t *attempt) beginStream() {
	r := t.r
	r.origin.set(t.c.target.Software)
	if r.f.Streams != nil && r.route.Resumable {
		r.f.Streams.Begin(r.origin.key, t.c.target.Service, t.c.target.Software)
	}
}

// chooseOrigin picks a target of the version at which the stream began. That version may have been taken out of service
// for new streams. If each of its targets has been tried, a tried one may serve again.
func (r *run) chooseOrigin(v ids.SoftwareVersion, req *routing.Request, sc *fleet.Scratch) (*fleet.Snapshot, routing.Decision, *canary.Admission) {
	f := r.f
	if f.Versions != nil {
		f.Versions.ActivateSoftware(r.service, v, r.origin.spread())
	}
	req.Software = &routing.SoftwareChoice{Version: v}
	snap, d := f.Fleet.Decide(req, r.tried, sc)
	if d.Index < 0 && len(r.live) == 0 {
		snap, d = f.Fleet.Decide(req, nil, sc)
	}
	if d.Index < 0 {
		return snap, d, nil
	}
	return snap, d, f.Software.Continue(r.service, v)
}
