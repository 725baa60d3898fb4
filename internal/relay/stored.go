package relay

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// StoredOperation is what an instance asks the holder of a partition of the job log for.
type StoredOperation int

// The operations.
const (
	StoredSubmit  StoredOperation = 1 + iota // store Job
	StoredState                              // the state of ID
	StoredCancel                             // cancel ID
	StoredPending                            // the number of jobs of Queue of which no task has started
	StoredEnd                                // record End, which an endpoint has reported to another dispatcher
	// StoredSettled asks a dispatcher of the zone, which does not hold Partition, whether it has nothing to report on the partition's jobs
	// any more: no runs and no ends that are not recorded.
	StoredSettled
)

// StoredRequest asks the holder of a partition of the job log for an operation on stored jobs.
type StoredRequest struct {
	Number    uint64          `msgpack:"n"` // identifies the request on its connection
	Partition int             `msgpack:"p"` // partition of the log of the receiver's zone
	Operation StoredOperation `msgpack:"o"`
	Job       *work.Job       `msgpack:"j,omitempty"`
	ID        work.JobID      `msgpack:"i,omitempty"`
	Queue     string          `msgpack:"q,omitempty"`
	Waited    time.Duration   `msgpack:"w,omitempty"` // time since the caller's request arrived
	End       *work.End       `msgpack:"e,omitempty"`
	// Dispatcher is the partition of the zone whose dispatcher is asked, for StoredSettled, and Dispatchers the number of partitions of the
	// zone that the sender reckons with. The other requests go to the dispatcher that holds Partition.
	Dispatcher  int `msgpack:"d,omitempty"`
	Dispatchers int `msgpack:"ds,omitempty"`
}

// StoredResult is the result of a StoredRequest.
type StoredResult int

// The results.
const (
	StoredDone     StoredResult = 1 + iota // carried out; State holds the job's state
	StoredRefused                          // the job is not stored, for want of capacity
	StoredNotSaved                         // the job is not stored, since the store refused it
	StoredNotKnown                         // the job may be stored, now or later
	StoredNoJob                            // no such job was accepted
	StoredNoHolder                         // the receiver does not hold the partition, or not yet; nothing was done
)

// StoredReply answers a StoredRequest.
type StoredReply struct {
	Number     uint64        `msgpack:"n"`
	Result     StoredResult  `msgpack:"r"`
	State      work.State    `msgpack:"s,omitempty"`
	RetryAfter time.Duration `msgpack:"a,omitempty"` // with StoredRefused
	Reason     string        `msgpack:"y,omitempty"` // why the job is not stored
	Pending    int           `msgpack:"p,omitempty"`
}

// StoredHandler carries out a request and calls reply once, also later and from another goroutine. It does not block.
type StoredHandler func(r *StoredRequest, reply func(*StoredReply))

// RequestStored sends a request. Its reply is passed to Handler.Stored. It returns an error like Submit.
func (u *Uplink) RequestStored(r *StoredRequest) error { return u.send(r) }

// replyStored sends the reply to a request.
func (c *remoteClient) replyStored(r *StoredReply) {
	frame, err := encode(r)
	if err != nil {
		c.link.close(err)
		return
	}
	c.link.sendFrame(frame)
}
