// Package claims ensures that a non-idempotent call runs at most once, across the
// caller's retries through any VM, crashes, pauses and lost store responses.
//
// # Protocol
//
// A claim is one object of the platform's object API, keyed by workspace and
// idempotency key. It names an attempt that may be dispatched once.
//
//  1. Before it sends the first byte to a target, a VM writes the claim: a create
//     if there is none, a conditional update if the last attempt is known not to
//     have run (StateReleased).
//  2. Only the goroutine that holds the attempt may dispatch it, once.
//  3. After the attempt the holder settles the claim: StateRan (with the response
//     body if the template keeps it), StateReleased (it did not run) or StateUnknown.
//
// # Invariants
//
//   - No VM takes over an attempt in StateClaimed. A VM that crashes between claim
//     and settlement leaves the key claimed for good: duplicates of the call get
//     the outcome "unknown" and never run.
//   - Only the VM that wrote a claim moves it out of StateClaimed.
//   - A VM that could not determine whether its claim was written refuses the call
//     with not-run, which is correct since it never dispatches that attempt. It later
//     settles the abandoned attempt as released, in a way that also defeats a write
//     that is still in transit: see Settler.abandon.
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

// Prefix is the key prefix of claims in the object API.
const Prefix = "claims/"

// State is the state of a claim's latest attempt.
type State string

const (
	StateClaimed  State = "claimed"  // the attempt may run or have run
	StateReleased State = "released" // the attempt did not run and never will
	StateRan      State = "ran"
	StateUnknown  State = "unknown" // the attempt may have run, and no VM is working on it
)

// Response is the recorded response of a service call.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Kept        bool   `json:"kept"` // false: the body was not kept
}

// Record is a claim as stored.
type Record struct {
	Attempt  ids.Attempt `json:"attempt"`
	BodyHash string      `json:"body_hash"` // of method, path and body, by HashCall
	State    State       `json:"state"`
	VM       ids.VM      `json:"vm"`
	Deadline time.Time   `json:"deadline"`         // of the attempt, by the clock of VM
	KeyTime  time.Time   `json:"key_time"`         // of a UUIDv7 key; zero: the claim is kept for good
	Response *Response   `json:"answer,omitempty"` // set if State is StateRan
}

// Call identifies the call of a caller.
type Call struct {
	Workspace ids.Workspace
	Key       string    // idempotency key
	BodyHash  string    // by HashCall
	Deadline  time.Time // of the attempt; until then a duplicate is refused as in progress
	KeyTime   time.Time // by KeyTime of Key
}

// Held is a held claim: the right to dispatch one attempt once.
type Held struct {
	Attempt ids.Attempt
	key     string
	record  Record
	version objectapi.Revision
}

// AlreadyRan is the error of Ledger.Claim for a call that ran before, with its recorded response.
type AlreadyRan struct{ Response Response }

// Error implements the error interface.
func (*AlreadyRan) Error() string { return "the call ran before" }

// Ledger claims and settles the calls of one VM. It is safe for concurrent use.
type Ledger struct {
	store   objectapi.Store
	vm      ids.VM
	settler *Settler
	now     func() time.Time
}

// NewLedger returns a ledger on the store. Claims that cannot be settled at once
// go to settler. If now is nil, time.Now is used.
func NewLedger(store objectapi.Store, vm ids.VM, settler *Settler, now func() time.Time) *Ledger {
	if now == nil {
		now = time.Now
	}
	return &Ledger{store: store, vm: vm, settler: settler, now: now}
}

// ObjectKey returns the object key of a claim. It hashes the caller's key, which
// may contain any characters.
func ObjectKey(ws ids.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + string(ws) + "/" + hex.EncodeToString(sum[:16])
}

// HashCall returns the value for Call.BodyHash: a hash of the call's method, path and body.
func HashCall(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// retryInProgress is the retry delay for a duplicate of a running call.
const retryInProgress = time.Second

// retryStoreDown is the retry delay after a store failure.
const retryStoreDown = 2 * time.Second

// Claim writes a claim for a new attempt. The error is *AlreadyRan if the call ran
// before, and *outcome.Error otherwise: not-run if this call certainly did not and
// will not run, unknown if an earlier attempt of the same call may have run.
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

// claimExisting claims the call, or refuses it, depending on obj, the stored claim of an
// earlier attempt.
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

// held turns the result of a claiming write into a Held, or into a not-run error if the
// write failed. If the write was ambiguous, held has the settler release the attempt.
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

// Settle records how the attempt ended, with its response if it ran. It returns no
// error: if the write fails, the settler retries it, and until it succeeds the claim
// stays in StateClaimed, which is safe.
func (l *Ledger) Settle(ctx context.Context, h *Held, o outcome.Outcome, response *Response) {
	s := settlement{key: h.key, record: h.record, version: h.version, state: stateOf(o), response: response}
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
		panic(eris.Wrap(err, "encode claim")) // plain data cannot fail to encode
	}
	return b
}

// isMine reports whether stored holds the attempt of r, which is unique to one call
// of Claim.
func (r Record) isMine(stored []byte) bool {
	var s Record
	return json.Unmarshal(stored, &s) == nil && s.Attempt == r.Attempt
}
