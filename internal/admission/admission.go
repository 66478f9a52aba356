// Package admission decides whether a request may start at all, before anything
// is claimed or sent, so that every refusal of it is a true "not run" and says
// when to come back.
//
// Three gates stand one behind the other: the VM's own capacity, the workspace's
// rate (package allowance) and this VM's part of its concurrency, and overload: when
// the predicted wait grows, workspaces above their fair share are refused first,
// and past a bound that depends on priority everybody is.
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

// Tuning holds the bounds of the overload gate.
type Tuning struct {
	// SoftWait is the predicted time to first token above which workspaces
	// beyond their fair share are refused. Default 1.5s.
	SoftWait time.Duration
	// HardWait is the predicted time above which everybody of priority 0 is
	// refused. Default 6s.
	HardWait time.Duration
	// PriorityStep lengthens HardWait for each step of priority, as a factor.
	// Default 1.25.
	PriorityStep float64
	// UsageHalfLife is how fast past use stops to count. Default 5s.
	UsageHalfLife time.Duration
	// MaxInFlight bounds requests on this VM. Default 2048.
	MaxInFlight int
}

// DefaultTuning is measured in docs/design/limits.md.
var DefaultTuning = Tuning{
	SoftWait: 1500 * time.Millisecond, HardWait: 6 * time.Second, PriorityStep: 1.25,
	UsageHalfLife: 5 * time.Second, MaxInFlight: 2048,
}

// Limiter is the gatekeeper of one VM. Safe for concurrent use.
type Limiter struct {
	tuning  Tuning
	allowed *allowance.Limiter
	now     func() time.Time

	mu       sync.Mutex
	inFlight int
	spaces   map[ids.Workspace]*space
	usage    *usage
}

// space is one workspace's use of this VM.
type space struct{ inFlight int }

// New returns a limiter that keeps workspaces to their allowances. now is nil for that of
// package clock.
func New(t Tuning, allowed *allowance.Limiter, now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{tuning: t, allowed: allowed, now: now, spaces: map[ids.Workspace]*space{}, usage: newUsage(t.UsageHalfLife)}
}

// burstSeconds is how many seconds of its rate a workspace may use at once.
const burstSeconds = 2

// AllowanceOf returns what a workspace may use over all VMs, in requests.
func AllowanceOf(l config.Limits) allowance.Limit {
	return allowance.Limit{Rate: l.RequestsPerSecond, Burst: max(l.RequestsPerSecond*burstSeconds, 1)}
}

// retryCapacity is when to come back after a refusal for capacity.
const retryCapacity = 500 * time.Millisecond

// Admit takes one request in. The release function must be called once when the
// request ends.
func (l *Limiter) Admit(ws ids.Workspace, limits config.Limits) (release func(), refusal *outcome.Error) {
	l.allowed.SetLimit(ws, AllowanceOf(limits))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.tuning.MaxInFlight {
		return nil, refuse(outcome.CodeOverloaded, "this VM is full", retryCapacity)
	}
	s := l.space(ws)
	if s.inFlight >= max(1, int(float64(limits.Concurrency)*l.allowed.Part(ws))) {
		return nil, refuse(outcome.CodeRateLimited, "the workspace has too many requests in flight", retryCapacity)
	}
	judged := l.allowed.Take(allowance.Call{Workspace: ws, Cost: 1})
	if !judged.Admitted {
		return nil, refuse(outcome.CodeRateLimited, "the workspace is over its rate", judged.ComeBack)
	}
	l.inFlight++
	s.inFlight++
	l.usage.weight(ws, limits.Weight)
	return func() { l.release(s) }, nil
}

func refuse(code outcome.Code, message string, after time.Duration) *outcome.Error {
	return outcome.New(outcome.NotRun, code, "admit", "", message).After(after)
}

// space returns a workspace's use.
func (l *Limiter) space(ws ids.Workspace) *space {
	s := l.spaces[ws]
	if s == nil {
		s = &space{}
		l.spaces[ws] = s
	}
	return s
}

func (l *Limiter) release(s *space) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	s.inFlight--
}

// InFlight returns how many requests are being served.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Check is the overload gate: it judges a request by its predicted time to first
// token, and counts the tokens of one that may go on.
func (l *Limiter) Check(ws ids.Workspace, priority int, tokens int32, predicted time.Duration) *outcome.Error {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	over := l.usage.overShare(ws, now)
	waits := verdict.Waits{Soft: l.tuning.SoftWait, Hard: l.tuning.HardWait, Step: l.tuning.PriorityStep}
	if limit := waits.Longest(priority, over); predicted > limit {
		return refuse(outcome.CodeOverloaded, "the engines are full", predicted-limit+retryCapacity)
	}
	l.usage.add(ws, float64(tokens), now)
	return nil
}
