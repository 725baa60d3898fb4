package fair

const (
	sliceCount   = 1024
	sliceSeconds = 0.05 // width of a slice
	rebaseAfter  = 25.0 // seconds; about half of what the slices span
)

// workByRank sums a team's queued work by rank, so that the work ahead of a job is known without walking over the
// queues. It is a Fenwick tree over slices of the range of ranks.
type workByRank struct {
	origin float64                 // rank at which the first slice begins
	tree   [sliceCount + 1]float64 // work in slot seconds; index 0 is unused
	total  float64                 // work in all slices
}

func (a *workByRank) slice(rank float64) int {
	return int(max(0, min(sliceCount-1, (rank-a.origin)/sliceSeconds)))
}

func (a *workByRank) add(slice int, work float64) {
	a.total += work
	for i := slice + 1; i <= sliceCount; i += i & -i {
		a.tree[i] += work
	}
}

// before returns the work whose rank is in the slice of the given rank or an earlier one.
func (a *workByRank) before(rank float64) float64 {
	sum := 0.0
	for i := a.slice(rank) + 1; i > 0; i -= i & -i {
		sum += a.tree[i]
	}
	return max(0, sum)
}

// updateWork updates the team's sums after a change of the job's work or rank.
func (t *team) updateWork(j *job) {
	slice := t.workByRank.slice(j.rank)
	if slice == j.slice {
		if d := j.work - j.summedWork; d != 0 {
			t.workByRank.add(slice, d)
		}
	} else {
		if j.summedWork != 0 {
			t.workByRank.add(j.slice, -j.summedWork)
		}
		t.workByRank.add(slice, j.work)
	}
	j.slice, j.summedWork = slice, j.work
}

// rebase moves the range of the slices to the current time, and recomputes the sums, which removes accumulated rounding
// errors.
func (s *Scheduler) rebase(now float64) {
	s.nextRebase = now + rebaseAfter
	s.rebaseInflow(now)
	for _, t := range s.teams {
		t.workByRank = workByRank{origin: now - rebaseAfter/2}
	}
	for _, v := range s.serviceList {
		for _, j := range v.jobs {
			j.summedWork = 0
			j.team.updateWork(j)
		}
	}
}
