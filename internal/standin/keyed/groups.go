package keyed

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/store"
)

// group is a set of members that divide the partitions among them.
type group struct {
	generation int64                // increases with each change of the members
	expires    map[string]time.Time // end of the membership of each member
	members    []string             // in the order in which they joined
	joined     map[string]int64     // generation that each member's latest Join named
	holders    [Partitions]string   // member that holds each partition; empty for none
}

// group returns a group without its expired members. The caller holds mu.
func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{expires: map[string]time.Time{}, joined: map[string]int64{}}
		s.groups[name] = g
	}
	for member, at := range g.expires {
		if time.Now().After(at) {
			g.remove(member)
		}
	}
	g.reassign()
	return g
}

func (g *group) remove(member string) {
	if _, ok := g.expires[member]; !ok {
		return
	}
	delete(g.expires, member)
	delete(g.joined, member)
	for i, m := range g.members {
		if m == member {
			g.members = append(g.members[:i], g.members[i+1:]...)
			break
		}
	}
	g.generation++
}

// assignee returns the member to which a partition is assigned, or "" if the group is empty.
func (g *group) assignee(partition int) string {
	if len(g.members) == 0 {
		return ""
	}
	return g.members[partition%len(g.members)]
}

// reassign moves partitions to their assignees. A partition stays with its present holder until the holder has joined
// with the current generation or has left the group.
func (g *group) reassign() {
	for partition, holder := range g.holders {
		_, member := g.expires[holder]
		if !member || g.joined[holder] >= g.generation {
			g.holders[partition] = g.assignee(partition)
		}
	}
}

// Rebalance moves all partitions of all groups to other members at once, without a request.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.groups {
		g := s.group(name)
		if len(g.members) < 2 {
			continue
		}
		g.members = append(g.members[1:], g.members[0])
		g.generation++
		for partition := range g.holders {
			g.holders[partition] = g.assignee(partition)
		}
	}
}

// Join implements store.Store.
func (s *Store) Join(_ context.Context, m store.Membership) (store.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Assignment{}, store.ErrUnavailable
	}
	g := s.group(m.Group)
	if _, ok := g.expires[m.Member]; !ok {
		g.members = append(g.members, m.Member)
		g.generation++
	}
	g.expires[m.Member] = time.Now().Add(m.TTL)
	g.joined[m.Member] = m.Generation
	g.reassign()
	if s.loseAnswers {
		return store.Assignment{}, store.ErrUnknown
	}
	assigned := store.Assignment{Generation: g.generation}
	for partition := range Partitions {
		if g.holders[partition] == m.Member && g.assignee(partition) == m.Member {
			assigned.Partitions = append(assigned.Partitions, partition)
		}
	}
	return assigned, nil
}

// Leave implements store.Store.
func (s *Store) Leave(_ context.Context, m store.Membership) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	g := s.group(m.Group)
	g.remove(m.Member)
	g.reassign()
	if s.loseAnswers {
		return store.ErrUnknown
	}
	return nil
}

// Owners implements store.Store.
func (s *Store) Owners(_ context.Context, name string) ([]store.Owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return nil, err
	}
	g := s.group(name)
	var owners []store.Owner
	for partition := range Partitions {
		if o := g.holders[partition]; o != "" {
			owners = append(owners, store.Owner{Partition: partition, Member: o})
		}
	}
	return owners, nil
}
