package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// Sizes and limits of a random run.
const (
	chaosZones          = 2
	chaosEntriesPerZone = 2
	chaosWorkersPerZone = 2
	chaosSlotsPerWorker = 4
	chaosCallers        = 6
	chaosLoadDuration   = 3 * time.Second  // time in which new jobs are submitted and faults begin
	chaosFinalTimeout   = 60 * time.Second // timeout of the wait for a final answer to a job after all faults have ended
	chaosMaxTasksPerJob = 12
	chaosMaxRunMS       = 60
	maxShortFault       = 1500 * time.Millisecond
	maxLongFault        = 4 * time.Second // exceeds member.ZoneDeadAfter and the SuspectAfter of workers in engine.DefaultTiming
	longFaultOneIn      = 6               // one in this many faults may last up to maxLongFault
)

// faultEvent is one fault of a schedule.
type faultEvent struct {
	at, duration time.Duration // at counts from the start of the load
	name         string        // one of faultKinds
	target       int           // selects an instance, worker or zone, modulo their number
	level        int           // 1 to 3; scales a delay, a slow-down or the number of lost answers
}

// faultKinds are the faults that drawSchedule picks from.
var faultKinds = []string{
	"kill entry", "stop entry", "cut zone", "cut entry", "cut entry log", "cut entry list", "log down", "log hang", "log slow",
	"log lose-answer", "list down", "list freeze", "worker fail", "worker silent", "worker slow", "worker leave",
	"worker pause", "worker kill", "publish", "race", "cancel wave", "pause entry",
}

// drawSchedule picks the faults of a run at random. In most runs at least two of them overlap.
func drawSchedule(rng *rand.Rand) []faultEvent {
	var events []faultEvent
	for range 3 + rng.IntN(6) {
		duration := maxShortFault
		if rng.IntN(longFaultOneIn) == 0 {
			duration = maxLongFault
		}
		events = append(events, faultEvent{
			at: time.Duration(rng.Int64N(int64(chaosLoadDuration))), duration: time.Duration(rng.Int64N(int64(duration))),
			name: faultKinds[rng.IntN(len(faultKinds))], target: rng.IntN(1 << 16), level: 1 + rng.IntN(3),
		})
	}
	return events
}

// Chaos performs one random run and returns the deployment, which holds the history of the run, and a description of every
// broken guarantee. The caller closes the deployment; it may be nil if the start failed. The seed determines the schedule
// of faults and the load, but not how they interleave with the work of the system.
func Chaos(seed uint64, dir string, launch Launcher) (*System, []string) {
	rng := rand.New(rand.NewPCG(seed, 0))
	zones := []string{"amman-bench", "zarqa-annex"}[:chaosZones]
	s, err := Start(Options{
		Dir: dir, Launch: launch, Zones: zones, Entries: chaosEntriesPerZone, Workers: chaosWorkersPerZone, Slots: chaosSlotsPerWorker,
		InstanceListLag: time.Duration(rng.IntN(1000)) * time.Millisecond, LogRetentionCount: 2 + rng.IntN(20),
	})
	if err != nil {
		return s, []string{err.Error()}
	}
	if err := s.Prepare(); err != nil {
		return s, []string{err.Error()}
	}
	r := &chaosRun{s: s}
	for _, ev := range drawSchedule(rng) {
		r.faults.Go(func() { r.runFault(ev) })
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { r.watchConfig(done) })
	var callers sync.WaitGroup
	end := time.Now().Add(chaosLoadDuration)
	for range chaosCallers {
		callerRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		callers.Go(func() { r.runCaller(callerRNG, end) })
	}
	callers.Wait()
	r.faults.Wait()
	problems := r.finish()
	close(done)
	watching.Wait()
	return s, append(problems, s.Check()...)
}

// chaosRun is the state of one random run.
type chaosRun struct {
	s      *System
	faults sync.WaitGroup // faults and operations that have not ended
	mu     sync.Mutex     // held while a fault changes a program or a stand-in; guards the problems that finish collects
}

// runFault waits for the start of a fault, applies it and reverts it after its duration.
func (r *chaosRun) runFault(ev faultEvent) {
	time.Sleep(ev.at)
	undo := r.apply(ev)
	if undo == nil {
		return
	}
	time.Sleep(ev.duration)
	if ev.name != "pause entry" { // others may hold the lock while they wait for this instance
		r.mu.Lock()
		defer r.mu.Unlock()
	}
	if err := undo(); err != nil {
		r.s.History.Note("reverting %s: %v", ev.name, err)
	}
}

// apply starts a fault and returns the function that reverts it, or nil if there is nothing to revert.
func (r *chaosRun) apply(ev faultEvent) (undo func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	switch kind, _, _ := strings.Cut(ev.name, " "); kind {
	case "worker":
		undo, err = r.applyToWorker(ev)
	case "cut", "log", "list":
		undo, err = r.applyToPlatform(ev)
	case "publish", "race", "cancel":
		r.startOperation(ev)
	default:
		undo, err = r.applyToEntry(ev)
	}
	if err != nil {
		r.s.History.Note("%s: %v", ev.name, err)
	}
	return undo
}

// entry returns the entry instance that an event targets.
func (r *chaosRun) entry(ev faultEvent) *Program { return r.s.Entries[ev.target%len(r.s.Entries)] }

// applyToEntry kills, stops or pauses an entry instance. It does nothing if the instance is down.
func (r *chaosRun) applyToEntry(ev faultEvent) (undo func() error, err error) {
	s, e := r.s, r.entry(ev)
	if !s.Up(e) {
		return nil, nil
	}
	switch ev.name {
	case "kill entry":
		return func() error { return s.Restart(e) }, s.Kill(e)
	case "stop entry":
		return r.startStop(e), nil
	case "pause entry": // fails, without effect, when the programs run in the test's process
		return func() error { return s.Resume(e) }, s.Pause(e)
	}
	return nil, nil
}

// applyToPlatform cuts connections, or makes the log service or the instance list fail.
func (r *chaosRun) applyToPlatform(ev faultEvent) (undo func() error, err error) {
	s, e := r.s, r.entry(ev)
	switch ev.name {
	case "cut zone":
		err = s.Cut(s.opts.Zones[ev.target%len(s.opts.Zones)], Peers)
	case "cut entry":
		err = s.Cut(e.Name, Peers)
	case "cut entry log":
		err = s.Cut(e.Name, Log)
	case "cut entry list":
		err = s.Cut(e.Name, InstanceList)
	case "log down", "log hang":
		err = s.SetLogFault(ev.name[4:], 0)
	case "log slow":
		err = s.SetLogFault("slow", 300*ev.level) // milliseconds
	case "log lose-answer":
		err = s.SetLogFault("lose-answer", ev.level)
	case "list down", "list freeze":
		err = s.SetListFault(ev.name[5:], 0)
	}
	return s.Heal, err
}

// applyToWorker makes a worker fail, leave, pause or end.
func (r *chaosRun) applyToWorker(ev faultEvent) (undo func() error, err error) {
	s := r.s
	w := s.Workers[ev.target%len(s.Workers)]
	clear := func() error { return s.Fault(w, worker.Fault{Clear: true}) }
	switch ev.name {
	case "worker fail":
		return clear, s.Fault(w, worker.Fault{FailFast: true})
	case "worker silent":
		return nil, s.Fault(w, worker.Fault{Silent: true})
	case "worker slow":
		return clear, s.Fault(w, worker.Fault{SlowFactor: 5 * float64(ev.level)})
	case "worker leave":
		// The worker does not return. With LeaveAccepts it still starts the tasks that it receives, so that its records
		// show tasks that were sent too late.
		return nil, s.Fault(w, worker.Fault{Leave: true, LeaveAccepts: ev.level > 1})
	case "worker pause":
		return clear, s.Fault(w, worker.Fault{Pause: true})
	case "worker kill":
		if s.Up(w) {
			return func() error { return s.Restart(w) }, s.Kill(w)
		}
	}
	return nil, nil
}

// startOperation starts a publication, two competing publications or a wave of cancellations in the background.
func (r *chaosRun) startOperation(ev faultEvent) {
	e := r.entry(ev)
	switch ev.name {
	case "publish":
		r.faults.Go(func() { r.s.PublishNext(e) })
	case "race":
		other := r.s.Entries[(ev.target+1)%len(r.s.Entries)]
		r.faults.Go(func() { r.s.PublishNext(e) })
		r.faults.Go(func() { r.s.PublishNext(other) })
	case "cancel wave":
		r.faults.Go(func() { r.cancelAll(e) })
	}
}

// startStop starts a planned stop in the background, since the lock must not be held until the process has ended. The
// returned function waits for that end and restarts the instance.
func (r *chaosRun) startStop(e *Program) func() error {
	ended := make(chan struct{})
	go func() {
		r.s.Stop(e)
		close(ended)
	}()
	return func() error {
		<-ended
		return r.s.Restart(e)
	}
}

// cancelAll cancels at an entry instance all jobs that are to be cancelled and have no final answer yet.
func (r *chaosRun) cancelAll(e *Program) {
	for _, j := range r.s.History.Jobs() {
		if j.ToCancel && r.s.History.Final(j) == nil {
			r.s.SendRequest(e, j, Cancel, time.Second)
		}
	}
}

// watchConfig records the configuration versions of all instances every 100 ms until done is closed.
func (r *chaosRun) watchConfig(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
			r.s.RecordConfigVersions()
		}
	}
}

// runCaller submits one random job after another until end. A job may be submitted at its home or at another instance, at
// two instances at once, and may be cancelled or fetched afterwards.
func (r *chaosRun) runCaller(rng *rand.Rand, end time.Time) {
	pick := func() *Program { return r.s.Entries[rng.IntN(len(r.s.Entries))] }
	for time.Now().Before(end) {
		spec := JobSpec{Service: "washout", Tasks: 1 + rng.IntN(chaosMaxTasksPerJob), RunMS: 1 + rng.IntN(chaosMaxRunMS)}
		spec.DeclaredRunMS = spec.RunMS * (rng.IntN(20)) / 5
		spec.DeadlineMS = int64(200 + rng.IntN(20_000))
		spec.Fail = rng.IntN(20) == 0
		if rng.IntN(2) == 0 {
			spec.Service = "dispatch"
		}
		token := []string{CallerToken, OtherTeamToken}[rng.IntN(2)]
		first, second, third := pick(), pick(), pick()
		twice, cancels := rng.IntN(3) == 0, rng.IntN(5) == 0
		spec.ToCancel = cancels
		j, err := r.s.NewJob(first, token, spec)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var submission sync.WaitGroup
		if twice {
			submission.Go(func() { r.s.SendRequest(third, j, Submit, 500*time.Millisecond) })
		}
		r.s.SendRequest(second, j, Submit, time.Duration(rng.IntN(1000))*time.Millisecond)
		if cancels {
			r.s.SendRequest(third, j, Cancel, 200*time.Millisecond)
		}
		submission.Wait()
		if rng.IntN(4) == 0 {
			r.s.SendRequest(pick(), j, Fetch, 0)
		}
	}
}

// finish ends all faults, waits until every job has a final answer and the configuration is the same everywhere, and checks
// that new jobs complete. It returns what failed.
func (r *chaosRun) finish() []string {
	var problems []string
	note := func(err error) {
		if err != nil {
			problems = append(problems, err.Error())
		}
	}
	s := r.s
	s.History.Note("ending all faults")
	note(s.Heal())
	for _, w := range s.Workers {
		f := worker.Fault{Clear: true}
		if s.isLeaving(w) {
			f = worker.Fault{Leave: true, LeaveAccepts: true}
		}
		note(s.Fault(w, f))
	}
	var waiting sync.WaitGroup
	for _, j := range s.History.Jobs() {
		waiting.Go(func() {
			if _, err := s.WaitFinal(j, chaosFinalTimeout); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				note(err)
			}
		})
	}
	waiting.Wait()
	note(s.WaitConfig(WaitTimeout))
	note(s.CheckDocument())
	return append(problems, r.checkServing()...)
}

// checkServing checks that each running instance completes a new job after the faults. It skips the instances of a zone
// whose workers are all down or leaving, since nothing could run the job.
func (r *chaosRun) checkServing() []string {
	usable := map[string]bool{}
	for _, w := range r.s.Workers {
		usable[w.Zone] = usable[w.Zone] || r.s.Up(w) && !r.s.isLeaving(w)
	}
	var problems []string
	for _, e := range r.s.upEntries() {
		if e.process.Ended() || !usable[e.Zone] {
			continue
		}
		if err := r.completeNewJob(e); err != nil {
			problems = append(problems, err.Error())
		}
	}
	return problems
}

// completeNewJob submits jobs at an instance until one completes. Refusals that say "not run" are allowed before that,
// since workers that failed are still held off. Any other outcome is an error.
func (r *chaosRun) completeNewJob(e *Program) error {
	last := "no identity"
	for end := time.Now().Add(chaosFinalTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		j, err := r.s.NewJob(e, CallerToken, JobSpec{Service: "washout", Tasks: chaosSlotsPerWorker, RunMS: 1, DeadlineMS: 20_000})
		if err != nil {
			last = err.Error()
			continue
		}
		a, err := r.s.SendRequest(e, j, Submit, chaosFinalTimeout)
		if err == nil && a.Code == result.Complete {
			return nil
		}
		if err != nil || a.Execution != result.NotRun {
			return fmt.Errorf("new job at %s after the end of all faults: %s", e.Name, describeOutcome(a, err))
		}
		last = describeOutcome(a, nil)
	}
	return fmt.Errorf("%w within %s: new job complete at %s: last outcome %s", errWaitTimeout, chaosFinalTimeout, e.Name, last)
}

// describeOutcome returns the error, or else the code and message of the answer.
func describeOutcome(a *api.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return a.Code.String() + ": " + a.Message
}

// isLeaving reports whether a worker's status is leaving. A worker that does not answer counts as not leaving.
func (s *System) isLeaving(w *Program) bool {
	st, err := s.readStatus(w)
	return err == nil && st.Leaving
}
