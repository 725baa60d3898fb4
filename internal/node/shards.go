package node

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/placement"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// shards manages the dispatchers of the partitions that this instance holds. It implements relay.Dispatcher.
type shards struct {
	zone      string
	directory *shard.Directory
	divisions *division.Controller
	started   time.Time // zero of the clock of shard.Options.Now
	history   *attempt.History
	gateway   *gateway.Gateway // set before use
	ledgers   *ledgers         // set before use
	make      func(partition int) *shard.Shard
	// placements are those of the jobs whose home is among the shards.
	placements *placement.Registry

	reconciling sync.Mutex // held while terms begin and end, which waits for the shards

	mu     sync.Mutex // held for moments only, since callers' requests wait for it
	term   lead.Term
	before lead.Term            // the term before the present one
	all    map[int]*shard.Shard // by partition; a shard stays after its term has ended
}

func newShards(zone string, d *shard.Directory, started time.Time, h *attempt.History, make func(int) *shard.Shard) *shards {
	return &shards{
		zone: zone, directory: d, started: started, history: h, make: make, all: map[int]*shard.Shard{},
		placements: placement.New(func() time.Duration { return time.Since(started) }),
	}
}

// setTerm sets the partitions that this instance holds.
func (s *shards) setTerm(t lead.Term) {
	s.divisions.NoteAnswer()
	s.mu.Lock()
	s.before, s.term = s.term, t
	s.mu.Unlock()
	s.reconcile()
}

// reconcile begins the terms of the shards of all held partitions and ends those of the others. A partition at or above
// the zone's number of partitions is not dispatched, and no term begins before that number is usable.
func (s *shards) reconcile() {
	s.reconciling.Lock()
	defer s.reconciling.Unlock()
	if !s.divisions.Usable() {
		return
	}
	held := s.heldTerm()
	t := s.shardTerm(held.Generation)
	for part := range division.MaxPartitions {
		if part >= t.Partitions || !held.Holds(s.divisions.GroupPartition(s.zone, part)) {
			if x := s.get(part); x != nil {
				x.End()
			}
			s.placements.Drop(part)
			s.ledgers.sync(part, shard.Term{})
			continue
		}
		x := s.getOrMake(part)
		s.ledgers.sync(part, t)
		t.Uninterrupted = s.uninterrupted(part)
		x.Begin(t)
	}
	s.ledgers.reportUsage()
}

func (s *shards) heldTerm() lead.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

// shardTerm returns the term for the shards of all partitions that are held under a generation.
func (s *shards) shardTerm(generation int64) shard.Term {
	parts := s.divisions.Partitions(s.zone)
	t := shard.Term{Fence: fenceOf(generation, parts), Partitions: parts}
	if at := s.divisions.ChangedAt(s.zone); !at.IsZero() {
		t.DividedAt = at.Sub(s.started)
	}
	return t
}

// uninterrupted reports whether no other instance can have held a partition between the term before and the present one, which includes
// it: no generation lies between those of the two, and the term before includes it, too.
func (s *shards) uninterrupted(part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.before.Holds(s.divisions.GroupPartition(s.zone, part)) && s.term.Generation <= s.before.Generation+1
}

// confirmation returns what the store has confirmed of the dispatcher of a partition with a fence. ok is false if the last confirmation is
// that of another fence.
func (s *shards) confirmation(part int, fence int64, last lead.Confirmation) (c shard.Confirmation, ok bool) {
	held := last.Term.Holds(s.divisions.GroupPartition(s.zone, part))
	if !held || fenceOf(last.Term.Generation, s.divisions.Partitions(s.zone)) != fence {
		return c, false
	}
	return shard.Confirmation{Held: last.At.Sub(s.started), Divided: s.divisions.ReadAsOf().Sub(s.started)}, true
}

// fenceOf returns the fence that dispatchers of a generation use. Within a generation it rises with the number of
// partitions, so that an instance that still works with a lower number is fenced off.
func fenceOf(generation int64, partitions int) int64 {
	return generation*2*division.MaxPartitions + int64(partitions)
}

func (s *shards) get(part int) *shard.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[part]
}

func (s *shards) getOrMake(part int) *shard.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all[part] == nil {
		s.all[part] = s.make(part)
	}
	return s.all[part]
}

// each returns the existing shards in the order of their partitions.
func (s *shards) each() []*shard.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*shard.Shard
	for part := range division.MaxPartitions {
		if x := s.all[part]; x != nil {
			all = append(all, x)
		}
	}
	return all
}

// anyPartition, passed to leading, stands for any partition.
const anyPartition = -1

// leading reports whether this instance dispatches for a partition, or for at least one if part is anyPartition.
func (s *shards) leading(part int) bool {
	if part != anyPartition {
		x := s.get(part)
		return x != nil && x.Leading()
	}
	for _, x := range s.each() {
		if x.Leading() {
			return true
		}
	}
	return false
}

// stalled reports whether a shard has not made its periodic checks for longer than a limit.
func (s *shards) stalled(limit time.Duration) bool {
	for _, x := range s.each() {
		if x.SinceCheck() > limit {
			return true
		}
	}
	return false
}

// lastLoad returns the last known load of a partition. ok is false if this instance does not dispatch for it. It does not wait for the
// shard.
func (s *shards) lastLoad(part int) (load relay.Load, ok bool) {
	x := s.get(part)
	if x == nil || !x.Leading() {
		return relay.Load{}, false
	}
	return x.LastLoad(), true
}

// applyRegistrations applies a read of the registrations, after which those in removed have ended, to all shards.
func (s *shards) applyRegistrations(r shard.Registrations, removed []work.EndpointID) {
	s.reconcile()
	for _, x := range s.each() {
		x.UpdateEndpoints(r, removed)
	}
}

// Submit implements relay.Dispatcher.
func (s *shards) Submit(from relay.Client, m *relay.Submit) {
	if s.gateway.RepeatCancellation(m.Job.ID) {
		from.Answer(&relay.Answer{Job: m.Job.ID, Number: m.Number, State: work.Cancelled})
		return
	}
	x := s.get(m.Partition)
	if x == nil {
		from.Answer(&relay.Answer{Job: m.Job.ID, Number: m.Number, Refused: pool.ReasonNotLeader})
		return
	}
	if at, known := s.claim(x, m); known {
		from.Answer(&relay.Answer{Job: m.Job.ID, Number: m.Number, Refused: pool.ReasonPlacedElsewhere, Placed: &at})
		return
	}
	x.Submit(from, m)
}

// claim applies the claim that a submission is. It returns the placement of the job at another dispatcher by another request.
func (s *shards) claim(x *shard.Shard, m *relay.Submit) (at relay.Placement, known bool) {
	if m.Claims == relay.NoClaim || !x.Leading() {
		return relay.Placement{}, false
	}
	c := m.Claim(s.zone, x.Knowledge(), s.divisions.Partitions(s.zone))
	at, known = s.placements.Apply(c)
	return at, known && (at.Zone != c.At.Zone || at.Partition != c.At.Partition || at.Knowledge != c.At.Knowledge)
}

// Claim implements relay.Dispatcher.
func (s *shards) Claim(from relay.Client, c *relay.Claim) {
	answer := &relay.Answer{Job: c.Job, Number: c.Number, Claim: true}
	if x := s.get(c.Partition); x == nil || !x.Leading() {
		answer.Refused = pool.ReasonNotLeader
		from.Answer(answer)
		return
	}
	if c.Searches {
		s.search(answer, c)
		from.Answer(answer)
		return
	}
	at, known := s.placements.Apply(c)
	if !c.Asks {
		return
	}
	if known {
		answer.Placed = &at
	}
	from.Answer(answer)
}

// search completes the answer to a search for a job.
func (s *shards) search(answer *relay.Answer, c *relay.Claim) {
	x := s.get(c.Partition)
	switch f := x.Find(c.Job); f.Result {
	case shard.Held:
		answer.Placed = &relay.Placement{Zone: s.zone, Partition: c.Partition, Knowledge: f.Knowledge, Partitions: f.Partitions, Waited: f.Waited}
	case shard.NotKnownYet:
		answer.Refused = pool.ReasonUnsettled
	}
}

// Cancel implements relay.Dispatcher.
func (s *shards) Cancel(from relay.Client, c *relay.Cancel) {
	if c.Whole {
		s.gateway.NoteCancelled(c.Job)
	}
	if x := s.get(c.Partition); x != nil {
		x.Cancel(from, c)
	}
}

// ClientGone implements relay.Dispatcher.
func (s *shards) ClientGone(from relay.Client) {
	for _, x := range s.each() {
		x.ClientGone(from)
	}
}

// Loads implements relay.Dispatcher.
func (s *shards) Loads() []relay.Load {
	var loads []relay.Load
	for part := range division.MaxPartitions {
		if x := s.get(part); x != nil && x.Leading() {
			loads = append(loads, x.Load())
		}
	}
	return loads
}

// Attempts implements relay.Dispatcher.
func (s *shards) Attempts() []attempt.Attempt { return s.history.Recent(time.Since(s.started)) }

// Cancellations implements relay.Dispatcher.
func (s *shards) Cancellations() relay.Cancellations { return s.gateway.Cancellations() }

// knowledge returns that of the dispatcher of a partition; 0 if this instance does not dispatch for it.
func (s *shards) knowledge(part int) uint64 {
	x := s.get(part)
	if x == nil || !x.Leading() {
		return 0
	}
	return x.Knowledge()
}

// partitions returns the number of partitions of the zone that the dispatcher of a partition uses; 0 if this instance does not dispatch for it.
func (s *shards) partitions(part int) int {
	x := s.get(part)
	if x == nil || !x.Leading() {
		return 0
	}
	return x.Partitions()
}

// eachFound passes the jobs of found runs that nobody waits for to f, for each partition that has any.
func (s *shards) eachFound(f func(zone string, partition int, jobs []work.JobID)) {
	for part := range division.MaxPartitions {
		x := s.get(part)
		if x == nil || !x.Leading() {
			continue
		}
		if jobs := x.FoundJobs(); len(jobs) > 0 {
			f(s.zone, part, jobs)
		}
	}
}

// mergeAttempts records the unsuccessful runs that another instance has observed and returns how many were not on record.
func (s *shards) mergeAttempts(attempts []attempt.Attempt) int {
	if len(attempts) == 0 {
		return 0
	}
	return s.history.Merge(attempts, time.Since(s.started))
}

func (s *shards) dump() []shard.Dump {
	var all []shard.Dump
	for _, x := range s.each() {
		all = append(all, x.Dump())
	}
	return all
}
