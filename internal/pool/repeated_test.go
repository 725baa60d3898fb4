package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const retransmit = 1300 * ms

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
