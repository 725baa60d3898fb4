package relay

import "github.com/savorypass/savorypass/internal/work"

// Cancellation is the cancelling of a job. Heartbeats carry it to all instances, since the job may be held by any of them or be submitted
// again at any of them.
type Cancellation struct {
	Job work.JobID `msgpack:"j"`
	// Found is true if an instance held the job and has cancelled it.
	Found bool `msgpack:"f,omitempty"`
	// Sought is true if a caller waits at the sender, which does not know of an instance that held the job. Instances of earlier versions do not send it.
	Sought bool `msgpack:"s,omitempty"`
}

// Cancellations is where an instance keeps the cancellations that heartbeats bring and carry on. Its methods do not wait for other
// instances.
type Cancellations interface {
	// Recent returns the cancellations that are passed on now; each is returned for several heartbeats.
	Recent() []Cancellation
	// Merge applies cancellations that another instance has passed on.
	Merge(all []Cancellation)
}
