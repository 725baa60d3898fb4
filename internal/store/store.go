// Package store defines the interface to a store that outlives all instances. It has topics of keyed records that can
// be followed, and groups whose members divide the partitions of a topic among them.
package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of the store. Every error of a Store wraps one of them, or reports an invalid argument or a malformed
// response.
var (
	// ErrUnavailable means that the store refused the call without carrying it out.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the call got no response. The store may have carried it out, or may do so later.
	ErrUnknown = errors.New("store: no response")
	// ErrTruncated means that the records at the requested offset are no longer retained.
	ErrTruncated = errors.New("store: records at this offset are no longer retained")
	// ErrConflict means that a condition of the call was not met.
	ErrConflict = errors.New("store: condition failed")
	// ErrFenced means that a higher epoch of the producer was seen in the partition. It does not tell whether an earlier
	// attempt of the same append was carried out.
	ErrFenced = fmt.Errorf("%w: a higher epoch of the producer was seen", ErrConflict)
	// ErrFull means that the store refused an append for want of space.
	ErrFull = fmt.Errorf("%w: full", ErrUnavailable)
)

// TruncatedError tells from which offset on records are retained. It wraps ErrTruncated.
type TruncatedError struct {
	First int64
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%v: the first retained offset is %d", ErrTruncated, e.First)
}

// Unwrap returns ErrTruncated.
func (e *TruncatedError) Unwrap() error { return ErrTruncated }

// OffsetError means that the partition did not end at the offset that the append requires. It wraps ErrConflict.
type OffsetError struct {
	End int64 // offset at which the partition ends
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("%v: the partition ends at offset %d", ErrConflict, e.End)
}

// Unwrap returns ErrConflict.
func (e *OffsetError) Unwrap() error { return ErrConflict }

// SequenceError means that the append's sequence number is not the producer's next one and is too old for its response to be
// repeated. It wraps ErrConflict.
type SequenceError struct {
	Expected int64 // UnknownSequence if the store did not tell it
}

// UnknownSequence stands for a sequence number that is not known.
const UnknownSequence = -1

func (e *SequenceError) Error() string {
	return fmt.Sprintf("%v: the next sequence number is %d", ErrConflict, e.Expected)
}

// Unwrap returns ErrConflict.
func (e *SequenceError) Unwrap() error { return ErrConflict }

// keyedPrefix begins the names of keyed topics. All other topics are plain.
const keyedPrefix = "keyed."

// IsKeyed reports whether a topic is keyed.
func IsKeyed(topic string) bool { return strings.HasPrefix(topic, keyedPrefix) }

// Record is one record of a topic. In a keyed topic, a record with an empty value deletes the key. Records of a plain topic
// have no key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	First   int64 // oldest retained offset
	End     int64 // offset of the next append
	Next    int64 // offset at which the next read must begin
}

// Producer identifies a writer of a partition, so that the store recognizes a repeated append and refuses a writer that has
// been replaced.
type Producer struct {
	Name  string
	Epoch int64 // the store refuses an epoch lower than one it has seen from the producer in this partition
	// Sequence must follow that of the last append of the same epoch; the first append of an epoch may have any. A repeat
	// of one of the last five appends returns the first response again.
	Sequence int64
}

// Append is a request to append records to a partition, all or none.
type Append struct {
	Topic     string
	Partition int
	Records   []Record  // offsets are ignored; without records, the append only sets the producer's epoch
	Producer  *Producer // nil for none
	At        *int64    // offset at which the partition must end; nil for any
}

// Appended tells where records were appended.
type Appended struct {
	Offset int64 // offset of the first record
	End    int64 // offset of the next append
}

// Membership describes a member of a group that divides the partitions of a topic among its members.
type Membership struct {
	Group      string
	Member     string
	Topic      string
	TTL        time.Duration // time without a Join after which the member loses its partitions
	Generation int64         // generation of the last Assignment received; 0 at first
}

// Assignment holds the partitions of a topic that are assigned to a member.
type Assignment struct {
	Generation int64 // increases with each change of the group
	Partitions []int
}

// Owner names the member that holds a partition.
type Owner struct {
	Partition int
	Member    string
}

// Store is a client of the store. Its methods may be called concurrently.
type Store interface {
	// Read returns the records of a partition from an offset on. If there are none, it waits for one for at most wait. If
	// the records at the offset are no longer retained, the error is a *TruncatedError.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a partition of a keyed topic. A Read from the batch's Next returns
	// later records.
	Newest(ctx context.Context, topic string, partition int) (Batch, error)
	// Put appends a record to partition 0 of a keyed topic, either completely or not at all. After ErrUnknown the record
	// may still be appended later.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Append appends records to a partition. If At is not met, the error is an *OffsetError; if the sequence number is
	// neither the next one nor one of the last five, it is a *SequenceError. After ErrUnknown they may still be appended later; repeating the same append
	// with the same producer and sequence number tells whether they were, unless the error is ErrFenced.
	Append(ctx context.Context, a Append) (Appended, error)
	// Trim deletes the records of a partition before an offset. In a keyed topic the newest record of each key stays.
	Trim(ctx context.Context, topic string, partition int, before int64) error
	// Join adds a member to a group or renews its membership. It returns the partitions that are assigned to it.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave removes a member from a group.
	Leave(ctx context.Context, m Membership) error
	// Owners returns the members that hold the partitions of a group, without the partitions that nobody holds.
	Owners(ctx context.Context, group string) ([]Owner, error)
}
