// Package claims lets a call that may not be repeated run at most once, across
// the caller's retries through any VM, crashes, pauses and lost store answers.
//
// # Protocol
//
// A claim is one object of the platform's object API, keyed by workspace and
// idempotency key. It names a one-use attempt.
//
//  1. Before the first byte goes to a target, a VM writes the claim: a create
//     when there is none, a conditional update when the last attempt is known
//     not to have run (StateReleased).
//  2. Only the goroutine that holds the attempt may dispatch it, once.
//  3. After the attempt the holder settles the claim: Ran (with the answer when
//     the template keeps it), Released (it did not run) or Unknown.
//
// # Invariants
//
//   - Nobody takes over an attempt in StateClaimed. A VM that dies between claim
//     and settlement leaves the key claimed for good: its duplicates are told
//     "unknown", and never run.
//   - A claim leaves StateClaimed only by the hand of the VM that wrote it.
//   - A VM that could not find out whether its claim was written refuses with
//     not-run, which is true since it never dispatches that attempt. It settles
//     the abandoned attempt as released later, in a way that also beats a write
//     still under way: see Ledger.abandon.
//
// spec/claims.pml models this protocol; its comments name the functions here.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/outcome"
)

// Prefix is where claims live in the object API.
const Prefix = "claims/"

// State is what is known of a claim's latest attempt.
type State string

// The states.
const (
	StateClaimed  State = "claimed"  // it may run, or have run
	StateReleased State = "released" // it did not run and never will
	StateRan      State = "ran"
	StateUnknown  State = "unknown" // it may have run; nobody works on it
)

// Response is a recorded answer of a plain service.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Kept        bool   `json:"kept"` // false: only the fact is recorded
}

// Record is a claim as stored.
type Record struct {
	Attempt  ids.Attempt `json:"attempt"`
	BodyHash string      `json:"body_hash"` // of method, path and body
	State    State       `json:"state"`
	VM       ids.VM      `json:"vm"`
	Deadline time.Time   `json:"deadline"` // of the attempt, by the VM's clock
	KeyTime  time.Time   `json:"key_time"` // of a UUIDv7 key; zero: kept for good
	Response *Response   `json:"answer,omitempty"`
}

// Call identifies what a caller asked for.
type Call struct {
	Workspace ids.Workspace
	Key       string // idempotency key
	BodyHash  string
	Deadline  time.Time
	KeyTime   time.Time
}

// Held is the right to dispatch one attempt once.
type Held struct {
	Attempt ids.Attempt
	key     string
	record  Record
	version objectapi.Revision
}

// AlreadyRan is returned by Ledger.Claim when the call ran before.
type AlreadyRan struct{ Response Response }

// Error implements error.
func (*AlreadyRan) Error() string { return "the call ran before" }

// Ledger claims and settles for one VM. Safe for concurrent use.
type Ledger struct {
	store   objectapi.Store
	vm      ids.VM
	settler *Settler
	now     func() time.Time
}

// NewLedger returns a ledger over the store. Claims that can't be settled at once
// go to settler.
func NewLedger(store objectapi.Store, vm ids.VM, settler *Settler, now func() time.Time) *Ledger {
	if now == nil {
		now = time.Now
	}
	return &Ledger{store: store, vm: vm, settler: settler, now: now}
}

// ObjectKey is where a claim is stored. The caller's key is hashed, so it may
// hold any characters.
func ObjectKey(ws ids.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + string(ws) + "/" + hex.EncodeToString(sum[:16])
}

// HashCall returns the value for Call.BodyHash.
func HashCall(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// retryInProgress is when a duplicate of a running call should come back.
const retryInProgress = time.Second

// retryStoreDown is when a caller should come back after a store failure.
const retryStoreDown = 2 * time.Second

// Claim writes a claim for a fresh attempt. It returns *AlreadyRan when the call
// ran before, and *outcome.Error otherwise: not-run when this call certainly did
// not and does not run, unknown when an earlier attempt of the same call may
// have.
func (l *Ledger) Claim(ctx context.Context, c Call) (*Held, error) {
	rec := Record{
		Attempt: ids.NewAttempt(), BodyHash: c.BodyHash, State: StateClaimed,
		VM: l.vm, Deadline: c.Deadline, KeyTime: c.KeyTime,
	}
	key := ObjectKey(c.Workspace, c.Key)
	obj, err := objectapi.ResolveCreate(ctx, l.store, key, rec.encode(), rec.isMine)
	if errors.Is(err, objectapi.ErrExists) {
		return l.claimExisting(ctx, key, rec, obj)
	}
	return l.held(key, rec, obj, err)
}

// claimExisting decides by what an earlier attempt left behind.
func (l *Ledger) claimExisting(ctx context.Context, key string, rec Record, obj objectapi.Object) (*Held, error) {
	var old Record
	if err := json.Unmarshal(obj.Value, &old); err != nil {
		return nil, outcome.Wrap(err, outcome.Unknown, outcome.CodeOutcomeUnknown, "claim", "store", "the record of an earlier call with this key can't be read")
	}
	if old.BodyHash != rec.BodyHash {
		return nil, outcome.New(outcome.NotRun, outcome.CodeKeyReused, "claim", "", "this idempotency key was used for another call")
	}
	switch old.State {
	case StateRan:
		return nil, &AlreadyRan{Response: *old.Response}
	case StateReleased:
		obj, err := objectapi.ResolveUpdate(ctx, l.store, key, rec.encode(), obj.Version, rec.isMine)
		if errors.Is(err, objectapi.ErrConflict) {
			return nil, inProgress()
		}
		return l.held(key, rec, obj, err)
	case StateClaimed:
		if l.now().Before(old.Deadline) {
			return nil, inProgress()
		}
	}
	return nil, outcome.New(outcome.Unknown, outcome.CodeOutcomeUnknown, "claim", string(old.VM),
		"an earlier attempt of this call may have run, and it is not run again")
}

func inProgress() *outcome.Error {
	return outcome.New(outcome.Unknown, outcome.CodeInProgress, "claim", "", "a call with this idempotency key is running").After(retryInProgress)
}

// held turns the end of a claiming write into a Held or a true refusal.
func (l *Ledger) held(key string, rec Record, obj objectapi.Object, err error) (*Held, error) {
	if err == nil {
		return &Held{Attempt: rec.Attempt, key: key, record: rec, version: obj.Version}, nil
	}
	if errors.Is(err, objectapi.ErrAmbiguous) {
		l.settler.put(settlement{key: key, record: rec, state: StateReleased, abandoned: true})
	}
	return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeStoreDown, "claim", "store",
		"the call can't be recorded, so it was not run").After(retryStoreDown)
}

// Settle records how the attempt ended. It never fails towards the caller: what
// can't be written now is left to the settler, and until then the claim stays
// claimed, which is safe.
func (l *Ledger) Settle(ctx context.Context, h *Held, o outcome.Outcome, a *Response) {
	s := settlement{key: h.key, record: h.record, version: h.version, state: stateOf(o), answer: a}
	if err := l.settler.settle(ctx, s); err != nil {
		l.settler.put(s)
	}
}

func stateOf(o outcome.Outcome) State {
	switch o {
	case outcome.Ran:
		return StateRan
	case outcome.NotRun:
		return StateReleased
	default:
		return StateUnknown
	}
}

func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(eris.Wrap(err, "encode claim")) // plain data: can't fail
	}
	return b
}

// isMine compares the attempt, which is unique to one call of Claim.
func (r Record) isMine(stored []byte) bool {
	var s Record
	return json.Unmarshal(stored, &s) == nil && s.Attempt == r.Attempt
}
