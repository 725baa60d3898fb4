// Package store defines the interface to a store that outlives all instances. It has topics of keyed records that can
// be followed, and groups whose members divide the partitions of a topic among them.
package store

import (
	"context"
	"errors"
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
)

// Record is one record of a keyed topic. A record with an empty value deletes the key.
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
	// Read returns the records of a partition of a keyed topic from an offset on. If there are none, it waits for one
	// for at most wait. If the records at the offset are no longer retained, the error is ErrTruncated.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a keyed topic. A Read from the batch's Next returns later
	// records.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Put appends a record to a keyed topic, either completely or not at all. After ErrUnknown the record may still be
	// appended later.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Join adds a member to a group or renews its membership. It returns the partitions that are assigned to it.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave removes a member from a group.
	Leave(ctx context.Context, m Membership) error
	// Owners returns the members that hold the partitions of a group, without the partitions that nobody holds.
	Owners(ctx context.Context, group string) ([]Owner, error)
}
