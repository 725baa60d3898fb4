package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// call sends a request about a job; its body is that of a stored job for POST.
func (i *instance) call(method, id string, tasks int) string {
	body := ""
	if method == "POST" {
		body = fmt.Sprintf(`{"spec":"x","phases":[{"count":%d,"cpu":1000,"mem_mb":10,"estimate_ms":300}]}`, tasks)
	}
	req, err := http.NewRequest(method, i.url+"/p/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return err.Error()
	}
	req.Host = "h.example"
	req.Header.Set("X-Deadline-Ms", "5000")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, string(raw))
}

// submit submits a stored job until it is accepted, as callers do that get 503 or 504.
func (d *deployment) submit(i *instance, id string, tasks int) {
	d.t.Helper()
	d.eventually("job "+id+" is accepted", func() bool { return i.call("POST", id, tasks)[:3] == "200" })
}

const (
	stateCompleted = `200{"state":"completed"}`
	stateCancelled = `200{"state":"cancelled"}`
	noSuchJob      = `410{"error":"no such job"}`
)

func (d *deployment) eventuallyState(i *instance, id, state string) {
	d.t.Helper()
	d.eventually("job "+id+" is "+state, func() bool { return i.call("GET", id, 0) == state })
}

// checkSuccesses fails the test if a task has succeeded more or less than once, or has started after its success.
func (d *deployment) checkSuccesses(tasks map[string]int) {
	d.t.Helper()
	succeeded := map[work.TaskID]fleet.Start{}
	for _, s := range d.fleet.Starts() {
		if first, ok := succeeded[s.Task]; ok && s.StartedAt.After(first.EndedAt) {
			d.t.Errorf("task %v started after its success", s.Task)
		}
		if s.Reason == work.EndSucceeded {
			succeeded[s.Task] = s
		}
	}
	for job, n := range tasks {
		for index := range n {
			if _, ok := succeeded[work.TaskID{Job: work.JobID(job), Index: index}]; !ok {
				d.t.Errorf("task %d of job %s has not succeeded", index, job)
			}
		}
	}
	if overlapping := d.fleet.OverlappingRuns(); overlapping != "" {
		d.t.Error(overlapping)
	}
}

func (d *deployment) startTwo() (a, b *instance) {
	a, b = d.start("a"), d.start("b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	return a, b
}

// Guards against a stored job that becomes two when it is submitted at two instances at once, or is not shown at both.
func TestStoredTwice(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 20*time.Millisecond)
	a, b := d.startTwo()
	is.Equal(a.call("GET", id(1), 0), noSuchJob)
	tasks := map[string]int{}
	var wg sync.WaitGroup
	for n := range 10 {
		tasks[id(n)] = 3
		for _, at := range []*instance{a, b} {
			wg.Go(func() {
				d.submit(at, id(n), 3)
			})
		}
	}
	wg.Wait()
	for n := range 10 {
		d.eventuallyState(a, id(n), stateCompleted)
		d.eventuallyState(b, id(n), stateCompleted)
		is.Equal(a.call("POST", id(n), 3), stateCompleted) // a late repeat
	}
	d.checkSuccesses(tasks)
	is.Equal(len(d.fleet.Starts()), 30+2) // the two jobs of startTwo
	is.Equal(a.call("GET", id(99), 0), noSuchJob)
	is.Equal(a.call("GET", "", 0), `200{"pending":0}`)
}

// Guards against stored jobs that are lost, or tasks that run again after their success, when all instances end at once with work
// running and other instances start afterwards.
func TestStoredOutlivesAllInstances(t *testing.T) {
	d := deploy(t, 3, 300*time.Millisecond)
	a, b := d.startTwo()
	tasks := map[string]int{}
	for n := range 12 {
		tasks[id(n)] = 3
		d.submit(a, id(n), 3)
	}
	d.eventuallyState(a, id(0), stateCompleted)
	a.crash()
	b.crash()
	c := d.start("c")
	for job := range tasks {
		d.eventuallyState(c, job, stateCompleted)
	}
	d.checkSuccesses(tasks)
}

// Guards against jobs that the next holder loses or runs again after the holder has ended, while the other instance goes on.
func TestStoredHolderKilled(t *testing.T) {
	d := deploy(t, 3, 200*time.Millisecond)
	a := d.start("a")
	d.eventually("the first instance serves", d.served(a, 1))
	b := d.start("b")
	d.eventually("the second instance serves", d.served(b, 2))
	tasks := map[string]int{}
	for n := range 8 {
		tasks[id(n)] = 2
		d.submit(b, id(n), 2)
	}
	a.crash()
	tasks[id(20)] = 1
	d.submit(b, id(20), 1) // after the loss
	for job := range tasks {
		d.eventuallyState(b, job, stateCompleted)
	}
	d.checkSuccesses(tasks)
}

// Guards against a cancelled job that starts, shows another state later, or is not known any more, whether its tasks wait or run.
func TestStoredCancel(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, 400*time.Millisecond)
	a, b := d.startTwo()
	d.submit(a, id(1), 6) // 4 tasks run, 2 wait
	d.submit(a, id(2), 3) // waits
	is.Equal(b.call("DELETE", id(2), 0), stateCancelled)
	d.eventually("tasks run", func() bool { return d.fleet.Running() == 4 })
	is.Equal(b.call("DELETE", id(1), 0), stateCancelled)
	started := len(d.fleet.Starts())
	d.eventually("the runs are stopped", func() bool { return d.fleet.Running() == 0 })
	is.Equal(a.call("DELETE", id(1), 0), stateCancelled)
	is.Equal(a.call("POST", id(1), 6), stateCancelled) // a late repeat
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(d.fleet.Starts()), started)
	a.crash()
	d.eventuallyState(b, id(1), stateCancelled)
	d.eventuallyState(b, id(2), stateCancelled)
}

// Guards against a refusal of a job that runs, an outage or a full store that ends accepted work, and a final state that is shown
// although the store does not have it.
func TestStoredWithoutStore(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 200*time.Millisecond)
	a, _ := d.startTwo()
	d.submit(a, id(1), 3)
	d.store.SetDown(true)
	is.Equal(a.call("POST", id(2), 1)[:3], "503")
	d.eventually("the accepted job runs to its end", func() bool { return d.fleet.Running() == 0 && len(d.fleet.Starts()) >= 2+3 })
	if got := a.call("GET", id(1), 0); got == stateCompleted {
		t.Error("the job is shown as completed, which the store does not have")
	}
	d.store.SetDown(false)
	d.eventuallyState(a, id(1), stateCompleted)
	d.store.SetMaxBytes(1)
	is.Equal(a.call("POST", id(3), 1)[:3], "503")
	d.store.SetMaxBytes(0)
	d.submit(a, id(4), 1)
	d.eventuallyState(a, id(4), stateCompleted)
	d.checkSuccesses(map[string]int{id(1): 3, id(4): 1})
	for _, s := range d.fleet.Starts() {
		if s.Task.Job == work.JobID(id(2)) || s.Task.Job == work.JobID(id(3)) {
			t.Errorf("refused job %s started", s.Task.Job)
		}
	}
}

// Guards against tasks that start again after their success, or jobs that are lost, when a zone is divided while stored jobs run, with the
// dispatchers on one instance or on two, and when it is divided again soon after (review/7).
func TestStoredJobsOutliveADivision(t *testing.T) {
	for _, c := range []struct {
		name       string
		instances  int
		added      map[int]int // endpoints that are added before a job, by the job's number
		partitions int
	}{
		{"one instance", 1, map[int]int{40: 1}, 2},
		{"two instances", 2, map[int]int{40: 1}, 2},
		{"divided twice", 2, map[int]int{30: 1, 45: 9}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 8, 250*time.Millisecond)
			d.linkMbps = 1 // 8 endpoints a partition
			all := []*instance{d.start("a")}
			d.eventually("the first instance serves", d.served(all[0], 1))
			if c.instances == 2 {
				all = append(all, d.start("b"))
				d.eventually("the second instance serves", d.served(all[1], 2))
			}
			tasks := map[string]int{}
			for n := range 80 {
				tasks[id(n)] = 4
				d.submit(all[n%len(all)], id(n), 4)
				for i := range c.added[n] {
					d.addEndpoint("north", fmt.Sprint("10.0.", n, ".", i, ":80"))
				}
			}
			d.eventually("the zone is divided", func() bool { return all[0].Dump().Partitions["north"] == c.partitions })
			for job := range tasks {
				d.eventuallyState(all[0], job, stateCompleted)
			}
			d.checkSuccesses(tasks)
		})
	}
}

// Guards against calls to the store for stored jobs in a deployment that has none.
func TestNoStoredJobsNoCalls(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 20*time.Millisecond)
	a, _ := d.startTwo()
	is.Equal(a.call("GET", id(5), 0), noSuchJob)
	is.Equal(a.call("GET", "", 0), `200{"pending":0}`)
	is.Equal(len(a.Dump().Log), 0)
	b, err := d.store.Newest(t.Context(), "keyed.savorypass.divisions", 0)
	is.NoErr(err)
	is.Equal(len(b.Records), 0)
}
