// Package forward implements the request path for opaque calls: it passes bodies through
// unchanged and takes all metadata of a call from its headers.
//
// # Guarantees
//
//   - A call that may not be repeated is sent again only after an attempt that
//     provably did not run (outcome.NotRun).
//   - A refusal says "not run" only if no attempt of the call may have run.
//   - A response reaches the caller only if it belongs to the call and is complete. A
//     stream that breaks ends with a cut connection, so it never looks complete.
//   - Events of a stream are delivered in order, each complete and once, also when
//     another replica resumes the stream after the last one.
//   - A stream goes on only at the software version at which it began, at any VM and over
//     all calls by which its caller takes it up.
//   - A call with an API key is sent only if this VM has proof, not older than KeyTTL, that
//     its catalog was the newest one. This holds across suspensions of the VM.
//   - Workspaces keep to their allowances summed over all VMs (package allowance).
//   - A VM that shuts down takes only calls that end before its drain does (drain.go).
//   - A request that repeatedly crashes replicas is kept from further replicas,
//     whichever VM receives it (package quarantine).
//
// # Stages
//
// admit (handler.go) reads the call, the catalog and the key. decide.go picks a replica
// and the address from which this replica fetches KV cache. attempt.go sends the call and
// reads the response. follow.go follows the attempts of a call, and whole.go and stream.go pass
// their responses on. run.go classifies outcomes, retry.go decides whether a failed call is sent
// again, and move.go sends a call whose replica is silent to another one as well.
//
// A Dialect defines the header names that callers and replicas use.
package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/bodies"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/streams"
	"github.com/threadwall/threadwall/internal/upstream"
)

// Call is the metadata that a caller gives for its request.
type Call struct {
	ID        ids.Request
	Key       string        // API key; empty: none
	Deadline  time.Duration // how long the caller waits, from the call's arrival; zero: not given
	Tokens    int64         // prompt tokens plus the maximum of response tokens; zero: not given
	Prompt    *Prompt       // nil: no prompt described
	LastEvent string        // resume the stream after this event; empty: from the start
	Resumes   ids.Request   // call that brought the first event of the stream; empty: not given
}

// Prompt describes a prompt without its text.
type Prompt struct {
	Model  ids.Model
	Tokens int32 // of the whole prompt
	Parts  []kvcache.Part
}

// Send is the metadata of one attempt, sent in addition to the caller's own headers.
type Send struct {
	Call      *Call
	Replica   ids.Target
	Workspace ids.Workspace // empty: the route is public
	Remaining time.Duration // until the call's deadline
	Priority  int           // 0 to 9; 0 is the most urgent
	LastEvent string        // resume after this event; empty: from the start
	Weights   ids.WeightsVersion
	Salt      string // empty: none
	Fetch     string // ip:port to fetch KV cache from; empty: none
	Save      string // ip:port to save KV cache to; empty: none
}

// Reply is the metadata in the head of a response.
type Reply struct {
	Request  ids.Request        // the request that it answers; empty: not given
	Signed   bool               // it carries the replica's signature
	NotRun   bool               // the replica did not run the request
	Mismatch bool               // the replica has other weights, or another identity, than requested
	Replica  ids.Target         // the replica that answered; empty: not given
	Weights  ids.WeightsVersion // the weights that the replica has; empty: not given
	Signals  membership.Signals // the rest (a time without calls), rate limit or leaving that the replica announces
}

// Dialect translates between headers and this package's types. It makes no decisions.
// Implementations must be safe for concurrent use.
type Dialect interface {
	// ReadCall reads the metadata of a call. After an error the call is refused as a bad request.
	ReadCall(h http.Header) (Call, error)
	// WriteSend removes from h the headers that only the router may set, and adds s.
	WriteSend(h http.Header, s *Send)
	// WriteRemaining sets the time until the call's deadline, which WriteSend has set earlier.
	WriteRemaining(h http.Header, remaining time.Duration)
	// ReadReply reads the metadata of a response.
	ReadReply(status int, h http.Header) Reply
}

// Stats are counters of the request path.
//
// Refused counts calls answered as not run; Shed counts those of them that would have been late.
// Failed counts calls that failed with another outcome before a part of a response was passed on,
// and Broken those that failed later. Attempts counts sends, including those that did not run, and
// BudgetEmpty calls that were not retried because the retry budget was used up.
type Stats struct {
	Requests, Refused, Shed, Failed, Broken, Attempts, Retries, BudgetEmpty atomic.Int64
	// Withdrawn counts sends that were cancelled because the replica had not begun them when
	// its weights became too old.
	Withdrawn atomic.Int64
	// LateStarts counts calls whose first output came from a replica whose weights had become too old by then.
	LateStarts atomic.Int64
	// Unread counts calls that were aborted because their callers did not read.
	Unread atomic.Int64
	// OffPool counts decisions for an engine of the other pool than the route's.
	OffPool                atomic.Int64
	Fetches, Saves, Events atomic.Int64
}

// Forwarder serves opaque calls. Set its exported fields before it serves; the atomic ones may
// change at any time. Safe for concurrent use.
type Forwarder struct {
	VM       ids.VM
	Domain   ids.FailureDomain
	Catalog  *catalog.Current
	Fleet    *fleet.Fleet
	Upstream *upstream.Client
	Dialect  Dialect
	Budgets  *retry.ServiceBudgets
	KV       *Planner
	Weights  WantedWeights
	Log      *eventlog.Log
	// Allowances bounds the use of workspaces summed over all VMs. Nil: no bounds.
	Allowances *allowance.Limiter
	// Guard keeps requests that crash replicas from further replicas. Nil: no request is
	// kept back.
	Guard *quarantine.Guard
	// AddRendezvousTargets makes the first n rendezvous targets of a key known to decisions.
	// Nil: decisions know all replicas.
	AddRendezvousTargets func(service string, key uint64, n int)
	// Software selects the versions of a service's software that calls may go to. Nil: all.
	Software *canary.Gate
	// Demand counts calls and knows those of all VMs. Nil: they are not counted.
	Demand *demand.Tracker
	// FairShares admits calls by fair shares of their workspaces while capacity is short, which Demand
	// tells.
	FairShares bool
	// Streams knows where streams began on all VMs. Nil: calls that take up a stream are served only if Versions shows that
	// its version can't be another.
	Streams *streams.Directory
	// Versions knows the software versions of replicas. Nil: calls that take up a stream may go to any version.
	Versions Versions
	// ObserveWeights records the weights that a replica reports in a response.
	ObserveWeights func(id ids.Target, w ids.WeightsVersion)
	Tuning         Tuning
	// KeyTTL is the maximum age, when a call with an API key is sent, of the proof that the
	// catalog is the newest. It holds a time.Duration. Zero: any age.
	KeyTTL  atomic.Int64
	Stats   Stats
	Latency Histogram
	// Prediction counts the errors of predicted times to the first event.
	Prediction PredictionErrors
	// Late counts responses by whether and why they were late, and Refusals counts refusals and
	// failures by cause.
	Late     LateCounts
	Refusals RefusalCounts
	// Cuts counts answers that ended early.
	Cuts CutCounts
	// Moves counts sends to another replica while a call's own was silent.
	Moves MoveCounts

	// Bodies holds the callers' bodies.
	Bodies bodies.Memory

	drain     drain
	durations durations
	usual     usualWork
	draws     draws
	calls     activeCalls
	inFlight  atomic.Int64
	responses responseMemory
}

// Tuning holds the bounds of the request path. Settings fill it.
type Tuning struct {
	// MaxInFlight bounds calls in flight.
	MaxInFlight int64
	// MaxResponseMemory bounds the memory of responses that are buffered before they are passed on,
	// in bytes, and MaxResponseMemoryPerWorkspace that of one workspace. Zero: responses are not
	// buffered beyond one chunk.
	MaxResponseMemory, MaxResponseMemoryPerWorkspace int64
	// ReaderTimeout is how long a caller may leave a chunk of its response unread. Zero: no limit.
	ReaderTimeout time.Duration
}

var _ http.Handler = (*Forwarder)(nil)

// ResponseBytes returns the memory reserved for buffered responses, in bytes.
func (f *Forwarder) ResponseBytes() int64 { return f.responses.InUse() }

// InFlight returns the number of calls being served.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }
