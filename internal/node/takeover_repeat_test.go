package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// callerWait is how long the callers of these tests wait for a response to their first request.
const callerWait = 10 * time.Second

// runningOn returns the endpoint on which a job's only task runs.
func (d *deployment) runningOn(job work.JobID) work.EndpointID {
	for _, s := range d.fleet.Starts() {
		if s.Task.Job == job && s.EndedAt.IsZero() {
			return s.Endpoint
		}
	}
	return ""
}

// cutOff cuts the paths from instances to an endpoint.
func cutOff(all []*instance, e work.EndpointID) {
	for _, i := range all {
		i.endpoints.SetCut(true, e)
	}
}

// showUsualWait lets an instance see how long callers wait that submit a job for the first time.
func (d *deployment) showUsualWait(i *instance) {
	d.t.Helper()
	for n := range 12 {
		d.eventually("a job is served", func() bool {
			status, _ := i.postWithin(id(5000+n), 1, callerWait)
			return status == 200
		})
	}
}

// Guards against two runs of a task at a time when the partition of a running job is taken over and a second request for the job reaches the
// successor before the endpoint of the run has reported to it. The instance of the first request still attends to its caller.
func TestSecondRequestAtTheSuccessor(t *testing.T) {
	secondRequestAtTheSuccessor(t, func(d *deployment) time.Duration { return callerWait - d.retransmit })
}

// Guards against the same if the caller declares its whole wait again, as callers do whose waits differ by more than the retransmit time.
func TestSecondRequestOfAUsualWait(t *testing.T) {
	secondRequestAtTheSuccessor(t, func(*deployment) time.Duration { return callerWait })
}

// secondRequestAtTheSuccessor takes the partition of a running job over, cuts its successor from the endpoint of the run and submits the job
// again there, for a caller that waits for some time.
func secondRequestAtTheSuccessor(t *testing.T, wait func(*deployment) time.Duration) {
	t.Helper()
	is := is.New(t)
	d := repeatDeployment(t)
	all := d.twoPartitions()
	caller := d.start("d")
	caller.store.refusesJoins.Store(true) // so that it dispatches for no partition
	d.eventually("the caller's instance serves", d.served(caller, 9))
	for _, i := range all {
		d.showUsualWait(i)
	}
	partition := shard.PartitionOf(string(repeatedJob), 2)
	var first *instance
	d.eventually("the partition is dispatched", func() bool {
		first = leaderOf(all, partition)
		return first != nil
	})
	go caller.postWithin(string(repeatedJob), 1, callerWait)
	d.eventually("the job runs", func() bool { return d.runningOn(repeatedJob) != "" })
	cutOff(without(all, first), d.runningOn(repeatedJob))
	first.store.refusesJoins.Store(true)
	var successor *instance
	d.eventually("a successor dispatches", func() bool {
		for _, i := range without(all, first) {
			if i.leads(partition) {
				successor = i
			}
		}
		return successor != nil
	})
	status, body := successor.postWithin(string(repeatedJob), 1, wait(d))
	is.Equal(status, 200)
	is.Equal(body, `{"state":"completed"}`)
	is.Equal(d.fleet.OverlappingRuns(), "")
}
