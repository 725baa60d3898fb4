// Package dump defines the state of an instance on the users' platform as its operators' listener shows it.
package dump

import (
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/shard"
)

// Path is where the operators' listener serves an Instance as JSON.
const Path = "/dump"

// Instance is the state of an instance.
type Instance struct {
	Instance      string         `json:"instance"`
	Zone          string         `json:"zone"`
	UptimeMS      int64          `json:"uptime_ms"`
	Ready         bool           `json:"ready"`
	Draining      bool           `json:"draining"`
	ConfigVersion int64          `json:"config_version"`
	Active        int            `json:"active_jobs"` // of callers, not answered
	Partitions    map[string]int `json:"partitions"`  // of each zone
	Missing       int            `json:"missing_registrations"`
	Term          lead.Term      `json:"term"`
	Shards        []shard.Dump   `json:"shards"`
}
