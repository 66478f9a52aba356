package quarantine

import (
	"fmt"
	"net/http"
	"slices"

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
	fingerprint *Fingerprint  // nil until first needed
	parts       []Fingerprint // nil until first needed
}

// Call returns a guarded call. The request's body must not change until the call ends, or until ForgetBody.
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

// ForgetBody makes the call independent of the bytes of its request's body, which may then be used again.
func (c *Call) ForgetBody() {
	if c.ledger() != nil {
		c.Fingerprint()
	}
	c.request.Body = nil
}

// partLedger returns the guard's ledger of parts, or nil if there is none.
func (c *Call) partLedger() *Ledger {
	if c.guard == nil || c.guard.Detector == nil {
		return nil
	}
	return c.guard.Detector.Parts
}

// Parts returns the fingerprints of the parts of the call's prompt that other requests may share, computing them on the first
// use.
func (c *Call) Parts() []Fingerprint {
	if c.parts == nil && len(c.request.Parts) > 0 {
		c.parts = c.request.PartFingerprints()
	}
	return c.parts
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

func (c *Call) refusal(first bool, trial trialFunc) *outcome.Error {
	if e := c.refusalOfParts(first, trial); e != nil {
		return e
	}
	ledger := c.ledger()
	if ledger.Empty() {
		return nil
	}
	crashes, quarantined := ledger.Quarantined(c.Fingerprint())
	if !quarantined || first && trial(ledger, c.Fingerprint(), c.rank(c.Fingerprint())) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.CodeQuarantined, Step, "",
		fmt.Sprintf("%d replicas crashed while they ran this request; it is not sent to any more", crashes))
}

// trialFunc is TrialDue or Trial of a ledger.
type trialFunc func(l *Ledger, f Fingerprint, rank int) bool

// refusalOfParts returns the refusal of a call whose prompt holds a part that crashes replicas, or nil. A call with several
// such parts is no trial.
func (c *Call) refusalOfParts(first bool, trial trialFunc) *outcome.Error {
	ledger := c.partLedger()
	if ledger.Empty() {
		return nil
	}
	var found []Fingerprint
	crashes := 0
	for _, f := range c.Parts() {
		if n, quarantined := ledger.Quarantined(f); quarantined {
			found, crashes = append(found, f), max(crashes, n)
		}
	}
	if len(found) == 0 || len(found) == 1 && first && trial(ledger, found[0], c.rank(found[0])) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.CodeQuarantined, Step, "",
		fmt.Sprintf("%d replicas crashed while they ran requests with a part of this prompt; such requests are not sent to any more", crashes))
}

// Suspected reports whether replicas crashed under a part of the call's prompt that no VM has seen answered.
func (c *Call) Suspected() bool {
	ledger := c.partLedger()
	if ledger.Empty() {
		return false
	}
	return slices.ContainsFunc(c.Parts(), ledger.Suspected)
}

// rank returns the number of live VMs that precede this one for the trial of a request or a part.
func (c *Call) rank(f Fingerprint) int {
	if c.guard.Rank == nil {
		return 0
	}
	return c.guard.Rank(ids.Target(f.String()))
}

// Answered records that a replica answered the call with a status. It ignores statuses from 500
// up, since a call that failed may not have reached the fault.
func (c *Call) Answered(status int) {
	if answered := c.AnsweredLater(status); answered != nil {
		answered()
	}
}

// GoesOn records that the answer to the call has gone on after its beginning, which shows that the replica survives the
// parts of the prompt.
func (c *Call) GoesOn() {
	ledger := c.partLedger()
	if ledger == nil {
		return
	}
	for _, f := range c.Parts() {
		ledger.Answered(f)
	}
}

// AnsweredLater returns a function that does the same as Answered, for an answer whose end does not show that it is complete. The function
// does not hold the request, and may be called at any time; nil: there is nothing to record.
func (c *Call) AnsweredLater(status int) (answered func()) {
	ledger, partLedger := c.ledger(), c.partLedger()
	if ledger == nil || status >= http.StatusInternalServerError {
		return nil
	}
	request, parts := c.Fingerprint(), c.Parts()
	if partLedger == nil || status >= http.StatusMultipleChoices {
		parts = nil // the replica has not begun to write an answer on them
	}
	return func() {
		ledger.Answered(request)
		for _, f := range parts {
			partLedger.Answered(f)
		}
	}
}

// ReportBroken starts a check whether the replica of a broken send has ended. ended must be set
// if the caller knows that it has. ReportBroken does not wait for the check.
func (c *Call) ReportBroken(s Send, ended bool) {
	if c.ledger() == nil {
		return
	}
	r := run{Send: s, request: c.Fingerprint(), parts: c.Parts(), id: c.id}
	if ended {
		c.guard.Detector.recordCrash([]run{r})
		return
	}
	c.guard.Detector.checkReplica(r)
}
