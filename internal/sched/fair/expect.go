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
	e := sched.Estimate{Feasible: true, Queued: s.queued, Slots: s.slots, FreeSlots: s.free}
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
	rate := max(1, float64(s.slots-s.stuck))
	key := s.opts.Rank(Ranking{
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
	wait := s.fluid(team, before) / rate
	end := s.fluid(team, before+max(0, work-s.freeWork(work, len(j.Tasks)))) / rate
	e.Wait = seconds(wait)
	e.Run = seconds(max(0, end-wait) + longest)
	e.Drain = seconds(total / rate)
	return e
}

// freeWork is the part of the job that starts at once on free slots.
func (s *Scheduler) freeWork(work float64, tasks int) float64 {
	if s.queued > 0 || tasks == 0 {
		return 0
	}
	return work * min(1, float64(s.free)/float64(tasks))
}

// lastOf is the expected end of the last of n tasks, from the mean of one to the 90th percentile of many. The tail
// beyond is left out: it would refuse every large job of a service with a few stragglers.
func lastOf(n int, mean, p90 float64) float64 {
	return mean + max(0, p90-mean)*(1-1/float64(max(1, n)))
}

// fluid returns the work that the slots do before the team has been served the given amount.
func (s *Scheduler) fluid(t *team, amount float64) float64 {
	done := amount
	if amount <= 0 {
		return 0
	}
	for _, o := range s.active {
		if o != t {
			done += min(o.ahead.total, amount*o.weight/t.weight)
		}
	}
	return done
}

func seconds(v float64) time.Duration {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return time.Duration(min(v, 1e9) * float64(time.Second))
}
