package bench

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	rateRun     = 20 * time.Millisecond
	rateFill    = 1.5 // tasks in progress over slots, so that slots never wait for tasks
	rateWarm    = 2 * time.Second
	leastRate   = 10_000.0 // starts per second and core
	rateJobSize = maxTasks
)

// Rate saturates a cluster with jobs of 160 short tasks and records the starts per second and per core second of the
// entry instances.
func (r *Run) Rate(c *Cluster) error {
	s := newSaturation(c)
	defer s.close()
	time.Sleep(rateWarm)
	before, err := c.measure()
	if err != nil {
		return err
	}
	time.Sleep(r.Extent.Rate)
	after, err := c.measure()
	if err != nil {
		return err
	}
	d := after.minus(before)
	entry := d.roles[roleEntry]
	starts := float64(d.vars.Starts)
	perSecond := starts / d.took.Seconds()
	perCore := starts / max(entry.CPU.Seconds(), 1.0/ticksPerSecond)
	what := fmt.Sprintf("%d instances, %d workers", len(c.Entries), len(c.Workers))
	r.Logf("rate, %s: %.0f starts/s, %.0f per core, entry CPU %.2f cores, workers' CPU %.2f cores, tool %.2f cores, %d jobs failed (%s)",
		what, perSecond, perCore, entry.CPU.Seconds()/d.took.Seconds(), d.roles[roleWorker].CPU.Seconds()/d.took.Seconds(),
		d.roles[roleTool].CPU.Seconds()/d.took.Seconds(), s.failed.Load(), s.reason())
	note := fmt.Sprintf("%.0f starts/s over all, %.2f cores of the entry instances, %d failed jobs", perSecond,
		entry.CPU.Seconds()/d.took.Seconds(), s.failed.Load())
	return record(r.Out,
		Row{Measure: "rate", Case: what, Unit: "starts/s per core", Value: &perCore, Min: some(leastRate), Note: note})
}

// saturation is a closed loop that keeps more tasks in progress than there are slots.
type saturation struct {
	stop   atomic.Bool
	failed atomic.Int64
	first  atomic.Pointer[string] // of the failures
	done   sync.WaitGroup
}

func newSaturation(c *Cluster) *saturation {
	s := &saturation{}
	loops := max(len(c.Entries), int(rateFill*float64(c.Slots)/rateJobSize)+1)
	tail := tail(c, plainJob(rateJobSize, rateRun), 0)
	for i := range loops {
		team := c.Teams[i%len(c.Teams)]
		// Each loop has its own entry instance, so that all of them carry the same load.
		x := newCaller(team.Tokens[0], []Entry{c.Entries[i%len(c.Entries)]}, uint64(i))
		s.done.Go(func() { s.loop(x, tail) })
	}
	return s
}

// plainJob is a job whose tasks all run for the same time and declare it.
func plainJob(tasks int, run time.Duration) *Job {
	j := &Job{Service: plainService, Deadline: time.Minute}
	for range tasks {
		j.RunTimes = append(j.RunTimes, run)
		j.Straggler = append(j.Straggler, false)
		j.Declared = append(j.Declared, run)
	}
	return j
}

func (s *saturation) loop(c *caller, tail []byte) {
	defer c.close()
	for !s.stop.Load() {
		a, err := s.submit(c, tail)
		switch {
		case err != nil:
			s.fail(err.Error())
		case a.Code != int(result.Complete):
			s.fail(result.Code(a.Code).String() + " " + a.Message)
			time.Sleep(time.Duration(a.RetryAfterMS) * time.Millisecond)
		}
	}
}

func (s *saturation) submit(c *caller, tail []byte) (*answer, error) {
	cn, err := c.take()
	if err != nil {
		time.Sleep(leastRetry)
		return nil, err
	}
	if len(cn.ids) == 0 {
		if err := c.refill(cn); err != nil {
			cn.Close()
			return nil, err
		}
	}
	id := cn.ids[0]
	cn.ids = cn.ids[1:]
	return c.requestOn(cn, "POST", submitPath, []byte(`{"identity":"`), []byte(id), tail)
}

func (s *saturation) fail(reason string) {
	s.failed.Add(1)
	s.first.CompareAndSwap(nil, &reason)
}

func (s *saturation) reason() string {
	if p := s.first.Load(); p != nil {
		return *p
	}
	return "none"
}

func (s *saturation) close() {
	s.stop.Store(true)
	s.done.Wait()
}
