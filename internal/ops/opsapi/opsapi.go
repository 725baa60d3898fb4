// Package opsapi holds the JSON types and paths of the operators' interface, shared by the listener and the command
// line.
package opsapi

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

// Paths of the operators' interface.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathVars     = "/debug/vars"
	PathDump     = "/v1/dump"
	PathConfig   = "/v1/config"
	PathHistory  = "/v1/config/history"
	PathValidate = "/v1/config/validate"
	PathRestore  = "/v1/config/restore"
	PathDrain    = "/v1/drain"
	PathStatus   = "/v1/status"
	PathWorkers  = "/v1/workers"
	PathTeams    = "/v1/teams"
	PathJobs     = "/v1/jobs"
	PathLogLevel = "/v1/loglevel"
	PathFaults   = "/v1/faults"
)

// Query arguments.
const (
	ArgReplaces = "replaces" // version that a publication replaces
	ArgNonce    = "nonce"    // chosen by the publisher, so that a lost answer can be resolved
	ArgMax      = "max"      // number of history entries
)

// VarsKey is the key of the dispatcher's metrics in the answer of PathVars.
const VarsKey = "savory"

// MaxNonceBytes bounds a nonce.
const MaxNonceBytes = 64

// Error answers every request that was not carried out.
type Error struct {
	Code      result.Code      `json:"code"`
	Name      string           `json:"name"`
	Execution result.Execution `json:"execution"`
	Message   string           `json:"message"`
	Advice    string           `json:"advice"`
	Problems  []Problem        `json:"problems,omitempty"` // with result.ConfigInvalid
	Current   int64            `json:"current,omitempty"`  // with result.ConfigConflict: the version in force
}

// NewError returns an error with the fields that follow from its code.
func NewError(code result.Code, message string) *Error {
	info := code.Info()
	return &Error{Code: code, Name: code.String(), Execution: info.Execution, Message: message, Advice: info.Advice}
}

// Error returns the code's name with the message.
func (e *Error) Error() string { return e.Name + ": " + e.Message }

// Problem is one error of a configuration document.
type Problem struct {
	Path    string `json:"path"`
	Value   string `json:"value,omitempty"`
	Bound   string `json:"bound,omitempty"`
	Message string `json:"message"`
}

// Health answers PathHealth. The platform reads it to keep its instance list.
type Health struct {
	Live        bool   `json:"live"`
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
}

// Readiness answers PathReady. The instance is ready when there are no reasons.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// Config is a configuration document with its version.
type Config struct {
	Version   int64     `json:"version"`
	Schema    int       `json:"schema"`
	Nonce     string    `json:"nonce"`
	Author    string    `json:"author"`
	Digest    string    `json:"digest"`
	Published time.Time `json:"published"`
	Document  string    `json:"document,omitempty"` // YAML
}

// History answers PathHistory, newest first.
type History struct {
	Versions []Config `json:"versions"`
}

// Validation answers PathValidate for a valid document. An invalid one gets an Error with its problems.
type Validation struct {
	Valid bool `json:"valid"`
}

// PublishResult answers a publication.
type PublishResult struct {
	Version int64  `json:"version"`
	Nonce   string `json:"nonce,omitempty"` // absent after a restoration
}

// MemberState is an instance's view of a peer.
type MemberState string

// The states of members.
const (
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect"
	MemberGone    MemberState = "gone"
)

// Member is one entry instance as the answering instance sees it.
type Member struct {
	Zone          string      `json:"zone"`
	Instance      string      `json:"instance"`
	Incarnation   uint64      `json:"incarnation"`
	State         MemberState `json:"state"`
	Self          bool        `json:"self,omitempty"`
	Operators     string      `json:"operators,omitempty"` // operators' address
	Callers       string      `json:"callers,omitempty"`   // callers' address
	ConfigVersion int64       `json:"config_version"`
	MaxSchema     int         `json:"max_schema"`
	Draining      bool        `json:"draining,omitempty"`
	FreeSlots     int         `json:"free_slots"`
	Backlog       int         `json:"backlog"`
	SilentMS      int64       `json:"silent_ms"` // since the last heartbeat
}

// WorkerCounts counts the workers that the instance owns.
type WorkerCounts struct {
	Owned     int `json:"owned"`
	Ready     int `json:"ready"`
	Leaving   int `json:"leaving"`
	Suspect   int `json:"suspect"`
	HeldOff   int `json:"held_off"`
	Slots     int `json:"slots"`
	FreeSlots int `json:"free_slots"`
}

// Queue is the waiting work of one team.
type Queue struct {
	Team     string `json:"team"`
	Jobs     int    `json:"jobs"`
	Tasks    int    `json:"tasks"`
	OldestMS int64  `json:"oldest_ms"`
}

// Load is the engine's part of a status.
type Load struct {
	Jobs    int          `json:"jobs"`
	Queued  int          `json:"queued"`
	Running int          `json:"running"`
	Workers WorkerCounts `json:"workers"`
	Queues  []Queue      `json:"queues"`
}

// Status answers PathStatus.
type Status struct {
	Zone          string   `json:"zone"`
	Instance      string   `json:"instance"`
	Incarnation   uint64   `json:"incarnation"`
	UptimeMS      int64    `json:"uptime_ms"`
	Ready         bool     `json:"ready"`
	Reasons       []string `json:"reasons,omitempty"`
	Draining      bool     `json:"draining"`
	ConfigVersion int64    `json:"config_version"`
	Load
	Members []Member `json:"members"`
}

// WorkerState is the state of a worker at its owner.
type WorkerState string

// The states of workers.
const (
	WorkerReady   WorkerState = "ready"
	WorkerLeaving WorkerState = "leaving"
	WorkerSuspect WorkerState = "suspect"
	WorkerHeldOff WorkerState = "held_off"
)

// Worker is a worker that the answering instance owns.
type Worker struct {
	Name         string      `json:"name"`
	Zone         string      `json:"zone"`
	Rack         string      `json:"rack"`
	Owner        string      `json:"owner"`
	Address      string      `json:"address"`
	State        WorkerState `json:"state"`
	Slots        int         `json:"slots"`
	Running      int         `json:"running"`
	Cores        float64     `json:"cores"`
	MemoryMB     int64       `json:"memory_mb"`
	Accelerators int         `json:"accelerators"`
	Failures     int         `json:"failures"`              // in a row
	HeldOffMS    int64       `json:"held_off_ms,omitempty"` // remaining
}

// Workers answers PathWorkers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// Usage is an amount of the resources that quotas bound.
type Usage struct {
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
}

// Team is a team as the answering instance sees it.
type Team struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Quota   Usage   `json:"quota"`
	Usage   Usage   `json:"usage"` // summed over the availability zone
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
}

// Teams answers PathTeams.
type Teams struct {
	Teams []Team `json:"teams"`
}

// TaskCounts counts a job's tasks by state.
type TaskCounts struct {
	Queued    int `json:"queued"`
	Running   int `json:"running"`
	Delegated int `json:"delegated"`
	Done      int `json:"done"`
}

// Job answers PathJobs/ID. Payloads and outputs belong to the team and are not shown.
type Job struct {
	Identity   string      `json:"identity"`
	Team       string      `json:"team"`
	Service    string      `json:"service"`
	Code       result.Code `json:"code"`
	Name       string      `json:"name"`
	Final      bool        `json:"final"`
	Message    string      `json:"message,omitempty"`
	AgeMS      int64       `json:"age_ms"`
	DeadlineMS int64       `json:"deadline_ms"` // remaining
	Tasks      TaskCounts  `json:"tasks"`
	Outcome    *api.Counts `json:"outcome,omitempty"` // when final
	Workers    []string    `json:"workers,omitempty"` // that run its tasks
}

// Drain answers PathDrain.
type Drain struct {
	Draining bool  `json:"draining"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	LimitMS  int64 `json:"limit_ms"` // remaining time until the instance stops anyway
}

// LogLevel is the request and the answer of PathLogLevel.
type LogLevel struct {
	Level string `json:"level"`
}

// Fault is a fault that the instance injects into itself, in tests only.
type Fault struct {
	Name       string            `json:"name"`
	DurationMS int64             `json:"duration_ms"`
	Args       map[string]string `json:"args,omitempty"`
}

// Faults answers PathFaults.
type Faults struct {
	Active []Fault `json:"active"`
}
