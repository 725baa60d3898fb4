package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

const (
	ferryToken    = "svp_ferry-token-of-this-test"
	operatorToken = "svp_operator-token-of-this-test"
	viewerToken   = "svp_viewer-token-of-this-test"
)

// documentWithOperators returns document with the team ferry, which has a low request rate, an operator, a viewer, a
// maximum deadline and run time of one minute, and the given fields of retention.
func documentWithOperators(retention string) string {
	return strings.Replace(document, "default_deadline: 30s,", "default_deadline: 30s, max_deadline: 1m, max_run_time: 1m,", 1) +
		fmt.Sprintf(`  - {name: ferry, rate_limit: {requests_per_second: 0.001, burst: 1}, callers: [{name: deck, token_digest: %q}]}
operators:
  - {name: ines, role: operator, token_digest: %q}
  - {name: vito, role: viewer, token_digest: %q}
limits: {queued_tasks: 300, tasks_per_job: 159}
retention: {%s}
`, config.TokenDigest(ferryToken), config.TokenDigest(operatorToken), config.TokenDigest(viewerToken), retention)
}

// publishVersion publishes a version through the log and waits until it is in force on all instances.
func (s *system) publishVersion(version uint64, doc string) {
	s.t.Helper()
	r := config.Record{
		Kind: config.KindPublish, Schema: 1, Version: version, Replaces: version - 1, Nonce: fmt.Sprint("v", version), Author: "test",
		Document: doc, Digest: config.DocumentDigest([]byte(doc)),
	}
	data, err := r.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	l := httpx.NewLog(s.log.Address(), httpx.Options{})
	defer l.Close()
	if _, err := l.Append(context.Background(), config.Stream, data); err != nil {
		s.t.Fatal(err)
	}
	for _, e := range s.entries {
		s.waitFor("version in force", func() bool { c := e.current.Load(); return c != nil && c.version == version })
	}
}

// logRecorder records all log lines, and the address of the operators' listener of each instance.
type logRecorder struct {
	mu        sync.Mutex
	lines     bytes.Buffer
	operators map[any]string
}

// Levels implements logrus.Hook.
func (r *logRecorder) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (r *logRecorder) Fire(e *logrus.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Data["event"] == "started" {
		r.operators[e.Data["instance"]] = fmt.Sprint(e.Data["operators"])
	}
	line, err := e.Bytes()
	r.lines.Write(line)
	return err
}

func (r *logRecorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.String()
}

// operatorRequest sends a request to the operators' listener of an instance and returns the HTTP status and the body.
func (s *system) operatorRequest(r *logRecorder, instance, token, method, path, body string) (int, string) {
	s.t.Helper()
	r.mu.Lock()
	address := r.operators[instance]
	r.mu.Unlock()
	req, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// rawRequest sends bytes to the callers' port and returns the body of the response.
func (s *system) rawRequest(e *Entry, text string) string {
	s.t.Helper()
	c, err := net.Dial("tcp", e.server.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, text) // may fail, since the response can come before all bytes are sent
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// Guards against a port that accepts tokens of the wrong role, against a team that can read or cancel another team's
// jobs at any instance, and against tokens, keys and outputs that show up in logs or operators' views.
func TestPortsRefuseWrongTokensAndHideSecrets(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone", "farmington")
	logs := &logRecorder{operators: map[any]string{}}
	s.hooks = []logrus.Hook{secure.LogHook{}, logs}
	home, near, far := s.start("blackstone", "b1"), s.start("blackstone", "b2"), s.start("farmington", "f1")
	s.publishVersion(2, documentWithOperators(""))
	for _, e := range s.entries {
		s.ready(e)
	}
	s.waitFor("members know each other", func() bool {
		return len(home.members.View().Live()) == 2 && len(near.members.View().Live()) == 2 && len(far.members.View().Live()) == 2
	})

	id := s.identity(home, surveyToken)
	held := job(id, 4, 60_000)
	held.Tasks[0].Payload = `{"run_ms":60000,"output":"washed out at km 14"}`
	is.Equal(s.do(home, surveyToken, "POST", "/v1/jobs?wait_ms=0", held).Code, result.Running)
	s.waitFor("all tasks run", func() bool { return len(s.starts(id)) == 4 })

	for _, token := range []string{"", "stranger", operatorToken, viewerToken} {
		for _, r := range [][2]string{{"POST", "/v1/identities"}, {"POST", "/v1/jobs"}, {"GET", "/v1/jobs/" + id}, {"DELETE", "/v1/jobs/" + id}} {
			is.Equal(s.do(home, token, r[0], r[1], held).Code, result.Unauthenticated)
		}
	}
	for _, e := range []*Entry{home, near, far} {
		for _, method := range []string{"GET", "DELETE"} {
			// The job belongs to another team.
			is.Equal(s.do(e, deskToken, method, "/v1/jobs/"+id, nil).Code, result.IdentityMalformed)
		}
		is.Equal(s.do(e, deskToken, "POST", "/v1/jobs", held).Code, result.IdentityMalformed)
		is.Equal(s.do(e, surveyToken, "GET", "/v1/jobs/"+id, nil).Code, result.Running) // the job was not affected
	}

	doc := documentWithOperators("")
	for _, r := range [][3]string{
		{"PUT", "/v1/config?replaces=2", doc}, {"POST", "/v1/config/restore", doc}, {"POST", "/v1/drain", ""}, {"DELETE", "/v1/jobs/" + id, ""},
		{"POST", "/v1/faults", `{"name":"pause"}`}, {"PUT", "/v1/loglevel", `{"level":"error"}`},
	} {
		for token, status := range map[string]int{"": 401, "stranger": 401, surveyToken: 403, viewerToken: 403} {
			got, _ := s.operatorRequest(logs, "b1", token, r[0], r[1], r[2])
			is.Equal(got, status)
		}
	}
	for _, path := range []string{opsapi.PathDump, opsapi.PathConfig, opsapi.PathStatus, opsapi.PathVars} {
		got, _ := s.operatorRequest(logs, "b1", surveyToken, "GET", path, "")
		is.Equal(got, 403)
	}
	is.True(!home.draining.Load() && home.config.Version() == 2)
	is.Equal(s.do(home, surveyToken, "GET", "/v1/jobs/"+id, nil).Code, result.Running)

	shown := logs.text()
	for _, path := range []string{opsapi.PathDump, opsapi.PathVars, opsapi.PathStatus, opsapi.PathJobs + "/" + id, opsapi.PathHistory} {
		status, text := s.operatorRequest(logs, "b1", viewerToken, "GET", path, "")
		is.Equal(status, 200)
		shown += text
	}
	is.True(strings.Contains(shown, "event=ops_change") && strings.Contains(shown, `"open_jobs"`))
	for _, hidden := range []string{surveyToken, deskToken, ferryToken, operatorToken, viewerToken, "PRIVATE KEY", "washed out at km 14"} {
		if strings.Contains(shown, hidden) {
			t.Errorf("%q is shown in logs or views", hidden)
		}
	}
	is.Equal(s.do(far, surveyToken, "DELETE", "/v1/jobs/"+id, nil).Code, result.Cancelled) // its own team may cancel it
}

// Guards against cancelled tasks that count as failures of their workers: many cancellations at once would then take
// healthy workers out of service.
func TestCancelledTasksAreNoFailures(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	e := s.start("blackstone", "b1")
	s.ready(e)
	for range 2 {
		id := s.identity(e, surveyToken)
		is.Equal(s.do(e, surveyToken, "POST", "/v1/jobs?wait_ms=0", job(id, 16, 60_000)).Code, result.Running)
		s.waitFor("all tasks run", func() bool { return len(s.starts(id)) == 16 })
		is.Equal(s.do(e, surveyToken, "DELETE", "/v1/jobs/"+id, nil).Code, result.Cancelled)
		s.waitFor("no task runs", func() bool { return e.engine.State().Scheduler.Running == 0 })
	}
	for _, w := range e.engine.State().Workers {
		is.Equal(w.Failures, 0)
		is.Equal(w.HeldOffMS, int64(0))
	}
}

// Guards against a peers' port that accepts a connection without a certificate, or with one that another authority has
// issued for the name of an existing instance.
func TestPeersPortRefusesOtherAuthorities(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	e := s.start("blackstone", "b1")
	other, err := secure.NewDevCA(time.Now())
	is.NoErr(err)
	settings, err := other.Issue(secure.Name{Zone: "blackstone", Instance: "b2"})
	is.NoErr(err)
	pair, err := tls.X509KeyPair([]byte(settings.Certificate), []byte(settings.Key))
	is.NoErr(err)
	own, err := s.ca.Issue(secure.Name{Zone: "blackstone", Instance: "b2"})
	is.NoErr(err)
	good, err := tls.X509KeyPair([]byte(own.Certificate), []byte(own.Key))
	is.NoErr(err)
	for _, c := range []struct {
		certs []tls.Certificate
		open  bool
	}{{[]tls.Certificate{pair}, false}, {nil, false}, {[]tls.Certificate{good}, true}} {
		conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{secure.PeerProtocol}, Certificates: c.certs}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		conn, err := quic.DialAddr(ctx, e.node.Addr(), conf, nil)
		if err == nil {
			_, err = conn.AcceptUniStream(ctx) // the instance opens streams only to peers that it has accepted
			conn.CloseWithError(0, "")
		}
		is.Equal(err == nil, c.open)
		is.NoErr(ctx.Err()) // the connection was refused, it did not time out
		cancel()
	}
}

// Guards against a wrong result code on the callers' port. It covers the codes that no other test produces, with
// requests to a running instance.
func TestCodesOfTheCallersPort(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	e := s.start("blackstone", "b1")
	s.publishVersion(2, documentWithOperators("answer_retention: 1s"))
	s.ready(e)
	id := s.identity(e, surveyToken)
	with := func(change func(*api.Submit)) *api.Submit {
		j := job(s.identity(e, surveyToken), 1, 10)
		change(j)
		return j
	}
	for _, c := range []struct {
		code         result.Code
		method, path string
		body         any
	}{
		{result.MalformedBody, "POST", "/v1/jobs", "{"},
		{result.UnknownField, "POST", "/v1/jobs", `{"identty":"x"}`},
		{result.UnknownField, "GET", "/v1/jobs/" + id + "?wait=1", nil},
		{result.WrongType, "POST", "/v1/jobs", `{"service":5}`},
		{result.OutOfRange, "POST", "/v1/identities", api.IdentityRequest{Count: 1001}},
		{result.OutOfRange, "POST", "/v1/jobs", with(func(j *api.Submit) { j.DeadlineMS = 60_001 })},         // max_deadline
		{result.OutOfRange, "POST", "/v1/jobs", with(func(j *api.Submit) { j.Tasks[0].RunTimeMS = 60_001 })}, // max_run_time
		{result.TooManyTasks, "POST", "/v1/jobs", job(id, 160, 1)},
		{result.NoTasks, "POST", "/v1/jobs", job(id, 0, 1)},
		{result.UnknownService, "POST", "/v1/jobs", with(func(j *api.Submit) { j.Service = "tides" })},
		{result.IdentityRequired, "POST", "/v1/jobs", job("", 1, 1)},
		{result.IdentityMalformed, "POST", "/v1/jobs", job("1.x", 1, 1)},
		{result.UnknownPath, "GET", "/v2/jobs", nil},
		{result.MethodNotAllowed, "PATCH", "/v1/jobs/" + id, nil},
		{result.NotSubmitted, "GET", "/v1/jobs/" + id, nil},
		{result.NotSubmitted, "DELETE", "/v1/jobs/" + id, nil},
		{result.NeverFits, "POST", "/v1/jobs", with(func(j *api.Submit) { j.Tasks[0].Cores = 1000 })},
		{result.DeadlineUnreachable, "POST", "/v1/jobs", with(func(j *api.Submit) { j.Tasks[0].RunTimeMS, j.DeadlineMS = 50_000, 1000 })},
		{result.DeadlineExceeded, "POST", "/v1/jobs", with(func(j *api.Submit) { j.Tasks[0].Payload, j.DeadlineMS = `{"run_ms":60000}`, 500 })},
		{result.TaskFailed, "POST", "/v1/jobs", with(func(j *api.Submit) { j.Tasks[0].Payload = `{"fail":true}` })},
		{result.Complete, "POST", "/v1/jobs", job(id, 1, 10)},
		{result.IdentityReused, "POST", "/v1/jobs", job(id, 2, 10)},
	} {
		a := s.do(e, surveyToken, c.method, c.path, c.body)
		if a.Code != c.code || a.Execution != c.code.Info().Execution || c.code != result.Complete && a.Message == "" {
			t.Errorf("%s %s %v: %v %q %q, want %v", c.method, c.path, c.body, a.Code, a.Execution, a.Message, c.code)
		}
	}
	is.True(strings.Contains(s.rawRequest(e, "NONSENSE\r\n\r\n"), `"name":"malformed_http"`))
	is.True(strings.Contains(s.rawRequest(e, "GET /v1/jobs HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 64<<10)+"\r\n\r\n"), `"name":"header_too_large"`))
	is.True(strings.Contains(s.rawRequest(e, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"), `"name":"body_too_large"`))
	s.identity(e, ferryToken)
	limited := s.do(e, ferryToken, "POST", "/v1/identities", api.IdentityRequest{Count: 1})
	is.Equal(limited.Code, result.RateLimited)
	is.True(limited.RetryAfterMS > 0)

	// All slots are taken, and the queue has room for one more job.
	long := job(s.identity(e, surveyToken), 150, 60_000)
	is.Equal(s.do(e, surveyToken, "POST", "/v1/jobs?wait_ms=0", long).Code, result.Running)
	s.waitFor("no slot is free", func() bool { return e.engine.Load().FreeSlots == 0 })
	waiting := job(s.identity(e, deskToken), 100, 10)
	is.Equal(s.do(e, deskToken, "POST", "/v1/jobs?wait_ms=0", waiting).Code, result.Running)
	is.Equal(s.do(e, surveyToken, "POST", "/v1/jobs", job(s.identity(e, surveyToken), 150, 10)).Code, result.QueueFull)
	is.Equal(s.do(e, deskToken, "DELETE", "/v1/jobs/"+waiting.Identity, nil).Code, result.CancelledNotRun)
	is.Equal(len(s.starts(waiting.Identity)), 0)

	// The outcome is kept after the outputs are dropped, and an unused identity expires.
	s.waitFor("the answer is dropped", func() bool {
		return s.do(e, surveyToken, "GET", "/v1/jobs/"+id, nil).Code == result.AnswerDropped
	})
	unused := s.identity(e, surveyToken)
	s.publishVersion(3, documentWithOperators("answer_retention: 1s, identity_validity: 1s"))
	s.waitFor("the identity has expired", func() bool {
		return s.do(e, surveyToken, "GET", "/v1/jobs/"+unused, nil).Code == result.IdentityExpired
	})
	is.Equal(s.do(e, surveyToken, "POST", "/v1/jobs", job(unused, 1, 10)).Code, result.IdentityExpired)
	is.Equal(len(s.starts(unused)), 0)

	e.Drain()
	is.Equal(s.do(e, surveyToken, "POST", "/v1/identities", api.IdentityRequest{Count: 1}).Code, result.Draining)
	is.Equal(s.do(e, surveyToken, "DELETE", "/v1/jobs/"+long.Identity, nil).Code, result.Cancelled)
}

// Guards against an answer of "not run" for a submission whose home is stopped or was replaced by a new incarnation.
func TestCodesOfAnAbsentHome(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	home, near := s.start("blackstone", "b1"), s.start("blackstone", "b2")
	s.waitFor("one of them owns workers", func() bool { return len(home.notReady()) == 0 || len(near.notReady()) == 0 })
	if len(home.notReady()) > 0 {
		home, near = near, home
	}
	s.waitFor("members know each other", func() bool { return len(near.members.View().Live()) == 1 })
	id := s.identity(home, surveyToken)
	s.stops[home.opts.Name]()
	<-s.done[home.opts.Name]
	a := s.do(near, surveyToken, "POST", "/v1/jobs", job(id, 1, 10))
	is.Equal(a.Code, result.HomeUnreachable)
	is.Equal(a.Execution, result.MayHaveRun)
	s.start("blackstone", home.opts.Name)
	s.waitFor("the home is known to be lost", func() bool {
		return s.do(near, surveyToken, "POST", "/v1/jobs", job(id, 1, 10)).Code == result.HomeLost
	})
	is.Equal(len(s.starts(id)), 0)

	alone := s.start("middlesex", "m1") // its zone has no workers
	s.waitFor("it has the configuration", func() bool { return alone.config.Version() == 1 })
	is.Equal(s.do(alone, surveyToken, "POST", "/v1/identities", api.IdentityRequest{Count: 1}).Code, result.NotReady)
}

// Guards against limits of teams and callers that are configured and have no effect.
func TestHardLimitAndConnectionsOfACaller(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	e := s.start("blackstone", "b1")
	limited := strings.Replace(document, "{name: desk,", "{name: desk, hard_limit: {cores: 2},", 1)
	s.publishVersion(2, limited+"limits: {connections_per_caller: 1}\n")
	s.ready(e)
	large := job(s.identity(e, deskToken), 2, 10)
	large.Tasks[1].Cores = 3
	a := s.do(e, deskToken, "POST", "/v1/jobs", large)
	is.Equal(a.Code, result.QuotaExceeded)
	is.True(strings.Contains(a.Message, "task 1"))
	// The refusal has released the identity.
	is.Equal(s.do(e, deskToken, "POST", "/v1/jobs", job(large.Identity, 1, 10)).Code, result.Complete)
	http.DefaultClient.CloseIdleConnections()
	s.waitFor("the connections are closed", func() bool { return e.server.Connections() == 0 })
	held, err := net.Dial("tcp", e.server.Address())
	is.NoErr(err)
	defer held.Close()
	ask := "POST /v1/identities HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + deskToken + "\r\nContent-Length: 11\r\n\r\n{\"count\":1}"
	_, err = held.Write([]byte(ask))
	is.NoErr(err)
	_, err = held.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(strings.Contains(s.rawRequest(e, ask), `"name":"too_many_connections"`))
	s.identity(e, surveyToken) // another caller is not affected
	held.Close()
	s.waitFor("the connection is released", func() bool { return !strings.Contains(s.rawRequest(e, ask), "too_many_connections") })
}
