// Package platform describes what the platform's own records in the object API
// say of VMs. The list lags: a VM can be gone for a while before its record is.
package platform

import (
	"encoding/json"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Prefix is where the platform keeps its list of VMs.
const Prefix = "platform/vms/"

// Role is what a VM does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"   // runs threadwalld
	RoleEngine  Role = "engine"  // a model engine: a target
	RoleService Role = "service" // a plain service: a target
)

// DefaultIncarnation is that of a target which does not say when it started, and so the
// least of all.
const DefaultIncarnation ids.Incarnation = 1

// State is the platform's word on a VM.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // gets no new work
)

// Record is one VM in the platform's list.
type Record struct {
	Key           string             `json:"-"` // of the object that holds it; not always set
	ID            string             `json:"id"`
	Role          Role               `json:"role"`
	FailureDomain ids.FailureDomain  `json:"failure_domain"`
	Addr          string             `json:"addr"`                // ip:port that callers or threadwall use
	PeerAddr      string             `json:"peer_addr,omitempty"` // entry VMs: ip:port for peers
	AdminAddr     string             `json:"admin_addr,omitempty"`
	Incarnation   ids.Incarnation    `json:"incarnation"`
	State         State              `json:"state"`
	Model         ids.Model          `json:"model,omitempty"`   // engines
	Weights       ids.WeightsVersion `json:"weights,omitempty"` // engines
	Service       string             `json:"service,omitempty"` // plain services
	Slots         int                `json:"slots,omitempty"`   // requests that a target works on at once; zero: not known
	// Software is the version of the target's software; empty: it does not say.
	Software ids.SoftwareVersion `json:"software,omitempty"`
	// WarmAt is when the target is no longer slow after its start.
	WarmAt time.Time `json:"warm_at,omitzero"`
	// Orders counts the orders that an engine has accepted in this incarnation.
	Orders uint64 `json:"orders,omitempty"`
}

// Deployed is a version of a model's weights that targets have.
type Deployed struct {
	Model   ids.Model
	Weights ids.WeightsVersion
}

// Decode reads the list from its objects. Records that can't be read are
// skipped, and counted in bad.
func Decode(objects []objectapi.Object) (records []Record, bad int) {
	for _, o := range objects {
		var r Record
		if json.Unmarshal(o.Value, &r) != nil || r.ID == "" {
			bad++
			continue
		}
		records = append(records, r)
	}
	return records, bad
}
