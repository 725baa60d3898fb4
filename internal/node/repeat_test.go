package node_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/dump"
	"github.com/savorypass/savorypass/internal/node"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// leads reports whether an instance dispatches for a partition.
func (i *instance) leads(partition int) bool {
	return slices.ContainsFunc(i.dump().Shards, func(s shard.Dump) bool { return s.Partition == partition && s.Leading })
}

// dispatches reports whether an instance dispatches for a partition and knows all runs there.
func (i *instance) dispatches(partition int) bool {
	return slices.ContainsFunc(i.dump().Shards, func(s shard.Dump) bool { return s.Partition == partition && s.Leading && s.Settled })
}

func (i *instance) dump() dump.Instance {
	var d dump.Instance
	_, text := get(i.operators + node.DumpPath)
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		return dump.Instance{}
	}
	return d
}

// found reports whether an instance dispatches and knows of a run of a job.
func (i *instance) found(job work.JobID) bool {
	return slices.ContainsFunc(i.dump().Shards, func(s shard.Dump) bool {
		return s.Leading && slices.ContainsFunc(s.Pool.Runs, func(r pool.RunDump) bool { return strings.HasPrefix(r.Task, string(job)) })
	})
}

// leaderOf returns the instance among all that dispatches for a partition, or nil.
func leaderOf(all []*instance, partition int) *instance {
	for _, i := range all {
		if i.dispatches(partition) {
			return i
		}
	}
	return nil
}

// twoPartitions starts three instances of a zone whose endpoints need two partitions, and waits until both are dispatched.
func (d *deployment) twoPartitions() []*instance {
	d.t.Helper()
	all := []*instance{d.start("a"), d.start("b"), d.start("c")}
	for n, i := range all {
		d.eventually("the instance serves", d.served(i, n+1))
	}
	d.eventually("both partitions are dispatched", func() bool {
		return all[0].dump().Partitions["north"] == 2 && leaderOf(all, 0) != nil && leaderOf(all, 1) != nil
	})
	return all
}

// without returns the instances except one.
func without(all []*instance, lost *instance) []*instance {
	return slices.DeleteFunc(slices.Clone(all), func(i *instance) bool { return i == lost })
}

const (
	repeatedJob = work.JobID("0000000000000077")
	longTask    = 4 * time.Second // exceeds the time until the repeated submission and all leases
)

// repeatDeployment returns a deployment of two partitions in which the tasks of jobs with an ID from repeatedJob on are
// long and all others short.
func repeatDeployment(t *testing.T) *deployment {
	d := deploy(t, 60, 20*time.Millisecond)
	d.retransmit = 600 * time.Millisecond
	d.fleet.RunTime = func(task work.TaskID) time.Duration {
		if strings.HasPrefix(string(task.Job), "00000000000000") && task.Job >= repeatedJob {
			return longTask
		}
		return 20 * time.Millisecond
	}
	return d
}

// fill submits a long job to a partition, so that jobs prefer the other one.
func (d *deployment) fill(at *instance, partition int) {
	d.t.Helper()
	n := 0x80
	for shard.PartitionOf(id(n), 2) != partition {
		n++
	}
	go at.post(id(n), 20)
	d.eventually("the partition is loaded", func() bool { return d.runningOf(work.JobID(id(n))) == 20 })
}

// runningOf returns the number of runs of a job's tasks. Runs of other jobs may end meanwhile.
func (d *deployment) runningOf(job work.JobID) int {
	running := 0
	for _, s := range d.fleet.Starts() {
		if s.Task.Job == job && s.EndedAt.IsZero() {
			running++
		}
	}
	return running
}

// Guards against two runs of a task at a time when the instance that holds the caller's connection dispatches the job
// itself and is killed: its successor keeps the run that it finds, and the caller's next submission, at another
// instance, goes to the other partition, which knows nothing of that run.
func TestRepeatAfterLossOfItsDispatcher(t *testing.T) {
	is := is.New(t)
	d := repeatDeployment(t)
	all := d.twoPartitions()
	partition := shard.PartitionOf(string(repeatedJob), 2)
	lost := leaderOf(all, partition)
	go lost.post(string(repeatedJob), 1)
	d.eventually("the job runs", func() bool { return d.fleet.Running() == 1 })
	lost.crash()
	lostAt := time.Now()
	var successor *instance
	d.eventually("a successor dispatches", func() bool {
		for _, i := range without(all, lost) {
			if i.leads(partition) {
				successor = i
			}
		}
		return successor != nil
	})
	d.fill(successor, partition)
	time.Sleep(time.Until(lostAt.Add(d.retransmit)))
	status, body := successor.post(string(repeatedJob), 1)
	is.Equal(status, 200)
	is.Equal(body, `{"state":"completed"}`)
	is.Equal(d.fleet.OverlappingRuns(), "")
}

// Guards against two runs of a task at a time when a caller's instance is killed and its job's dispatcher cannot stop the
// run, because the endpoint does not answer: the caller's next submission went to the other partition meanwhile.
func TestRepeatWhileStopIsUnanswered(t *testing.T) {
	is := is.New(t)
	d := repeatDeployment(t)
	d.fleet.LoseAnswer = func(call string) (bool, time.Duration) { return call == "stop", -1 }
	all := d.twoPartitions()
	caller := d.start("d")
	d.eventually("the caller's instance serves", d.served(caller, 9))
	partition := shard.PartitionOf(string(repeatedJob), 2)
	go caller.post(string(repeatedJob), 1)
	d.eventually("the job runs", func() bool { return d.fleet.Running() == 1 })
	caller.crash()
	lostAt := time.Now()
	d.fill(all[0], partition)
	time.Sleep(time.Until(lostAt.Add(d.retransmit)))
	status, body := all[0].post(string(repeatedJob), 1)
	is.Equal(status, 200)
	is.Equal(body, `{"state":"completed"}`)
	is.Equal(d.fleet.OverlappingRuns(), "")
}

// Guards against two runs of a task at a time when a dispatcher is killed with the instance of the caller, who submits the job again at once,
// before the successor has stopped the run that it has found.
func TestRepeatAtOnceAfterLossOfItsDispatcher(t *testing.T) {
	is := is.New(t)
	d := repeatDeployment(t)
	all := d.twoPartitions()
	partition := shard.PartitionOf(string(repeatedJob), 2)
	lost := leaderOf(all, partition)
	go lost.post(string(repeatedJob), 1)
	d.eventually("the job runs", func() bool { return d.fleet.Running() == 1 })
	lost.crash()
	var successor *instance
	d.eventually("a successor has found the run", func() bool {
		for _, i := range without(all, lost) {
			if i.found(repeatedJob) {
				successor = i
			}
		}
		return successor != nil
	})
	time.Sleep(100 * time.Millisecond) // until the home is told
	d.fill(successor, partition)
	status, body := successor.post(string(repeatedJob), 1)
	is.Equal(status, 200)
	is.Equal(body, `{"state":"completed"}`)
	is.Equal(d.fleet.OverlappingRuns(), "")
}
