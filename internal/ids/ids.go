// Package ids defines distinct types for names and ids, so that the compiler rejects a
// VM's name where a target's is expected.
package ids

import "github.com/google/uuid"

// VM names one entry VM. It stays the same when the daemon restarts.
type VM string

// Target names one replica of a model engine or of a plain service.
type Target string

// FailureDomain names a group of entry VMs and targets that can fail or be partitioned
// from the rest together.
type FailureDomain string

// Workspace names one tenant.
type Workspace string

// Model names a model that engines serve.
type Model string

// WeightsVersion names one set of weights of a model.
type WeightsVersion string

// SoftwareVersion names a version of the software that a target runs. Empty if
// the target reports none.
type SoftwareVersion string

// Incarnation numbers the starts of a VM or target. A larger number is a later start;
// state that was recorded about an earlier incarnation is no longer valid.
type Incarnation uint64

// Request identifies one caller's request in responses, logs and the timeline.
type Request string

// Attempt identifies one attempt to run a request on a target. An id that a target may
// have run is not used again.
type Attempt string

// NewRequest returns a new request id. Ids are ordered by time.
func NewRequest() Request { return Request("req-" + newUUID()) }

// NewAttempt returns a new attempt id. Ids are ordered by time.
func NewAttempt() Attempt { return Attempt("att-" + newUUID()) }

func newUUID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
