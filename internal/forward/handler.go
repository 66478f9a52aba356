package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/threadwall/threadwall/internal/bodies"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
)

// run is the state of one call.
type run struct {
	f        *Forwarder
	w        http.ResponseWriter
	req      *http.Request
	received time.Time
	ends     time.Time // the call's deadline

	call      Call
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace // nil: the route is public
	service   string
	body      *bodies.Body // nil: there is none, or no further send needs it

	bodySent bool // the body was released, so the call can't be sent again

	live     []*attempt    // attempts under way, in the order of their sends; at most one has passed on a part of the response
	arrivals chan arrival  // from the readers of attempts
	stalls   chan *attempt // whose replicas have sent nothing within the timeout
	readers  int           // that have not ended

	tried      []ids.Target
	sends      int  // sends so far, with any outcome
	attempts   int  // sends that may have run
	mayHaveRun bool // an attempt ended with another outcome than not-run
	// prepaid states that a retry was taken out of the budget for a send of which no byte was sent.
	prepaid bool
	// maxSilence bounds the silence of the replicas that the call may move to, after it has waited
	// for one that sent nothing (onStall). Zero: no bound.
	maxSilence time.Duration
	begun      bool       // a part of the response was passed on
	paidFrom   []string   // what paid for each retry that was taken out of the budget
	stopped    stopReason // why there was no further attempt
	kept       stopReason // why the call last stayed at a silent replica
	gaveUp     givenUp    // the last replica that this VM gave up; zero: none
	status     int        // of the response that was passed on
	via        ids.VM     // the peer through which the last response came; empty: this VM's own link
	stream     streamState
	origin     origin
	progress   progress
	proofAge   time.Duration // age of the catalog's proof when the call was authorized
	guard      quarantine.Call
	charge     charge
}

func newRun(f *Forwarder, w http.ResponseWriter, req *http.Request) *run {
	return &run{
		f: f, w: w, req: req, received: clock.Now(),
		arrivals: make(chan arrival, maxSends*unreadArrivals), stalls: make(chan *attempt, 1),
	}
}

// vmRetryAfter is the Retry-After of a VM that lacks something it needs to serve the call.
// Other VMs may have it.
const vmRetryAfter = 100 * time.Millisecond

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := newRun(f, w, req)
	f.Stats.Requests.Add(1)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // clears the deadline of the previous call on the connection
	defer r.extendWriteDeadline()                                   // the server writes buffered data after the handler returns
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.Tuning.MaxInFlight {
		r.refuse(outcome.New(outcome.NotRun, outcome.CodeOverloaded, "admit", "", "this VM is at its limit of requests in flight").After(vmRetryAfter))
		return
	}
	defer r.releaseBody()
	if refusal := r.admit(); refusal != nil {
		r.refuse(refusal)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), clock.Until(r.ends))
	defer cancel()
	defer f.calls.add(r.ends, cancel)()
	defer r.refundUnused()
	r.serve(ctx)
}

// admit reads the call and decides whether it may be sent at all.
func (r *run) admit() *outcome.Error {
	call, err := r.f.Dialect.ReadCall(r.req.Header)
	r.call = call
	if err != nil {
		return outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "read", "caller", err.Error())
	}
	if r.f.Catalog.Get() == nil {
		return outcome.New(outcome.NotRun, outcome.CodeNotReady, "admit", "", "this VM has no configuration yet").After(vmRetryAfter)
	}
	if refusal := r.authorize(); refusal != nil { // before the body, for which it would take memory
		return refusal
	}
	if refusal := r.readBody(r.catalog.Limits.BodyBytes); refusal != nil {
		return refusal
	}
	// A slow caller may take longer to send its body than a new configuration takes to come into force.
	if r.f.Catalog.Get() != r.catalog {
		if refusal := r.authorize(); refusal != nil {
			return refusal
		}
	}
	r.service = r.route.Pick(r.f.Fleet.Seed() * weightStride)
	r.ends = r.end()
	if refusal := r.refuseInDrain(); refusal != nil {
		return refusal
	}
	return r.chargeAllowance()
}

// authorize finds the route and the workspace in the current configuration.
func (r *run) authorize() *outcome.Error {
	r.catalog = r.f.Catalog.Get()
	r.workspace = nil
	proven := r.catalogProven()
	r.proofAge = r.f.Catalog.ProofAge(clock.Now())
	r.route = r.catalog.Match(r.req.Host, r.req.URL.EscapedPath())
	if r.route == nil {
		return r.ifProven(proven, outcome.New(outcome.NotRun, outcome.CodeUnknownService, "route", "", "no route matches this host and path"))
	}
	if r.catalog.RequiresAPIKey() && !r.route.Public {
		r.workspace = r.catalog.WorkspaceOf(r.call.Key)
		if r.workspace == nil {
			return r.ifProven(proven, outcome.New(outcome.NotRun, outcome.CodeInvalidKey, "authenticate", "", "the API key is missing or wrong"))
		}
		if !proven {
			return r.unprovenCatalog()
		}
	}
	return nil
}

// weightStride multiplies the seeds of calls, which grow in small steps, so that calls spread
// over the services of a route in proportion to the services' weights.
const weightStride = 0x9E3779B1

// catalogProven reports whether the catalog was proven to be the newest within KeyTTL.
func (r *run) catalogProven() bool {
	ttl := time.Duration(r.f.KeyTTL.Load())
	return ttl == 0 || r.f.Catalog.ProofAge(clock.Now()) < ttl
}

// ifProven returns refusal, which is based on the catalog, if the catalog is proven to be the newest.
// Otherwise it returns unprovenCatalog: a new key or route may not have reached this VM yet.
func (r *run) ifProven(proven bool, refusal *outcome.Error) *outcome.Error {
	if proven {
		return refusal
	}
	return r.unprovenCatalog()
}

func (r *run) unprovenCatalog() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeStoreDown, "authenticate", "store",
		"this VM can't prove that its configuration is the newest").After(vmRetryAfter)
}

// recheckAdmission refuses a send if the call's deadline has passed, if it would not end in the drain
// of a VM that shuts down or, for a call with an API key, if the catalog's proof has expired. None of
// it was so when the call was admitted, but the call may have waited since, and the VM may have been
// suspended.
func (r *run) recheckAdmission() *outcome.Error {
	switch {
	case clock.Until(r.ends) <= 0:
		return outcome.Wrap(errNotAllowed, outcome.NotRun, outcome.CodeDeadline, "send", "", "the call's deadline has passed")
	case r.workspace != nil && !r.catalogProven():
		e := r.unprovenCatalog()
		return outcome.Wrap(errNotAllowed, e.Outcome, e.Code, e.Step, e.Peer, e.Message).After(e.RetryAfter)
	}
	return r.recheckDrain()
}

// recheckSend refuses a send that is no longer allowed. Since the decision, connecting may have
// taken a second or the VM may have been suspended, and the replica may have asked for a rest.
func (t *attempt) recheckSend() *outcome.Error {
	if refusal := t.r.recheckAdmission(); refusal != nil {
		return refusal
	}
	if refusal := t.checkVersion(); refusal != nil {
		return refusal
	}
	if !t.r.superseded(t.c) && t.r.f.Fleet.Members.Declines(t.c.target.ID, clock.Now()) {
		return outcome.Wrap(errNotAllowed, outcome.NotRun, outcome.CodeUpstream, "send", string(t.c.target.ID), "the replica has asked for a rest or started to leave since it was chosen")
	}
	return nil
}

// errNotAllowed is the cause of a refusal right before the first byte is sent. It does not
// count against the chosen replica.
var errNotAllowed = errors.New("a condition for sending the call has ceased to hold since it was admitted")

// maxCallDuration is the longest time from a call's arrival to its deadline; callers and routes may
// set a shorter one.
const maxCallDuration = time.Minute

// end returns the call's deadline.
func (r *run) end() time.Time {
	wait := maxCallDuration
	if r.call.Deadline > 0 {
		wait = min(wait, r.call.Deadline)
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	return r.received.Add(wait)
}
