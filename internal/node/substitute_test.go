package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform"
)

// idsOf returns names of jobs that belong to a zone.
func (d *deployment) idsOf(zone string, first, n int) []string {
	var ids []string
	for i := first; len(ids) < n; i++ {
		if ledger.ZoneOf(work.JobID(id(i)), d.zones) == zone {
			ids = append(ids, id(i))
		}
	}
	return ids
}

// substitutes reports whether an instance dispatches for another zone.
func (i *instance) substitutes() bool {
	all := i.Dump().Substituted
	return len(all) == 1 && len(all[0].Shards) > 0 && all[0].Shards[0].Leading
}

// Guards against jobs that are accepted and never run because their zone has lost its last instance, while its endpoints and the other
// zones are alive, and against tasks that run twice when the zone's instances come back.
func TestStoredJobsOfAZoneWithoutInstances(t *testing.T) {
	is := is.New(t)
	d := deployZones(t, 3, 300*time.Millisecond, "north", "south")
	a, b := d.startIn("north", "a"), d.startIn("south", "b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	tasks := map[string]int{}
	for _, job := range d.idsOf("south", 10, 6) {
		tasks[job] = 6
		d.submit(a, job, 6)
	}
	d.eventually("tasks run", func() bool { return d.fleet.Running() > 0 })
	b.crash()
	for _, job := range d.idsOf("south", 100, 3) { // accepted without a holder
		tasks[job] = 2
		d.submit(a, job, 2)
	}
	for job := range tasks {
		d.eventuallyState(a, job, stateCompleted)
	}
	is.True(a.substitutes())
	c := d.startIn("south", "c")
	for _, job := range d.idsOf("south", 200, 3) {
		tasks[job] = 4
		d.submit(c, job, 4)
	}
	d.eventually("the other zone's instance gives the zone back", func() bool { return !a.substitutes() })
	for job := range tasks {
		d.eventuallyState(c, job, stateCompleted)
	}
	d.checkSuccesses(tasks)
}

// Guards against a zone whose endpoints stand idle, for jobs whose callers wait, because its last instance is lost.
func TestEndpointsOfAZoneWithoutInstances(t *testing.T) {
	d := deployZones(t, 1, 50*time.Millisecond, "north", "south")
	a, b := d.startIn("north", "a"), d.startIn("south", "b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	b.crash()
	d.eventually("the first instance dispatches for both zones", a.substitutes)
	n := 1000
	d.eventually("a job runs in the other zone", func() bool {
		for range 12 {
			n++
			go a.post(id(n), 4)
		}
		time.Sleep(300 * time.Millisecond)
		for _, s := range d.fleet.Starts() {
			if s.Endpoint == "e10.0.1.0:80" && s.StartedAt.After(time.Now().Add(-time.Second)) {
				return true
			}
		}
		return false
	})
}

// Guards against a substitute that takes a zone's endpoints away from an instance that the store refuses but that dispatches, and
// against one that begins although it reaches no endpoint of the zone.
func TestNoSubstituteForAZoneThatDispatches(t *testing.T) {
	is := is.New(t)
	d := deployZones(t, 1, 50*time.Millisecond, "north", "south")
	a, b := d.startIn("north", "a"), d.startIn("south", "b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	b.store.refusesJoins.Store(true)
	d.eventually("the zone is vacant", func() bool {
		owners, err := d.store.Owners(t.Context(), platform.Records{}.LeadersTopic("south"))
		return err == nil && len(owners) == 0
	})
	time.Sleep(4 * time.Second)
	is.True(!a.substitutes())
	a.endpoints.SetAllCut(true)
	b.crash()
	time.Sleep(3 * time.Second)
	is.True(!a.substitutes())
	a.endpoints.SetAllCut(false)
	d.eventually("the first instance dispatches for both zones", a.substitutes)
}
