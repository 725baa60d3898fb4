package bench

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	rateRunTime      = 20 * time.Millisecond
	rateTasksPerSlot = 1.5 // submitted tasks per slot; above 1, so that slots never wait for tasks
	rateWarmUp       = 2 * time.Second
	minRate          = 10_000.0 // starts per second and core
	rateJobTasks     = maxTasks
)

// Rate saturates a cluster with jobs of 160 short tasks and records the starts per CPU second of the entry instances, with the
// starts per second in the note.
func (r *Run) Rate(c *Cluster) error {
	s := newSaturation(c)
	defer s.close()
	time.Sleep(rateWarmUp)
	before, err := c.takeSnapshot()
	if err != nil {
		return err
	}
	time.Sleep(r.Extent.Rate)
	after, err := c.takeSnapshot()
	if err != nil {
		return err
	}
	d := after.minus(before)
	entry := d.cpu[roleEntry]
	starts := float64(d.starts)
	perSecond := starts / d.duration.Seconds()
	perCore := starts / max(entry.Seconds(), 1.0/ticksPerSecond)
	what := fmt.Sprintf("%d instances, %d workers", len(c.Entries), len(c.Workers))
	r.Logf("rate, %s: %.0f starts/s, %.0f per core, entry CPU %.2f cores, workers' CPU %.2f cores, load generator's CPU %.2f cores, %d jobs failed (first failure: %s)",
		what, perSecond, perCore, entry.Seconds()/d.duration.Seconds(), d.cpu[roleWorker].Seconds()/d.duration.Seconds(),
		d.cpu[roleTool].Seconds()/d.duration.Seconds(), s.failed.Load(), s.reason())
	note := fmt.Sprintf("%.0f starts/s over all, %.2f cores of the entry instances, %d failed jobs", perSecond,
		entry.Seconds()/d.duration.Seconds(), s.failed.Load())
	return appendRows(r.Out,
		Row{Measure: "rate", Case: what, Unit: "starts/s per core", Value: &perCore, Min: finite(minRate), Note: note})
}

// saturation is a closed-loop load that keeps more tasks in progress than there are slots.
type saturation struct {
	stop         atomic.Bool
	failed       atomic.Int64
	firstFailure atomic.Pointer[string] // reason of the first failed job
	done         sync.WaitGroup
}

func newSaturation(c *Cluster) *saturation {
	s := &saturation{}
	loops := max(len(c.Entries), int(rateTasksPerSlot*float64(c.Slots)/rateJobTasks)+1)
	bodyTail := bodyTail(c, plainJob(rateJobTasks, rateRunTime), 0)
	for i := range loops {
		team := c.Teams[i%len(c.Teams)]
		// Each loop uses a single entry instance, assigned in turn, so that all instances have the same load.
		x := newCaller(team.Tokens[0], []Entry{c.Entries[i%len(c.Entries)]}, uint64(i))
		s.done.Go(func() { s.loop(x, bodyTail) })
	}
	return s
}

// plainJob returns a job whose tasks all have the same run time and declare it correctly.
func plainJob(tasks int, run time.Duration) *Job {
	j := &Job{Service: plainService, Deadline: time.Minute}
	for range tasks {
		j.RunTimes = append(j.RunTimes, run)
		j.Straggler = append(j.Straggler, false)
		j.Declared = append(j.Declared, run)
	}
	return j
}

func (s *saturation) loop(c *caller, bodyTail []byte) {
	defer c.close()
	for !s.stop.Load() {
		a, err := s.submit(c, bodyTail)
		switch {
		case err != nil:
			s.fail(err.Error())
		case a.Code != int(result.Complete):
			s.fail(result.Code(a.Code).String() + " " + a.Message)
			time.Sleep(time.Duration(a.RetryAfterMS) * time.Millisecond)
		}
	}
}

func (s *saturation) submit(c *caller, bodyTail []byte) (*answer, error) {
	cn, err := c.acquire()
	if err != nil {
		time.Sleep(minRetryDelay)
		return nil, err
	}
	if len(cn.identities) == 0 {
		if err := c.fetchIdentities(cn); err != nil {
			cn.Close()
			return nil, err
		}
	}
	id := cn.identities[0]
	cn.identities = cn.identities[1:]
	return c.requestOn(cn, "POST", submitPath, []byte(`{"identity":"`), []byte(id), bodyTail)
}

func (s *saturation) fail(reason string) {
	s.failed.Add(1)
	s.firstFailure.CompareAndSwap(nil, &reason)
}

func (s *saturation) reason() string {
	if p := s.firstFailure.Load(); p != nil {
		return *p
	}
	return "none"
}

func (s *saturation) close() {
	s.stop.Store(true)
	s.done.Wait()
}
