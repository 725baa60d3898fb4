package ctl

import (
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against commands that omit instances from their output without a note and an exit code, and from the usage of a team.
func TestViewsCoverAllInstances(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	c.useRole(secure.RoleViewer)
	for _, args := range [][]string{{"status"}, {"workers"}, {"top", "--once"}} {
		out, _ := c.run(ExitOK, "", args...)
		c.contains(out, "e1", "e2")
	}
	out, _ := c.run(ExitOK, "", "teams", "-o", "json")
	c.contains(out, `"queued": 4`, `"cores": 15`) // each instance reports the tasks and the usage of its own jobs
	out, _ = c.run(ExitOK, "", "top", "--once", "-o", "json")
	c.contains(out, `"starts": 42`, `"cores": 15`)
	out, _ = c.run(ExitOK, "", "workers", "--state", "suspect")
	c.is.True(!strings.Contains(out, "w-e1"))
	c.nodes = append(c.nodes, &node{name: "e3", address: closedAddress(t)})
	out, notes := c.run(ExitPartial, "", "status")
	c.contains(out, "e3")
	c.contains(notes, "no answer from e3", "incomplete")
	out, _ = c.run(ExitPartial, "", "-e", closedAddress(t), "-e", c.nodes[0].address, "workers")
	c.contains(out, "w-e2") // found through the second endpoint
}

// Guards against wrong exit codes, on which scripts rely, for common mistakes: wrong arguments, files, addresses and
// tokens.
func TestCommonMistakes(t *testing.T) {
	c := newCluster(t, "e1")
	c.run(ExitUnreachable, "", "-e", closedAddress(t), "status")
	c.run(ExitUsage, "", "workers", "--state", "lost")
	c.run(ExitUsage, "", "status", "extra")
	c.run(ExitUsage, "", "config", "publish", "no-such-file")
	c.run(ExitUsage, "", "config", "publish", c.file("  \n"))
	c.run(ExitUsage, "", "config", "history", "--max", "0")
	c.run(ExitUsage, "", "jobs", "show", "17")
	c.run(ExitUsage, "", "jobs", "cancel")
	c.run(ExitUsage, "", "drain", "--instance", "e9", "--yes")
	c.run(ExitUsage, "", "top", "--interval", "1ms")
	c.run(ExitUsage, "", "submit", c.file("{}")) // no address
	c.run(ExitUsage, "", "--cert", "x", "status")
	_, notes := c.run(ExitFailed, "", "dump", "nothing")
	c.contains(notes, "no_such_object", "engine")
	out, _ := c.run(ExitOK, "", "config", "publish", "--help")
	c.contains(out, "Examples:")
	out, _ = c.run(ExitOK, "", "completion")
	c.contains(out, "complete -o default -F _savoryctl savoryctl")
	t.Setenv("SAVORY_TOKEN", "")
	c.run(ExitUsage, "", "status")
	c.run(ExitUsage, "", "--token-file", c.file("two words"), "status")
	c.run(ExitOK, "", "--token-file", c.file(c.token[secure.RoleViewer]+"\n"), "status")
	t.Setenv("SAVORY_TOKEN", "stranger")
	c.run(ExitRefused, "", "status")
	t.Setenv("SAVORY_ENDPOINTS", "")
	c.run(ExitUsage, "", "status")
}

// Guards against wrong outputs and exit codes of the config commands, and against a publication without confirmation,
// without the operator role, with a wrong --replaces, or that does not report where the version is not in force.
func TestConfigCommands(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	file := c.file("schema: 1\nteams: [counter]\n")
	out, _ := c.run(ExitOK, "", "config", "get")
	c.is.Equal(out, "schema: 1\nteams: []\n")
	out, _ = c.run(ExitOK, "", "config", "diff", file)
	c.contains(out, "-teams: []", "+teams: [counter]")
	c.run(ExitFailed, "", "config", "diff", "--exit-code", file)
	c.run(ExitOK, "", "config", "validate", file)
	_, notes := c.run(ExitFailed, "", "config", "validate", c.file("tasks: 161"))
	c.contains(notes, "limits.tasks", "1 to 160")
	c.run(ExitRefused, "", "config", "publish", "--yes", c.file("tasks: 161"))
	c.run(ExitFailed, "n\n", "config", "publish", file)
	c.run(ExitUsage, "", "config", "publish", file) // no confirmation can be read
	c.run(ExitConflict, "", "config", "publish", "--yes", "--replaces", "7", file)
	c.is.Equal(len(c.log), 1) // nothing has been published so far
	out, notes = c.run(ExitOK, "y\n", "config", "publish", file)
	c.contains(notes, "+teams: [counter]", "successor of version 1", "in force on 2 of 2")
	c.contains(out, "e1 e2")
	out, _ = c.run(ExitOK, "", "config", "history", "-o", "json")
	c.contains(out, `"version": 2`, `"author": "vito"`)
	_, notes = c.run(ExitOK, "", "config", "publish", "--yes", file)
	c.contains(notes, "nothing to publish")
	c.nodes[1].maxVersion = 2
	_, notes = c.run(ExitPartial, "", "config", "publish", "--yes", c.file("schema: 1\n"))
	c.contains(notes, "in force on 1 of 2 instances, waiting for e2", "not in force on e2")
	c.useRole(secure.RoleViewer)
	c.run(ExitRefused, "", "config", "publish", "--yes", file)
}

// Guards against a restoration where publishing is possible, without confirmation, or without the operator role, and
// against one that does not wait until the version is in force.
func TestRestoreCommand(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	file := c.file("schema: 1\nteams: [counter]\n")
	_, notes := c.run(ExitRefused, "", "config", "restore", "--yes", file)
	c.contains(notes, "restore_not_needed", "publish instead")
	c.run(ExitRefused, "", "config", "restore", "--yes", c.file("tasks: 161"))
	c.nodes[0].publishErr = ops.ErrUnavailable // the first instance is missing records of the log
	_, notes = c.run(ExitFailed, "n\n", "config", "restore", file)
	c.contains(notes, "lost records")
	c.is.Equal(len(c.log), 1)
	_, notes = c.run(ExitOK, "y\n", "config", "restore", file)
	c.contains(notes, "restored as version 2", "in force on 2 of 2")
	c.useRole(secure.RoleViewer)
	c.run(ExitRefused, "", "config", "restore", "--yes", file)
}

// Guards against a wrong report on a publication whose answer was lost. It must be found out whether the publication
// took effect or another one did, and reported as unknown if neither is in the history.
func TestLostAnswerOfAPublication(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	address := c.breakingProxy(c.nodes[0].address, http.MethodPut, opsapi.PathConfig, 1)
	_, notes := c.run(ExitOK, "", "-e", address, "config", "publish", "--yes", c.file("schema: 1 # a\n"))
	c.contains(notes, "the answer was lost", "published as version 2")
	c.nodes[0].publishErr = ops.ErrUnresolved
	c.run(ExitOK, "", "config", "publish", "--yes", c.file("schema: 1 # b\n"))
	c.is.Equal(c.log[0].Version, int64(3)) // each document was published once

	r := publishReport{Replaces: 2, Nonce: "mine"}
	cmd := configPublishCommand{app: &app{Env: Env{Err: &strings.Builder{}, Now: func() time.Time { return c.now }}}}
	cmd.app.Sleep = func(d time.Duration) { c.now = c.now.Add(d) }
	cmd.app.settings = settings{Endpoints: []string{c.nodes[0].address}, Timeout: time.Minute}
	cmd.app.client = newClient(secure.Secret(c.token[secure.RoleViewer]), nil, time.Minute)
	_, err := cmd.resolveOutcome(&r)
	c.is.Equal(exitCode(err), ExitConflict) // version 3 has another nonce
	r.Replaces = 3
	_, err = cmd.resolveOutcome(&r)
	c.is.Equal(exitCode(err), ExitFailed)
	c.contains(err.Error(), "unknown whether")
	c.run(ExitUnreachable, "", "-e", closedAddress(t), "config", "publish", "--yes", c.file("schema: 2\n"))
}

// Guards against a request for a job that is sent to another instance than the job's home, and against a wrong report
// when the home is unknown or was replaced by another incarnation.
func TestJobRequestsGoToTheirHome(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	issue := func(instance string, incarnation uint64) string {
		home := identity.Home{Zone: "salt-store", Instance: instance, Incarnation: incarnation}
		return identity.NewIssuer(home, time.Minute, func() time.Duration { return 0 }).Issue("counter")
	}
	id := issue("e2", 2)
	c.nodes[1].jobs[id] = opsapi.Job{Identity: id, Team: "counter", Name: "running"}
	out, _ := c.run(ExitOK, "", "jobs", "show", id)
	c.contains(out, "running", "counter")
	address := c.breakingProxy(c.nodes[1].address, http.MethodDelete, opsapi.PathJobs+"/"+id, 1)
	c.nodes[1].address = address
	c.run(ExitOK, "", "jobs", "cancel", "-o", "json", id) // the answer is lost, so the request is sent again
	c.run(ExitFailed, "", "jobs", "show", issue("e2", 2))
	_, notes := c.run(ExitFailed, "", "jobs", "show", issue("e2", 1))
	c.contains(notes, "was replaced")
	c.run(ExitFailed, "", "jobs", "show", issue("e7", 1))
	c.useRole(secure.RoleViewer)
	c.run(ExitRefused, "", "jobs", "cancel", id)
}

// Guards against secrets in dumps, and against draining an instance that the operator did not name or did not confirm.
func TestDumpAndDrain(t *testing.T) {
	c := newCluster(t, "e1", "e2")
	out, _ := c.run(ExitOK, "", "dump", "--instance", "e2")
	c.contains(out, "engine.jobs[1]", "[redacted]")
	out, _ = c.run(ExitOK, "", "-o", "json", "dump", "engine")
	c.is.True(json.Valid([]byte(out)) && !strings.Contains(out, "hidden"))
	c.run(ExitUsage, "", "-e", c.nodes[0].address, "-e", c.nodes[1].address, "drain", "--yes")
	c.run(ExitFailed, "no\n", "drain", "--instance", "e2")
	c.is.True(!c.nodes[1].draining)
	_, notes := c.run(ExitOK, "yes\n", "drain", "--instance", "e2")
	c.contains(notes, "Stop e2 in salt-store")
	c.is.True(c.nodes[1].draining && !c.nodes[0].draining)
}

// Guards against sending the token over TLS to a server whose certificate is not trusted.
func TestEndpointsWithTLS(t *testing.T) {
	c := newCluster(t, "e1")
	served := 0
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served++
		json.NewEncoder(w).Encode(opsapi.Config{Version: 9})
	}))
	defer s.Close()
	ca := c.file(string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})))
	c.run(ExitUnreachable, "", "-e", s.URL, "config", "get")
	c.is.Equal(served, 0)
	_, notes := c.run(ExitOK, "", "-e", s.URL, "--ca", ca, "config", "get")
	c.contains(notes, "version 9")
}

// fakeCallers is a fake of the callers' interface. It counts the submissions of each identity and gives the answers in
// order, the last one repeatedly.
type fakeCallers struct {
	starts  map[string]int
	answers []*api.Answer
}

func (f *fakeCallers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathIdentities {
		json.NewEncoder(w).Encode(api.Identities{Identities: []string{fmt.Sprint("id", len(f.starts))}})
		return
	}
	var job api.Submit
	json.NewDecoder(r.Body).Decode(&job)
	f.starts[job.Identity]++
	a := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	w.WriteHeader(a.Code.Info().HTTPStatus)
	json.NewEncoder(w).Encode(a)
}

// Guards against a submission that is repeated under another identity after a lost connection, or whose failure does
// not show in the exit code.
func TestSubmit(t *testing.T) {
	c := newCluster(t, "e1")
	f := &fakeCallers{starts: map[string]int{}}
	s := httptest.NewServer(f)
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	job := c.file(`{"service":"quote","tasks":[{"payload":"a"}]}`)
	complete := api.NewAnswer(result.Complete, "")
	complete.Outputs = []string{"12 JOD\x1b"}

	t.Setenv("SAVORY_CALLERS", c.breakingProxy(address, http.MethodPost, pathSubmit, 2))
	f.answers = []*api.Answer{complete}
	out, notes := c.run(ExitOK, "", "submit", job)
	c.contains(out, `"12 JOD\x1b"`) // control characters are quoted
	c.contains(notes, "identity id0", "connection broke")
	c.is.Equal(f.starts, map[string]int{"id0": 3}) // two lost connections, one identity

	t.Setenv("SAVORY_CALLERS", address)
	f.answers = []*api.Answer{api.NewAnswer(result.HomeUnreachable, ""), api.NewAnswer(result.Running, ""), complete}
	c.run(ExitOK, "", "submit", "--identity", "mine", "-o", "json", job)
	c.is.Equal(f.starts["mine"], 3)
	f.answers = []*api.Answer{api.NewAnswer(result.QueueFull, ""), complete}
	_, notes = c.run(ExitRefused, "", "submit", job)
	c.contains(notes, "queue_full (not run)", "advice:")
	f.answers = []*api.Answer{api.NewAnswer(result.QueueFull, ""), complete}
	c.run(ExitOK, "", "submit", "--retry", job)
	f.answers = []*api.Answer{api.NewAnswer(result.WorkerLost, "w7")}
	out, notes = c.run(ExitFailed, "", "submit", job)
	c.contains(notes, "worker_lost (may have run): w7")
	c.is.Equal(out, "")
	f.answers = []*api.Answer{api.NewAnswer(result.Running, "")}
	_, notes = c.run(ExitFailed, "", "submit", "--wait", "3s", job)
	c.contains(notes, "the job may have run", "submit --identity")
	c.run(ExitUsage, "", "submit", c.file(`{"service":"quote","tasks":[]}`))
	c.run(ExitUsage, "", "submit", c.file(`{"servcie":"quote"}`))
	c.run(ExitUnreachable, "", "submit", "--to", closedAddress(t), job)
}
