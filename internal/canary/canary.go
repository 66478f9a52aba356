// Package canary rolls a service out to another version of its targets' software, step by
// step, and rolls back if the new version performs worse.
//
// # Protocol
//
// The store holds one record per service: the version in service and the progress of a
// rollout. All VMs watch the records, so the gate of each VM (gate.go) routes by the same
// record regardless of what VMs know of each other, and also after a restart.
//
// The VM that holds the lease acts (controller.go). It compares operators' orders with the
// records and writes the next state of a record by compare-and-swap (plan.go, pure). All VMs
// count the results of calls to both versions and report the counts to that VM
// (evidence.go), which derives a verdict from them (judge.go, pure).
//
//	proving    a small share of the calls goes to the canary
//	loading    a part of the canary's targets gets the load it would have in service
//	promoting  all new calls go to the canary; calls at other versions drain
//
// # Invariants
//
//   - A version that no order names gets no call while the version in service has a target,
//     and a version that was rolled back gets none until an operator orders it again.
//   - An order has one end. The record says rolled back before the status does, so that no
//     call goes to the version once the status says so; the status says completed before the
//     record does, on condition that the order is unchanged. If record and status differ, the
//     status takes precedence.
//   - The status of a rollout says completed only when each live VM has reported that it has
//     no call left at other versions and sends none, or at promotingDeadline.
//
// # Eras
//
// The store may come back from an older copy of itself, in a new era (objectapi.Revision), with an
// earlier record or none. Records are ordered by when they were written, so VMs keep the newest that
// they know, and the lease holder writes it again. An order that operators write again is the one
// that the record knows.
//
// # Known limits
//
// If all VMs restart while the newest record is lost, the one of the copy counts: a version that was
// rolled back since is tried once more.
//
// A VM cut off from the store and its peers keeps routing by the last record it has seen. If
// the targets have stopped by then, they refuse its connections, so these calls have not run.
package canary

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Prefix is the key prefix of the records in the store.
const Prefix = "canaries/"

// Stage is a stage of a rollout; the package comment describes each.
type Stage string

const (
	Idle      Stage = ""
	Proving   Stage = "proving"
	Loading   Stage = "loading"
	Promoting Stage = "promoting"
)

// End is the final state of an order.
type End string

const (
	Running    End = "" // the order has not ended
	Completed  End = "completed"
	RolledBack End = "rolled-back"
)

// OrderID identifies an order among those of one service.
type OrderID struct {
	Created objectapi.Revision  `json:"created"` // revision at which the operator's object was created
	Target  ids.SoftwareVersion `json:"target"`
}

// Same reports whether two identifiers are of one order. An order that operators write again after the
// store has lost it is created again, in a newer era, so orders of different eras for one version are
// the same.
func (o OrderID) Same(p OrderID) bool {
	return o.Target == p.Target && (o.Created == p.Created || o.Created.Era() != p.Created.Era())
}

// Order is an operator's request to move a service's traffic to a version.
type Order struct {
	OrderID
	Service string
	Key     string             // of the operator's object
	Within  time.Duration      // time limit of the rollout
	Version objectapi.Revision // revision of the object, for conditional writes of its status
	// Reported is the end that the object's status gives for Target; Running if the status
	// gives none.
	Reported End
	// HasStatus is set if the object's status is about Target.
	HasStatus bool
}

// Record is the stored state of one service. Its size grows with the number of versions that
// were rolled back.
type Record struct {
	Service string `json:"service"`
	// Stable is the version in service.
	Stable ids.SoftwareVersion `json:"stable"`
	// Barred lists the versions that were rolled back.
	Barred []ids.SoftwareVersion `json:"barred,omitempty"`
	// Order is the order that the fields below belong to; zero if there was none.
	Order  OrderID `json:"order"`
	End    End     `json:"end,omitempty"`
	Reason string  `json:"reason,omitempty"` // why the order ended
	// Canary is the version being rolled out; empty if none is.
	Canary ids.SoftwareVersion `json:"canary,omitempty"`
	Stage  Stage               `json:"stage,omitempty"`
	Share  float64             `json:"share,omitempty"` // fraction of the calls that go to the canary
	Part   float64             `json:"part,omitempty"`  // fraction of the canary's targets that serve them
	// Elapsed is the part of the order's time that had passed when By wrote the record.
	Elapsed time.Duration `json:"elapsed_ns,omitempty"`
	// Entered is the value of Elapsed at the start of the stage.
	Entered time.Duration `json:"entered_ns,omitempty"`
	// By is the VM that wrote the record and receives the reports of all VMs. Write is the
	// sequence number of the write at that VM.
	By    ids.VM `json:"by"`
	Write uint64 `json:"write"`
	// Era is the store's era in which the record was written.
	Era objectapi.Era `json:"era,omitempty"`
}

// written returns when a record was written that the store returns with the given revision. A record
// that the store has restored from a copy, in a newer era, keeps the number of its write.
func (r *Record) written(revision objectapi.Revision) objectapi.Revision {
	return objectapi.StartOf(min(r.Era, revision.Era())) + objectapi.Revision(revision.Number())
}

// same reports whether two records agree in all but the reason, the times and the write number.
func (r *Record) same(o *Record) bool {
	return r.Service == o.Service && r.Stable == o.Stable && slices.Equal(r.Barred, o.Barred) && r.Order == o.Order && r.End == o.End &&
		r.Canary == o.Canary && r.Stage == o.Stage && r.Share == o.Share && r.Part == o.Part && r.By == o.By
}

// barred reports whether a version was rolled back.
func (r *Record) barred(v ids.SoftwareVersion) bool { return slices.Contains(r.Barred, v) }

// Older reports whether version a precedes b. It compares the numbers in them as numbers and
// the rest as text.
func Older(a, b ids.SoftwareVersion) bool {
	for a != "" && b != "" {
		an, ar := leadingNumber(a)
		bn, br := leadingNumber(b)
		if an >= 0 && bn >= 0 && an != bn {
			return an < bn
		}
		if an < 0 || bn < 0 {
			if a[0] != b[0] {
				return a[0] < b[0]
			}
			ar, br = a[1:], b[1:]
		}
		a, b = ar, br
	}
	return len(a) < len(b)
}

// leadingNumber parses the number that a version begins with, up to 18 digits, and returns
// the rest; n is -1 if the version does not begin with a digit.
func leadingNumber(v ids.SoftwareVersion) (n int64, rest ids.SoftwareVersion) {
	const maxDigits = 18
	i := 0
	for i < len(v) && i < maxDigits && v[i] >= '0' && v[i] <= '9' {
		n = n*10 + int64(v[i]-'0')
		i++
	}
	if i == 0 {
		return -1, v
	}
	return n, v[i:]
}
