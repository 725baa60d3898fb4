package pool

import (
	"math"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Registrations do not tell how fast an endpoint is, so its speed is learned from its runs. A figure is the natural logarithm of a run time
// relative to the one expected on an endpoint of normal speed: 0 is normal, above 0 is slower. The mean of the pool's endpoints is normal.

const (
	// speedMemory is the number of runs that an endpoint's lasting figure covers.
	speedMemory = 40
	// recentRuns is the number of runs whose median shows whether an endpoint has become slow. The median of fewer would follow the few
	// tasks of any queue that run several times as long as the others.
	recentRuns = 5
	// minRecent is the number of recent runs from which an endpoint can count as disturbed.
	minRecent = 3
	// minDisturbedRuns is the number of runs from which the lasting figure is known well enough for that.
	minDisturbedRuns = 5
	// maxDeviation limits the effect of one run on the lasting figure.
	maxDeviation = 1.2
	// disturbedFrom is the excess of the recent runs' median over the lasting figure from which an endpoint is disturbed, a factor of
	// 2.5. The run times of tasks differ by a factor of two by themselves.
	disturbedFrom = 0.9
	// disturbedRuns is the number of runs after which a disturbance counts as the lasting speed.
	disturbedRuns = 60
	// excessHalfLife is the time in which the excess is halved without further runs, so that the endpoint gets runs again that show
	// whether it has recovered.
	excessHalfLife = 2 * time.Second
	// noiseWeight is the weight of one run in the variance of the runs of one endpoint.
	noiseWeight = 0.01
	// initialNoise is that variance before any run.
	initialNoise = 0.25
	// speedRefresh is the number of runs after which the differences between endpoints are calculated anew.
	speedRefresh = 32
	// minKnownRuns is the number of runs from which an endpoint counts in the differences between endpoints.
	minKnownRuns = 5
	// minKnown is the number of such endpoints below which all count as equally fast.
	minKnown = 4
	// minElapsed is the run time from which progress tells the speed; before, the way of the request counts too much.
	minElapsed = 100 * time.Millisecond
	// coldFigure is the figure that is added while an endpoint is slow after its start, a factor of two. Registrations do not tell by how
	// much it is slower.
	coldFigure = 0.7
	// speedStep is the step of figures in which endpoints are told apart. Smaller differences are noise.
	speedStep = 0.2
)

// speed is what is learned of the speed of an endpoint's process.
type speed struct {
	process   int64         // start of the process, Unix milliseconds; 0 if not known
	runs      float64       // number of runs in lasting, at most speedMemory
	lasting   float64       // mean figure of these runs
	shrunk    float64       // estimate of the lasting figure, see speeds.refresh
	recent    []float64     // by how much the figures of the last runs exceeded lasting, the oldest first
	recentJob work.JobID    // job of the last of them
	excess    float64       // median of recent
	excessAt  time.Duration // when excess was last calculated
	slowRuns  int           // number of runs since the endpoint became disturbed
	reported  bool          // the endpoint was disturbed when SpeedChanges last looked
}

// restart forgets all that was learned of an earlier process, which may have run on a machine of another kind.
func (s *speed) restart(process int64) { *s = speed{process: process, reported: s.reported} }

// SetProcess records the start of the process that an endpoint's reports name, in Unix milliseconds, 0 if they don't.
func (p *Pool) SetProcess(id work.EndpointID, startedUnixMS int64) {
	if e := p.endpoints[id]; e != nil && startedUnixMS != 0 && startedUnixMS != e.speed.process {
		e.speed.restart(startedUnixMS)
	}
}

// ForgetSpeed forgets all that was learned of an endpoint's speed, since its process has been replaced.
func (p *Pool) ForgetSpeed(id work.EndpointID) {
	if e := p.endpoints[id]; e != nil {
		e.speed.restart(0)
	}
}

// observe counts the figure of a successful run. While the endpoint is disturbed its lasting figure does not change.
func (s *speed) observe(r *Run, figure float64, now time.Duration) {
	if confirmed := r.slow && figure-s.lasting > disturbedFrom; s.runs > 0 && !confirmed {
		s.observeRecent(r, figure, now)
	}
	if !s.disturbed(now) {
		s.slowRuns = 0
		s.runs = min(s.runs+1, speedMemory)
		s.lasting += clamp(figure-s.lasting, maxDeviation) / s.runs
		return
	}
	s.slowRuns++
	if s.slowRuns >= disturbedRuns {
		s.runs, s.lasting, s.shrunk = minKnownRuns, s.lasting+s.excess, s.shrunk+s.excess
		s.recent, s.excess, s.slowRuns = nil, 0, 0
	}
}

// observeRecent counts a run in the recent runs only. Successive runs of one job count as one, by the fastest of them: an estimate that is off
// for the job would look like a disturbance.
func (s *speed) observeRecent(r *Run, figure float64, now time.Duration) {
	last := len(s.recent) - 1
	switch {
	case last >= 0 && s.recentJob == r.Task.Job:
		s.recent[last] = min(s.recent[last], figure-s.lasting)
	case last == recentRuns-1:
		s.recent = append(slices.Delete(s.recent, 0, 1), figure-s.lasting)
	default:
		s.recent = append(s.recent, figure-s.lasting)
	}
	s.recentJob = r.Task.Job
	sorted := slices.Sorted(slices.Values(s.recent))
	s.excess, s.excessAt = sorted[(len(sorted)-1)/2], now
}

// excessNow returns the excess that is left since the last run.
func (s *speed) excessNow(now time.Duration) float64 {
	return s.excess * math.Exp2(-float64(max(now-s.excessAt, 0))/float64(excessHalfLife))
}

// disturbed reports whether the endpoint has become much slower than it was.
func (s *speed) disturbed(now time.Duration) bool {
	return s.excess > disturbedFrom && len(s.recent) >= minRecent && s.runs >= minDisturbedRuns && s.excessNow(now) > disturbedFrom
}

// figure returns the figure expected of a run that starts now.
func (s *speed) figure(now time.Duration) float64 {
	if s.disturbed(now) {
		return s.shrunk + s.excessNow(now)
	}
	return s.shrunk
}

// figure returns the figure expected of a run that starts on the endpoint now.
func (e *endpoint) figure(now time.Duration) float64 {
	if now < e.ColdUntil {
		return e.speed.figure(now) + coldFigure
	}
	return e.speed.figure(now)
}

func clamp(v, limit float64) float64 { return min(max(v, -limit), limit) }

// speedBin returns the class of a figure. Endpoints of one class are not told apart.
func speedBin(figure float64) int { return int(math.Round(figure / speedStep)) }

// speeds is what is known of the differences between a pool's endpoints.
type speeds struct {
	noise float64 // variance of the figures of one endpoint's runs
	runs  int     // number of runs since the last refresh
}

// observe counts the figure of a successful run on an endpoint.
func (m *speeds) observe(e *endpoint, r *Run, figure float64, now time.Duration, all []*endpoint) {
	s := &e.speed
	if s.runs >= minKnownRuns && !s.disturbed(now) {
		deviation := clamp(figure-s.lasting, maxDeviation)
		m.noise += noiseWeight * (deviation*deviation - m.noise)
	}
	s.observe(r, figure, now)
	m.runs++
	if m.runs >= speedRefresh {
		m.runs = 0
		m.refresh(all)
	}
}

// refresh estimates the endpoints' speeds. The fewer runs an endpoint has and the less the endpoints differ beyond the noise, the closer its
// estimate is to the normal speed: endpoints that are equally fast are not told apart by chance.
func (m *speeds) refresh(all []*endpoint) {
	normal, between := m.spread(all)
	for _, e := range all {
		s := &e.speed
		s.shrunk = 0
		if s.runs > 0 {
			s.lasting -= normal
			s.shrunk = s.lasting * between / (between + m.noise/s.runs)
		}
	}
}

// spread returns the mean of the endpoints' lasting figures and the part of their variance that the noise of their runs does not explain.
func (m *speeds) spread(all []*endpoint) (mean, between float64) {
	known := make([]*speed, 0, len(all))
	for _, e := range all {
		if e.speed.runs >= minKnownRuns {
			known = append(known, &e.speed)
			mean += e.speed.lasting
		}
	}
	n := float64(len(known))
	if n < minKnown {
		return 0, 0
	}
	mean /= n
	for _, s := range known {
		deviation := s.lasting - mean
		between += deviation*deviation/(n-1) - m.noise/s.runs/n
	}
	return mean, max(between, 0)
}

// expect sets the expected run time of a run of a job's task on an endpoint.
func (p *Pool) expect(r *Run, j *job, e *endpoint, now time.Duration) {
	s := &j.Steps[r.Task.Step]
	r.normal = p.estimates.of(j.Queue, s.Estimate)
	r.Expected = r.normal
	if e != nil {
		r.Expected = time.Duration(float64(r.normal) * math.Exp(e.figure(now)+p.distance(s, e)))
	}
}

// learn learns from a successful run the run time of its queue, as it would be on an endpoint of normal speed near the task's data, and the
// speed of its endpoint.
func (p *Pool) learn(j *job, e *endpoint, r *Run, now time.Duration) {
	took := now - r.Ordered
	if e == nil || r.normal == 0 || took <= 0 {
		return
	}
	e.health.succeeded()
	s := &j.Steps[r.Task.Step]
	near := float64(took) * math.Exp(-p.distance(s, e))
	p.estimates.add(j.Queue, s.Estimate, time.Duration(near*math.Exp(-e.figure(now))))
	if now >= e.ColdUntil {
		p.speeds.observe(e, r, math.Log(near/float64(r.normal)), now, p.order)
	}
}

// learnFromProgress learns from a run in progress that its endpoint has become slow, before the run ends. Progress does not change the lasting
// figure and never shows an endpoint to be faster: what a wrong progress has caused is corrected by the runs that end.
func (p *Pool) learnFromProgress(r *Run, now time.Duration) {
	e := p.endpoints[r.Endpoint]
	elapsed := now - r.Ordered
	if e == nil || r.job == nil || r.slow || r.normal == 0 || r.Percent < minProgress || elapsed < minElapsed {
		return
	}
	total := float64(elapsed) * 100 / float64(r.Percent)
	figure := math.Log(total/float64(r.normal)) - p.distance(&r.job.Steps[r.Task.Step], e)
	if e.speed.runs == 0 || figure-e.speed.lasting <= disturbedFrom {
		return
	}
	r.slow = true
	e.speed.observeRecent(r, figure, now)
}

// SpeedChange is an endpoint that has become disturbed or has recovered.
type SpeedChange struct {
	Endpoint  work.EndpointID
	Disturbed bool
	Slowness  float64 // expected run time, relative to an endpoint of normal speed
	Lasting   float64 // the same without the disturbance
	Runs      int     // number of runs that Lasting rests on
}

// SpeedChanges returns the endpoints that have become disturbed or have recovered since the last call.
func (p *Pool) SpeedChanges(now time.Duration) []SpeedChange {
	var changes []SpeedChange
	for _, e := range p.order {
		s := &e.speed
		if s.disturbed(now) == s.reported {
			continue
		}
		s.reported = !s.reported
		changes = append(changes, SpeedChange{e.ID, s.reported, math.Exp(s.figure(now)), math.Exp(s.shrunk), int(s.runs)})
	}
	return changes
}
