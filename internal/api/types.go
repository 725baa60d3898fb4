// Package api defines the JSON types of the callers' interface and decodes requests, checking their bounds.
//
// A caller is a client of a team that submits jobs over HTTP. It first requests a submission identity and then submits
// the job under that identity. It may repeat a submission whose answer was lost, because the job of an identity runs
// only once.
package api

import "github.com/savorypass/savorypass/internal/result"

// Submit asks for the execution of a job.
type Submit struct {
	Identity   string `json:"identity"`    // submission identity, obtained with an IdentityRequest
	Service    string `json:"service"`     // name of a service of the configuration, the kind of the job's tasks
	Idempotent bool   `json:"idempotent"`  // running a task twice does no harm; has an effect only if the service is idempotent, too
	DeadlineMS int64  `json:"deadline_ms"` // milliseconds from the arrival of the request; 0 means the service's default
	Tasks      []Task `json:"tasks"`
}

// Task is one unit of work of a job.
type Task struct {
	Payload      string  `json:"payload"`      // input of the task, passed to the worker unchanged
	RunTimeMS    int64   `json:"run_time_ms"`  // declared by the caller; 0 means the service's expected run time
	Cores        float64 `json:"cores"`        // processor cores, declared by the caller; 0 means the service's default
	MemoryMB     int64   `json:"memory_mb"`    // memory in MB, declared by the caller; 0 means the service's default
	Accelerators int     `json:"accelerators"` // declared by the caller; 0 means the service's default
}

// IdentityRequest asks for Count submission identities.
type IdentityRequest struct {
	Count int `json:"count"`
}

// Identities answers an IdentityRequest.
type Identities struct {
	Code        result.Code `json:"code"`
	Identities  []string    `json:"identities"`
	ExpiresInMS int64       `json:"expires_in_ms"` // milliseconds from the issue of the identities until they expire
}

// Answer is the answer to a request. Outputs are present only if Code is result.Complete: one for each task, in the
// order of submission.
type Answer struct {
	Identity     string           `json:"identity,omitempty" msgpack:"i"`
	Code         result.Code      `json:"code" msgpack:"c"`
	Name         string           `json:"name" msgpack:"-"`
	Execution    result.Execution `json:"execution" msgpack:"-"` // whether the tasks ran, did not run or may have run
	Final        bool             `json:"final" msgpack:"-"`     // a later request for the same identity gives the same outcome
	Message      string           `json:"message,omitempty" msgpack:"m"`
	Field        string           `json:"field,omitempty" msgpack:"f"`          // path of the faulty field of the request
	RetryAfterMS int64            `json:"retry_after_ms,omitempty" msgpack:"r"` // milliseconds after which to send the request again
	Tasks        *ExecutionCounts `json:"tasks,omitempty" msgpack:"t"`
	Outputs      []string         `json:"outputs,omitempty" msgpack:"o"`
}

// ExecutionCounts holds the numbers of a job's tasks that are known to have run, known not to have run, and neither.
type ExecutionCounts struct {
	Ran        int `json:"ran" msgpack:"r"`
	NotRun     int `json:"not_run" msgpack:"n"`
	MayHaveRun int `json:"may_have_run" msgpack:"m"`
}

// NewAnswer returns an answer with a code and a message, and with the fields that follow from the code.
func NewAnswer(code result.Code, message string) *Answer {
	a := &Answer{Code: code, Message: message}
	a.SetCodeFields()
	return a
}

// SetCodeFields sets Name, Execution and Final, which follow from the code. It must be called on an answer decoded from
// a peer's message, which does not contain them.
func (a *Answer) SetCodeFields() {
	info := a.Code.Info()
	a.Name = a.Code.String()
	a.Execution = info.Execution
	a.Final = info.Final
}
