package fair

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Estimate implements sched.Scheduler.
//
// The wait is that of a fluid model: teams with queued work share the slots by weight, and the job's team serves its
// work in the order of ranks. Slots held by runs far beyond their estimate do not count.
func (s *Scheduler) Estimate(now time.Time, j *sched.Job) sched.Estimate {
	t := s.clock(now)
	s.tick(t)
	e := sched.Estimate{
		Feasible:  true,
		Queued:    s.queued,
		Slots:     s.slots + s.elsewhere.Slots,
		FreeSlots: s.free + s.elsewhere.FreeSlots,
	}
	class := s.estimates.Class(j.Team, j.Service)
	work, longest := 0.0, 0.0
	for i := range j.Tasks {
		spec := &j.Tasks[i]
		if i > 0 && *spec == j.Tasks[i-1] {
			work += work / float64(i)
			continue
		}
		x := class.Expect(spec.Declared)
		size := class.Size(spec.Size)
		if !s.possible(size) && !s.possible(spec.Size) {
			e.Feasible = false
		}
		work += x.Mean * s.slotsOf(size)
		longest = max(longest, lastOf(len(j.Tasks), x.Mean, x.P90))
	}
	key := s.opts.Rank(RankInput{
		Arrival:  t,
		Work:     work,
		TaskTime: work / float64(max(1, len(j.Tasks))),
		Slots:    max(1, s.ageSlots),
	})
	team := s.team(j.Team)
	before := team.ahead.before(key)
	total := 0.0
	for _, o := range s.active {
		total += o.ahead.total
	}
	rate := s.rate(total, work, len(j.Tasks))
	f := fluid{team: team, teams: s.teamList, rate: rate, weight: s.inflowWeight(t), offset: key - t}
	wait := f.time(before)
	end := f.time(before + max(0, work-s.freeWork(work, len(j.Tasks))))
	e.Wait = seconds(wait)
	e.Spread = seconds(max(0, end-wait))
	e.Run = e.Spread + seconds(longest)
	e.Drain = seconds(total / rate)
	return e
}

// rate is the work of the own queue that is done per second. All slots together, less those held by runs far beyond
// their estimate, serve all queues, since slots go to the most urgent task of any instance; the own queue, with the job
// of the given work added, gets its part. A queue elsewhere is known by its number of tasks, which are taken to be like
// the own ones.
func (s *Scheduler) rate(total, work float64, tasks int) float64 {
	slots := max(1, float64(s.slots+s.elsewhere.Slots-s.stuck))
	own := total + work
	if own <= 0 || s.elsewhere.Queued == 0 {
		return slots
	}
	mean := own / float64(s.queued+max(1, tasks))
	return max(1, slots*own/(own+mean*float64(s.elsewhere.Queued)))
}

// freeWork is the part of the job that starts at once on free slots.
func (s *Scheduler) freeWork(work float64, tasks int) float64 {
	if s.queued > 0 || tasks == 0 {
		return 0
	}
	return work * min(1, float64(s.free+s.elsewhere.FreeSlots)/float64(tasks))
}

// lastOf is the expected end of the last of n tasks, from the mean of one to the 90th percentile of many. The tail
// beyond is left out: it would refuse every large job of a service with a few stragglers.
func lastOf(n int, mean, p90 float64) float64 {
	return mean + max(0, p90-mean)*(1-1/float64(max(1, n)))
}

// fluid is the model that waits are computed with.
type fluid struct {
	team   *team
	teams  []*team
	rate   float64 // work per second
	weight float64 // of the inflows
	offset float64 // of the job's rank from its arrival
}

const fluidSteps = 8 // the steps approach the solution from below; more do not change refusals measurably

// time returns when the team has been served the given amount of its queued work and what overtakes it. Meanwhile each
// other team is served what it has and gets, up to its weight's proportion of the same.
func (f *fluid) time(amount float64) float64 {
	if amount <= 0 {
		return 0
	}
	passed := amount / f.rate
	for range fluidSteps {
		own := amount + f.team.inflow.overtaking(f.offset, passed, f.weight)
		done := own
		for _, o := range f.teams {
			if o != f.team {
				done += min(o.ahead.total+o.inflow.total/f.weight*passed, own*o.weight/f.team.weight)
			}
		}
		if done/f.rate <= passed*1.01 {
			break
		}
		passed = done / f.rate
	}
	return passed
}

func seconds(v float64) time.Duration {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return time.Duration(min(v, 1e9) * float64(time.Second))
}
