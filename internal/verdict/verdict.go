// Package verdict holds the policies for calls to a model: whether a call is admitted or refused
// with a retry delay (late.go, share.go), and which KV cache transfers go with it (moves.go).
// Package routing chooses the target, in the same style.
//
// All functions are pure: no I/O, no clock, no lock, no state. Both request paths use them
// (packages dispatch, through admission, and forward), and so does the simulation in package
// yardstick, so that the policy measured there is the policy that runs.
//
// Each file describes the workload that its policy handles and the reasons for its limits.
package verdict

import "time"

// seconds converts a prediction of package routing, in seconds, to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
