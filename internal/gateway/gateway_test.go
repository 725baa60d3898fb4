package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// codec decodes the body "bad" to an error, "stored" to a stored job, and any other body to a job of one task.
type codec struct{ timeout time.Duration }

func (c codec) DecodeJob(id string, body []byte) (*work.Job, Durability, error) {
	switch string(body) {
	case "bad":
		return nil, Stored, errors.New("unreadable")
	case "stored":
		return &work.Job{ID: work.JobID(id)}, Stored, nil
	}
	return &work.Job{ID: work.JobID(id), Steps: []work.Step{{Count: 1}}}, BestEffort, nil
}
func (c codec) EncodeState(s work.State) []byte   { return []byte(s) }
func (c codec) EncodePending(n int) []byte        { b, _ := json.Marshal(n); return b }
func (c codec) EncodeError(message string) []byte { return []byte(message) }
func (c codec) ResponseTimeout(func(string) []byte) (time.Duration, bool) {
	return c.timeout, c.timeout > 0
}

// noHomes is the part of a router for jobs whose homes cannot be asked.
type noHomes struct{}

func (noHomes) Homes(work.JobID) []Target                { return nil }
func (noHomes) Claim(Target, *relay.Claim) (Route, bool) { return nil, false }
func (noHomes) Knowledge(Target) uint64                  { return 0 }

// router records the jobs that are submitted and cancelled.
type router struct {
	noHomes
	mu               sync.Mutex
	targets          []Target
	immediate        []Target
	down             map[Target]bool
	submitted        []submission
	cancelled        []relay.Cancel
	notLeaderReports int
	cutOff           atomic.Bool // not all dispatchers can be reached
}

type submission struct {
	to Target
	s  *relay.Submit
}

func (r *router) Targets(*work.Job) []Target { return r.targets }

func (r *router) Immediate(*work.Job) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.immediate
}

func (r *router) Submit(to Target, s *relay.Submit) (Route, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down[to] {
		return nil, false
	}
	r.submitted = append(r.submitted, submission{to, s})
	return r, true
}

func (r *router) Cancel(c *relay.Cancel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = append(r.cancelled, *c)
}

// setDown makes a dispatcher unreachable, or reachable.
func (r *router) setDown(to Target, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[to] = down
}

func (r *router) ReachesAll() bool { return !r.cutOff.Load() }

func (r *router) ReportNotLeader(Target) { r.notLeaderReports++ }

func (r *router) sent() []submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]submission(nil), r.submitted...)
}

func (r *router) cancels() []relay.Cancel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]relay.Cancel(nil), r.cancelled...)
}

func (r *router) cancelledJobs() []work.JobID {
	var jobs []work.JobID
	for _, c := range r.cancels() {
		jobs = append(jobs, c.Job)
	}
	return jobs
}

var (
	north = Target{Zone: "north"}
	south = Target{Zone: "south"}
)

// lagInterval is that of the checks that the event loop turns.
const lagInterval = 20 * time.Millisecond

type fixture struct {
	*Gateway
	router    *router
	server    *server.Server
	lag       *server.LagMonitor
	onRefusal atomic.Pointer[func()] // called on the event loop when the server itself refuses a request; nil for none
	url       string
	t         *testing.T
}

func start(t *testing.T, timeout time.Duration) *fixture {
	r := &router{targets: []Target{north, south}, down: map[Target]bool{}}
	f := startWith(t, timeout, r)
	f.router = r
	return f
}

// startWith starts a gateway that finds its dispatchers with a given router and stores no jobs.
func startWith(t *testing.T, timeout time.Duration, r Router) *fixture {
	return startChanged(t, timeout, r, func(*Options) {})
}

// startStoring is startWith for a gateway with stored jobs.
func startStoring(t *testing.T, timeout time.Duration, r Router, stored StoredJobs) *fixture {
	return startChanged(t, timeout, r, func(o *Options) { o.Stored = stored })
}

// startChanged is startWith for a gateway with other options.
func startChanged(t *testing.T, timeout time.Duration, r Router, change func(*Options)) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := &catalog.Current{}
	config.StoreIfNewer(catalog.New(1, []catalog.Queue{{
		Name: "q", Host: "h.example", Prefix: "/p/", Service: "survey", Objective: work.Objective{Stretch: 3, Extra: time.Second, Attempts: 2},
	}}, catalog.Limits{}))
	closes := server.NewCloseWatch(log)
	o := Options{Config: config, Codec: codec{timeout}, Router: r, Log: log, Metrics: &Metrics{ResponseMS: metric.NewMillisecondQuantiles()}, Attempts: knownAttempts, Closes: closes}
	change(&o)
	g := New(o)
	f := &fixture{Gateway: g, lag: server.NewLagMonitor(lagInterval), t: t}
	s, err := server.Start(server.Options{Address: "127.0.0.1:0", Loops: 1, Handler: g, EncodeRefusal: f.encodeRefusal, Closes: closes, Lag: f.lag})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(context.Background()) })
	f.server, f.url = s, "http://"+s.Address()
	return f
}

func (f *fixture) encodeRefusal(result.Code, string) []byte {
	if onRefusal := f.onRefusal.Load(); onRefusal != nil {
		(*onRefusal)()
	}
	return nil
}

type response struct {
	status     int
	body       string
	retryAfter string
	err        error
}

// call makes a request in the background.
func (f *fixture) call(ctx context.Context, method, path, body string) <-chan response {
	done := make(chan response, 1)
	go func() {
		req, err := http.NewRequestWithContext(ctx, method, f.url+path, bytes.NewReader([]byte(body)))
		if err != nil {
			done <- response{err: err}
			return
		}
		req.Host = "h.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- response{err: err}
			return
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		done <- response{resp.StatusCode, string(raw), resp.Header.Get("Retry-After"), nil}
	}()
	return done
}

func (f *fixture) receive(done <-chan response) response {
	f.t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(20 * time.Second):
		f.t.Fatal("no response")
		return response{}
	}
}

func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	wait.For(f.t, what, ok)
}

// setPlacementTimeout sets how long jobs wait for a dispatcher.
func (f *fixture) setPlacementTimeout(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placementTimeout = d
}

// post submits a job and waits until a dispatcher has it.
func (f *fixture) post(id string) <-chan response {
	f.t.Helper()
	n := len(f.router.sent())
	done := f.call(context.Background(), "POST", "/p/"+id, "job")
	f.eventually("the job is submitted", func() bool { return len(f.router.sent()) > n })
	return done
}

// Guards against responses before a job has ended, and against responses to the wrong request.
func TestAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a, b := f.post("a"), f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", State: work.Failed})
	is.Equal(f.receive(b).body, "failed")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/a", "")).body, "running")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/", "")).body, "1")
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	r := f.receive(a)
	is.Equal(r.status, 200)
	is.Equal(r.body, "completed")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/a", "")).status, 410)
	is.Equal(f.Active(), 0)
}

// Guards against a refusal although another zone has not been tried, and against a refusal without a Retry-After.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	f.eventually("the other zone is tried", func() bool { return len(f.router.sent()) == 2 })
	is.Equal(f.router.sent()[1].to, south)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "2")
}

// Guards against an answer that reports that no dispatcher was reached, with the retry time of that case, although a
// dispatcher has refused the job for lack of room. The other dispatcher is unreachable, or is no longer the leader.
func TestRefusalOfAReachedDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.setDown(south, true)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 3 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "3")
	f.router.setDown(south, false)
	b := f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	f.Answer(f.router, &relay.Answer{Job: "b", Refused: pool.ReasonNotLeader})
	r = f.receive(b)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "2")
	is.True(f.router.sent()[2].s.Waited >= f.router.sent()[1].s.Waited)
}

// Guards against a job that is refused as not run although it may have run, and against one that is started a second
// time. This could happen if a job whose dispatcher failed went to a dispatcher other than the successor.
func TestLostDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.RouteEnded(f.router, true)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 2)
	is.Equal(f.router.sent()[1].to, north) // only the successor can determine which tasks have run
	is.True(f.router.sent()[1].s.Resumed)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom}) // must not become a 429
	f.Resubmit()
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
}

// Guards against a job that makes its dispatchers hang or crash and is handed on to each successor, until no instance of the zone is
// left.
func TestJobThatItsDispatchersDoNotSurvive(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	for range maxLosses {
		f.RouteEnded(f.router, true)
		f.Resubmit()
	}
	is.Equal(f.receive(a).status, 504) // it may have run
	is.Equal(len(f.router.sent()), maxLosses)
	is.Equal(f.Active(), 0)
}

// Guards against an instance that passes for one that notices when its callers leave while its lock is held, or for one that reads requests
// while its event loop is.
func TestUnattended(t *testing.T) {
	f := start(t, time.Minute)
	f.post("a")
	f.Sweep()
	f.mu.Lock()
	wait.For(t, "the lock counts as held", func() bool { return f.Unattended() >= 50*time.Millisecond })
	f.mu.Unlock()
	release := f.holdLoop()
	wait.For(t, "the event loop counts as held", func() bool { return pause.Elapsed()-f.lag.HandledUntil() >= 200*time.Millisecond })
	wait.For(t, "the callers are attended to without the event loop", func() bool { return f.Unattended() < 50*time.Millisecond })
	release()
	wait.For(t, "the event loop turns", func() bool { return pause.Elapsed()-f.lag.HandledUntil() < 50*time.Millisecond })
}

// knownAttempts returns a crash under task 0 of every job, as if another dispatcher had reported it.
func knownAttempts(id work.JobID) []attempt.Attempt {
	return []attempt.Attempt{{Task: work.TaskID{Job: id}, Run: 1, Process: attempt.Process{Endpoint: "i"}, Outcome: attempt.Crashed}}
}

// Guards against a dispatcher that starts a task anew as often as those before it, because it does not learn of their crashes: a new
// submission and one after the loss of the dispatcher carry them.
func TestSubmissionsCarryAttempts(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.RouteEnded(f.router, true)
	f.Resubmit()
	for _, sent := range f.router.sent() {
		is.Equal(sent.s.Attempts, knownAttempts("a"))
	}
}

// Guards against a job that is refused as not run, or submitted again without end, after its dispatcher has given it up: it may have run.
func TestGivenUpJob(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true, GaveUp: true})
	is.Equal(f.receive(a).status, 504)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
}

// Guards against a job that waits for the successor of a dispatcher which never got the job.
func TestUnsentJobGoesToOtherZone(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.RouteEnded(f.router, false)
	f.eventually("the other zone is tried", func() bool { return len(f.router.sent()) == 2 })
	is.Equal(f.router.sent()[1].to, south)
	is.True(!f.router.sent()[1].s.Resumed)
}

// Guards against callers that are refused because the dispatchers are not known or connected in the first moments after
// a restart, against jobs that wait beyond the placement timeout, and against jobs that are submitted again after they
// were placed.
func TestJobWaitsForDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.setDown(north, true)
	f.router.setDown(south, true)
	f.setPlacementTimeout(time.Minute)
	a := f.call(t.Context(), "POST", "/p/a", "job")
	f.eventually("the job waits for a dispatcher", func() bool { return f.Active() == 1 })
	f.Resubmit()
	f.router.setDown(north, false)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
	is.True(!f.router.sent()[0].s.Resumed)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
	f.router.setDown(north, true)
	b := f.call(t.Context(), "POST", "/p/b", "job")
	f.eventually("the job waits for a dispatcher", func() bool { return f.Active() == 1 })
	f.setPlacementTimeout(0)
	f.Resubmit()
	r := f.receive(b)
	is.Equal(r.status, 503)
	is.Equal(r.retryAfter, "2")
}

// Guards against jobs of a dispatcher whose term has ended that count as not started although they may have started, or
// the other way round.
func TestDispatcherIsNoLongerLeader(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("fresh")
	f.Answer(f.router, &relay.Answer{Job: "fresh", Refused: pool.ReasonNotLeader})
	f.eventually("a job that has not started is placed anew", func() bool { return len(f.router.sent()) == 2 })
	is.True(!f.router.sent()[1].s.Resumed)
	f.post("started")
	f.Answer(f.router, &relay.Answer{Job: "started", Refused: pool.ReasonNotLeader, Started: true})
	f.Resubmit()
	last := f.router.sent()[len(f.router.sent())-1]
	is.Equal(last.s.Job.ID, work.JobID("started"))
	is.True(last.s.Resumed)
}

// Guards against a successor that takes a job's earlier dispatcher for lost for longer than it is, and starts tasks that it still runs:
// each loss counts from its own time, and one that is followed by refusals of dispatchers that have started nothing from the loss itself.
func TestTimeSinceTheLossOfTheDispatcher(t *testing.T) {
	is := is.New(t)
	const pause = 30 * time.Millisecond
	f := start(t, time.Minute)
	f.post("a")
	resubmitted := func() time.Duration {
		time.Sleep(pause)
		f.Resubmit()
		all := f.router.sent()
		last := all[len(all)-1].s
		is.True(last.Resumed)
		return last.Lost
	}
	is.Equal(f.router.sent()[0].s.Lost, time.Duration(0))
	begun := time.Now()
	f.RouteEnded(f.router, true)
	lost := resubmitted()
	is.True(lost >= pause && lost <= time.Since(begun))
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader})
	is.True(resubmitted() >= 2*pause) // no other dispatcher has had the job
	begun = time.Now()
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true})
	lost = resubmitted()
	is.True(lost >= pause && lost <= time.Since(begun))
}

// Guards against a successor that relies on the answer of one dispatcher while another one, whose connection was lost before, still orders
// runs, and against one that waits for what an orderly end rules out.
func TestJobThatWasGivenBack(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	resubmitted := func() *relay.Submit {
		f.Resubmit()
		all := f.router.sent()
		return all[len(all)-1].s
	}
	is.True(!f.router.sent()[0].s.GivenBack)
	giveBack := func() { f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true}) }
	giveBack()
	is.True(resubmitted().GivenBack)
	f.RouteEnded(f.router, true)
	is.True(!resubmitted().GivenBack)
	giveBack()
	is.True(!resubmitted().GivenBack)
}

// Guards against a dispatcher that takes itself for the last one that held a job: submissions that were sent elsewhere count, those that
// could not be sent do not, and another request for the same job is another one.
func TestSubmissionsAreNumbered(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	for range 2 {
		f.RouteEnded(f.router, true)
		f.router.setDown(north, true)
		f.Resubmit()
		f.router.setDown(north, false)
		f.Resubmit()
	}
	f.post("b")
	all := f.router.sent()
	is.Equal(len(all), 4)
	var previous relay.SubmissionNumber
	for _, sent := range all[:3] {
		is.Equal(sent.s.Previous, previous)
		is.Equal(sent.s.Request, all[0].s.Request)
		previous = sent.s.Number
	}
	is.True(previous != 0)
	is.Equal(all[3].s.Previous, relay.SubmissionNumber(0))
	is.True(all[0].s.Request != 0)
	is.True(all[3].s.Request != all[0].s.Request)
}

// Guards against jobs that are kept and run on after their caller has closed its connection.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	f.call(ctx, "POST", "/p/a", "job")
	f.eventually("the job is submitted", func() bool { return len(f.router.sent()) == 1 })
	cancel()
	f.eventually("the job is cancelled", func() bool { return len(f.router.cancelledJobs()) == 1 })
	f.eventually("the job is discarded", func() bool { return f.Active() == 0 })
	is.Equal(f.router.cancelledJobs()[0], work.JobID("a"))
}

// Guards against callers that get no response within their timeout, and against jobs that run on after it.
func TestCallerTimeout(t *testing.T) {
	is := is.New(t)
	const timeout = 2 * time.Second // a request that waits longer unread is refused at once
	f := start(t, timeout)
	a := f.post("a")
	time.Sleep(timeout + time.Millisecond)
	f.Sweep()
	is.Equal(f.receive(a).status, 504)
	is.Equal(len(f.router.cancelledJobs()), 1)
}

// Guards against a second run of a job that is submitted again on another connection, and against a caller that waits and gets no answer
// because its request has arrived twice: it would submit the job once more.
func TestSubmittedAgain(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	first := f.post("a")
	second := f.call(context.Background(), "POST", "/p/a", "job")
	f.eventually("the second request waits", func() bool { return f.waitingFor("a") == 2 })
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(first).status, 200)
	is.Equal(f.receive(second).status, 200)
	is.Equal(len(f.router.sent()), 1)
}

// waitingFor returns the number of requests that wait for a job.
func (f *fixture) waitingFor(id work.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.jobs[id]; p != nil {
		return len(p.waiting)
	}
	return 0
}

// Guards against the loss of a job that was submitted again on another connection before the end of the first one was handled, as
// after a stop of the process.
func TestSubmittedAgainBeforeItsFirstConnectionEnds(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	first := f.post("a")
	f.mu.Lock()
	p := f.jobs["a"]
	x := p.waiting[0].exchange
	f.mu.Unlock()
	second := f.call(context.Background(), "POST", "/p/a", "job")
	f.eventually("the second request waits", func() bool { return f.waitingFor("a") == 2 })
	f.callerGone(departure{job: p, exchange: x})
	is.Equal(f.receive(first).status, 504)
	is.Equal(f.Active(), 1)
	is.Equal(len(f.router.cancelledJobs()), 0)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(second).status, 200)
}

// Guards against a job that starts although its caller may have left and submitted it elsewhere: the request waited unread, while
// the process was stopped, for longer than its caller waits.
func TestRequestThatWaitedUnread(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Second)
	var unread atomic.Int64
	unread.Store(int64(2 * time.Second))
	s, err := server.Start(server.Options{
		Address: "127.0.0.1:0", Loops: 1, EncodeRefusal: func(result.Code, string) []byte { return nil },
		Handler: server.HandlerFunc(func(x *server.Exchange) {
			x.Unread = time.Duration(unread.Load())
			f.Serve(x)
		}),
	})
	is.NoErr(err)
	t.Cleanup(func() { s.Stop(context.Background()) })
	f.url = "http://" + s.Address()
	is.Equal(f.receive(f.call(context.Background(), "POST", "/p/a", "job")).status, 503)
	is.Equal(len(f.router.sent()), 0)
	unread.Store(int64(500 * time.Millisecond)) // its caller still waits
	second := f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", State: work.Completed})
	is.Equal(f.receive(second).status, 200)
}

// Guards against callers whose connection is closed without an answer because their job has not ended when the instance does, and
// against its runs going on.
func TestEndPending(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.EndPending()
	is.Equal(f.receive(a).status, 504)
	is.Equal(f.Active(), 0)
	is.Equal(f.router.cancelledJobs(), []work.JobID{"a"})
}

// Guards against wrong responses to requests that start no job.
func TestOtherRequests(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	background := context.Background()
	is.Equal(f.receive(f.call(background, "POST", "/other/a", "job")).status, 404)
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "bad")).status, 400)
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "stored")).status, 503)
	is.Equal(f.sweepUntil(f.call(background, "DELETE", "/p/a", "")).status, 410)
	is.Equal(f.receive(f.call(background, "PUT", "/p/a", "")).status, 405)
	f.router.setDown(north, true)
	f.router.setDown(south, true)
	f.setPlacementTimeout(0)
	r := f.receive(f.call(background, "POST", "/p/b", "job"))
	is.Equal(r.status, 503)
	is.True(r.retryAfter != "")
	f.router.setDown(north, false)
	f.Close()
	is.Equal(f.receive(f.call(background, "POST", "/p/b", "job")).status, 503)
	is.Equal(len(f.router.sent()), 0) // a job that was refused as not run has not been submitted
}

// Guards against jobs that run on after their caller has cancelled them.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	is.Equal(f.receive(f.call(context.Background(), "DELETE", "/p/a", "")).status, 200)
	is.Equal(f.receive(a).body, "cancelled")
	is.Equal(f.router.cancelledJobs(), []work.JobID{"a"})
}

// sweepUntil makes the gateway's periodic checks until a request has its response.
func (f *fixture) sweepUntil(done <-chan response) response {
	f.t.Helper()
	var r response
	f.eventually("the response", func() bool {
		f.Sweep()
		select {
		case r = <-done:
			return true
		default:
			return false
		}
	})
	return r
}

// passOn passes cancellations between instances once, as heartbeats do.
func passOn(instances ...*fixture) {
	for _, from := range instances {
		for _, to := range instances {
			if to != from {
				to.Cancellations().Merge(from.Cancellations().Recent())
			}
		}
	}
}

// Guards against a job that runs to its end although it was cancelled, because the cancel reached another instance than the
// submission.
func TestCancelAtAnotherInstance(t *testing.T) {
	is := is.New(t)
	a, b := start(t, time.Minute), start(t, time.Minute)
	job := a.post("x")
	cancel := b.call(context.Background(), "DELETE", "/p/x", "")
	b.eventually("the cancellation is passed on", func() bool { return len(b.Cancellations().Recent()) == 1 })
	passOn(b, a, b)
	is.Equal(a.receive(job).body, "cancelled")
	is.Equal(a.router.cancelledJobs(), []work.JobID{"x"})
	is.Equal(b.sweepUntil(cancel).status, 200)
	// A submission that arrives later, at any instance, does not start the job.
	for _, f := range []*fixture{a, b} {
		is.Equal(f.receive(f.call(context.Background(), "POST", "/p/x", "job")).body, "cancelled")
	}
	is.Equal(len(a.router.sent()), 1)
	is.Equal(len(b.router.sent()), 0)
}

// Guards against "no such job" for a job that runs at an instance which could not be asked, and against cancels of ended jobs that are
// passed on to all instances.
func TestCancelOfAnUnknownJob(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.cutOff.Store(true)
	is.Equal(f.sweepUntil(f.call(context.Background(), "DELETE", "/p/x", "")).status, 503)
	f.router.cutOff.Store(false)
	is.Equal(f.sweepUntil(f.call(context.Background(), "DELETE", "/p/x", "")).status, 410)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
	before := len(f.Cancellations().Recent())
	is.Equal(f.receive(f.call(context.Background(), "DELETE", "/p/a", "")).status, 410)
	is.True(len(f.Cancellations().Recent()) <= before)
}

// Guards against a cancel that is answered "no such job" because the job was answered 504 here and then submitted elsewhere.
func TestCancelAfterTheJobWasSubmittedElsewhere(t *testing.T) {
	is := is.New(t)
	first, second := start(t, 50*time.Millisecond), start(t, time.Minute)
	is.Equal(first.sweepUntil(first.post("x")).status, 504)
	again := second.post("x")
	cancel := first.call(context.Background(), "DELETE", "/p/x", "")
	first.eventually("the cancellation is passed on", func() bool { return len(first.Cancellations().Recent()) == 1 })
	passOn(first, second, first)
	is.Equal(second.receive(again).body, "cancelled")
	is.Equal(first.sweepUntil(cancel).status, 200)
}

// Guards against a job that starts although its cancellation has come, because it is submitted between the search for the job and the
// record of the cancellation.
func TestCancellationIsRecordedBeforeTheSearch(t *testing.T) {
	is := is.New(t)
	var c *cancellations
	recorded := false
	c = newCancellations(func(id work.JobID) bool {
		recorded = c.isCancelled(id)
		return false
	})
	c.Merge([]relay.Cancellation{{Job: "x"}})
	is.True(recorded)
}
