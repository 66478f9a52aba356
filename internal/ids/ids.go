// Package ids holds the typed names that the rest of threadwall passes around,
// so that a VM's name can never stand where a target's is meant.
package ids

import "github.com/google/uuid"

// VM names one entry VM. It stays the same over restarts of the daemon.
type VM string

// Target names one replica of a model engine or of a plain service.
type Target string

// FailureDomain names a group of entry VMs and targets that can be cut off as one.
type FailureDomain string

// Workspace names one tenant.
type Workspace string

// Model names a model that engines serve.
type Model string

// WeightsVersion names one set of weights of a model.
type WeightsVersion string

// SoftwareVersion names a version of the software that a target runs. Empty: it does not say.
type SoftwareVersion string

// Incarnation numbers the lives of a VM or target. A larger number is a later
// life; everything believed about an earlier life is void.
type Incarnation uint64

// Request identifies one caller's request in answers, logs and the time line.
type Request string

// Attempt identifies one try to run a request on one target. It is used once.
type Attempt string

// NewRequest returns a fresh, time-ordered request id.
func NewRequest() Request { return Request("req-" + newUUID()) }

// NewAttempt returns a fresh, time-ordered attempt id.
func NewAttempt() Attempt { return Attempt("att-" + newUUID()) }

func newUUID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
