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

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/metric"
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
func (noHomes) Partitions(Target) int                    { return 1 }
func (noHomes) Dispatchers() (own, others []Target)      { return nil, nil }

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
	cutOff           atomic.Bool  // not all dispatchers can be reached
	partitions       atomic.Int64 // that the dispatchers use
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

func (r *router) ZonePartitions(int) int { return int(r.partitions.Load()) }

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
