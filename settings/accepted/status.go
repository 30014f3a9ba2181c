package accepted

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/store"
)

// StatusPrefix is the prefix of the teams' statuses in the store.
const StatusPrefix = "/knapweedgw/settings/status/"

// Status is the decision on a team's last decided change.
type Status struct {
	Team string `json:"team"`
	// Change is the store's revision of the operators' document.
	Change int64 `json:"change"`
	// Revision is the accepted revision in force after the decision; 0 if
	// the team has none.
	Revision int64 `json:"revision"`
	// Faults are the reasons of the refusal; empty if the change was accepted.
	Faults []settings.Fault `json:"faults,omitempty"`
	Author string           `json:"author,omitempty"`
	At     time.Time        `json:"at"`
}

// StatusKey returns the store key of a team's status.
func StatusKey(team string) string { return StatusPrefix + team }

// Refused returns whether the change was refused.
func (s Status) Refused() bool { return len(s.Faults) > 0 }

// DecodeStatus reads a status from the store.
func DecodeStatus(kv store.KV) (Status, error) {
	var s Status
	err := json.Unmarshal(kv.Value, &s)
	return s, errors.Wrapf(err, "settings: status %s", kv.Key)
}
