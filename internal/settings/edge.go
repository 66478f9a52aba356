package settings

import (
	"time"

	"github.com/threadwall/threadwall/internal/durations"
)

// Edge holds the settings of a VM that serves opaque requests. The comment of each field
// gives its effect, unit and default.
type Edge struct {
	// ReadyListen is the ip:port on which the platform's load balancer checks whether
	// this VM accepts new connections. Required.
	ReadyListen string `json:"ready_listen" validate:"required,hostname_port"`
	// KeyTTL is the maximum age of the configuration's proof when a request with an API
	// key is forwarded: a revoked key stops working within it. Default 0: any age.
	KeyTTL durations.Duration `json:"key_ttl,omitempty"`
	// ProofEvery is the longest interval between proofs that the configuration is the
	// newest. A shorter one costs more calls to the store; a longer one leaves less of
	// KeyTTL when the store becomes unavailable. Default 0.3 of KeyTTL, or 10s without it.
	ProofEvery durations.Duration `json:"proof_every,omitempty"`
	// WeightsWithin is how long older weights may be used after the configuration set
	// newer ones, at least 2s: 1s of it is reserved for the transit. Default 10s.
	WeightsWithin durations.Duration `json:"weights_within,omitempty" validate:"min=2000000000"`
	// WeightsAllWithin is how long engines may have older weights loaded after the
	// configuration set newer ones. If an engine would exceed it by finishing its requests
	// first, a rollout lets the requests continue under the new weights. At least
	// WeightsWithin. Default 1.4 times WeightsWithin.
	WeightsAllWithin durations.Duration `json:"weights_all_within,omitempty" validate:"omitempty,gtefield=WeightsWithin"`
	// StartGrace is how long after its start this VM is not yet held to bounds that need knowledge from before it.
	// It uses weights that are older than a version of unknown age until 1s before that, at most. At least 2s.
	// Default 4s.
	StartGrace durations.Duration `json:"start_grace,omitempty" validate:"min=2000000000"`
	// OrderTurn is the minimum time between the orders of one lease holder and those of
	// the next, for engines that check no fencing token. Default 3s.
	OrderTurn durations.Duration `json:"order_turn,omitempty"`
	// ReplicaHeartbeat is the interval at which replicas write their entries to the store. Default
	// 1.2s.
	ReplicaHeartbeat durations.Duration `json:"replica_heartbeat,omitempty"`
	// RetryRatio is how many attempts beyond the first all VMs together may make for
	// each request to a service. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty" validate:"min=0,max=1"`
	// RetryBurst is how many attempts beyond that ratio they may make at once. Default 10.
	RetryBurst float64 `json:"retry_burst,omitempty" validate:"min=0"`
	// RetryWindow is the length of the sliding window over which RetryRatio and
	// RetryBurst limit retries. Default 10s.
	RetryWindow durations.Duration `json:"retry_window,omitempty"`
	// AllowanceWindow is the length of the window over which a workspace's use is limited:
	// over all VMs together, at most its rate times the window plus its burst. Default 0:
	// its rate at any time, plus its burst.
	AllowanceWindow durations.Duration `json:"allowance_window,omitempty"`
	// AllowanceExcess is how far a workspace may exceed that limit, as a fraction of it.
	// VMs use some of it so as not to refuse requests only because they do not know each
	// other's use. Default 0.
	AllowanceExcess float64 `json:"allowance_excess,omitempty" validate:"min=0,max=1"`
	// AllowanceSlack is how far a workspace may exceed the limit in addition, in units of the
	// allowance (requests or tokens). Default 0.
	AllowanceSlack float64 `json:"allowance_slack,omitempty" validate:"min=0"`
	// Canaries declares that operators order versions of services' software: until such an
	// order, calls go only to the version in service. Default false: calls go to all
	// versions.
	Canaries bool `json:"canaries,omitempty"`
	// CanaryShare is the fraction of a service's calls that a version which turns out bad
	// may receive while its order is in force. Default 0.1.
	CanaryShare float64 `json:"canary_share,omitempty" validate:"min=0,max=1"`
	// CanarySlack is how many calls such a version may receive in addition. Default 50.
	CanarySlack float64 `json:"canary_slack,omitempty" validate:"min=0"`
	// FairShares admits calls with a prompt by max-min fair shares of their workspaces while the capacity
	// of a service is short. Default false: a call is refused only if it would be late at the best
	// replica.
	FairShares bool `json:"fair_shares,omitempty"`
	// DirectFleet is the largest number of entry VMs with which each VM reads the
	// platform's store by itself. In larger fleets one VM reads it for all that can
	// reach it: that takes fewer calls, but when that VM fails, the others may receive a
	// change 1s later. Default 12.
	DirectFleet int `json:"direct_fleet,omitempty" validate:"min=0"`
	// Subset is the largest number of replicas of each service that this VM uses; of a
	// larger service it uses a fixed subset. Default 256.
	Subset int `json:"subset,omitempty" validate:"min=0"`
	// TreeFleet is the number of other VMs beyond which updates are aggregated over a
	// tree of VMs: sent to each VM separately, a reported load would arrive after the
	// requests that it counts have ended. Default 100.
	TreeFleet int `json:"tree_fleet,omitempty" validate:"min=0"`
	// TestSuspension is for tests: SIGUSR2 advances the clock that governs expiry by this
	// time, as a suspension of the VM would. Default 0: the signal is not handled.
	TestSuspension durations.Duration `json:"test_suspension,omitempty"`
	// Grace is the time from SIGTERM until the platform kills the process. Default 10s.
	Grace durations.Duration `json:"grace,omitempty"`
	// ReaderTimeout is how long a caller may leave a chunk of its response unread before
	// its connection is closed, which frees the memory and the replica that it holds.
	// Default 5s.
	ReaderTimeout durations.Duration `json:"reader_timeout,omitempty"`
	// AnswerMB is the memory, in MB, for responses that are buffered in full before they are
	// forwarded; one workspace may use half of it. Beyond it responses are forwarded as
	// they arrive, and a failure in the middle of one can't be hidden from the
	// caller. Default an eighth of MemoryMB.
	AnswerMB int64 `json:"answer_mb,omitempty" validate:"min=0"`
	// MemoryMB is the memory that the process may use, in MB. Default 256.
	MemoryMB int64 `json:"memory_mb,omitempty" validate:"min=0"`
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s. In large fleets the VMs with
	// the fastest links read the store and aggregate updates for the others. Default 0:
	// unknown, which ranks last.
	LinkMbps float64 `json:"link_mbps,omitempty" validate:"min=0"`
}

// proofEveryFraction is the default of ProofEvery as a fraction of KeyTTL: the age of a proof
// counts from the sending of its call, so it reaches twice ProofEvery plus the call's
// duration.
const proofEveryFraction = 0.3

// defaultProofEvery is the default of ProofEvery without KeyTTL.
const defaultProofEvery = 10 * time.Second

// allWithinFactor is the default of WeightsAllWithin as a multiple of WeightsWithin.
const allWithinFactor = 1.4

// withDefaults returns e with every unset field set to its default.
func (e Edge) withDefaults() Edge {
	e.WeightsWithin = durations.Duration(e.WeightsWithin.Or(10 * time.Second))
	e.WeightsAllWithin = durations.Duration(e.WeightsAllWithin.Or(time.Duration(float64(e.WeightsWithin) * allWithinFactor)))
	e.StartGrace = durations.Duration(e.StartGrace.Or(4 * time.Second))
	e.OrderTurn = durations.Duration(e.OrderTurn.Or(3 * time.Second))
	e.ReplicaHeartbeat = durations.Duration(e.ReplicaHeartbeat.Or(1200 * time.Millisecond))
	e.RetryWindow = durations.Duration(e.RetryWindow.Or(10 * time.Second))
	e.Grace = durations.Duration(e.Grace.Or(10 * time.Second))
	proof := defaultProofEvery
	if e.KeyTTL > 0 {
		proof = time.Duration(float64(e.KeyTTL) * proofEveryFraction)
	}
	e.ProofEvery = durations.Duration(e.ProofEvery.Or(proof))
	orDefault(&e.RetryRatio, 0.1)
	orDefault(&e.RetryBurst, 10)
	orDefault(&e.DirectFleet, 12)
	orDefault(&e.TreeFleet, 100)
	orDefault(&e.CanaryShare, 0.1)
	orDefault(&e.CanarySlack, 50)
	e.ReaderTimeout = durations.Duration(e.ReaderTimeout.Or(5 * time.Second))
	orDefault(&e.Subset, 256)
	orDefault(&e.MemoryMB, 256)
	orDefault(&e.AnswerMB, max(e.MemoryMB/8, 1))
	return e
}
