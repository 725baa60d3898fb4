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

// Bounds of a random run.
const (
	chaosZones    = 2
	chaosEntries  = 2 // for each zone
	chaosWorkers  = 2 // for each zone
	chaosSlots    = 4
	chaosCallers  = 6
	chaosPhase    = 3 * time.Second // in which faults happen and new jobs are submitted
	chaosResolve  = 60 * time.Second
	chaosMaxTasks = 12
	chaosMaxRunMS = 60
	shortFault    = 1500 * time.Millisecond
	longFault     = 4 * time.Second // beyond the time-outs of membership and of workers that do not answer
	longOneOf     = 6
)

// event is one fault of a schedule.
type event struct {
	at, length time.Duration
	name       string
	target     int // chooses an instance, a worker or a zone
	n          int
}

// faultKinds are the faults that a schedule is drawn from.
var faultKinds = []string{
	"kill entry", "stop entry", "cut zone", "cut entry", "cut entry log", "cut entry list", "log down", "log hang", "log slow",
	"log lose-answer", "list down", "list freeze", "worker fail", "worker silent", "worker slow", "worker leave",
	"worker pause", "worker kill", "publish", "race", "cancel wave", "pause entry",
}

// schedule draws the faults of a run. Two or more faults overlap in most runs.
func schedule(rng *rand.Rand) []event {
	var events []event
	for range 3 + rng.IntN(6) {
		length := shortFault
		if rng.IntN(longOneOf) == 0 {
			length = longFault
		}
		events = append(events, event{
			at: time.Duration(rng.Int64N(int64(chaosPhase))), length: time.Duration(rng.Int64N(int64(length))),
			name: faultKinds[rng.IntN(len(faultKinds))], target: rng.IntN(1 << 16), n: 1 + rng.IntN(3),
		})
	}
	return events
}

// Chaos makes one random run and returns its history and every broken promise. The schedule of faults and the load
// follow from the seed; how they interleave with the system does not.
func Chaos(seed uint64, dir string, launch Launcher) (*System, []string) {
	rng := rand.New(rand.NewPCG(seed, 0))
	zones := []string{"amman-bench", "zarqa-annex"}[:chaosZones]
	s, err := Start(Options{
		Dir: dir, Launch: launch, Zones: zones, Entries: chaosEntries, Workers: chaosWorkers, Slots: chaosSlots,
		InstanceListLag: time.Duration(rng.IntN(1000)) * time.Millisecond, LogRetentionCount: 2 + rng.IntN(20),
	})
	if err != nil {
		return s, []string{err.Error()}
	}
	if err := s.Prepare(); err != nil {
		return s, []string{err.Error()}
	}
	r := &chaos{s: s}
	for _, ev := range schedule(rng) {
		r.faults.Go(func() { r.play(ev) })
	}
	ctl := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { r.watch(ctl) })
	var callers sync.WaitGroup
	end := time.Now().Add(chaosPhase)
	for range chaosCallers {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		callers.Go(func() { r.caller(own, end) })
	}
	callers.Wait()
	r.faults.Wait()
	problems := r.finish()
	close(ctl)
	watching.Wait()
	return s, append(problems, s.Check()...)
}

type chaos struct {
	s      *System
	faults sync.WaitGroup
	mu     sync.Mutex // held while a fault changes a program or a stand-in
}

// play applies one fault and ends it after its time.
func (r *chaos) play(ev event) {
	time.Sleep(ev.at)
	undo := r.apply(ev)
	if undo == nil {
		return
	}
	time.Sleep(ev.length)
	if ev.name != "pause entry" { // others may hold the lock while they wait for the paused instance
		r.mu.Lock()
		defer r.mu.Unlock()
	}
	if err := undo(); err != nil {
		r.s.History.Note("end of %s: %v", ev.name, err)
	}
}

// apply returns how to end the fault, or nil.
func (r *chaos) apply(ev event) (undo func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	switch kind, _, _ := strings.Cut(ev.name, " "); kind {
	case "worker":
		undo, err = r.applyToWorker(ev)
	case "cut", "log", "list":
		undo, err = r.applyToPlatform(ev)
	case "publish", "race", "cancel":
		r.operate(ev)
	default:
		undo, err = r.applyToEntry(ev)
	}
	if err != nil {
		r.s.History.Note("%s: %v", ev.name, err)
	}
	return undo
}

func (r *chaos) entry(ev event) *Program { return r.s.Entries[ev.target%len(r.s.Entries)] }

func (r *chaos) applyToEntry(ev event) (undo func() error, err error) {
	s, e := r.s, r.entry(ev)
	if !s.Up(e) {
		return nil, nil
	}
	switch ev.name {
	case "kill entry":
		return func() error { return s.Restart(e) }, s.Kill(e)
	case "stop entry":
		return r.stop(e), nil
	case "pause entry": // has no effect in one process
		return func() error { return s.Resume(e) }, s.Pause(e)
	}
	return nil, nil
}

// applyToPlatform cuts connections or changes the log service or the instance list.
func (r *chaos) applyToPlatform(ev event) (undo func() error, err error) {
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
		err = s.SetLogFault("slow", 300*ev.n) // ms
	case "log lose-answer":
		err = s.SetLogFault("lose-answer", ev.n)
	case "list down", "list freeze":
		err = s.SetListFault(ev.name[5:])
	}
	return s.Heal, err
}

func (r *chaos) applyToWorker(ev event) (undo func() error, err error) {
	s := r.s
	w := s.Workers[ev.target%len(s.Workers)]
	clear := func() error { return s.Fault(w, worker.Fault{Clear: true}) }
	switch ev.name {
	case "worker fail":
		return clear, s.Fault(w, worker.Fault{FailFast: true})
	case "worker silent":
		return nil, s.Fault(w, worker.Fault{Silent: true})
	case "worker slow":
		return clear, s.Fault(w, worker.Fault{SlowFactor: 5 * float64(ev.n)})
	case "worker leave":
		// It leaves for good and starts what it is still given, so that late work shows in its records.
		return nil, s.Fault(w, worker.Fault{Leave: true, LeaveAccepts: ev.n > 1})
	case "worker pause":
		return clear, s.Fault(w, worker.Fault{Pause: true})
	case "worker kill":
		if s.Up(w) {
			return func() error { return s.Restart(w) }, s.Kill(w)
		}
	}
	return nil, nil
}

// operate begins what operators and callers do in the middle of faults.
func (r *chaos) operate(ev event) {
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

// stop begins a planned stop. Its end waits for the process, since the lock must not be held that long.
func (r *chaos) stop(e *Program) func() error {
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

func (r *chaos) cancelAll(e *Program) {
	for _, j := range r.s.History.Jobs() {
		if j.ToCancel && r.s.History.Final(j) == nil {
			r.s.SendRequest(e, j, Cancel, time.Second)
		}
	}
}

// watch records the configuration versions until the run ends.
func (r *chaos) watch(ctl <-chan struct{}) {
	for {
		select {
		case <-ctl:
			return
		case <-time.After(100 * time.Millisecond):
			r.s.RecordConfigVersions()
		}
	}
}

// caller submits jobs one after the other until the end: at the home or elsewhere, again after a broken connection, at
// two instances at once, and with cancellations.
func (r *chaos) caller(rng *rand.Rand, end time.Time) {
	pick := func() *Program { return r.s.Entries[rng.IntN(len(r.s.Entries))] }
	for time.Now().Before(end) {
		sh := JobSpec{Service: "washout", Tasks: 1 + rng.IntN(chaosMaxTasks), RunMS: 1 + rng.IntN(chaosMaxRunMS)}
		sh.DeclaredRunMS = sh.RunMS * (rng.IntN(20)) / 5
		sh.DeadlineMS = int64(200 + rng.IntN(20_000))
		sh.Fail = rng.IntN(20) == 0
		if rng.IntN(2) == 0 {
			sh.Service = "dispatch"
		}
		token := []string{CallerToken, OtherTeamToken}[rng.IntN(2)]
		first, second, third := pick(), pick(), pick()
		twice, cancels := rng.IntN(3) == 0, rng.IntN(5) == 0
		j, err := r.s.NewJob(first, token, sh)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		j.ToCancel = cancels
		var both sync.WaitGroup
		if twice {
			both.Go(func() { r.s.SendRequest(third, j, Submit, 500*time.Millisecond) })
		}
		r.s.SendRequest(second, j, Submit, time.Duration(rng.IntN(1000))*time.Millisecond)
		if cancels {
			r.s.SendRequest(third, j, Cancel, 200*time.Millisecond)
		}
		both.Wait()
		if rng.IntN(4) == 0 {
			r.s.SendRequest(pick(), j, Fetch, 0)
		}
	}
}

// finish ends all faults and waits until every job has a final answer and the configuration is the same everywhere.
func (r *chaos) finish() []string {
	var problems []string
	note := func(err error) {
		if err != nil {
			problems = append(problems, err.Error())
		}
	}
	s := r.s
	s.History.Note("end of the faults")
	note(s.Heal())
	for _, w := range s.Workers {
		f := worker.Fault{Clear: true}
		if s.leaving(w) {
			f = worker.Fault{Leave: true, LeaveAccepts: true}
		}
		note(s.Fault(w, f))
	}
	var resolving sync.WaitGroup
	for _, j := range s.History.Jobs() {
		resolving.Go(func() {
			if _, err := s.WaitFinal(j, chaosResolve); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				note(err)
			}
		})
	}
	resolving.Wait()
	note(s.WaitConfig(WaitTimeout))
	note(s.CheckDocument())
	return append(problems, r.serve()...)
}

// serve checks that after the faults each running instance completes a new job. An instance whose zone has lost all its
// workers for good has nothing to run it on.
func (r *chaos) serve() []string {
	usable := map[string]bool{}
	for _, w := range r.s.Workers {
		usable[w.Zone] = usable[w.Zone] || r.s.Up(w) && !r.s.leaving(w)
	}
	var problems []string
	for _, e := range r.s.upEntries() {
		if e.running.Ended() || !usable[e.Zone] {
			continue
		}
		if err := r.complete(e); err != nil {
			problems = append(problems, err.Error())
		}
	}
	return problems
}

// complete submits jobs at an instance until one completes. Only a refusal that says "not run" may come before, since
// workers that failed are still held off.
func (r *chaos) complete(e *Program) error {
	last := "no identity"
	for end := time.Now().Add(chaosResolve); time.Now().Before(end); time.Sleep(retryPause) {
		j, err := r.s.NewJob(e, CallerToken, JobSpec{Service: "washout", Tasks: chaosSlots, RunMS: 1, DeadlineMS: 20_000})
		if err != nil {
			last = err.Error()
			continue
		}
		a, err := r.s.SendRequest(e, j, Submit, chaosResolve)
		if err == nil && a.Code == result.Complete {
			return nil
		}
		if err != nil || a.Execution != result.NotRun {
			return fmt.Errorf("new job at %s after the faults: %s", e.Name, outcome(a, err))
		}
		last = outcome(a, nil)
	}
	return fmt.Errorf("%w in %s: a new job completes at %s: %s", errLimit, chaosResolve, e.Name, last)
}

func outcome(a *api.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return a.Code.String() + ": " + a.Message
}

func (s *System) leaving(w *Program) bool {
	st, err := s.readStatus(w)
	return err == nil && st.Leaving
}
