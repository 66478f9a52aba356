// Package admission decides whether a request may start, before the VM claims or
// sends anything for it. A refused request has therefore certainly not run, and
// each refusal says when to retry.
//
// Admit checks the VM's capacity, this VM's share of the workspace's concurrency limit
// and the workspace's rate limit (package allowance), in this order. Check refuses
// requests under overload: as the predicted time to first token grows, it first refuses
// workspaces above their fair share, and beyond a bound that depends on priority it
// refuses every request.
package admission

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/verdict"
)

// Tuning holds the limits of a Limiter.
type Tuning struct {
	// SoftWait is the predicted time to first token above which requests of
	// workspaces at twice their fair share or more are refused. The bound falls linearly from
	// HardWait at the fair share to SoftWait at twice that. Default 1.5s.
	SoftWait time.Duration
	// HardWait is the predicted time to first token above which every request of
	// priority 0 is refused. Default 6s.
	HardWait time.Duration
	// PriorityStep is the factor applied to HardWait for each step of priority.
	// Default 1.25.
	PriorityStep float64
	// UsageHalfLife is the half-life of recorded token usage. Default 5s.
	UsageHalfLife time.Duration
	// MaxInFlight bounds the requests in flight on this VM. Default 2048.
	MaxInFlight int
}

// DefaultTuning holds the defaults; docs/design/limits.md has the measurements behind them.
var DefaultTuning = Tuning{
	SoftWait: 1500 * time.Millisecond, HardWait: 6 * time.Second, PriorityStep: 1.25,
	UsageHalfLife: 5 * time.Second, MaxInFlight: 2048,
}

// Limiter admits or refuses the requests of one VM. Safe for concurrent use.
type Limiter struct {
	tuning  Tuning
	allowed *allowance.Limiter
	now     func() time.Time

	mu         sync.Mutex
	inFlight   int
	workspaces map[ids.Workspace]*workspaceLoad
	usage      *usage
}

// workspaceLoad counts one workspace's requests in flight on this VM.
type workspaceLoad struct{ inFlight int }

// New returns a limiter that enforces the workspaces' allowances. If now is nil, it uses
// clock.Now.
func New(t Tuning, allowed *allowance.Limiter, now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{tuning: t, allowed: allowed, now: now, workspaces: map[ids.Workspace]*workspaceLoad{}, usage: newUsage(t.UsageHalfLife)}
}

// burstSeconds is the burst size of a workspace, in seconds of its rate.
const burstSeconds = 2

// AllowanceOf returns a workspace's request allowance over all VMs.
func AllowanceOf(l config.Limits) allowance.Limit {
	return allowance.Limit{Rate: l.RequestsPerSecond, Burst: max(l.RequestsPerSecond*burstSeconds, 1)}
}

// retryCapacity is the Retry-After of a refusal for lack of capacity.
const retryCapacity = 500 * time.Millisecond

// Admit counts a request as in flight, or refuses it if the VM or the workspace is at
// a limit. The caller must call release exactly once, when the request ends. If the request
// is refused, release is nil.
func (l *Limiter) Admit(ws ids.Workspace, limits config.Limits) (release func(), refusal *outcome.Error) {
	l.allowed.SetLimit(ws, AllowanceOf(limits))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.tuning.MaxInFlight {
		return nil, refuse(outcome.CodeOverloaded, "this VM is at its limit of requests in flight", retryCapacity)
	}
	s := l.workspace(ws)
	if s.inFlight >= max(1, int(float64(limits.Concurrency)*l.allowed.Share(ws))) {
		return nil, refuse(outcome.CodeRateLimited, "the workspace is at its limit of requests in flight", retryCapacity)
	}
	decision := l.allowed.Take(allowance.Call{Workspace: ws, Cost: 1})
	if !decision.Admitted {
		return nil, refuse(outcome.CodeRateLimited, "the workspace is over its rate limit", decision.RetryAfter)
	}
	l.inFlight++
	s.inFlight++
	l.usage.setWeight(ws, limits.Weight)
	return func() { l.release(s) }, nil
}

func refuse(code outcome.Code, message string, after time.Duration) *outcome.Error {
	return outcome.New(outcome.NotRun, code, "admit", "", message).After(after)
}

// workspace returns a workspace's counts. The caller holds l.mu.
func (l *Limiter) workspace(ws ids.Workspace) *workspaceLoad {
	s := l.workspaces[ws]
	if s == nil {
		s = &workspaceLoad{}
		l.workspaces[ws] = s
	}
	return s
}

func (l *Limiter) release(s *workspaceLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	s.inFlight--
}

// InFlight returns the number of admitted requests that have not ended.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Check refuses a request if its predicted time to first token exceeds the bound for
// its priority and for its workspace's recent usage. Otherwise it adds the request's
// tokens to that usage.
func (l *Limiter) Check(ws ids.Workspace, priority int, tokens int32, predicted time.Duration) *outcome.Error {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	over := l.usage.overShare(ws, now)
	waits := verdict.Waits{Soft: l.tuning.SoftWait, Hard: l.tuning.HardWait, Step: l.tuning.PriorityStep}
	if limit := waits.Longest(priority, over); predicted > limit {
		return refuse(outcome.CodeOverloaded, "the engines are overloaded", predicted-limit+retryCapacity)
	}
	l.usage.add(ws, float64(tokens), now)
	return nil
}
