package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

// evacuate writes the record of a zone's evacuation.
func (d *deployment) evacuate(zone string) { d.store.Set("keyed.op", "evacuate/"+zone, []byte(`{}`)) }

// reopen removes the record of a zone's evacuation.
func (d *deployment) reopen(zone string) { d.store.Set("keyed.op", "evacuate/"+zone, nil) }

// know waits until all instances know of a number of evacuated zones.
func (d *deployment) know(zones int, all ...*instance) {
	d.t.Helper()
	d.eventually("the instances know of the evacuation", func() bool {
		for _, i := range all {
			if e := i.Dump().Evacuations; !e.Known || len(e.Zones) != zones {
				return false
			}
		}
		return true
	})
}

// startsIn returns the number of starts on the endpoints of a zone, which is the first or second of the deployment.
func (d *deployment) startsIn(zone int) int {
	n := 0
	for _, s := range d.fleet.Starts() {
		if s.Endpoint == onlyEndpoint(zone) {
			n++
		}
	}
	return n
}

// onlyEndpoint is the endpoint of a zone that has one.
func onlyEndpoint(zone int) work.EndpointID {
	return work.EndpointID(fmt.Sprintf("e10.0.%d.0:80", zone))
}

// Guards against starts in an evacuated zone, and against callers of that zone who are refused although another zone has room; against an
// evacuation that ends because the store is away or has dropped its history, and one that stays after its record is gone.
func TestEvacuatedZone(t *testing.T) {
	is := is.New(t)
	d := deployZones(t, 1, 20*time.Millisecond, "north", "south")
	a, b := d.startIn("north", "a"), d.startIn("south", "b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	d.evacuate("north")
	d.know(1, a, b)
	before := d.startsIn(0)
	d.eventually("callers of the evacuated zone are served", d.served(a, 3))
	d.eventually("callers of the other zone are served", d.served(b, 4))
	is.True(d.startsIn(1) > 0)

	d.store.SetDown(true)
	d.eventually("the store is away and callers are served", d.served(a, 5))
	d.store.DropHistory("keyed.op")
	d.store.SetDown(false)
	d.eventually("the history is gone and callers are served", d.served(a, 6))
	d.know(1, a, b)
	is.Equal(d.startsIn(0), before)

	c := d.startIn("north", "c") // starts while the evacuation is in force
	d.eventually("the new instance serves", d.served(c, 7))
	is.Equal(d.startsIn(0), before)

	d.reopen("north")
	d.know(0, a, b, c)
	d.eventually("the zone gets runs again", func() bool { return d.served(a, 8)() && d.startsIn(0) > before })
}

// Guards against a record that names no zone of the deployment, or that cannot be read, and that costs callers anything; and against callers
// who wait while the last zone is evacuated.
func TestBadRecordsAndTheLastZone(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, 20*time.Millisecond)
	a := d.start("a")
	d.eventually("the instance serves", d.served(a, 1))
	d.evacuate("moon")
	d.store.Set("keyed.op", "evacuate/north", []byte(`{"zo`))
	d.eventually("the records are read", func() bool { return len(a.Dump().Evacuations.Foreign) == 1 })
	d.eventually("the instance serves", d.served(a, 2))
	d.evacuate("north")
	d.know(1, a)
	sent := time.Now()
	status, _ := a.post(id(3), 1)
	is.Equal(status, 503)
	is.True(time.Since(sent) < time.Second)
	is.Equal(countStarts(d, work.JobID(id(3))), 0)
	d.reopen("north")
	d.eventually("the instance serves again", d.served(a, 4))
}

// countStarts returns how many runs of a job were started.
func countStarts(d *deployment, id work.JobID) int {
	n := 0
	for _, s := range d.fleet.Starts() {
		if s.Task.Job == id {
			n++
		}
	}
	return n
}
