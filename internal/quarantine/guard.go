package quarantine

import (
	"fmt"
	"net/http"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
)

// Step is the step of a refusal for what a request did to replicas.
const Step = "quarantine"

// Guard stands before the sends of a VM. Its zero value, and nil, let everything through.
type Guard struct {
	Detector *Detector
	// Rank tells how many living VMs come before this one for what one VM does for all, by
	// a name. Nil: this VM is alone.
	Rank func(name ids.Target) int
}

// Call is one call of a caller, over all its sends. Not safe for concurrent use. The zero
// value is not guarded.
type Call struct {
	guard   *Guard
	id      ids.Request
	request Request
	print   *Fingerprint // nil: it was not needed yet
}

// Call begins a call. The body must not change while it lasts.
func (g *Guard) Call(id ids.Request, r Request) Call { return Call{guard: g, id: id, request: r} }

// ledger returns what is remembered of requests; nil: nothing is.
func (c *Call) ledger() *Ledger {
	if c.guard == nil || c.guard.Detector == nil {
		return nil
	}
	return c.guard.Detector.Ledger
}

// Fingerprint names the request over its repeats.
func (c *Call) Fingerprint() Fingerprint {
	if c.print == nil {
		p := c.request.Fingerprint()
		c.print = &p
	}
	return *c.print
}

// FingerprintText returns the fingerprint as text if it was needed so far, for logs; empty: it was
// not.
func (c *Call) FingerprintText() string {
	if c.print == nil {
		return ""
	}
	return c.print.String()
}

// Refusal refuses a call whose request crashes replicas, or returns nil. It is asked before
// a replica is chosen: the bounds on repeats count within one call, and such a request that
// came again under a new id each time ended 48 replicas in six seconds, 3 to 10 with it.
// first is set before the first send of a call, which may be a trial.
func (c *Call) Refusal(first bool) *outcome.Error {
	return c.refusal(first, (*Ledger).TrialDue)
}

// RefusalAtSend refuses as Refusal does, when a replica is chosen. A trial is used up by it; one
// that no replica could take is not.
func (c *Call) RefusalAtSend(first bool) *outcome.Error {
	return c.refusal(first, (*Ledger).Trial)
}

func (c *Call) refusal(first bool, trial func(l *Ledger, f Fingerprint, rank int) bool) *outcome.Error {
	ledger := c.ledger()
	if ledger.Empty() {
		return nil
	}
	crashes, yes := ledger.Quarantined(c.Fingerprint())
	if !yes || first && trial(ledger, c.Fingerprint(), c.rank()) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.CodeQuarantined, Step, "",
		fmt.Sprintf("%d replicas crashed while they ran this request; it is not sent to any more", crashes))
}

func (c *Call) rank() int {
	if c.guard.Rank == nil {
		return 0
	}
	return c.guard.Rank(ids.Target(c.Fingerprint().String()))
}

// Answered notes that a replica answered the call with a status, and lives. A failure of
// its own says nothing: it may not have come as far as the fault.
func (c *Call) Answered(status int) {
	if ledger := c.ledger(); status < http.StatusInternalServerError && ledger != nil {
		ledger.Answered(c.Fingerprint())
	}
}

// ReportBroken starts a check whether the replica of a send that broke off has ended with it.
// ended is set if that is known.
func (c *Call) ReportBroken(s Send, ended bool) {
	if c.ledger() == nil {
		return
	}
	r := run{Send: s, request: c.Fingerprint(), id: c.id}
	if ended {
		c.guard.Detector.ended([]run{r})
		return
	}
	c.guard.Detector.broke(r)
}
