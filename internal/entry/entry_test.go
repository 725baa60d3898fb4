package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

const (
	surveyToken = "survey-token"
	deskToken   = "desk-token"
)

var document = fmt.Sprintf(`
schema: 1
services:
  - {name: washout, idempotent: true, default_deadline: 30s, expected_run_time: 50ms}
teams:
  - {name: survey, callers: [{name: inspectors, token_digest: %q}]}
  - {name: desk, callers: [{name: counter, token_digest: %q}]}
`, config.TokenDigest(surveyToken), config.TokenDigest(deskToken))

// system is a small deployment that runs in the test process: platform stand-ins, workers and entry instances.
type system struct {
	t       *testing.T
	ca      *secure.DevCA
	log     *logservice.Server
	list    *instances.Server
	workers *worker.Server
	entries map[string]*Entry
	stops   map[string]context.CancelFunc
	done    map[string]chan struct{}
	hooks   []logrus.Hook // added to the loggers of instances that are started later
}

func newSystem(t *testing.T, zones ...string) *system {
	is := is.New(t)
	s := &system{t: t, entries: map[string]*Entry{}, stops: map[string]context.CancelFunc{}, done: map[string]chan struct{}{}}
	var err error
	s.ca, err = secure.NewDevCA(time.Now())
	is.NoErr(err)
	s.log, err = logservice.Start(logservice.DefaultOptions())
	is.NoErr(err)
	t.Cleanup(s.log.Close)
	lo := instances.DefaultOptions()
	lo.Lag = 50 * time.Millisecond
	s.list, err = instances.Start(lo)
	is.NoErr(err)
	t.Cleanup(s.list.Close)
	wo := worker.DefaultOptions()
	wo.Count, wo.Zones, wo.Instances, wo.RunTime = 2*len(zones), zones, s.list.Address(), 10*time.Millisecond
	s.workers, err = worker.Start(wo)
	is.NoErr(err)
	t.Cleanup(s.workers.Close)
	s.publish(document)
	return s
}

func (s *system) publish(doc string) {
	l := httpx.NewLog(s.log.Address(), httpx.Options{})
	defer l.Close()
	r := config.Record{
		Kind: config.KindPublish, Schema: 1, Version: 1, Nonce: "first", Author: "test", Document: doc,
		Digest: config.DocumentDigest([]byte(doc)),
	}
	data, err := r.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := l.Append(context.Background(), config.Stream, data); err != nil {
		s.t.Fatal(err)
	}
}

// start runs an entry instance and waits until it accepts callers' connections.
func (s *system) start(zone, name string) *Entry {
	settings, err := s.ca.Issue(secure.Name{Zone: zone, Instance: name})
	if err != nil {
		s.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, h := range s.hooks {
		log.AddHook(h)
	}
	e, err := New(Options{
		Name: name, Zone: zone, Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
		LogURL: "http://" + s.log.Address(), InstancesURL: "http://" + s.list.Address(),
		Cert: settings.Certificate, Key: settings.Key, CA: settings.CA,
		DrainTimeout: 10 * time.Second, LogRetention: time.Hour, Scheduler: schedulerFair, EventLoops: 2, EnableFaults: true,
	}, log)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(done)
	}()
	s.entries[name], s.stops[name], s.done[name] = e, cancel, done
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	s.register(e)
	select {
	case <-e.serving:
	case <-done:
		s.t.Fatalf("instance %s ended before it served", name)
	}
	return e
}

// register keeps an entry instance registered in the instance list, as the platform does.
func (s *system) register(e *Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	c := instances.NewClient(s.list.Address(), "")
	go c.KeepRegistered(ctx, 200*time.Millisecond, func() platform.Instance {
		return platform.Instance{
			Name: e.opts.Name, Kind: platform.KindEntry, Zone: e.opts.Zone, State: platform.StateLive,
			Incarnation: e.incarnation, Address: e.node.Addr(),
		}
	})
}

// waitFor waits up to 30 s for a condition; what describes it in the failure message.
func (s *system) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("not reached in 30 s: %s", what)
}

func (s *system) ready(e *Entry) {
	s.t.Helper()
	s.waitFor("instance "+e.opts.Name+" has slots", func() bool {
		return len(e.notReady()) == 0 && e.engine.Load().FreeSlots > 0
	})
}

// do sends one request to the callers' port and returns the answer. A body that is a string is sent as it is.
func (s *system) do(e *Entry, token, method, path string, body any) *api.Answer {
	s.t.Helper()
	var a api.Answer
	s.request(e, token, method, path, body, &a)
	return &a
}

func (s *system) request(e *Entry, token, method, path string, body, into any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	if text, ok := body.(string); ok {
		data = []byte(text)
	}
	req, _ := http.NewRequest(method, "http://"+e.server.Address()+path, bytes.NewReader(data))
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) identity(e *Entry, token string) string {
	s.t.Helper()
	var ids api.Identities
	s.request(e, token, "POST", "/v1/identities", api.IdentityRequest{Count: 1}, &ids)
	if len(ids.Identities) != 1 {
		s.t.Fatalf("no identity: %+v", ids)
	}
	return ids.Identities[0]
}

func job(identity string, tasks, runMS int) *api.Submit {
	j := &api.Submit{Identity: identity, Service: "washout"}
	for i := range tasks {
		j.Tasks = append(j.Tasks, api.Task{Payload: fmt.Sprintf(`{"run_ms":%d,"output":"out %d"}`, runMS, i), Cores: 1})
	}
	return j
}

// starts returns the number of starts of each task of a job, over all workers.
func (s *system) starts(identity string) map[string]int {
	out := map[string]int{}
	for _, w := range s.workers.Workers() {
		for task, st := range w.Starts(1).Tasks {
			if strings.HasPrefix(task, identity+"/") {
				out[task] += st.Count
			}
		}
	}
	return out
}

// Guards against tasks or outputs that are lost, mixed up or repeated between a caller and the workers, when a job is
// submitted to its home and resubmitted there, at another instance of the zone and in another zone.
func TestJobIsAnsweredWholeAndStartedOnce(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone", "farmington")
	home := s.start("blackstone", "b1")
	near := s.start("blackstone", "b2")
	far := s.start("farmington", "f1")
	for _, e := range s.entries {
		s.ready(e)
	}
	s.waitFor("members know each other", func() bool { return len(far.members.View().Live()) == 2 && len(near.members.View().Live()) == 2 })
	id := s.identity(home, surveyToken)
	first := s.do(home, surveyToken, "POST", "/v1/jobs", job(id, 160, 20))
	is.Equal(first.Code, result.Complete)
	is.Equal(len(first.Outputs), 160)
	is.Equal(first.Outputs[159], "out 159")
	for _, e := range []*Entry{home, near, far} {
		again := s.do(e, surveyToken, "POST", "/v1/jobs", job(id, 160, 20))
		is.Equal(again.Code, result.Complete)
		is.Equal(again.Outputs, first.Outputs)
	}
	counts := s.starts(id)
	is.Equal(len(counts), 160)
	for _, n := range counts {
		is.Equal(n, 1)
	}
	is.Equal(s.do(far, deskToken, "GET", "/v1/jobs/"+id, nil).Code, result.IdentityMalformed) // a token of another team
}

// Guards against a planned stop that arrives while the instance starts. It used to crash the process with a nil pointer
// dereference.
func TestPlannedStopBeforeTheListenersAreOpen(t *testing.T) {
	s := newSystem(t, "blackstone")
	settings, err := s.ca.Issue(secure.Name{Zone: "blackstone", Instance: "b1"})
	is := is.New(t)
	is.NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(Options{
		Name: "b1", Zone: "blackstone", Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
		LogURL: "http://" + s.log.Address(), InstancesURL: "http://" + s.list.Address(),
		Cert: settings.Certificate, Key: settings.Key, CA: settings.CA, DrainTimeout: 10 * time.Second,
		LogRetention: time.Hour, Scheduler: schedulerFair, EventLoops: 1,
	}, log)
	is.NoErr(err)
	e.Drain()
	is.NoErr(e.Run(context.Background()))
}
