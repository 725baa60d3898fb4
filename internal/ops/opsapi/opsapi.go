// Package opsapi defines the paths and JSON types of the operators' interface. The server (internal/ops) and its
// clients, such as savoryctl (internal/ctl), share them.
package opsapi

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

// Paths of the operators' interface. PathDump can be followed by a slash and the name of a component, and PathJobs must be
// followed by a slash and the identity of a job.
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

// Query parameters.
const (
	ArgReplaces = "replaces" // publication: version that the document replaces
	ArgNonce    = "nonce"    // publication: text chosen by the client, which finds it in the history if the answer is lost
	ArgMax      = "max"      // history: highest number of versions in the answer
)

// VarsKey is the key of the instance's own metrics in the answer to PathVars.
const VarsKey = "savory"

// MaxNonceBytes is the largest size of a nonce.
const MaxNonceBytes = 64

// Error is the answer to every request that failed or was refused.
type Error struct {
	Code      result.Code      `json:"code"`
	Name      string           `json:"name"`
	Execution result.Execution `json:"execution"`
	Message   string           `json:"message"`
	Advice    string           `json:"advice"`
	Problems  []Problem        `json:"problems,omitempty"` // for result.ConfigInvalid: the problems of the document
	Current   int64            `json:"current,omitempty"`  // for result.ConfigConflict: the version in force, if there is one
}

// NewError returns an error whose name, execution and advice follow from its code.
func NewError(code result.Code, message string) *Error {
	info := code.Info()
	return &Error{Code: code, Name: code.String(), Execution: info.Execution, Message: message, Advice: info.Advice}
}

// Error returns the code's name and the message.
func (e *Error) Error() string { return e.Name + ": " + e.Message }

// Problem is one error of a configuration document.
type Problem struct {
	Path    string `json:"path"`            // path of the faulty field, such as teams[0].callers[0].token_digest
	Value   string `json:"value,omitempty"` // faulty value; withheld if it may be a secret
	Bound   string `json:"bound,omitempty"` // what the value must be, such as a range
	Message string `json:"message"`         // the problem as one line
}

// Health answers PathHealth. The platform polls it to maintain its list of instances.
type Health struct {
	Live        bool   `json:"live"`
	Incarnation uint64 `json:"incarnation"` // number of this run of the instance; each start has a higher one
	Draining    bool   `json:"draining"`    // a planned stop has begun: the instance takes no new work
}

// Readiness answers PathReady. Reasons say why the instance is not ready; they are empty if it is.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// Config describes one version of the configuration. It is the answer to PathConfig, and an element of History.
type Config struct {
	Version   int64     `json:"version"`
	Schema    int       `json:"schema"`
	Nonce     string    `json:"nonce"`              // nonce of the publication
	Author    string    `json:"author"`             // name of the operator who published the version
	Digest    string    `json:"digest"`             // SHA-256 of the document in hexadecimal
	Published time.Time `json:"published"`          // when the version came into force on the answering instance; zero if not known
	Document  string    `json:"document,omitempty"` // the document in YAML; absent in a History
}

// History answers PathHistory, with the newest version first.
type History struct {
	Versions []Config `json:"versions"`
}

// Validation answers PathValidate for a valid document. The answer for an invalid one is an Error with Problems.
type Validation struct {
	Valid bool `json:"valid"`
}

// PublishResult answers a publication and a restoration.
type PublishResult struct {
	Version int64  `json:"version"`
	Nonce   string `json:"nonce,omitempty"` // absent after a restoration
}

// MemberState is the state of an entry instance as another entry instance sees it.
type MemberState string

// The states of members.
const (
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect" // its heartbeats are missing, but not long enough for it to count as gone
	MemberGone    MemberState = "gone"    // it has stopped, cannot be reached, or has never sent a heartbeat
)

// Member is one entry instance as the answering instance sees it.
type Member struct {
	Zone          string      `json:"zone"`
	Instance      string      `json:"instance"`
	Incarnation   uint64      `json:"incarnation"`
	State         MemberState `json:"state"`
	Self          bool        `json:"self,omitempty"`      // this is the answering instance
	Operators     string      `json:"operators,omitempty"` // address of its operators' listener, HOST:PORT
	Callers       string      `json:"callers,omitempty"`   // address of its callers' listener, HOST:PORT
	ConfigVersion int64       `json:"config_version"`      // version in force on it
	MaxSchema     int         `json:"max_schema"`          // highest schema version of a configuration that it can read
	Draining      bool        `json:"draining,omitempty"`
	FreeSlots     int         `json:"free_slots"` // slots of its workers that run no task
	Backlog       int         `json:"backlog"`    // tasks that wait on it
	SilentMS      int64       `json:"silent_ms"`  // milliseconds since its last heartbeat arrived
}

// WorkerCounts counts the workers that the instance owns, by state, and their slots. Each worker is owned by one instance,
// which alone starts tasks on it. A slot is room for one running task.
type WorkerCounts struct {
	Owned     int `json:"owned"` // workers in all states
	Ready     int `json:"ready"`
	Leaving   int `json:"leaving"`
	Suspect   int `json:"suspect"`
	HeldOff   int `json:"held_off"`
	Slots     int `json:"slots"`
	FreeSlots int `json:"free_slots"`
}

// Queue is the open work of one team at the answering instance.
type Queue struct {
	Team     string `json:"team"`
	Jobs     int    `json:"jobs"`      // jobs that have not ended
	Tasks    int    `json:"tasks"`     // tasks that wait to be started
	OldestMS int64  `json:"oldest_ms"` // milliseconds since the oldest of these jobs arrived
}

// Load is the part of a status that the engine reports.
type Load struct {
	Jobs    int          `json:"jobs"`    // jobs that have not ended
	Queued  int          `json:"queued"`  // tasks that wait to be started
	Running int          `json:"running"` // tasks that run
	Workers WorkerCounts `json:"workers"`
	Queues  []Queue      `json:"queues"`
}

// Status answers PathStatus with the state of the answering instance.
type Status struct {
	Zone          string   `json:"zone"`
	Instance      string   `json:"instance"`
	Incarnation   uint64   `json:"incarnation"`
	UptimeMS      int64    `json:"uptime_ms"`
	Ready         bool     `json:"ready"`
	Reasons       []string `json:"reasons,omitempty"`
	Draining      bool     `json:"draining"`
	ConfigVersion int64    `json:"config_version"` // version in force; 0 means none
	Load
	Members []Member `json:"members"` // all known entry instances, the answering one included
}

// WorkerState is the state of a worker as the instance that owns it sees it.
type WorkerState string

// The states of workers.
const (
	WorkerReady   WorkerState = "ready"    // it may get tasks
	WorkerLeaving WorkerState = "leaving"  // it finishes its running tasks and gets no new ones
	WorkerSuspect WorkerState = "suspect"  // it may have failed and gets no new tasks until it is ready again
	WorkerHeldOff WorkerState = "held_off" // it gets no tasks for a limited time because tasks failed on it, see Worker.HeldOffMS
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
	Running      int         `json:"running"` // tasks that run on it
	Cores        float64     `json:"cores"`
	MemoryMB     int64       `json:"memory_mb"`
	Accelerators int         `json:"accelerators"`
	Failures     int         `json:"failures"`              // consecutive failures of tasks
	HeldOffMS    int64       `json:"held_off_ms,omitempty"` // remaining milliseconds in the state held_off
}

// Workers answers PathWorkers.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// Usage is an amount of the resources that quotas limit.
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
	Usage   Usage   `json:"usage"`   // declared sizes of the tasks that Running counts
	Queued  int     `json:"queued"`  // waiting tasks of jobs whose home is the answering instance
	Running int     `json:"running"` // running tasks of these jobs, those included that other instances run
}

// Teams answers PathTeams.
type Teams struct {
	Teams []Team `json:"teams"`
}

// TaskCounts counts the tasks of an open job by state.
type TaskCounts struct {
	Queued    int `json:"queued"`
	Running   int `json:"running"`   // running tasks, delegated ones included
	Delegated int `json:"delegated"` // running tasks that other instances run on their workers for this one
	Done      int `json:"done"`      // tasks that have ended
}

// Job answers PathJobs + "/" + identity at the job's home, the instance that issued the identity. It omits payloads and
// outputs, which only the team may read.
type Job struct {
	Identity   string               `json:"identity"`
	Team       string               `json:"team"`
	Service    string               `json:"service"`
	Code       result.Code          `json:"code"`
	Name       string               `json:"name"`
	Final      bool                 `json:"final"`
	Message    string               `json:"message,omitempty"`
	AgeMS      int64                `json:"age_ms"`      // milliseconds since the job arrived
	DeadlineMS int64                `json:"deadline_ms"` // milliseconds until the deadline; negative after it
	Tasks      TaskCounts           `json:"tasks"`
	Outcome    *api.ExecutionCounts `json:"outcome,omitempty"` // numbers of tasks by execution; only after the job has ended
	Workers    []string             `json:"workers,omitempty"` // workers that run its tasks; for delegated tasks the instance
}

// Drain answers PathDrain, which starts the planned stop: the instance takes no new work, finishes its current work and
// stops. Queued and Running are numbers of tasks.
type Drain struct {
	Draining bool  `json:"draining"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	LimitMS  int64 `json:"limit_ms"` // milliseconds from the start of the drain after which the instance stops in any case
}

// LogLevel is the request and the answer of PathLogLevel.
type LogLevel struct {
	Level string `json:"level"`
}

// Fault is a fault that the instance injects into itself. It is for tests only.
type Fault struct {
	Name       string            `json:"name"`
	DurationMS int64             `json:"duration_ms"` // milliseconds for which the fault lasts; 0 means until it is cleared
	Args       map[string]string `json:"args,omitempty"`
}

// Faults answers PathFaults with the faults in effect.
type Faults struct {
	Active []Fault `json:"active"`
}
