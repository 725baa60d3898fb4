package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// stream describes jobs of one kind that arrive as a Poisson process.
type stream struct {
	tasks     int
	run       time.Duration
	perSecond float64
}

// simulation runs a pool on a virtual clock. Each run takes exactly its expected run time.
type simulation struct {
	*Pool
	now  time.Duration
	ends ends
}

// ends is a heap of runs with the earliest end first.
type ends []*Run

func (e ends) at(i int) time.Duration { return e[i].Ordered + e[i].Expected }
func (e ends) Len() int               { return len(e) }
func (e ends) Less(i, j int) bool     { return e.at(i) < e.at(j) }
func (e ends) Swap(i, j int)          { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)            { *e = append(*e, x.(*Run)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *simulation) start() {
	for _, r := range p.Next(p.now) {
		p.RunStarted(r)
		heap.Push(&p.ends, r)
	}
}

// advance moves the clock to a time and ends the runs that are due by then.
func (p *simulation) advance(to time.Duration) {
	for len(p.ends) > 0 && p.ends.at(0) <= to {
		p.now = p.ends.at(0)
		r := heap.Pop(&p.ends).(*Run)
		p.RunEnded(attempt.Process{Endpoint: r.Endpoint}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}, p.now)
		p.start()
	}
	p.now = to
}

// simulate submits the jobs of the streams for a time and returns the accepted share of each stream's jobs.
func simulate(endpoints int, streams []stream, during time.Duration) []float64 {
	p := &simulation{Pool: New(attempt.NewHistory())}
	for i := range endpoints {
		e := endpointOf(fmt.Sprintf("e%02d", i), 16000)
		p.Update(e)
		p.SetUsable(e.ID, true)
	}
	random := rand.New(rand.NewPCG(1, 2))
	next := make([]time.Duration, len(streams))
	gap := func(s stream) time.Duration {
		return time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second))
	}
	for i, s := range streams {
		next[i] = gap(s)
	}
	asked, accepted := make([]float64, len(streams)), make([]float64, len(streams))
	for n := 0; ; n++ {
		at := 0
		for i := range next {
			if next[i] < next[at] {
				at = i
			}
		}
		if next[at] > during {
			break
		}
		p.advance(next[at])
		s := streams[at]
		v, _ := p.Submit(jobOf(fmt.Sprint("j", n), s.tasks, 6800, s.run), p.now, p.now, 0)
		p.start()
		asked[at]++
		if v.Accepted() {
			accepted[at]++
		}
		next[at] += gap(s)
	}
	for i := range accepted {
		accepted[i] /= asked[i]
	}
	return accepted
}

// Guards against wide jobs of short tasks that are refused nearly always because narrow jobs take each piece of capacity
// that becomes free. The loads are the peak load of a zone of the deployment petra-clasp, and one of twice the capacity.
// Each kind is to be accepted at least two thirds as often as the other.
func TestWideShortJobsAreServedAtPeakLoad(t *testing.T) {
	for name, narrow := range map[string]float64{"crest": 80, "twice the capacity": 160} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			accepted := simulate(16, []stream{{8, 50 * ms, 16}, {2, 170 * ms, narrow}}, 30*time.Second)
			t.Log("taken", accepted)
			is.True(accepted[0] >= accepted[1]*2/3)
			is.True(accepted[1] >= accepted[0]*2/3)
		})
	}
}

// Guards against refusals in favour of other queues while there is capacity for all.
func TestNothingIsReservedBelowTheCapacity(t *testing.T) {
	is := is.New(t)
	calm := simulate(16, []stream{{8, 50 * ms, 8}, {2, 170 * ms, 30}, {4, 760 * ms, 1}}, 30*time.Second)
	for _, accepted := range calm {
		is.True(accepted > 0.98)
	}
}

// Guards against capacity that stays reserved forever for a queue that was refused once, and against a reservation above
// the queue's demand.
func TestReservationDecays(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 100000))
	refused, own := p.newJob(jobOf("r", 4, 10000, 50*ms), 0, 0), p.newJob(jobOf("o", 1, 10000, 100*ms), 0, 0)
	for range 20 {
		p.recordDemand(refused, false, 0)
		p.recordDemand(own, true, 0)
	}
	asked := 20 * 4 * 10000 * int(50*ms) / int(demandTimeConstant)
	is.Equal(p.reservedForOthers(own, 100000, 0), asked)
	is.Equal(p.reservedForOthers(refused, 100000, 0), 0)
	is.Equal(p.reservedForOthers(own, 20000, 0), int(maxReservedShare*20000))
	is.True(p.reservedForOthers(own, 100000, 2*demandTimeConstant) < asked/5)
	is.Equal(p.reservedForOthers(own, 100000, time.Minute), 0)
}

// Guards against capacity that is reserved for jobs that no endpoint can ever run.
func TestNothingIsReservedForImpossibleJobs(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	mustSubmit(t, p, jobOf("first", 1, 1000, 100*ms), 0)
	for i := range 10 {
		v, _ := p.Submit(jobOf(fmt.Sprint("large", i), 1, 5000, 50*ms), 0, 0, 0)
		is.Equal(v.Reason, ReasonTooLarge)
	}
	v, _ := p.Submit(jobOf("second", 3, 1000, 100*ms), 0, 0, 0)
	is.True(v.Accepted())
	is.Equal(v.ReservedMilliCPU, 0)
}
