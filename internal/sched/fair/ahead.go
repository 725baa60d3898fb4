package fair

const (
	sliceCount   = 1024
	sliceSeconds = 0.05
	rebaseAfter  = 25.0 // seconds; half of what the slices span
)

// ahead sums a team's queued work by rank, so that the work ahead of a job is known without a walk over the queue. It
// is a Fenwick tree over slices of ranks.
type ahead struct {
	origin float64 // rank at which the first slice begins
	tree   [sliceCount + 1]float64
	total  float64
}

func (a *ahead) slice(rank float64) int {
	return int(max(0, min(sliceCount-1, (rank-a.origin)/sliceSeconds)))
}

func (a *ahead) add(slice int, work float64) {
	a.total += work
	for i := slice + 1; i <= sliceCount; i += i & -i {
		a.tree[i] += work
	}
}

// before returns the work whose rank is not after the given one.
func (a *ahead) before(rank float64) float64 {
	sum := 0.0
	for i := a.slice(rank) + 1; i > 0; i -= i & -i {
		sum += a.tree[i]
	}
	return max(0, sum)
}

// enter brings the sums up to date with the job's work and key.
func (t *team) enter(j *job) {
	slice := t.ahead.slice(j.key)
	if slice == j.slice {
		if d := j.work - j.counted; d != 0 {
			t.ahead.add(slice, d)
		}
	} else {
		if j.counted != 0 {
			t.ahead.add(j.slice, -j.counted)
		}
		t.ahead.add(slice, j.work)
	}
	j.slice, j.counted = slice, j.work
}

// rebase moves the slices on with time and drops the rounding errors of the sums.
func (s *Scheduler) rebase(now float64) {
	s.horizon = now + rebaseAfter
	s.rebaseInflow(now)
	for _, t := range s.teams {
		t.ahead = ahead{origin: now - rebaseAfter/2}
	}
	for _, v := range s.serviceList {
		for _, j := range v.jobs {
			j.counted = 0
			j.team.enter(j)
		}
	}
}
