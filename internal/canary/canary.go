// Package canary moves a service's traffic to another version of its targets' software, or
// keeps it where it is.
//
// # Protocol
//
// Which version is in service, and how far a move to another one is, stands in one record of
// the store for each service. All VMs follow it, so the gate of each (gate.go) sends by the
// same record whatever VMs know of each other, and after a restart.
//
// One VM acts at a time, under lease (controller.go). It compares the orders of operators
// with the records and writes the next state of a record on condition that it is unchanged
// (plan.go, pure). All VMs count how calls to both versions end and tell that VM their counts
// (evidence.go); it judges by them (judge.go, pure).
//
//	proving    a small part of the calls goes to the canary
//	loading    a part of the canary's targets gets as much work as it would have in service
//	promoting  all new calls go to the canary; the others' calls end
//
// # Invariants
//
//   - A version that nobody ordered gets no call as long as a target of the version in service
//     is left, and one that was rolled back gets none until it is ordered anew.
//   - An order has one end. The record says rolled back before the status does, so that no
//     call follows; the status says completed before the record does, on condition that the
//     order is unchanged. Where they differ the status counts.
//   - The status says completed only when each VM that is heard has told that no call of its
//     own is left at the other versions and that it sends none, or when time runs out.
//
// # What remains possible
//
// A VM that hears neither the store nor the others goes on by the last record that it has
// seen. Targets that have stopped meanwhile refuse its connections, so these calls have not run.
package canary

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Prefix is where the records lie in the store.
const Prefix = "canaries/"

// Stage is how far the move to a version is.
type Stage string

// The stages.
const (
	Idle      Stage = ""
	Proving   Stage = "proving"
	Loading   Stage = "loading"
	Promoting Stage = "promoting"
)

// End is how an order ended.
type End string

// The ends.
const (
	Running    End = "" // it has not
	Completed  End = "completed"
	RolledBack End = "rolled-back"
)

// OrderID tells orders for one service apart.
type OrderID struct {
	Created objectapi.Revision  `json:"created"` // of the operator's object
	Target  ids.SoftwareVersion `json:"target"`
}

// Order is an operator's wish to move a service's traffic to a version.
type Order struct {
	OrderID
	Service string
	Key     string             // of the object
	Within  time.Duration      // the time that it may take
	Version objectapi.Revision // of the object, for conditional writes of its status
	// Reported is what the object's status says of Target; Running too where it says nothing.
	Reported End
	// HasStatus tells that the status speaks of Target.
	HasStatus bool
}

// Record is the state of one service. Its size grows with the versions that were rolled back.
type Record struct {
	Service string `json:"service"`
	// Stable is the version in service.
	Stable ids.SoftwareVersion `json:"stable"`
	// Barred are versions that were rolled back.
	Barred []ids.SoftwareVersion `json:"barred,omitempty"`
	// Order is the order that the rest is about; zero: there was none.
	Order  OrderID `json:"order"`
	End    End     `json:"end,omitempty"`
	Reason string  `json:"reason,omitempty"` // of the end
	// Canary is the version that is being moved to; empty: none is.
	Canary ids.SoftwareVersion `json:"canary,omitempty"`
	Stage  Stage               `json:"stage,omitempty"`
	Share  float64             `json:"share,omitempty"` // of the calls, to the canary
	Part   float64             `json:"part,omitempty"`  // of the canary's targets, that get them
	// Elapsed is how much of the order's time had passed when the record was written.
	Elapsed time.Duration `json:"elapsed_ns,omitempty"`
	// Entered is Elapsed when the stage began.
	Entered time.Duration `json:"entered_ns,omitempty"`
	// By is the VM that wrote the record, which VMs tell their counts, and Write a number of
	// that VM's writes.
	By    ids.VM `json:"by"`
	Write uint64 `json:"write"`
}

// same tells whether two records say the same of the service.
func (r *Record) same(o *Record) bool {
	return r.Service == o.Service && r.Stable == o.Stable && slices.Equal(r.Barred, o.Barred) && r.Order == o.Order && r.End == o.End &&
		r.Canary == o.Canary && r.Stage == o.Stage && r.Share == o.Share && r.Part == o.Part && r.By == o.By
}

// barred tells whether a version was rolled back.
func (r *Record) barred(v ids.SoftwareVersion) bool { return slices.Contains(r.Barred, v) }

// Older orders versions by the numbers in them, and by text where these are equal.
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

// leadingNumber reads the number that a version begins with, at most 18 digits of it; -1: none.
func leadingNumber(v ids.SoftwareVersion) (n int64, rest ids.SoftwareVersion) {
	const mostDigits = 18
	i := 0
	for i < len(v) && i < mostDigits && v[i] >= '0' && v[i] <= '9' {
		n = n*10 + int64(v[i]-'0')
		i++
	}
	if i == 0 {
		return -1, v
	}
	return n, v[i:]
}
