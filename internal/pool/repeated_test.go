package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const retransmit = 1300 * ms

// usually makes a number of jobs of a queue declare waits around a mean.
func usually(p *Pool, queue string, n int, mean, now time.Duration) {
	for i := range n {
		p.Repeated(queue, mean+time.Duration(i%5-2)*50*ms, retransmit, now)
	}
}

// Guards against jobs taken for repetitions because their callers wait a little less than usual, and against repetitions taken for new jobs.
func TestRepeatedJobsAreToldByTheirDeclaredWait(t *testing.T) {
	for _, c := range []struct {
		name     string
		wait     time.Duration
		repeated bool
	}{
		{"usual", 2000 * ms, false},
		{"shorter", 1400 * ms, false},
		{"longer", 9000 * ms, false},
		{"one retransmit time less", 700 * ms, true},
		{"three retransmit times less", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf()
			usually(p, "q", 20, 2000*ms, 0)
			is.Equal(p.Repeated("q", c.wait, retransmit, 0), c.repeated)
			is.True(!p.Repeated("other", c.wait, retransmit, 0)) // nothing is known of another queue
			is.True(!p.Repeated("q", c.wait, 0, 0))              // nor of a deployment without a retransmit time
		})
	}
}

// Guards against a dispatcher that takes the repetitions for the usual jobs because it gets more of them than of new ones.
func TestRepetitionsAreToldWhenMostJobsAreRepetitions(t *testing.T) {
	is := is.New(t)
	p := poolOf()
	taken := 0
	for i := range 60 {
		wait := 2000 * ms
		if i%5 < 3 {
			wait -= retransmit
		}
		if p.Repeated("q", wait, retransmit, 0) != (i%5 < 3) {
			taken++
		}
	}
	t.Log(taken, "of 36 repetitions were not told")
	is.True(taken <= minDeclaredWaits)
}

// Guards against jobs that are refused for ever after their callers have changed how long they wait.
func TestShorterWaitsBecomeUsual(t *testing.T) {
	is := is.New(t)
	p := poolOf()
	usually(p, "q", declaredWaits, 3000*ms, 0)
	is.True(p.Repeated("q", 1000*ms, retransmit, 0))
	later := declaredWaitMemory + ms
	is.True(!p.Repeated("q", 1000*ms, retransmit, later))
	usually(p, "q", declaredWaits, 1000*ms, later)
	is.True(!p.Repeated("q", 1000*ms, retransmit, later))
}

// Guards against repetitions that take the capacity of jobs that can be in time, and against refusals of those that are still of use, that
// have started, or for which there is room.
func TestRepeatedInVain(t *testing.T) {
	is := is.New(t)
	short, long := jobOf("short", 1, 1000, 100*ms), jobOf("long", 1, 1000, 900*ms)
	p := poolOf(endpointOf("a", 4000))
	is.True(!p.RepeatedInVain(short, 0, retransmit, 0)) // there is room
	for i := range 2 {
		mustSubmit(t, p, jobAllowingLongWait(fmt.Sprint("other", i), 1000), 0)
	}
	p.Next(0)
	is.True(p.RepeatedInVain(short, 0, retransmit, 0))
	is.True(!p.RepeatedInVain(long, 0, retransmit, 0)) // of use for 3.6 s
	is.True(p.RepeatedInVain(long, 0, 3*retransmit, 0))
	mustSubmit(t, p, short, 0)
	is.True(!p.RepeatedInVain(short, 0, retransmit, 0)) // the dispatcher has it already
}

// Guards against a restart after which the demand of the gap, which comes again and is too late for any use, takes the capacity of new jobs
// that can be in time: the load of the first second meets a dispatcher that knows nothing.
func TestDemandThatComesAgain(t *testing.T) {
	const run, seconds = 100 * ms, 1
	served := func(retransmit time.Duration) (inTime int) {
		p := awaitedPool(4) // 16 tasks of one core at a time, 160 a second
		arrived := map[string]time.Duration{}
		for now := time.Duration(0); now < seconds*time.Second; now += 8 * ms {
			if now == 8*ms {
				for _, e := range p.order {
					p.SetUsable(e.ID, true)
				}
			}
			for task, r := range p.runs {
				if now-r.Ordered < run {
					continue
				}
				if at, ok := arrived[string(task.Job)]; ok && now-at <= 220*ms { // 1.6 x run + 60 ms
					inTime++
				}
				p.RunEnded(processOf(r), endOf(r), now)
			}
			for _, repeated := range []bool{false, true} {
				job := jobOf(fmt.Sprint(now, repeated), 1, 1000, run)
				wait := 2000 * ms
				if repeated {
					wait -= 1300 * ms
				} else {
					arrived[string(job.ID)] = now
				}
				if p.Repeated(job.Queue, wait, retransmit, now) && p.RepeatedInVain(job, now, retransmit, now) {
					continue
				}
				p.Submit(job, now, now, 0)
			}
			p.Next(now)
		}
		return inTime
	}
	is := is.New(t)
	told, untold := served(retransmit), served(0)
	t.Log("in time:", told, "of 125; without telling repetitions apart:", untold)
	is.True(told >= 95) // the last 12 have not ended, and some repetitions are taken before the usual wait is known
	is.True(told > untold)
}
