package ops

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

// backends implements all backends with fixed answers and records the publications.
type backends struct {
	published  []Publication
	publishErr error // error that Publish and Restore return
	draining   bool
	active     []opsapi.Fault
}

func (p *backends) Current() (opsapi.Config, error) {
	return opsapi.Config{Version: 7, Document: "schema: 1\n"}, nil
}
func (p *backends) History(context.Context, int) ([]opsapi.Config, error) {
	return []opsapi.Config{{Version: 7}}, nil
}
func (p *backends) Validate(doc []byte) []opsapi.Problem {
	if bytes.HasPrefix(doc, []byte("schema:")) {
		return nil
	}
	return []opsapi.Problem{{Path: "teams[0].tokens[0]", Value: string(doc), Message: "must be a digest"}}
}
func (p *backends) Publish(_ context.Context, pub Publication) (int64, error) {
	p.published = append(p.published, pub)
	return 8, p.publishErr
}
func (p *backends) Restore(_ context.Context, author string, doc []byte) (int64, error) {
	p.published = append(p.published, Publication{Author: author, Document: doc})
	return 9, p.publishErr
}
func (p *backends) Load(context.Context) (opsapi.Load, error)        { return opsapi.Load{Queued: 5}, nil }
func (p *backends) Workers(context.Context) ([]opsapi.Worker, error) { panic("broken part") }
func (p *backends) Teams(context.Context) ([]opsapi.Team, error) {
	return nil, errors.New("internal detail")
}
func (p *backends) Job(_ context.Context, id string) (opsapi.Job, error) {
	if id != "known" {
		return opsapi.Job{}, fmt.Errorf("engine: %w", ErrNotFound)
	}
	return opsapi.Job{Identity: id}, nil
}
func (p *backends) Cancel(ctx context.Context, id string) (opsapi.Job, error) { return p.Job(ctx, id) }
func (p *backends) Members() []opsapi.Member                                  { return []opsapi.Member{{Instance: "e1", Self: true}} }
func (p *backends) Drain() opsapi.Drain                                       { p.draining = true; return opsapi.Drain{Draining: true} }
func (p *backends) Draining() bool                                            { return p.draining }
func (p *backends) Active() []opsapi.Fault                                    { return p.active }
func (p *backends) Inject(f opsapi.Fault) error                               { p.active = append(p.active, f); return nil }
func (p *backends) Clear()                                                    { p.active = nil }

// testServer is a Server with fake backends behind an in-memory listener, and a client of it.
type testServer struct {
	t        *testing.T
	is       *is.I
	client   http.Client
	backends backends
	log      bytes.Buffer
	dumps    Dumps
	tokens   map[string]string // tokens by the name of their role

	reasons []string // why the instance is not ready
}

func newTestServer(t *testing.T, faults bool) *testServer {
	d := &testServer{t: t, is: is.New(t), tokens: map[string]string{}}
	entry := func(name string, p secure.Principal) []secure.Entry {
		token := secure.NewToken().Reveal()
		d.tokens[name] = token
		return []secure.Entry{{Digest: secure.DigestOf([]byte(token)), Principal: p}}
	}
	var tokens secure.Tokens
	staff := entry("operator", secure.Principal{Name: "ines", Role: secure.RoleOperator})
	staff = append(staff, entry("viewer", secure.Principal{Name: "vito", Role: secure.RoleViewer})...)
	d.is.NoErr(tokens.SetStaffTokens(staff))
	d.is.NoErr(tokens.SetCallerTokens(entry("caller", secure.Principal{Role: secure.RoleCaller, Team: "survey"})))
	log := logrus.New()
	log.SetOutput(&d.log)
	log.AddHook(secure.LogHook{})
	ready := func() []string { return d.reasons }
	o := Options{NotReadyReasons: ready, Instance: "e1", Tokens: &tokens, Config: &d.backends, Engine: &d.backends, Members: &d.backends,
		Drainer: &d.backends, Dumps: &d.dumps, Vars: metric.New(), Log: log}
	if faults {
		o.Faults = &d.backends
	}
	s, l := New(o), fasthttputil.NewInmemoryListener()
	go s.Serve(l)
	t.Cleanup(func() { s.Shutdown(context.Background()) })
	d.client.Transport = &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return l.Dial() },
	}
	return d
}

// do sends a request with the token of a role, or without a token if role is empty. A role that is not in d.tokens stands
// for an unknown token. It returns the answer's status and body.
func (d *testServer) do(role, method, path, body string) (int, string) {
	d.t.Helper()
	req, _ := http.NewRequest(method, "http://ops"+path, strings.NewReader(body))
	if role != "" {
		req.Header.Set("Authorization", "Bearer "+d.tokens[role])
	}
	resp, err := d.client.Do(req)
	d.is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	d.is.NoErr(err)
	return resp.StatusCode, string(text)
}

// expectError checks that a request is answered with an error of the code and the code's HTTP status.
func (d *testServer) expectError(code result.Code, role, method, path, body string) opsapi.Error {
	d.t.Helper()
	status, text := d.do(role, method, path, body)
	var e opsapi.Error
	d.is.NoErr(json.Unmarshal([]byte(text), &e))
	if e.Code != code || status != code.Info().HTTPStatus {
		d.t.Fatalf("%s %s as %q: status %d, %s; want %v", method, path, role, status, text, code)
	}
	return e
}

// Guards against an operation that accepts a request without a token, with an unknown token, with a caller's token,
// with a viewer's token for a change, or with a body that is too large.
func TestEveryRouteChecksTheRole(t *testing.T) {
	d := newTestServer(t, true)
	for _, r := range routes {
		path := r.path
		if strings.HasSuffix(path, "/") {
			path += "known"
		}
		if r.role == secure.RoleNone {
			status, _ := d.do("", r.method, path, "")
			d.is.Equal(status, http.StatusOK)
			continue
		}
		d.expectError(result.Unauthenticated, "", r.method, path, "")
		d.expectError(result.Unauthenticated, "stranger", r.method, path, "")
		d.expectError(result.Forbidden, "caller", r.method, path, "")
		if r.role == secure.RoleOperator {
			d.expectError(result.Forbidden, "viewer", r.method, path, "")
		}
		d.expectError(result.BodyTooLarge, "operator", r.method, path, strings.Repeat("x", r.maxBody+1))
	}
	d.is.Equal(len(d.backends.published), 0)
	d.is.True(!d.backends.draining)
}

// Guards against a publication without the version that it replaces, or of an invalid document, and against an error of
// the controller that gets the wrong code: a time-out must be reported as an unknown outcome.
func TestPublish(t *testing.T) {
	d := newTestServer(t, false)
	status, text := d.do("operator", "PUT", "/v1/config?replaces=7&nonce=n1", "schema: 1\n")
	d.is.Equal(status, http.StatusOK)
	d.is.Equal(text, `{"version":8,"nonce":"n1"}`)
	got := d.backends.published[0]
	d.is.Equal(fmt.Sprint(string(got.Document), got.Replaces, got.Nonce, got.Author), "schema: 1\n7n1ines")
	d.expectError(result.OutOfRange, "operator", "PUT", "/v1/config", "schema: 1\n")
	d.expectError(result.OutOfRange, "operator", "PUT", "/v1/config?replaces=x", "schema: 1\n")
	bad := d.expectError(result.ConfigInvalid, "operator", "PUT", "/v1/config?replaces=7", d.tokens["caller"])
	d.is.Equal(bad.Problems[0].Path, "teams[0].tokens[0]")
	d.is.Equal(bad.Problems[0].Value, secure.Redacted)
	d.expectError(result.ConfigInvalid, "viewer", "POST", "/v1/config/validate", "x")
	d.is.Equal(len(d.backends.published), 1)
	for publishErr, code := range map[error]result.Code{
		ErrConflict: result.ConfigConflict, ErrUnresolved: result.ConfigUnresolved,
		ErrUnavailable: result.ConfigUnavailable, context.DeadlineExceeded: result.ConfigUnresolved,
	} {
		d.backends.publishErr = publishErr
		d.expectError(code, "operator", "PUT", "/v1/config?replaces=6", "schema: 1\n")
	}
	d.backends.publishErr = fmt.Errorf("%w: the log cannot be read", ErrUnavailable)
	e := d.expectError(result.ConfigUnavailable, "operator", "PUT", "/v1/config?replaces=6", "schema: 1\n")
	d.is.Equal(e.Message, "the log cannot be read") // an operator sees the reason
}

// Guards against a restoration of an invalid document, and against one that does not report that the instance misses no
// record, so that the document can be published instead.
func TestRestore(t *testing.T) {
	d := newTestServer(t, false)
	d.expectError(result.ConfigInvalid, "operator", "POST", "/v1/config/restore", "x")
	d.is.Equal(len(d.backends.published), 0)
	status, text := d.do("operator", "POST", "/v1/config/restore", "schema: 1\n")
	d.is.Equal(fmt.Sprintf("%d %s", status, text), `200 {"version":9}`)
	d.is.Equal(d.backends.published[0].Author, "ines")
	d.backends.publishErr = ErrRestoreNotNeeded
	d.expectError(result.RestoreNotNeeded, "operator", "POST", "/v1/config/restore", "schema: 1\n")
}

// Guards against a backend whose panic ends the process or whose error text is shown, and against wrong codes for
// unknown objects, paths and fields, wrong methods and values out of range.
func TestFailingBackendsAndInvalidRequests(t *testing.T) {
	d := newTestServer(t, false)
	d.expectError(result.Internal, "viewer", "GET", "/v1/workers", "")
	e := d.expectError(result.Internal, "viewer", "GET", "/v1/teams", "")
	d.is.True(!strings.Contains(e.Message, "detail"))
	d.expectError(result.NoSuchObject, "viewer", "GET", "/v1/jobs/other", "")
	d.expectError(result.IdentityMalformed, "viewer", "GET", "/v1/jobs/"+strings.Repeat("x", 300), "")
	d.expectError(result.UnknownPath, "viewer", "GET", "/v2", "")
	d.expectError(result.MethodNotAllowed, "viewer", "POST", "/v1/status", "")
	d.expectError(result.UnknownPath, "operator", "POST", "/v1/faults", `{"name":"pause"}`) // disabled
	d.expectError(result.OutOfRange, "operator", "PUT", "/v1/loglevel", `{"level":"panic"}`)
	d.expectError(result.MalformedBody, "operator", "PUT", "/v1/loglevel", `{"levle":"debug"}`)
	status, text := d.do("operator", "PUT", "/v1/loglevel", `{"level":"debug"}`)
	d.is.Equal(fmt.Sprintf("%d %s", status, text), `200 {"level":"debug"}`)
	d.is.True(strings.Contains(d.log.String(), "event=ops_change"))
}

// Guards against an instance that is draining and still reports that it is ready, or does not show it in its status.
func TestDrainIsVisible(t *testing.T) {
	d := newTestServer(t, false)
	status, _ := d.do("operator", "POST", "/v1/drain", "")
	d.is.Equal(status, http.StatusOK)
	d.reasons = []string{"no log for Bearer hidden4hidden4"}
	status, text := d.do("", "GET", "/readyz", "")
	d.is.Equal(fmt.Sprintf("%d %s", status, text), `503 {"ready":false,"reasons":["no log for [redacted]","draining"]}`)
	var st opsapi.Status
	_, text = d.do("viewer", "GET", "/v1/status", "")
	d.is.NoErr(json.Unmarshal([]byte(text), &st))
	d.is.True(st.Draining && !st.Ready && st.Queued == 5 && st.ConfigVersion == 7 && len(st.Members) == 1)
}

// Guards against secrets in dumps, metrics and logs, and against a dumper that panics and thereby hides the others.
func TestDumpsAreRedactedAndIndependent(t *testing.T) {
	d := newTestServer(t, false)
	d.dumps.Register("engine", DumpFunc(func() any { return map[string]any{"token": "hidden1", "note": "Bearer hidden2hidden2"} }))
	d.dumps.Register("broken", DumpFunc(func() any { panic("at " + d.tokens["caller"]) }))
	d.dumps.Register("typed", DumpFunc(func() any { return struct{ Key secure.Secret }{"hidden3"} }))
	_, all := d.do("viewer", "GET", "/v1/dump", "")
	_, one := d.do("viewer", "GET", "/v1/dump/engine", "")
	_, vars := d.do("viewer", "GET", "/debug/vars", "")
	d.expectError(result.NoSuchObject, "viewer", "GET", "/v1/dump/none", "")
	var lines bytes.Buffer
	d.dumps.WriteTo(&lines)
	d.is.True(strings.Contains(all, `"broken":{"problem":"dumper panicked`) && strings.Contains(all, `"engine":{"note"`))
	d.is.True(strings.Contains(vars, `"wasted_messages"`) && !strings.Contains(vars, "cmdline"))
	d.is.Equal(strings.Count(lines.String(), "dump="), 3)
	shown := all + one + vars + lines.String() + d.log.String()
	for _, secret := range []string{"hidden1", "hidden2", "hidden3", d.tokens["caller"], d.tokens["viewer"]} {
		d.is.True(!strings.Contains(shown, secret))
	}
}

// Guards against a dump that is never answered because one dumper hangs.
func TestHangingDumperIsLeftOut(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	var dumps Dumps
	dumps.timeout = time.Millisecond
	dumps.Register("stuck", DumpFunc(func() any { <-release; return nil }))
	text, ok := dumps.One("stuck")
	is.True(ok)
	is.True(strings.Contains(string(text), "no answer within"))
}
