package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// codec reads every body but "bad" as a job of one task.
type codec struct{ patience time.Duration }

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
	return c.patience, c.patience > 0
}

// path records what it is given.
type path struct {
	mu        sync.Mutex
	targets   []Target
	down      map[Target]bool
	submitted []submission
	cancelled []work.JobID
	moved     int
}

type submission struct {
	to Target
	s  *relay.Submit
}

func (p *path) Targets(work.JobID) []Target { return p.targets }

func (p *path) Submit(to Target, s *relay.Submit) (Route, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[to] {
		return nil, false
	}
	p.submitted = append(p.submitted, submission{to, s})
	return p, true
}

func (p *path) Cancel(_ Target, id work.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelled = append(p.cancelled, id)
}

// setDown makes a dispatcher unreachable, or reachable.
func (p *path) setDown(to Target, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[to] = down
}

func (p *path) ReportNotLeader(Target) { p.moved++ }

func (p *path) sent() []submission {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]submission(nil), p.submitted...)
}

func (p *path) dropped() []work.JobID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]work.JobID(nil), p.cancelled...)
}

var (
	north = Target{Zone: "north"}
	south = Target{Zone: "south"}
)

type fixture struct {
	*Gateway
	path *path
	url  string
	t    *testing.T
}

func start(t *testing.T, patience time.Duration) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &path{targets: []Target{north, south}, down: map[Target]bool{}}
	config := &catalog.Current{}
	config.StoreIfNewer(catalog.New(1, []catalog.Queue{{Name: "q", Host: "h.example", Prefix: "/p/"}}, catalog.Limits{}))
	g := New(Options{Config: config, Codec: codec{patience}, Router: p, Log: log, Metrics: &Metrics{ResponseMS: metric.NewMilliseconds()}})
	s, err := server.Start(server.Options{
		Address: "127.0.0.1:0", Loops: 1, Handler: g, Refuse: func(result.Code, string) []byte { return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(context.Background()) })
	return &fixture{g, p, "http://" + s.Address(), t}
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

// setSeek sets how long jobs wait for a dispatcher.
func (f *fixture) setSeek(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seek = d
}

// post submits a job and waits until a dispatcher has it.
func (f *fixture) post(id string) <-chan response {
	f.t.Helper()
	n := len(f.path.sent())
	done := f.call(context.Background(), "POST", "/p/"+id, "job")
	f.eventually("the job is submitted", func() bool { return len(f.path.sent()) > n })
	return done
}

// Guards against answers that come before a job's end, or to another request.
func TestAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a, b := f.post("a"), f.post("b")
	f.Answer(f.path, &relay.Answer{Job: "b", State: work.Failed})
	is.Equal(f.receive(b).body, "failed")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/a", "")).body, "running")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/", "")).body, "1")
	f.Answer(f.path, &relay.Answer{Job: "a", State: work.Completed})
	r := f.receive(a)
	is.Equal(r.status, 200)
	is.Equal(r.body, "completed")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/a", "")).status, 410)
	is.Equal(f.Active(), 0)
}

// Guards against refusals while another zone has room, and against ones without a time to come back.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.path, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	f.eventually("the other zone is tried", func() bool { return len(f.path.sent()) == 2 })
	is.Equal(f.path.sent()[1].to, south)
	f.Answer(f.path, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "2")
}

// Guards against a caller that is told that no dispatcher is there, with a time to come back that does not fit, when one
// has said that it has no room.
func TestRefusalOfAReachedDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.path.setDown(south, true)
	a := f.post("a")
	f.Answer(f.path, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 3 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "3")
	f.path.setDown(south, false)
	b := f.post("b")
	f.Answer(f.path, &relay.Answer{Job: "b", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	f.Answer(f.path, &relay.Answer{Job: "b", Refused: pool.ReasonNotLeader})
	r = f.receive(b)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "2")
	is.True(f.path.sent()[2].s.Waited >= f.path.sent()[1].s.Waited)
}

// Guards against a job that may have run and is refused as not run, or is started beside its first runs.
func TestLostDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.RouteEnded(f.path, true)
	f.Resubmit()
	is.Equal(len(f.path.sent()), 2)
	is.Equal(f.path.sent()[1].to, north) // only the successor can find out what ran
	is.True(f.path.sent()[1].s.Resumed)
	f.Answer(f.path, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom}) // must not become a 429
	f.Resubmit()
	f.Answer(f.path, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
}

// Guards against waiting for a dispatcher that never got the job.
func TestUnsentJobGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.RouteEnded(f.path, false)
	f.eventually("the other zone is tried", func() bool { return len(f.path.sent()) == 2 })
	is.Equal(f.path.sent()[1].to, south)
	is.True(!f.path.sent()[1].s.Resumed)
}

// Guards against callers that are refused because the dispatchers are not known or reached in the first moments after a
// restart, and against jobs that are held back for long or stay seeking after they were placed.
func TestJobSeeksDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.path.setDown(north, true)
	f.path.setDown(south, true)
	f.setSeek(time.Minute)
	a := f.call(t.Context(), "POST", "/p/a", "job")
	f.eventually("the job is seeking", func() bool { return f.Active() == 1 })
	f.Resubmit()
	f.path.setDown(north, false)
	f.Resubmit()
	is.Equal(len(f.path.sent()), 1)
	is.True(!f.path.sent()[0].s.Resumed)
	f.Resubmit()
	is.Equal(len(f.path.sent()), 1)
	f.Answer(f.path, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
	f.path.setDown(north, true)
	b := f.call(t.Context(), "POST", "/p/b", "job")
	f.eventually("the job is seeking", func() bool { return f.Active() == 1 })
	f.setSeek(0)
	f.Resubmit()
	r := f.receive(b)
	is.Equal(r.status, 503)
	is.Equal(r.retryAfter, "2")
}

// Guards against jobs of a dispatcher whose term has ended that are treated as started, or as not started, when they
// are the other.
func TestMovedDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("fresh")
	f.Answer(f.path, &relay.Answer{Job: "fresh", Refused: pool.ReasonNotLeader})
	f.eventually("a job that has not started is placed anew", func() bool { return len(f.path.sent()) == 2 })
	is.True(!f.path.sent()[1].s.Resumed)
	f.post("started")
	f.Answer(f.path, &relay.Answer{Job: "started", Refused: pool.ReasonNotLeader, Started: true})
	f.Resubmit()
	last := f.path.sent()[len(f.path.sent())-1]
	is.Equal(last.s.Job.ID, work.JobID("started"))
	is.True(last.s.Resumed)
}

// Guards against work for callers that have left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	f.call(ctx, "POST", "/p/a", "job")
	f.eventually("the job is submitted", func() bool { return len(f.path.sent()) == 1 })
	cancel()
	f.eventually("the job is taken back", func() bool { return len(f.path.dropped()) == 1 })
	f.eventually("the job is forgotten", func() bool { return f.Active() == 0 })
	is.Equal(f.path.dropped()[0], work.JobID("a"))
}

// Guards against callers that wait beyond their patience, and against an answer that says not run.
func TestPatience(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Millisecond)
	a := f.post("a")
	time.Sleep(2 * time.Millisecond)
	f.Sweep()
	is.Equal(f.receive(a).status, 504)
	is.Equal(len(f.path.dropped()), 1)
}

// Guards against a second run of a job that is submitted again on another connection.
func TestSubmittedAgain(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	first := f.post("a")
	second := f.call(context.Background(), "POST", "/p/a", "job")
	is.Equal(f.receive(first).status, 502)
	f.Answer(f.path, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(second).status, 200)
	is.Equal(len(f.path.sent()), 1)
}

// Guards against wrong answers to requests that start nothing.
func TestOtherRequests(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	background := context.Background()
	is.Equal(f.receive(f.call(background, "POST", "/other/a", "job")).status, 404)
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "bad")).status, 400)
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "stored")).status, 503)
	is.Equal(f.receive(f.call(background, "DELETE", "/p/a", "")).status, 410)
	is.Equal(f.receive(f.call(background, "PUT", "/p/a", "")).status, 405)
	f.path.setDown(north, true)
	f.path.setDown(south, true)
	f.setSeek(0)
	r := f.receive(f.call(background, "POST", "/p/a", "job"))
	is.Equal(r.status, 503)
	is.True(r.retryAfter != "")
	f.path.setDown(north, false)
	f.Close()
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "job")).status, 503)
	is.Equal(len(f.path.sent()), 0) // a refusal that says not run is true
}

// Guards against jobs that run on after their caller has cancelled them.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	is.Equal(f.receive(f.call(context.Background(), "DELETE", "/p/a", "")).status, 200)
	is.Equal(f.receive(a).body, "cancelled")
	is.Equal(f.path.dropped(), []work.JobID{"a"})
}
