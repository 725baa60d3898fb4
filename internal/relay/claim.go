package relay

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Placement is the dispatcher to which a job was submitted.
type Placement struct {
	Zone      string `msgpack:"z"`
	Partition int    `msgpack:"p"`
	// Knowledge is that of the dispatcher, see Load, as the instance that placed the job knew it. It is 0 if that is not known, and for a
	// dispatcher that has found runs of the job and has no request for it: others of an earlier dispatcher may be unknown to it.
	Knowledge uint64 `msgpack:"e,omitempty"`
	// Partitions is the number of partitions of the zone that the dispatcher uses; 0 if it is not known.
	Partitions int `msgpack:"n,omitempty"`
	// Waited is the time since the request arrived, or may have.
	Waited time.Duration `msgpack:"w,omitempty"`
}

// Claim tells the home of a job at which dispatcher a request of the job's caller places it. The home is the dispatcher of a partition that
// follows from the job's ID, so all instances of a zone tell the same one.
type Claim struct {
	Job work.JobID `msgpack:"j"`
	// Number is that of a submission that is not made, so that the answer can be told from those to submissions; 0 if no answer is used.
	Number SubmissionNumber `msgpack:"n,omitempty"`
	// Partition is the home's partition of the zone.
	Partition int `msgpack:"p,omitempty"`
	// Request identifies the caller's request among those of all instances.
	Request uint64 `msgpack:"q,omitempty"`
	// At is where the request places the job.
	At Placement `msgpack:"l"`
	// Remaining is the time after which the caller waits no longer.
	Remaining time.Duration `msgpack:"m,omitempty"`
	// Asks means that the sender waits for an answer before it places the job. It is told where another request has placed the job.
	Asks bool `msgpack:"k,omitempty"`
	// Searches makes the message the question whether the dispatcher of Partition holds the job or knows of runs of it, whichever request they are
	// of. It is answered with a placement, with pool.ReasonUnsettled, or with neither if there is nothing. Nothing is recorded.
	Searches bool `msgpack:"s,omitempty"`
	// Released means that the request was refused and no dispatcher has started the job for it.
	Released bool `msgpack:"r,omitempty"`
}

// ClaimMode is what a submission to the home of a job is as a claim.
type ClaimMode int

// The modes.
const (
	NoClaim    ClaimMode = iota // the dispatcher is not the job's home, or the sender is of an earlier version
	AsksClaim                   // refused if another request has placed the job at another dispatcher
	TellsClaim                  // taken in any case
)

// Claim returns the claim that a submission to the home of its job is. knowledge and partitions are those of the home.
func (s *Submit) Claim(zone string, knowledge uint64, partitions int) *Claim {
	return &Claim{
		Job: s.Job.ID, Partition: s.Partition, Request: s.Request,
		At:        Placement{Zone: zone, Partition: s.Partition, Knowledge: knowledge, Partitions: partitions, Waited: s.Waited + s.Age()},
		Remaining: s.Remaining - s.Age(), Asks: s.Claims == AsksClaim,
	}
}

// Claim sends a claim. It returns false if the dispatcher has not responded, or is of a version that does not handle such claims.
func (u *Uplink) Claim(c *Claim) bool {
	frame, err := encode(c)
	if err != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended || !u.keepsPlacements || c.Searches && !u.answersSearches {
		return false
	}
	u.link.sendFrame(frame)
	return true
}
