package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/work"
)

// label is a label that some endpoints have.
const label = "large"

// addLabelled starts and registers an endpoint with the label.
func (d *deployment) addLabelled(zone, address string) {
	e := work.Endpoint{
		ID: work.EndpointID("e" + address), Service: "survey", Address: address, Zone: zone, Size: work.Size{MilliCPU: 4000, MemoryMB: 1000},
		Labels: []string{label},
	}
	d.fleet.Add(e)
	d.store.Set("keyed.servers", string(e.ID), fmt.Appendf(nil, `{"service":"survey","addr":%q,"zone":%q,"state":"ready","labels":[%q],
		"capacity":{"cpu":4000,"mem_mb":1000}}`, e.Address, zone, label))
}

// lose takes an endpoint away for good, with its runs and with the ends that nobody has taken note of. With silent, nothing answers at its address;
// otherwise another process does, which is not registered.
func (d *deployment) lose(address string, silent bool) {
	d.fleet.Restart(address)
	d.fleet.SetSilent(address, silent)
	d.store.Set("keyed.servers", "e"+address, nil)
}

// submitLabelled submits a stored job of one task that needs the label, until it is accepted.
func (d *deployment) submitLabelled(i *instance, id string) {
	d.t.Helper()
	body := fmt.Sprintf(`{"spec":"x","phases":[{"count":1,"cpu":4000,"mem_mb":10,"estimate_ms":300,"constraints":%q}]}`, label)
	d.eventually("job "+id+" is accepted", func() bool {
		req, err := http.NewRequest("POST", i.url+"/p/"+id, bytes.NewReader([]byte(body)))
		if err != nil {
			return false
		}
		req.Host = "h.example"
		req.Header.Set("X-Deadline-Ms", "5000")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

// jobsOf returns names of jobs that belong to a zone.
func (d *deployment) jobsOf(zone string, n int) []string {
	var all []string
	for k := 0; len(all) < n; k++ {
		if ledger.ZoneOf(work.JobID(id(k)), d.zones) == zone {
			all = append(all, id(k))
		}
	}
	return all
}

// Guards against stored jobs that wait for ever for a label that their zone has lost and another one has (review/12), and against tasks that
// run twice or jobs that are not found if their holder is lost while they move.
func TestStoredJobsMoveWithTheirLabel(t *testing.T) {
	for _, c := range []struct {
		name       string
		silent     bool          // see lose
		holderLost time.Duration // after the loss of the label; 0 for never
	}{
		{"holder stays", true, 0},
		{"endpoint answers without a registration", false, 0},
		{"holder lost before the move", true, 1500 * time.Millisecond},
		{"holder lost during the move", true, 3500 * time.Millisecond},
		{"holder lost after the move", false, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deployZones(t, 1, 300*time.Millisecond, "north", "south")
			d.addLabelled("north", "10.1.0.0:80")
			d.addLabelled("south", "10.1.1.0:80")
			a, b := d.startIn("north", "a"), d.startIn("south", "b")
			d.eventually("the first instance serves", d.served(a, 1))
			d.eventually("the second instance serves", d.served(b, 2))
			second := d.startIn("north", "c")
			d.eventually("the third instance serves", d.served(second, 3))
			tasks := map[string]int{}
			for _, job := range d.jobsOf("north", 12) {
				d.submitLabelled(b, job)
				tasks[job] = 1
			}
			d.lose("10.1.0.0:80", c.silent)
			if c.holderLost > 0 {
				time.Sleep(c.holderLost)
				a.crash()
			}
			for job := range tasks {
				d.eventuallyState(b, job, stateCompleted)
				d.eventuallyState(second, job, stateCompleted)
			}
			d.checkSuccesses(tasks)
		})
	}
}

// Guards against accepted jobs that wait until the evacuation of their zone is taken back although another zone has room, and against a cancel
// that misses a job which has moved.
func TestStoredJobsLeaveAnEvacuatedZone(t *testing.T) {
	d := deployZones(t, 1, 700*time.Millisecond, "north", "south")
	a, b := d.startIn("north", "a"), d.startIn("south", "b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	tasks := map[string]int{}
	jobs := d.jobsOf("north", 8)
	for _, job := range jobs {
		d.submit(a, job, 4)
		tasks[job] = 4
	}
	cancelled := jobs[len(jobs)-1]
	delete(tasks, cancelled)
	d.evacuate("north")
	d.know(1, a, b)
	d.eventually("jobs have moved", func() bool { return startsOf(d, jobs, onlyEndpoint(1)) > 0 })
	d.eventually("a job is cancelled", func() bool {
		state := b.call("DELETE", cancelled, 0)
		return state == stateCancelled || state == stateCompleted
	})
	for job := range tasks {
		d.eventuallyState(a, job, stateCompleted)
		d.eventuallyState(b, job, stateCompleted)
	}
	d.checkSuccesses(tasks)
}

// startsOf returns how many runs of jobs were started on an endpoint.
func startsOf(d *deployment, jobs []string, endpoint work.EndpointID) int {
	n := 0
	for _, s := range d.fleet.Starts() {
		for _, job := range jobs {
			if s.Task.Job == work.JobID(job) && s.Endpoint == endpoint {
				n++
			}
		}
	}
	return n
}

// Guards against jobs that are lost, or tasks that run twice, when the zone that they have moved to is evacuated as well.
func TestStoredJobsMoveTwice(t *testing.T) {
	d := deployZones(t, 1, 600*time.Millisecond, "north", "south", "west")
	a, b, c := d.startIn("north", "a"), d.startIn("south", "b"), d.startIn("west", "c")
	for n, i := range []*instance{a, b, c} {
		d.eventually("an instance serves", d.served(i, n))
	}
	tasks := map[string]int{}
	jobs := d.jobsOf("north", 8)
	for _, job := range jobs {
		d.submit(a, job, 4)
		tasks[job] = 4
	}
	d.evacuate("north")
	d.eventually("jobs have moved", func() bool { return startsOf(d, jobs, onlyEndpoint(1)) > 0 })
	d.evacuate("south")
	d.know(2, a, b, c)
	for job := range tasks {
		d.eventuallyState(b, job, stateCompleted)
		d.eventuallyState(c, job, stateCompleted)
	}
	d.checkSuccesses(tasks)
}
