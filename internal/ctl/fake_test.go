package ctl

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/secure"
)

// cluster is a set of entry instances with real operators' listeners, fake backends and a common fake log.
type cluster struct {
	t     *testing.T
	is    *is.I
	mu    sync.Mutex
	log   []opsapi.Config // published versions, newest first
	nodes []*node
	token map[secure.Role]string // tokens by role
	now   time.Time              // the clock of savoryctl
}

// node is one instance. It implements the backends of its listener.
type node struct {
	*cluster
	name       string
	address    string
	maxVersion int64 // newest configuration version that comes into force on this instance; 0 means no limit
	publishErr error // error that Publish returns although the publication has taken effect; Restore is refused while it is nil
	draining   bool
	cores      float64 // of the running tasks of its jobs
	jobs       map[string]opsapi.Job
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, is: is.New(t), token: map[secure.Role]string{}, now: time.Unix(1000, 0)}
	c.log = []opsapi.Config{{Version: 1, Nonce: "n1", Author: "ines", Document: "schema: 1\nteams: []\n"}}
	var staff []secure.Entry
	for _, role := range []secure.Role{secure.RoleViewer, secure.RoleOperator} {
		token := secure.NewToken().Reveal()
		c.token[role] = token
		staff = append(staff, secure.Entry{Digest: secure.DigestOf([]byte(token)), Principal: secure.Principal{Name: "vito", Role: role}})
	}
	var tokens secure.Tokens
	c.is.NoErr(tokens.SetStaffTokens(staff))
	for i, name := range names {
		c.serve(&node{cluster: c, name: name, cores: float64(5 * (i + 1)), jobs: map[string]opsapi.Job{}}, uint64(i+1), &tokens)
	}
	c.useRole(secure.RoleOperator)
	t.Setenv("SAVORY_ENDPOINTS", c.nodes[0].address)
	return c
}

// serve starts the operators' listener of a node.
func (c *cluster) serve(n *node, incarnation uint64, tokens *secure.Tokens) {
	log, vars := logrus.New(), metric.New()
	log.SetOutput(io.Discard)
	vars.Starts.Add(42)
	var dumps ops.Dumps
	dumps.Register("engine", ops.DumpFunc(func() any { return map[string]any{"jobs": []int{3, 4}, "token": "hidden"} }))
	s := ops.New(ops.Options{Zone: "salt-store", Instance: n.name, Incarnation: incarnation, Tokens: tokens,
		Config: n, Engine: n, Members: n, Drainer: n, Dumps: &dumps, Vars: vars, Log: log})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.is.NoErr(err)
	go s.Serve(l)
	c.t.Cleanup(func() { s.Shutdown(context.Background()) })
	n.address = l.Addr().String()
	c.nodes = append(c.nodes, n)
}

func (n *node) Current() (opsapi.Config, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.log {
		if n.maxVersion == 0 || v.Version <= n.maxVersion {
			return v, nil
		}
	}
	return opsapi.Config{}, ops.ErrUnavailable
}
func (n *node) History(context.Context, int) ([]opsapi.Config, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.log), nil
}
func (n *node) Validate(doc []byte) []opsapi.Problem {
	if strings.Contains(string(doc), "tasks: 161") {
		return []opsapi.Problem{{Path: "limits.tasks", Value: "161", Bound: "1 to 160", Message: "out of range"}}
	}
	return nil
}
func (n *node) Publish(_ context.Context, p ops.Publication) (int64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Replaces != n.log[0].Version {
		return 0, ops.ErrConflict
	}
	next := opsapi.Config{Version: p.Replaces + 1, Nonce: p.Nonce, Author: p.Author, Document: string(p.Document)}
	n.log = append([]opsapi.Config{next}, n.log...)
	return next.Version, n.publishErr
}
func (n *node) Restore(_ context.Context, author string, doc []byte) (int64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publishErr == nil {
		return 0, ops.ErrRestoreNotNeeded
	}
	n.publishErr = nil
	next := opsapi.Config{Version: n.log[0].Version + 1, Author: author, Document: string(doc)}
	n.log = append([]opsapi.Config{next}, n.log...)
	return next.Version, nil
}
func (n *node) Load(context.Context) (opsapi.Load, error) {
	return opsapi.Load{Workers: opsapi.WorkerCounts{Owned: 1, Slots: 8}}, nil
}
func (n *node) Workers(context.Context) ([]opsapi.Worker, error) {
	return []opsapi.Worker{{Name: "w-" + n.name, Owner: n.name, State: opsapi.WorkerReady}}, nil
}
func (n *node) Teams(context.Context) ([]opsapi.Team, error) {
	return []opsapi.Team{{Name: "counter", Queued: 2, Usage: opsapi.Usage{Cores: n.cores}}}, nil
}
func (n *node) Job(_ context.Context, id string) (opsapi.Job, error) {
	if job, ok := n.jobs[id]; ok {
		return job, nil
	}
	return opsapi.Job{}, ops.ErrNotFound
}
func (n *node) Cancel(ctx context.Context, id string) (opsapi.Job, error) { return n.Job(ctx, id) }
func (n *node) Members() []opsapi.Member {
	var list []opsapi.Member
	for i, m := range n.nodes {
		list = append(list, opsapi.Member{Zone: "salt-store", Instance: m.name, Incarnation: uint64(i + 1),
			State: opsapi.MemberLive, Operators: m.address})
	}
	return list
}
func (n *node) Drain() opsapi.Drain { n.draining = true; return opsapi.Drain{Draining: true} }
func (n *node) Draining() bool      { return n.draining }

// useRole makes the following commands use the token of a role.
func (c *cluster) useRole(role secure.Role) { c.t.Setenv("SAVORY_TOKEN", c.token[role]) }

// file writes a temporary file and returns its path.
func (c *cluster) file(text string) string {
	path := filepath.Join(c.t.TempDir(), "file")
	c.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command with a clock that only Sleep advances. It checks the exit code, and that the output holds no
// token. It returns standard output and standard error.
func (c *cluster) run(exit int, input string, args ...string) (out, notes string) {
	c.t.Helper()
	var o, e bytes.Buffer
	env := Env{In: strings.NewReader(input), Out: &o, Err: &e}
	env.Now = func() time.Time { return c.now }
	env.Sleep = func(d time.Duration) { c.now = c.now.Add(d) }
	if got := Run(args, env); got != exit {
		c.t.Fatalf("savoryctl %q: exit code %d, want %d\n%s%s", args, got, exit, o.String(), e.String())
	}
	for _, token := range c.token {
		c.is.True(!strings.Contains(o.String()+e.String(), token))
	}
	return o.String(), e.String()
}

// contains checks that a text contains all parts.
func (c *cluster) contains(text string, parts ...string) {
	c.t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			c.t.Fatalf("%q is missing in:\n%s", part, text)
		}
	}
}

// breakingProxy starts a proxy to an address and returns the proxy's address. The proxy forwards every request, but closes
// the connection instead of answering the first requests with the given method and path; times is their number.
func (c *cluster) breakingProxy(address, method, path string, times int) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", address
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		c.mu.Lock()
		broken := times > 0 && r.Method == method && r.URL.Path == path
		if broken {
			times--
		}
		c.mu.Unlock()
		if broken {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	}))
	c.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
