package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

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
	ends     time.Time // nobody waits for an answer after this

	call      Call
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace // nil: the route is public
	service   string
	body      []byte

	tried    []ids.Target
	sends    int  // sends so far, whatever became of them
	attempts int  // sends that may have run
	mayRan   bool // an attempt ended in another way than not-run
	begun    bool // something of the answer was passed on
	status   int  // the status that was passed on
	stream   streamState
	progress progress
	proofAge time.Duration // of the catalog, when the call was judged by it
	guard    quarantine.Call
	charge   charge
}

// vmRetryAfter is when a caller should come back to a VM that lacks something it
// needs; other VMs may have it.
const vmRetryAfter = 100 * time.Millisecond

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := &run{f: f, w: w, req: req, received: clock.Now()}
	f.Stats.Requests.Add(1)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // that of the call before
	defer r.extendWriteDeadline()                                   // what is still buffered is written after this
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.Tuning.MaxInFlight {
		r.refuse(outcome.New(outcome.NotRun, outcome.CodeOverloaded, "admit", "", "this VM is full").After(vmRetryAfter))
		return
	}
	release, refusal := r.admit()
	defer release()
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), clock.Until(r.ends))
	defer cancel()
	defer f.calls.add(r.ends, cancel)()
	defer r.refundUnused()
	r.serve(ctx)
}

// admit reads the call and decides whether it may be sent at all. release must be
// called when the call ends.
func (r *run) admit() (release func(), refusal *outcome.Error) {
	release = func() {}
	call, err := r.f.Dialect.ReadCall(r.req.Header)
	r.call = call
	if err != nil {
		return release, outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "read", "caller", err.Error())
	}
	if r.f.Catalog.Get() == nil {
		return release, outcome.New(outcome.NotRun, outcome.CodeNotReady, "admit", "", "this VM has no configuration yet").After(vmRetryAfter)
	}
	release, refusal = r.readBody(r.f.Catalog.Get().Limits.BodyBytes)
	if refusal != nil {
		return release, refusal
	}
	// The configuration is taken after the body, which a slow caller may send for
	// longer than a new version needs to come into force.
	r.catalog = r.f.Catalog.Get()
	return release, r.authorize()
}

// authorize finds the route and the workspace.
func (r *run) authorize() *outcome.Error {
	sure := r.catalogProven()
	r.proofAge = r.f.Catalog.ProofAge(clock.Now())
	r.route = r.catalog.Match(r.req.Host, r.req.URL.EscapedPath())
	if r.route == nil {
		return r.ifProven(sure, outcome.New(outcome.NotRun, outcome.CodeUnknownService, "route", "", "there is nothing at this host and path"))
	}
	if r.catalog.Keyed() && !r.route.Public {
		r.workspace = r.catalog.WorkspaceOf(r.call.Key)
		if r.workspace == nil {
			return r.ifProven(sure, outcome.New(outcome.NotRun, outcome.CodeInvalidKey, "authenticate", "", "the API key is missing or wrong"))
		}
		if !sure {
			return r.unprovenCatalog()
		}
	}
	r.service = r.route.Pick(r.f.Fleet.Seed() * weightStride)
	r.ends = r.end()
	return r.chargeAllowance()
}

// weightStride spreads consecutive calls over a route's weights.
const weightStride = 0x9E3779B1

// catalogProven tells whether the catalog was proven to be the newest a short while ago.
func (r *run) catalogProven() bool {
	ttl := time.Duration(r.f.KeyTTL.Load())
	return ttl == 0 || r.f.Catalog.ProofAge(clock.Now()) < ttl
}

// ifProven returns a refusal that rests on the catalog, or, when that may be old,
// one that says so: a new key or route may not have reached this VM.
func (r *run) ifProven(sure bool, refusal *outcome.Error) *outcome.Error {
	if sure {
		return refusal
	}
	return r.unprovenCatalog()
}

func (r *run) unprovenCatalog() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeStoreDown, "authenticate", "store",
		"this VM can't prove that its configuration is the newest").After(vmRetryAfter)
}

// recheckAdmission refuses a send whose call has no time left, or whose key can't be proven any more.
// Both were in order when the call was admitted; it may have waited since, and the VM may
// have stood still.
func (r *run) recheckAdmission() *outcome.Error {
	switch {
	case clock.Until(r.ends) <= 0:
		return outcome.Wrap(errNoLongerAllowed, outcome.NotRun, outcome.CodeDeadline, "send", "", "the call's time is over")
	case r.workspace != nil && !r.catalogProven():
		e := r.unprovenCatalog()
		return outcome.Wrap(errNoLongerAllowed, e.Outcome, e.Code, e.Step, e.Peer, e.Message).After(e.RetryAfter)
	}
	return nil
}

// recheckSend refuses a send that is not allowed any more. Connecting may take a second, and the VM
// may have stood still since the replica was chosen; it may have asked for a rest meanwhile.
func (t *try) recheckSend() *outcome.Error {
	if refusal := t.r.recheckAdmission(); refusal != nil {
		return refusal
	}
	if refusal := t.checkVersion(); refusal != nil {
		return refusal
	}
	if !t.r.superseded(t.c) && t.r.f.Fleet.Members.Declines(t.c.target.ID, clock.Now()) {
		return outcome.Wrap(errNoLongerAllowed, outcome.NotRun, outcome.CodeUpstream, "send", string(t.c.target.ID), "the replica rests or leaves since it was chosen")
	}
	return nil
}

// errNoLongerAllowed is the cause of a refusal for what has run out; it says nothing about the
// replica that was chosen.
var errNoLongerAllowed = errors.New("what allowed the call has run out since it was admitted")

// defaultWait bounds a call whose caller and route don't.
const defaultWait = time.Minute

// end returns until when the call is worth working on.
func (r *run) end() time.Time {
	wait := defaultWait
	if r.call.Deadline > 0 {
		wait = min(wait, r.call.Deadline)
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	return r.received.Add(wait)
}

// readBody reads the whole body, within the memory that all bodies share.
func (r *run) readBody(limit int64) (release func(), refusal *outcome.Error) {
	held := int64(0)
	release = func() { r.f.bodyBytes.Add(-held) }
	want := r.req.ContentLength
	if want == 0 {
		return release, nil
	}
	if limit > 0 && want > limit {
		return release, outcome.New(outcome.NotRun, outcome.CodeTooLarge, "read", "caller", "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if want < 0 {
		want = unknownBodyBytes
	}
	held = want
	if r.f.bodyBytes.Add(want) > r.f.Tuning.MaxBodyMemory {
		return release, outcome.New(outcome.NotRun, outcome.CodeOverloaded, "read", "caller", "the bodies of other calls fill this VM's memory").After(vmRetryAfter)
	}
	if limit <= 0 {
		limit = r.f.Tuning.MaxBodyMemory
	}
	ctl := http.NewResponseController(r.w)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout)) // a connection without deadlines is read without one
	body, err := readAll(http.MaxBytesReader(r.w, r.req.Body, limit), r.req.ContentLength)
	_ = ctl.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return release, outcome.New(outcome.NotRun, outcome.CodeTooLarge, "read", "caller", "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		return release, outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "read", "caller", "the body could not be read")
	}
	r.body = body
	return release, nil
}

const (
	// unknownBodyBytes is the memory reserved for a body of unknown length, in bytes.
	unknownBodyBytes = 256 << 10
	// bodyTimeout bounds reading a body, so that a caller that trickles holds no
	// memory for long.
	bodyTimeout = 30 * time.Second
)

func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}
