package node

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

// shards are the dispatchers of the partitions that this instance holds. It implements relay.Dispatcher.
type shards struct {
	zone      string
	directory *shard.Directory
	divisions *division.Controller
	started   time.Time // of the process's clock
	make      func(partition int) *shard.Shard

	mu   sync.Mutex
	term lead.Term
	all  map[int]*shard.Shard
}

func newShards(zone string, d *shard.Directory, started time.Time, make func(int) *shard.Shard) *shards {
	return &shards{zone: zone, directory: d, started: started, make: make, all: map[int]*shard.Shard{}}
}

// setTerm takes this instance's partitions.
func (s *shards) setTerm(t lead.Term) {
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
	s.reconcile()
}

// reconcile begins and ends the terms of shards as the held partitions and the number of partitions say. Nothing is
// dispatched before that number is known.
func (s *shards) reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.divisions.Usable() {
		return
	}
	t := s.shardTerm()
	for part := range division.MaxPartitions {
		x := s.all[part]
		if !s.term.Holds(part) || part >= t.Partitions {
			if x != nil {
				x.End()
			}
			continue
		}
		if x == nil {
			x = s.make(part)
			s.all[part] = x
		}
		x.Begin(t)
	}
}

// shardTerm returns the terms of the partitions that are held. s.mu is held.
func (s *shards) shardTerm() shard.Term {
	parts := s.divisions.Partitions(s.zone)
	t := shard.Term{Fence: fenceOf(s.term.Generation, parts), Partitions: parts}
	if at := s.divisions.ChangedAt(s.zone); !at.IsZero() {
		t.DividedAt = at.Sub(s.started)
	}
	return t
}

// fenceOf returns the fence of a generation's orders. Instances that have not noticed yet that their zone is divided into
// more partitions have a lower one.
func fenceOf(generation int64, partitions int) int64 {
	return generation*2*division.MaxPartitions + int64(partitions)
}

func (s *shards) get(part int) *shard.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[part]
}

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

// anyPartition stands for all partitions.
const anyPartition = -1

// leading reports whether this instance dispatches for a partition.
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

// pressure returns the pressure of a partition. ok is false if this instance does not dispatch for it.
func (s *shards) pressure(part int) (pressure int, ok bool) {
	x := s.get(part)
	if x == nil || !x.Leading() {
		return 0, false
	}
	return x.Pressure(), true
}

// applyRegistrations takes the result of a read of the registrations.
func (s *shards) applyRegistrations(r shard.Registrations, now time.Duration) {
	removed := s.directory.Apply(r, now)
	s.reconcile()
	for _, x := range s.each() {
		x.UpdateEndpoints(r.Changed, removed)
	}
}

// Submit implements relay.Dispatcher.
func (s *shards) Submit(from relay.Client, m *relay.Submit) {
	x := s.get(m.Partition)
	if x == nil {
		from.Answer(&relay.Answer{Job: m.Job.ID, Refused: pool.ReasonNotLeader})
		return
	}
	x.Submit(from, m)
}

// Cancel implements relay.Dispatcher.
func (s *shards) Cancel(from relay.Client, c *relay.Cancel) {
	if x := s.get(c.Partition); x != nil {
		x.Cancel(from, c.Job)
	}
}

// Gone implements relay.Dispatcher.
func (s *shards) Gone(from relay.Client) {
	for _, x := range s.each() {
		x.Gone(from)
	}
}

// Loads implements relay.Dispatcher.
func (s *shards) Loads() []relay.Load {
	var loads []relay.Load
	for part := range division.MaxPartitions {
		if x := s.get(part); x != nil && x.Leading() {
			loads = append(loads, relay.Load{Partition: part, Pressure: x.Pressure()})
		}
	}
	return loads
}

func (s *shards) dump() []shard.Dump {
	var all []shard.Dump
	for _, x := range s.each() {
		all = append(all, x.Dump())
	}
	return all
}
