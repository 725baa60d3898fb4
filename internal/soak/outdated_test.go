package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

const (
	outdatedSeed      = 1
	outdatedInstances = 6 // three in each zone: two dispatchers and a third instance
	retransmitTime    = 1300 * time.Millisecond
	partitions        = 2
	fillerLead        = 400 * time.Millisecond // from the start of the filler until the other instances know of it
	fillerTime        = 900 * time.Millisecond
	taskTime          = 700 * time.Millisecond
	resetAfter        = 30 * time.Millisecond // from the submission of a job until its caller's connection is reset
)

// cast holds the instances of one zone that a job meets.
type cast struct {
	run           *run
	entry         *instance // takes the first submission; it dispatches for no partition
	first, second *instance // dispatchers of the partitions that get the first and the second submission
	part          int       // partition of second, which the job's ID selects
	filler, job   work.JobID
}

// newCast starts a run whose first zone has a dispatcher for each of two partitions and an instance that dispatches for none.
func newCast(t *testing.T) *cast {
	r, err := newRun(outdatedSeed, build(t), t.TempDir(), outdatedInstances, retransmitTime)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	r.fleet.Fails = nil
	r.fleet.RunTime = func(task work.TaskID) time.Duration {
		if strings.HasPrefix(string(task.Job), "f") {
			return fillerTime
		}
		return taskTime
	}
	if missing := r.awaitServing(startTime); len(missing) > 0 {
		t.Fatalf("%v do not serve", missing)
	}
	c := &cast{run: r}
	for end := time.Now().Add(startTime); !c.assign(); time.Sleep(probeInterval) {
		if time.Now().After(end) {
			t.Fatal("no two instances dispatch for the partitions of the zone")
		}
	}
	c.filler, c.job = c.jobID("f"), c.jobID("a")
	return c
}

// assign finds the instances by the orders that the endpoints have got lately. It returns false if two dispatchers are not to be seen.
func (c *cast) assign() bool {
	holders := map[int]string{}
	for _, o := range c.run.view().orders {
		if c.run.fleet.Registration(o.Address).Zone == zones[0] && time.Since(o.At) < time.Second {
			holders[shard.PartitionOf(string(o.Endpoint), partitions)] = o.Caller
		}
	}
	c.entry, c.first, c.second = nil, nil, nil
	for _, i := range c.run.instances {
		switch {
		case i.spec.Zone != zones[0]:
		case i.spec.IP == holders[0]:
			c.first = i
		case i.spec.IP == holders[1]:
			c.second, c.part = i, 1
		default:
			c.entry = i
		}
	}
	return c.entry != nil && c.first != nil && c.second != nil
}

// jobID returns an ID that selects the partition of the second dispatcher.
func (c *cast) jobID(prefix string) work.JobID {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s%015x", prefix, n)
		if shard.PartitionOf(id, partitions) == c.part {
			return work.JobID(id)
		}
	}
}

// submit submits a job of one task at an instance and returns its connection; the answer is awaited in the background.
func (c *cast) submit(j *job, at *instance) (caller *caller, answered chan attempt) {
	caller = newCaller(c.run, at)
	if !caller.connect() {
		return caller, nil
	}
	answered = make(chan attempt, 1)
	body := standin.Job(standin.Step{Tasks: 1, Size: taskSize, Estimate: 100 * time.Millisecond})
	go func() { answered <- caller.send(j, body, longDeadline) }()
	return caller, answered
}

func newCaller(r *run, only *instance) *caller {
	return &caller{run: r, rand: rand.New(rand.NewPCG(r.seed, 0)), only: only}
}

// fill makes the second partition look busy, so that the next job is submitted to the first one.
func (c *cast) fill() {
	j := &job{ID: c.filler, Steps: []int{1}}
	c.run.record.addJob(j)
	c.submit(j, c.second)
	time.Sleep(fillerLead)
}

// verify fails the test if a task has run twice at the same time, or if the job has not met both dispatchers.
func (c *cast) verify(t *testing.T) {
	v := c.run.view()
	by := map[string]bool{}
	for _, o := range v.orders {
		if o.Start && o.Task.Job == c.job {
			by[v.callers[o.Caller]] = true
		}
		if o.Task.Job == c.job {
			t.Logf("%v %s start %v run %d by %s fence %d: %s", o.At.Sub(c.run.record.began), o.Endpoint, o.Start, o.Run, v.callers[o.Caller], o.Fence, o.Refusal)
		}
	}
	for _, s := range v.starts {
		if s.Task.Job == c.job {
			t.Logf("run %d at %s from %v to %v %s", s.Run, s.Endpoint, s.StartedAt.Sub(c.run.record.began), s.EndedAt.Sub(c.run.record.began), s.Reason)
		}
	}
	if !by[c.second.spec.Name] {
		t.Error("the second submission has started nothing")
	}
	for _, found := range overlappingRuns(v) {
		t.Error(found)
	}
}

// Guards against a submission that arrives late, with no heartbeat missing, and starts a task whose caller has left and has submitted the
// job again at another dispatcher. Its cancellation is as late.
func TestSubmissionThatArrivesLate(t *testing.T) {
	c := newCast(t)
	f := &linkFault{delay: retransmitTime + 200*time.Millisecond, ramp: 3 * time.Second, ways: [2]bool{toTarget: true}}
	for _, l := range c.run.network.between(func(from, to string) bool { return from == c.entry.spec.IP && c.isRelay(c.first, to) }) {
		l.begin(f)
	}
	time.Sleep(f.ramp)
	c.fill()
	j := &job{ID: c.job, Steps: []int{1}}
	c.run.record.addJob(j)
	caller, _ := c.submit(j, c.entry)
	conn := caller.conn
	time.Sleep(resetAfter)
	abort(conn)
	time.Sleep(retransmitTime)
	_, answered := c.submit(j, c.second)
	if got := <-answered; got.State != work.Completed {
		t.Errorf("second submission: %+v", got)
	}
	c.verify(t)
}

// isRelay reports whether an address is the one at which an instance takes the connections of other instances.
func (c *cast) isRelay(i *instance, address string) bool {
	return address == fmt.Sprintf("%s:%d", i.spec.IP, i.spec.Port)
}
