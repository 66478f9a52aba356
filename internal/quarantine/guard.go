package quarantine

import (
	"fmt"
	"net/http"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
)

// Step is the outcome step of refusals by quarantine.
const Step = "quarantine"

// Guard refuses quarantined requests before a VM sends them. The zero value and a nil Guard
// refuse nothing.
type Guard struct {
	Detector *Detector
	// Rank returns how many live VMs precede this one in the order in which VMs may take on a
	// task that one VM does for all. name identifies the task. Nil means that this VM is the only
	// one.
	Rank func(name ids.Target) int
}

// Call is one call of a caller with all its sends. Not safe for concurrent use. The zero value
// refuses nothing.
type Call struct {
	guard       *Guard
	id          ids.Request
	request     Request
	fingerprint *Fingerprint // nil until first needed
}

// Call returns a guarded call. The request's body must not change until the call ends.
func (g *Guard) Call(id ids.Request, r Request) Call { return Call{guard: g, id: id, request: r} }

// ledger returns the guard's ledger, or nil if there is none.
func (c *Call) ledger() *Ledger {
	if c.guard == nil || c.guard.Detector == nil {
		return nil
	}
	return c.guard.Detector.Ledger
}

// Fingerprint returns the fingerprint of the call's request, computing it on the first use.
func (c *Call) Fingerprint() Fingerprint {
	if c.fingerprint == nil {
		p := c.request.Fingerprint()
		c.fingerprint = &p
	}
	return *c.fingerprint
}

// FingerprintText returns the fingerprint as text for logs, or an empty string if it has not
// been computed yet.
func (c *Call) FingerprintText() string {
	if c.fingerprint == nil {
		return ""
	}
	return c.fingerprint.String()
}

// Refusal returns the refusal of a call whose request crashes replicas, or nil. Call it before
// choosing a replica. first must be set if the call has not been sent yet: only a first send may be
// a trial.
//
// The limits on retries apply within one call only: a crashing request that came under a new id
// each time ended 48 replicas in six seconds without this check, and 3 to 10 with it.
func (c *Call) Refusal(first bool) *outcome.Error {
	return c.refusal(first, (*Ledger).TrialDue)
}

// RefusalAtSend does the same as Refusal, after a replica has been chosen. It uses up a trial
// if it allows one, which Refusal does not, so that a call without a replica costs no trial.
func (c *Call) RefusalAtSend(first bool) *outcome.Error {
	return c.refusal(first, (*Ledger).Trial)
}

func (c *Call) refusal(first bool, trial func(l *Ledger, f Fingerprint, rank int) bool) *outcome.Error {
	ledger := c.ledger()
	if ledger.Empty() {
		return nil
	}
	crashes, quarantined := ledger.Quarantined(c.Fingerprint())
	if !quarantined || first && trial(ledger, c.Fingerprint(), c.rank()) {
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

// Answered records that a replica answered the call with a status. It ignores statuses from 500
// up, since a call that failed may not have reached the fault.
func (c *Call) Answered(status int) {
	if ledger := c.ledger(); status < http.StatusInternalServerError && ledger != nil {
		ledger.Answered(c.Fingerprint())
	}
}

// ReportBroken starts a check whether the replica of a broken send has ended. ended must be set
// if the caller knows that it has. ReportBroken does not wait for the check.
func (c *Call) ReportBroken(s Send, ended bool) {
	if c.ledger() == nil {
		return
	}
	r := run{Send: s, request: c.Fingerprint(), id: c.id}
	if ended {
		c.guard.Detector.recordCrash([]run{r})
		return
	}
	c.guard.Detector.checkReplica(r)
}
