// Package joblog keeps jobs in a store that outlives all instances. Each partition of the log is a partition of a keyed topic
// and has one holder at a time. A job has one key for each kind of record, so that a record which anyone may write again
// never replaces one that only the holder may write. Jobs folds the records into the state of the jobs; Writer appends
// records in groups.
package joblog

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/wire"
	"github.com/savorypass/savorypass/internal/work"
)

// codecVersion is the first byte of each value. An instance does not read values of other versions.
const codecVersion = 1

// maxRecordBytes bounds the value of a record. A store accepts records of 256 KiB, keys included.
const maxRecordBytes = 255 << 10

// maxJobIDBytes leaves room for the kind in a key of at most 255 bytes.
const maxJobIDBytes = 253

// Submission is the record of an accepted job. Any instance may write it, also again.
type Submission struct {
	Job work.Job
}

// Cancel is the record of a job whose caller has cancelled it. Any instance may write it, also again.
type Cancel struct {
	Job work.JobID
}

// Progress is the record of all ends of a job's tasks that the endpoints may forget. Only the holder writes it.
type Progress struct {
	Job  work.JobID
	Ends Ends
}

// End is the record of a job's final state. Only the holder writes it.
type End struct {
	Job   work.JobID
	State work.State // Completed, Failed or Cancelled
}

// Move is the record that a job goes on in another zone: from then on no holder of this log starts tasks of it. Only the holder writes it.
type Move struct {
	Job work.JobID
	To  string // the zone
}

// Handover is the record of a job in the log of the zone that it has moved to, written together with its submission. Any instance may write
// it, also again, once the job's Move is stored.
type Handover struct {
	Job work.JobID
	// Passed lists the zones that the job has moved from, the last one last.
	Passed []string
	// Ends holds the ends of the job's tasks until the last move.
	Ends Ends
}

// kind is the first byte of a record's key.
// Holding is the record that a partition has been held. A holder appends it before it lets tasks start of jobs that it has read from the log, and
// again after it has read further ones. Only the holder writes it.
type Holding struct {
	Epoch int64
}

type kind byte

const (
	submission kind = 's'
	cancel     kind = 'c'
	progress   kind = 'p'
	move       kind = 'm'
	handover   kind = 'h'
	end        kind = 'e'
)

// holdingKey is the key of the Holding. It belongs to no job.
const holdingKey = "o/holding"

// kinds lists all kinds of a job's records. The end is last: where several keys of a job are deleted, the job stays ended until all are.
var kinds = []kind{submission, cancel, progress, move, handover, end}

func (k kind) key(id work.JobID) string { return string(k) + "/" + string(id) }

// drop returns the record that deletes the key of a job.
func (k kind) drop(id work.JobID) store.Record { return store.Record{Key: k.key(id)} }

var (
	errKey       = errors.New("joblog: the key names no kind of record and job")
	errJobID     = fmt.Errorf("joblog: the job's name must have 1 to %d bytes", maxJobIDBytes)
	errNoZone    = errors.New("joblog: the record of a move names no zone")
	errOversized = fmt.Errorf("joblog: the record is larger than %d bytes", maxRecordBytes)
)

func parseKey(key string) (kind, work.JobID, error) {
	letter, id, found := strings.Cut(key, "/")
	if !found || len(letter) != 1 || id == "" || !slices.Contains(kinds, kind(letter[0])) {
		return 0, "", fmt.Errorf("%w: %q", errKey, key)
	}
	return kind(letter[0]), work.JobID(id), nil
}

// Encode returns the record of a Submission, Cancel, Progress, Move, Handover, End or Holding.
func Encode(r any) (store.Record, error) {
	switch r := r.(type) {
	case Submission:
		id := r.Job.ID
		r.Job.ID = "" // the key has it
		return encode(submission, id, &r.Job)
	case Cancel:
		return assemble(cancel, r.Job, nil)
	case Progress:
		return encode(progress, r.Job, &r.Ends)
	case Move:
		return assemble(move, r.Job, []byte(r.To))
	case Handover:
		id := r.Job
		r.Job = "" // the key has it
		return encode(handover, id, &r)
	case End:
		return assemble(end, r.Job, []byte(r.State))
	case Holding:
		value := strconv.AppendInt([]byte{codecVersion}, r.Epoch, 10)
		return store.Record{Key: holdingKey, Value: value}, nil
	}
	return store.Record{}, fmt.Errorf("joblog: record of unknown type %T", r)
}

func encode(k kind, id work.JobID, content any) (store.Record, error) {
	payload, err := msgpack.Marshal(content)
	if err != nil {
		return store.Record{}, fmt.Errorf("joblog: %w", err)
	}
	return assemble(k, id, payload)
}

func assemble(k kind, id work.JobID, payload []byte) (store.Record, error) {
	value := append([]byte{codecVersion}, payload...)
	if len(id) == 0 || len(id) > maxJobIDBytes {
		return store.Record{}, errJobID
	}
	if len(value) > maxRecordBytes {
		return store.Record{}, errOversized
	}
	return store.Record{Key: k.key(id), Value: value}, nil
}

// Decode returns the Submission, Cancel, Progress, Move, Handover, End or Holding of a record with a value.
func Decode(r store.Record) (any, error) {
	if r.Key == holdingKey {
		return decodeHolding(r.Value)
	}
	k, id, err := parseKey(r.Key)
	if err != nil {
		return nil, err
	}
	if len(r.Value) > maxRecordBytes {
		return nil, errOversized
	}
	if len(r.Value) == 0 || r.Value[0] != codecVersion {
		return nil, fmt.Errorf("joblog: record %q has an unknown version", r.Key)
	}
	return decode(k, id, r.Value[1:])
}

func decode(k kind, id work.JobID, payload []byte) (any, error) {
	switch k {
	case submission:
		s := Submission{}
		if err := wire.Unmarshal(payload, &s.Job); err != nil {
			return nil, fmt.Errorf("joblog: %w", err)
		}
		s.Job.ID = id
		return s, nil
	case progress:
		p := Progress{Job: id}
		if err := wire.Unmarshal(payload, &p.Ends); err != nil {
			return nil, fmt.Errorf("joblog: %w", err)
		}
		return p, p.Ends.validate()
	case move:
		return decodeMove(id, payload)
	case handover:
		return decodeHandover(id, payload)
	case end:
		e := End{Job: id, State: work.State(payload)}
		return e, validateFinal(e.State)
	}
	return Cancel{Job: id}, nil
}

func decodeHolding(value []byte) (any, error) {
	if len(value) == 0 || value[0] != codecVersion {
		return nil, fmt.Errorf("joblog: record %q has an unknown version", holdingKey)
	}
	epoch, err := strconv.ParseInt(string(value[1:]), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("joblog: record %q: %w", holdingKey, err)
	}
	return Holding{epoch}, nil
}

func decodeMove(id work.JobID, payload []byte) (any, error) {
	if len(payload) == 0 {
		return nil, errNoZone
	}
	return Move{Job: id, To: string(payload)}, nil
}

func decodeHandover(id work.JobID, payload []byte) (any, error) {
	h := Handover{}
	if err := wire.Unmarshal(payload, &h); err != nil {
		return nil, fmt.Errorf("joblog: %w", err)
	}
	if len(h.Passed) == 0 {
		return nil, errNoZone
	}
	h.Job = id
	return h, h.Ends.validate()
}

func validateFinal(s work.State) error {
	if s.Final() {
		return nil
	}
	return fmt.Errorf("joblog: %q is not a final state", s)
}

// RequestOf returns the job of a submission or a cancel, which other instances than the holder may append.
func RequestOf(r store.Record) (work.JobID, bool) {
	k, id, err := parseKey(r.Key)
	return id, err == nil && len(r.Value) > 0 && (k == submission || k == cancel)
}
