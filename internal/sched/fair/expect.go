package fair

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Estimate implements sched.Scheduler.
//
// The wait is computed with a fluid model: teams with queued work share the slots by weight, and within the job's team
// work is served in the order of ranks. Slots of runs that take far longer than expected do not count.
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
		if !s.fitsSomeWorker(size) && !s.fitsSomeWorker(spec.Size) {
			e.Feasible = false
		}
		work += x.Mean * s.slotsOf(size)
		longest = max(longest, lastTaskEnd(len(j.Tasks), x.Mean, x.P90))
	}
	rank := s.opts.Rank(RankInput{
		Arrival:  t,
		Work:     work,
		TaskTime: work / float64(max(1, len(j.Tasks))),
		Slots:    max(1, s.rankSlots),
	})
	team := s.team(j.Team)
	before := team.workByRank.before(rank)
	total := 0.0
	for _, o := range s.active {
		total += o.workByRank.total
	}
	rate := s.rate(total, work, len(j.Tasks))
	f := fluid{team: team, teams: s.teamList, rate: rate, weight: s.inflowWeight(t), offset: rank - t}
	wait := f.time(before)
	end := f.time(before + max(0, work-s.immediateWork(work, len(j.Tasks))))
	e.Wait = seconds(wait)
	e.Spread = seconds(max(0, end-wait))
	e.Run = e.Spread + seconds(longest)
	e.Drain = seconds(total / rate)
	return e
}

// rate returns the work of this instance's queue that is done per second, in slot seconds. The slots of all instances
// serve all queues, since slots go to the most urgent task of any instance; slots of runs that take far longer than
// expected do not count. This instance's queue, with the job of the given work added, gets its proportion of them.
// Only the number of tasks is known of the other instances' queues, so their tasks are assumed to take as long as the
// ones here on average.
func (s *Scheduler) rate(total, work float64, tasks int) float64 {
	slots := max(1, float64(s.slots+s.elsewhere.Slots-s.stuck))
	own := total + work
	if own <= 0 || s.elsewhere.Queued == 0 {
		return slots
	}
	mean := own / float64(s.queued+max(1, tasks))
	return max(1, slots*own/(own+mean*float64(s.elsewhere.Queued)))
}

// immediateWork returns the part of the job's work that starts at once on free slots.
func (s *Scheduler) immediateWork(work float64, tasks int) float64 {
	if s.queued > 0 || tasks == 0 {
		return 0
	}
	return work * min(1, float64(s.free+s.elsewhere.FreeSlots)/float64(tasks))
}

// lastTaskEnd returns the expected run time, in seconds, of the longest of n tasks: the mean for one task, approaching
// the 90th percentile for many. The tail beyond that is ignored; otherwise every large job of a service with a few
// stragglers would be refused.
func lastTaskEnd(n int, mean, p90 float64) float64 {
	return mean + max(0, p90-mean)*(1-1/float64(max(1, n)))
}

// fluid is the model of the queue that waits are computed with.
type fluid struct {
	team   *team
	teams  []*team
	rate   float64 // work per second
	weight float64 // divisor of the inflows' amounts, see inflowWeight
	offset float64 // seconds from the job's arrival to its rank
}

const fluidSteps = 8 // iterations, which approach the solution from below; more do not change refusals noticeably

// time returns the seconds until the team has been served the given amount of its queued work and the work that
// overtakes it. In that time, each other team is served its queued work and what it submits, but at most what the team
// is served, multiplied by the ratio of the other team's weight to the team's.
func (f *fluid) time(amount float64) float64 {
	if amount <= 0 {
		return 0
	}
	elapsed := amount / f.rate
	for range fluidSteps {
		own := amount + f.team.inflow.overtaking(f.offset, elapsed, f.weight)
		served := own
		for _, o := range f.teams {
			if o != f.team {
				served += min(o.workByRank.total+o.inflow.total/f.weight*elapsed, own*o.weight/f.team.weight)
			}
		}
		if served/f.rate <= elapsed*1.01 {
			break
		}
		elapsed = served / f.rate
	}
	return elapsed
}

// seconds converts seconds to a duration of at most 1e9 s. Negative values and NaN give 0.
func seconds(v float64) time.Duration {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return time.Duration(min(v, 1e9) * float64(time.Second))
}
