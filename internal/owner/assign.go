// Package owner decides which entry instance owns which worker. The owner is the instance that starts tasks on the worker's
// slots. When the owner changes, the package hands the slots over so that no slot is used by two instances at once.
//
// Each instance derives the owners from its view of the zone. A term begins when an instance becomes a worker's owner in its
// view. The instance then sends a claim to each peer of the zone. The answer, a handover, reports whether the peer has
// released the worker, that is, does not own it in its own view, and how many slots the peer still holds because its tasks
// run there. The peer sends further handovers as these tasks end. Tasks that a dead instance has left are found by counting
// the tasks that run on the worker.
package owner

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/platform"
)

// Holder identifies one incarnation, that is, one process, of a peer of the zone that may hold slots: tasks that it started
// may run on workers.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// View is the state of the zone on which ownership depends.
type View struct {
	Self    string
	Owners  []string            // instances of the zone that may own workers, in any order
	Holders []Holder            // live peers of the zone that may hold slots, including peers that are draining
	Workers []platform.Instance // endpoints of the zone
	// Returns counts the events after which this instance and a peer may both have owned a worker, see member.View.
	Returns uint64
	Addrs   map[string]string // addresses of the holders by instance
}

// Assign returns the owner of each worker, or an empty map if there are no instances. The result depends only on the two
// sets of names, so all instances with the same view compute the same owners. Each worker goes to the first instance in its
// rendezvous hashing order that has room; an instance has room for an equal share of the workers, rounded up. Without that
// limit one of two instances got 13 of 17 workers. When an instance joins or leaves, its workers move, and few others.
func Assign(instances, workers []string) map[string]string {
	owners := make(map[string]string, len(workers))
	if len(instances) == 0 {
		return owners
	}
	room := make(map[string]int, len(instances))
	share := (len(workers) + len(instances) - 1) / len(instances)
	for _, i := range instances {
		room[i] = share
	}
	open := slices.Sorted(maps.Keys(room)) // sorted, so that ties are resolved in the same way on all instances
	table := rendezvous.New(open, xxhash.Sum64String)
	for _, w := range slices.Sorted(slices.Values(workers)) {
		first := table.Lookup(w)
		owners[w] = first
		if room[first]--; room[first] == 0 {
			open = slices.DeleteFunc(open, func(i string) bool { return i == first })
			table = rendezvous.New(open, xxhash.Sum64String)
		}
	}
	return owners
}

// ViewFromMembers derives the view from the membership. Draining instances own no workers unless all instances of the zone
// are draining; then they keep their workers, since each has to finish its queue. Instances that have not settled, see
// member.View, neither own workers nor hold slots.
func ViewFromMembers(m member.View) View {
	v := View{Self: m.Self.Instance, Returns: m.Returns, Addrs: make(map[string]string)}
	var draining []string
	own := func(instance string, drains bool) {
		if drains {
			draining = append(draining, instance)
			return
		}
		v.Owners = append(v.Owners, instance)
	}
	if m.Settled && !m.Superseded {
		own(m.Self.Instance, m.Draining)
	}
	for _, p := range m.Members {
		if p.Zone != m.Self.Zone || !p.Live() || !p.Settled {
			continue
		}
		v.Holders = append(v.Holders, Holder{Instance: p.Instance, Incarnation: p.Incarnation})
		v.Addrs[p.Instance] = p.Addr
		own(p.Instance, p.Draining)
	}
	if len(v.Owners) == 0 {
		v.Owners = draining
	}
	for _, i := range m.Instances {
		if i.Kind == platform.KindEndpoint && i.Zone == m.Self.Zone {
			v.Workers = append(v.Workers, i)
		}
	}
	return v
}

func (v View) equal(o View) bool {
	return v.Self == o.Self && v.Returns == o.Returns && slices.Equal(v.Owners, o.Owners) &&
		slices.Equal(v.Holders, o.Holders) && slices.Equal(v.Workers, o.Workers)
}

func (v View) workerNames() []string {
	names := make([]string, len(v.Workers))
	for i := range v.Workers {
		names[i] = v.Workers[i].Name
	}
	return names
}
