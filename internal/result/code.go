// Package result defines the numbered result codes that callers and operators receive. The identities that the codes
// mention are issued to callers; a caller submits each job under one of them.
package result

import "fmt"

// Code is the number of a result. Numbers are part of the public interface and never change their meaning.
type Code int

// Execution is what a code states about whether the requested work ran.
type Execution string

// The values of Execution. NotRun is stated only if no byte of a task can have reached a worker.
const (
	NotRun     Execution = "not run"
	Ran        Execution = "ran"
	MayHaveRun Execution = "may have run"
)

// Codes of accepted requests.
const (
	Complete Code = 0 // every task ended and the answer holds every output
	Running  Code = 1 // the job is accepted and not finished
	Accepted Code = 2 // an operation other than a job was carried out
)

// Codes of requests that cannot be read or are out of bounds.
const (
	MalformedHTTP     Code = 100
	MalformedBody     Code = 101
	UnknownField      Code = 102
	WrongType         Code = 103
	OutOfRange        Code = 104
	BodyTooLarge      Code = 105
	TooManyTasks      Code = 106
	NoTasks           Code = 107
	UnknownService    Code = 108
	IdentityRequired  Code = 109
	IdentityMalformed Code = 110
	IdentityReused    Code = 111
	UnknownPath       Code = 112
	MethodNotAllowed  Code = 113
	HeaderTooLarge    Code = 114
	NotSubmitted      Code = 115
)

// Codes of authentication and authorization.
const (
	Unauthenticated Code = 200
	Forbidden       Code = 201
)

// Codes of refusals: the request was valid and was not run.
const (
	QueueFull           Code = 300
	DeadlineUnreachable Code = 301
	DeadlineExpired     Code = 302
	RateLimited         Code = 303
	Draining            Code = 304
	NeverFits           Code = 305
	QuotaExceeded       Code = 306
	NotReady            Code = 307
	TooManyConnections  Code = 308
)

// Codes of jobs that were accepted and did not complete.
const (
	TaskFailed       Code = 400
	WorkerLost       Code = 401
	DeadlineExceeded Code = 402
	CancelledNotRun  Code = 403
	Cancelled        Code = 404
	HomeLost         Code = 405
	IdentityExpired  Code = 406
	HomeUnreachable  Code = 407
	AnswerDropped    Code = 408
	// 409 was never produced and stays unassigned.
)

// Codes of operators' requests. They make no claim about jobs; NotRun means that nothing was changed.
const (
	ConfigInvalid     Code = 600
	ConfigConflict    Code = 601
	ConfigUnresolved  Code = 602
	ConfigUnavailable Code = 603
	NoSuchObject      Code = 604
	Timeout           Code = 605
	RestoreNotNeeded  Code = 606
)

// Internal is the code of a fault in the dispatcher itself.
const Internal Code = 500

// Info describes a code.
type Info struct {
	Name       string
	HTTPStatus int       // HTTP status of the response
	Execution  Execution // what the code claims about the work
	Final      bool      // a later request for the same identity gives the same outcome
	Meaning    string    // what the code means
	Advice     string    // what the caller should do
}

// Lookup returns the description of c. ok is false for a number that is not in the table.
func Lookup(c Code) (info Info, ok bool) {
	info, ok = table[c]
	return info, ok
}

// All returns every code in ascending order.
func All() []Code {
	return append([]Code(nil), sortedCodes...)
}

// Info returns the description of c, or that of Internal for an unknown number.
func (c Code) Info() Info {
	if info, ok := table[c]; ok {
		return info
	}
	return table[Internal]
}

// String returns the code's name.
func (c Code) String() string {
	if info, ok := table[c]; ok {
		return info.Name
	}
	return fmt.Sprintf("code_%d", int(c))
}
