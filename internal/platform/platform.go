// Package platform decodes the platform's list of VMs in the object API. The list lags
// behind: the record of a VM may remain for a while after the VM has ended.
package platform

import (
	"encoding/json"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Prefix is the key prefix of the platform's list of VMs.
const Prefix = "platform/vms/"

// Role is the role of a VM.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"   // runs threadwalld
	RoleEngine  Role = "engine"  // a model engine: a target
	RoleService Role = "service" // a plain service: a target
)

// DefaultIncarnation is the incarnation of a target that does not report its start time.
// It is the lowest incarnation.
const DefaultIncarnation ids.Incarnation = 1

// State is a VM's state according to the platform.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // gets no new requests
)

// Record is one VM in the platform's list.
type Record struct {
	Key           string             `json:"-"` // key of the object; empty in records that Decode returns
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
	Slots         int                `json:"slots,omitempty"`   // requests that a target runs at the same time; zero if unknown
	// Software is the version of the target's software. Empty if it reports none.
	Software ids.SoftwareVersion `json:"software,omitempty"`
	// WarmAt is the time from which the target is no longer slow after its start.
	WarmAt time.Time `json:"warm_at,omitzero"`
	// Orders counts the orders that an engine has accepted in this incarnation.
	Orders uint64 `json:"orders,omitempty"`
}

// Deployed is a version of a model's weights that is deployed on targets.
type Deployed struct {
	Model   ids.Model
	Weights ids.WeightsVersion
}

// Decode decodes the list from its objects. It skips records that are malformed or have
// no id, and counts them in bad.
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
