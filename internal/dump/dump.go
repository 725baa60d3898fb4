// Package dump defines the JSON state that an instance of savorypass on the users' platform serves on its operators'
// listener. The users' platform is the one that package platform at the root of the module translates to. Its endpoints
// run the tasks. The endpoints of an availability zone are divided into partitions, and the platform's store assigns each
// partition to one instance, which dispatches for its endpoints.
package dump

import (
	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/shard"
)

// Path is the path under which the operators' listener serves an Instance as JSON.
const Path = "/dump"

// Instance is the state of an instance.
type Instance struct {
	Instance      string         `json:"instance"`
	Zone          string         `json:"zone"`
	UptimeMS      int64          `json:"uptime_ms"`
	Ready         bool           `json:"ready"`
	Draining      bool           `json:"draining"`
	ConfigVersion int64          `json:"config_version"`
	Active        int            `json:"active_jobs"`           // callers' jobs at this instance that have not been answered
	Partitions    map[string]int `json:"partitions"`            // number of partitions by zone
	Missing       int            `json:"missing_registrations"` // endpoints that count as present although their registrations have ended
	Term          lead.Term      `json:"term"`                  // partitions assigned to this instance, and the generation of the assignment
	Shards        []shard.Dump   `json:"shards"`                // dispatchers on this instance, one per partition
	Log           []ledger.Dump  `json:"stored_jobs,omitempty"` // partitions of the log of stored jobs that this instance holds
	Substituted   []Substituted  `json:"substituted,omitempty"` // zones without instances of their own for which this instance dispatches
	// Evacuations are those that the instance knows.
	Evacuations evacuation.Status `json:"evacuations"`
}

// Substituted is what an instance dispatches in place of the instances of another zone.
type Substituted struct {
	Zone   string        `json:"zone"`
	Term   lead.Term     `json:"term"`
	Shards []shard.Dump  `json:"shards"`
	Log    []ledger.Dump `json:"stored_jobs,omitempty"`
}
