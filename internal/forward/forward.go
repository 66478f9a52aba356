// Package forward is the request path for opaque calls: their bodies pass through
// unchanged, and what has to be known of them stands in their headers.
//
// # Promises
//
//   - A call that may not be repeated is sent again only after an attempt that
//     provably did not run (outcome.NotRun).
//   - A refusal that says "not run" is given only if no attempt of the call may
//     have run.
//   - An answer reaches the caller only if it is the call's own and whole; a stream
//     that breaks ends with a cut connection, never as if complete.
//   - Events of a stream go out in order, each whole and once, also when another
//     replica goes on behind the last one.
//   - A call with an API key is sent only while this VM can prove that its
//     catalog was the newest a short while ago, also if the VM was suspended since.
//   - Workspaces keep to their allowances over all VMs together (package allowance).
//   - A request under which replicas crash again and again is kept from further
//     ones, whichever VM it comes to (package quarantine).
//
// # Stages
//
// admit (handler.go) reads the call, the catalog and the key; decide.go picks a
// replica and what KV cache it should fetch; run.go sends, judges the outcome and
// tries again where that is allowed; whole.go and stream.go pass answers on.
//
// How callers and replicas name things in their headers is a Dialect's matter.
package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/upstream"
)

// Call is what a caller says of its request.
type Call struct {
	ID        ids.Request
	Key       string        // API key; empty: none
	Deadline  time.Duration // how long the caller waits, from the call's arrival; zero: not said
	Tokens    int64         // of its prompt and at most of its answer; zero: not said
	Prompt    *Prompt       // nil: none described
	LastEvent string        // the caller has a stream up to this event
}

// Prompt describes a prompt without showing it.
type Prompt struct {
	Model  ids.Model
	Tokens int32 // of the prompt
	Parts  []kvcache.Part
}

// Send is what goes along with one attempt, beside the caller's own headers.
type Send struct {
	Call      *Call
	Replica   ids.Target
	Workspace ids.Workspace // empty: the route is public
	Remaining time.Duration // until nobody waits any more
	Priority  int           // 0 to 9, 0 is first
	LastEvent string        // go on behind this event; empty: from the start
	Weights   ids.WeightsVersion
	Salt      string // empty: none
	Fetch     string // ip:port to fetch KV cache from; empty: none
	Save      string // ip:port to save KV cache to; empty: none
}

// Reply is what the head of an answer says of itself.
type Reply struct {
	Request  ids.Request        // the request that it answers; empty: it does not say
	Signed   bool               // it bears the replica's signature
	NotRun   bool               // the replica did not run the request
	Mismatch bool               // the replica has other weights, or another identity, than asked for
	Replica  ids.Target         // who answered; empty: it does not say
	Weights  ids.WeightsVersion // the weights that it has; empty: it does not say
	Signals  membership.Signals // what the replica asks for
}

// Dialect translates between headers and this package's types. It decides nothing.
type Dialect interface {
	ReadCall(h http.Header) (Call, error)
	// WriteSend removes from h what only the router may say, and adds s.
	WriteSend(h http.Header, s *Send)
	ReadReply(status int, h http.Header) Reply
}

// Stats are counters of the request path.
type Stats struct {
	Requests, Refused, Shed, Failed, Broken, Attempts, Retries, BudgetEmpty atomic.Int64
	// Withdrawn are sends that were ended since the replica had not begun them when its
	// weights became too old.
	Withdrawn atomic.Int64
	// Unread are calls that were cut off since their callers did not read.
	Unread                 atomic.Int64
	Fetches, Saves, Events atomic.Int64
}

// Forwarder serves opaque calls. Its fields are set before it serves.
type Forwarder struct {
	VM       ids.VM
	Domain   ids.FailureDomain
	Catalog  *catalog.Current
	Fleet    *fleet.Fleet
	Upstream *upstream.Client
	Dialect  Dialect
	Budgets  *retry.Services
	KV       *Planner
	Weights  WantedWeights
	Log      *eventlog.Log
	// Allowances bounds what workspaces use over all VMs. Nil: nothing does.
	Allowances *allowance.Limiter
	// Guard keeps requests that crash replicas from further ones. Nil: none are.
	Guard *quarantine.Guard
	// AddRendezvousTargets sees to it that decisions know the replicas that come first for a key. Nil: they
	// know all.
	AddRendezvousTargets func(service string, key uint64, n int)
	// Software decides to which versions of a service's software calls go. Nil: to all.
	Software *canary.Gate
	// ObserveWeights is told what weights a replica says it has.
	ObserveWeights func(id ids.Target, w ids.WeightsVersion)
	Tuning         Tuning
	// KeyTTL is how old the proof of the catalog may be when a call with an API key is
	// sent, a time.Duration. Zero: any age.
	KeyTTL  atomic.Int64
	Stats   Stats
	Latency Histogram
	// Prediction tells by how much predicted times to the first event were wrong.
	Prediction PredictionErrors
	// Late tells whether and why answers were late, and Refusals why there were none.
	Late     LateCounts
	Refusals RefusalCounts

	// Draining is set when the VM shuts down: answers then ask callers to come
	// back on another connection.
	Draining atomic.Bool

	usual     usualWork
	calls     activeCalls
	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	answers   answerMemory
}

// Tuning holds the bounds of the request path. Settings fill it.
type Tuning struct {
	// MaxBodyMemory bounds the callers' bodies in memory, in bytes.
	MaxBodyMemory int64
	// MaxInFlight bounds calls in flight.
	MaxInFlight int64
	// MaxResponseMemory bounds the answers that are read whole before they are passed on, in bytes,
	// and MaxResponseMemoryPerWorkspace those of one workspace. Zero: none is.
	MaxResponseMemory, MaxResponseMemoryPerWorkspace int64
	// ReaderTimeout is how long a caller may leave a piece of its answer unread. Zero: for good.
	ReaderTimeout time.Duration
}

var _ http.Handler = (*Forwarder)(nil)

// ResponseBytes returns how much the answers hold that are read whole, in bytes.
func (f *Forwarder) ResponseBytes() int64 { return f.answers.InUse() }

// InFlight returns how many calls are being served.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }
