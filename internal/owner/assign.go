// Package owner decides which entry instance assigns the slots of which worker, and moves slots between instances
// without filling one twice.
package owner

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/platform"
)

// Holder is the life of a peer of the zone that may hold slots of workers.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// View is what ownership depends on.
type View struct {
	Self    string
	Owners  []string            // instances of the zone that may own workers, in any order
	Holders []Holder            // live peers of the zone that may hold slots; a draining peer does until it has finished
	Workers []platform.Instance // endpoints of the zone
	// Returns changes when this instance and a peer may both have owned a worker, see member.View.
	Returns uint64
	Addrs   map[string]string // addresses of the holders, by instance
}

// Assign returns the owner of each worker. It depends on nothing but the sets of names. Each worker goes to the first
// instance of its rendezvous order that has room; an instance has room for its share of the workers, rounded up. Plain
// rendezvous hashing gave 13 of 17 workers to one of two instances. A change of the instances moves the workers of those
// that have come or gone, and few others.
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
	open := slices.Sorted(maps.Keys(room)) // decides ties in the same way everywhere
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

// ViewFromMembers derives the view from the membership. Draining instances own nothing as long as the zone has others; when
// all are draining they keep their workers, since each has to finish its queue.
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
