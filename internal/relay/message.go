// Package relay sends jobs from the instances that accept them from callers to the instances that dispatch them, and
// the answers back, over one TCP connection from each accepting to each dispatching instance. The endpoints of a zone are
// divided into partitions, each of which has one dispatcher at a time. A dispatcher runs all tasks of a job that it has
// accepted on the endpoints of its partition.
package relay

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/wire"
	"github.com/savorypass/savorypass/internal/work"
)

// SubmissionNumber identifies a submission of a job among all that an instance makes during its life. It counts up from 1. It is 0 in
// the messages of instances of earlier versions, which do not tell the submission that they are about.
type SubmissionNumber int

// Matches reports whether two numbers may stand for the same submission of a job.
func (n SubmissionNumber) Matches(other SubmissionNumber) bool {
	return n == other || n == 0 || other == 0
}

// RequestName returns the name of a caller's request in log lines.
func RequestName(request uint64) string { return fmt.Sprintf("%016x", request) }

// Submit asks a dispatcher to run a job, or to continue it.
type Submit struct {
	Job    work.Job         `msgpack:"j"`
	Number SubmissionNumber `msgpack:"n,omitempty"`
	// Partition is the partition of the zone whose dispatcher the message is for.
	Partition int `msgpack:"p,omitempty"`
	// Resumed is true if another dispatcher may have started tasks of the job.
	Resumed bool `msgpack:"r,omitempty"`
	// Lost is how long ago the sender lost the dispatcher of a resumed job. It has sent that dispatcher nothing since then.
	Lost time.Duration `msgpack:"o,omitempty"`
	// GivenBack means that no dispatcher of the job was lost with its connection: each has answered that it does not hold the job any more.
	GivenBack bool `msgpack:"b,omitempty"`
	// Last means that the sender knows no other dispatcher to which it could submit the job.
	Last bool `msgpack:"l,omitempty"`
	// Waited is the time since the caller's request arrived.
	Waited time.Duration `msgpack:"w,omitempty"`
	// Remaining is the time after which the job's caller waits no longer; 0 if it is not known.
	Remaining time.Duration `msgpack:"m,omitempty"`
	// Request identifies the caller's request among those of all instances; 0 if it is not known.
	Request uint64 `msgpack:"q,omitempty"`
	// Previous is the number of the submission that was sent last for the request; 0 if there is none, or it is not known.
	Previous SubmissionNumber `msgpack:"v,omitempty"`
	// Knowledge is that of the dispatcher which knows of earlier runs of the job, or has it from another request; 0 if there is none. Another
	// dispatcher, or a later term, does not know these runs.
	Knowledge uint64 `msgpack:"e,omitempty"`
	// Partitions is the number of partitions of the zone that all dispatchers used which may have started the job. It is 0 if they differ
	// or it is not known, as to instances of earlier versions.
	Partitions int `msgpack:"g,omitempty"`
	// Shared means that another instance may have a request for the job, and may go on attending to it at an earlier dispatcher. That request
	// arrived Earlier before this one.
	Shared  bool          `msgpack:"s,omitempty"`
	Earlier time.Duration `msgpack:"y,omitempty"`
	// Attempts are the unsuccessful runs of the job's tasks that the sender knows.
	Attempts []attempt.Attempt `msgpack:"a,omitempty"`
	// InProgress means that tasks of the job have run at a dispatcher that has handed the job over: no run of it goes on.
	InProgress bool `msgpack:"f,omitempty"`
	// Succeeded are the tasks of the job that have succeeded, as dispatchers have said that gave it back. They are not to start again.
	Succeeded []work.TaskID `msgpack:"d,omitempty"`
	// StartOnly asks to refuse the job with pool.ReasonWouldWait unless all its tasks that are ready can start at once. Instances of earlier
	// versions do not know it and decide as without it.
	StartOnly bool `msgpack:"z,omitempty"`
	// Claims tells what the submission is as a claim; NoClaim if the dispatcher is not the job's home.
	Claims ClaimMode `msgpack:"k,omitempty"`
	// Composed is when the message was composed, on the sender's clock; 0 from an instance of an earlier version.
	Composed time.Duration `msgpack:"t,omitempty"`
	// composedAt is the same on this instance's clock, at the earliest; 0 if it is not known.
	composedAt time.Duration
}

// MarkComposed records that the message is composed now and stays within this process.
func (s *Submit) MarkComposed() { s.composedAt = pause.Elapsed() }

// Age returns how long ago the message was composed at most; 0 if that is not known. Waited and Remaining are as of then.
func (s *Submit) Age() time.Duration {
	if s.composedAt == 0 {
		return 0
	}
	return pause.Elapsed() - s.composedAt
}

// Expired reports whether the job's caller waits no longer.
func (s *Submit) Expired() bool { return s.Remaining > 0 && s.Age() >= s.Remaining }

// Cancel informs a dispatcher that no caller waits for a job any more.
type Cancel struct {
	Job       work.JobID `msgpack:"j"`
	Partition int        `msgpack:"p,omitempty"`
	// Number is that of the submission for which the caller waited.
	Number SubmissionNumber `msgpack:"n,omitempty"`
	// Whole means that the caller has cancelled the job, and not only left one request for it.
	Whole bool `msgpack:"w,omitempty"`
}

// Answer is a dispatcher's final answer to a submission: the final state of the job or a refusal.
type Answer struct {
	Job work.JobID `msgpack:"j"`
	// Number is that of the submission.
	Number SubmissionNumber `msgpack:"n,omitempty"`
	// State is Completed, Failed or Cancelled; empty for a refusal.
	State work.State `msgpack:"s,omitempty"`
	// Refused is the reason for a refusal. This dispatcher knows of no run of the job that may go on, unless Started is set.
	Refused    pool.Reason   `msgpack:"r,omitempty"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Started is true in a refusal if tasks of the job may have started: this dispatcher has started them and its term has ended, or it
	// knows of runs of an earlier submission that are not over. It is set with GaveUp, too.
	Started bool `msgpack:"t,omitempty"`
	// Knowledge is set in a refusal with Started by a dispatcher that goes on: its own, see Load, or that of the submission if it does not know
	// the runs itself.
	Knowledge uint64 `msgpack:"e,omitempty"`
	// Partitions is the number of partitions of the zone that the dispatcher used, in the answer that ends its term; 0 if it is not known.
	Partitions int `msgpack:"p,omitempty"`
	// GaveUp ends a job that may have run in part: an endpoint has crashed under one of its tasks, which is not started again.
	// Refused is pool.ReasonNotLeader then, so that instances of earlier versions submit the job again instead of refusing it.
	GaveUp bool `msgpack:"g,omitempty"`
	// HandedOver means that the dispatcher, whose zone was evacuated, has given up a job in progress that another zone is to continue: no run
	// of it goes on. Refused is pool.ReasonNotLeader and Started is set then, so that instances of earlier versions submit the job again where
	// it was.
	HandedOver bool `msgpack:"h,omitempty"`
	// Succeeded are the tasks of the job that have succeeded, from a dispatcher that hands the job over or whose term has ended. Attempts are
	// the unsuccessful runs of the others of a job that is handed over.
	Succeeded []work.TaskID     `msgpack:"d,omitempty"`
	Attempts  []attempt.Attempt `msgpack:"b,omitempty"`
	// Claim means that the answer is one to a claim.
	Claim bool `msgpack:"c,omitempty"`
	// Placed is where another request has placed the job. It is set in the answer to a claim, or with pool.ReasonPlacedElsewhere.
	Placed *Placement `msgpack:"l,omitempty"`
	// Load is the load of the dispatcher when it answered; nil from instances of earlier versions.
	Load *Load `msgpack:"i,omitempty"`
}

// heartbeat is sent at an interval, so that the peer can detect that the process is alive. A dispatcher's heartbeat
// carries its loads, and the unsuccessful runs that its instance has observed lately: they must not be lost with the instance.
type heartbeat struct {
	Loads    []Load            `msgpack:"l,omitempty"`
	Attempts []attempt.Attempt `msgpack:"a,omitempty"`
	// Unattended is how long the sender, an instance that submits jobs, has been unable to notice that its callers leave.
	Unattended time.Duration `msgpack:"u,omitempty"`
	// Cancelled are the cancellations that the sender passes on.
	Cancelled []Cancellation `msgpack:"c,omitempty"`
	// KeepsPlacements means that the sender, a dispatcher, handles claims.
	KeepsPlacements bool `msgpack:"k,omitempty"`
	// AnswersSearches means that it handles claims that search for a job, too.
	AnswersSearches bool `msgpack:"q,omitempty"`
	clockReading
}

type kind byte

const (
	kindHeartbeat kind = iota
	kindSubmit
	kindCancel
	kindAnswer
	kindStoredRequest
	kindStoredReply
	kindClaim
)

const (
	frameHeaderBytes = 5       // length of the payload (4 bytes, big-endian) and kind (1 byte)
	maxFrameBytes    = 4 << 20 // more than the largest job that callers may submit, with the attempts of its tasks
)

// encode returns the frame of a message, that is, its header and payload.
func encode(message any) ([]byte, error) {
	k, ok := kindOf(message)
	if !ok {
		return nil, fmt.Errorf("relay: message of unknown type %T", message)
	}
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return nil, fmt.Errorf("relay: message has %d bytes, at most %d are allowed", len(payload), maxFrameBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame[4] = byte(k)
	return append(frame, payload...), nil
}

func kindOf(message any) (kind, bool) {
	switch message.(type) {
	case *heartbeat:
		return kindHeartbeat, true
	case *Submit:
		return kindSubmit, true
	case *Cancel:
		return kindCancel, true
	case *Answer:
		return kindAnswer, true
	case *StoredRequest:
		return kindStoredRequest, true
	case *StoredReply:
		return kindStoredReply, true
	case *Claim:
		return kindClaim, true
	}
	return 0, false
}

// read reads and decodes the next message. It returns a pointer to one of the message types.
func read(r io.Reader) (any, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("relay: message has %d bytes, at most %d are allowed", n, maxFrameBytes)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return decode(kind(header[4]), payload)
}

func decode(k kind, payload []byte) (any, error) {
	var message any
	switch k {
	case kindHeartbeat:
		message = &heartbeat{}
	case kindSubmit:
		message = &Submit{}
	case kindCancel:
		message = &Cancel{}
	case kindAnswer:
		message = &Answer{}
	case kindStoredRequest:
		message = &StoredRequest{}
	case kindStoredReply:
		message = &StoredReply{}
	case kindClaim:
		message = &Claim{}
	default:
		return nil, fmt.Errorf("relay: message of unknown kind %d", k)
	}
	if err := wire.Unmarshal(payload, message); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return message, nil
}
