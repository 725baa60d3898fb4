// Package dump defines the JSON state that the operators' listener of an instance on the users' platform serves.
package dump

import (
	"github.com/savorypass/savorypass/internal/lead"
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
	Active        int            `json:"active_jobs"`           // callers' jobs that have not been answered
	Partitions    map[string]int `json:"partitions"`            // number of partitions by zone
	Missing       int            `json:"missing_registrations"` // endpoints that count as present although their registrations have ended
	Term          lead.Term      `json:"term"`
	Shards        []shard.Dump   `json:"shards"`
}
