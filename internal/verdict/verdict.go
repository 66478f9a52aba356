// Package verdict decides what becomes of a call to a model: whether it is let in or told
// to come back later (late.go, share.go), and which KV cache goes along with it (moves.go).
// Where it runs is decided by package routing, which works the same way.
//
// Everything here is a pure function of what is handed in: no I/O, no clock, no lock, no
// state. Both request paths decide with it, packages dispatch (by way of admission) and
// forward, and so does the model in package yardstick, so that a policy which is measured
// there is the one that runs.
//
// Each file names the load that its policy answers and why its limits are as they are.
package verdict

import "time"

// seconds converts a prediction of package routing.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
