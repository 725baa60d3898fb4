// Package store defines what the system needs of a store that outlives all instances: keyed records that can be
// followed, and groups whose members share the partitions of a topic.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of the store. Every error of Store wraps one of them or tells of an unreadable answer.
var (
	// ErrUnavailable means that nothing was done.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the call got no answer; it may have been carried out, or may be later.
	ErrUnknown = errors.New("store: no answer")
	// ErrTruncated means that records from the wanted offset on are no longer kept.
	ErrTruncated = errors.New("store: records were dropped")
	// ErrConflict means that a condition of the call did not hold.
	ErrConflict = errors.New("store: condition failed")
)

// Record is one record of a keyed topic. An empty value drops the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Batch is a run of records.
type Batch struct {
	Records []Record
	First   int64 // oldest offset that is kept
	End     int64 // offset that the next append will get
	Next    int64 // offset to go on from
}

// Membership is a member's place in a group that shares the partitions of a topic.
type Membership struct {
	Group      string
	Member     string
	Topic      string
	TTL        time.Duration // after which a silent member loses its partitions
	Generation int64         // the last one received, 0 at first
}

// Assignment is a member's part of a topic.
type Assignment struct {
	Generation int64 // rises with each change of the group
	Partitions []int
}

// Owner names the member that holds a partition.
type Owner struct {
	Partition int
	Member    string
}

// Store is the client of the store. Calls may be made concurrently.
type Store interface {
	// Read returns the records of a keyed topic from an offset on. It waits for one at most wait.
	Read(ctx context.Context, topic string, part int, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a keyed topic. Reading goes on from Next.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Put writes a record of a keyed topic. It is written, or not, as a whole; after ErrUnknown it may be written later.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Join joins a group or keeps the member in it.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave takes a member out of a group.
	Leave(ctx context.Context, m Membership) error
	// Owners returns the holders of a group's partitions.
	Owners(ctx context.Context, group string) ([]Owner, error)
}
