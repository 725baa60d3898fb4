package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// clients hold connections of callers and of the test's own commands.
type clients struct {
	callers *http.Client
	control *http.Client
}

const (
	controlTimeout = 10 * time.Second
	publishTimeout = 30 * time.Second
	// callerMargin is how much longer than the wait that it asks for a caller waits for an answer.
	callerMargin = 15 * time.Second
)

func newClients() *clients {
	return &clients{
		callers: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		control: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (c *clients) close() { c.callers.CloseIdleConnections() }

// call sends one request and decodes the JSON answer, whatever its status.
func call(c *http.Client, limit time.Duration, token, method, url string, body []byte, into any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	// Without GetBody the transport does not repeat a request on its own.
	req.GetBody = nil
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return resp.StatusCode, fmt.Errorf("%s %s: status %d: %w: %.200q", method, url, resp.StatusCode, err, data)
	}
	return resp.StatusCode, nil
}

// Fault replaces the faults of a stand-in.
func (s *System) Fault(p *Program, fault any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	s.History.Note("fault at %s: %s", p.Name, body)
	var ignored any
	status, err := call(s.clients.control, controlTimeout, "", "POST", "http://"+p.Control+"/fault", body, &ignored)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("fault at %s: status %d", p.Name, status)
	}
	return err
}

func (s *System) readStarts(w *Program) (st worker.Starts, err error) {
	_, err = call(s.clients.control, controlTimeout, "", "GET", "http://"+w.Control+"/starts", nil, &st)
	return st, err
}

func (s *System) readStatus(w *Program) (st platform.EndpointStatus, err error) {
	_, err = call(s.clients.control, controlTimeout, "", "GET", "http://"+w.Control+"/status", nil, &st)
	return st, err
}

// listed returns the names that readers of the instance list see.
func (s *System) listed() ([]string, error) {
	var d instances.Dump
	_, err := call(s.clients.control, controlTimeout, "", "GET", "http://"+s.List.Control+"/dump", nil, &d)
	var names []string
	for _, in := range d.Seen {
		names = append(names, in.Name)
	}
	return names, err
}

// Operate sends a request to an entry instance's operators' listener. A refusal is an *opsapi.Error.
func (s *System) Operate(e *Program, method, path string, body []byte, into any) error {
	var raw json.RawMessage
	status, err := call(s.clients.control, publishTimeout, OperatorToken, method, "http://"+e.Control+path, body, &raw)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return json.Unmarshal(raw, into)
	}
	var refused opsapi.Error
	if err := json.Unmarshal(raw, &refused); err != nil {
		return err
	}
	return &refused
}

// Status returns an entry instance's report of itself.
func (s *System) Status(e *Program) (st opsapi.Status, err error) {
	err = s.Operate(e, "GET", opsapi.PathStatus, nil, &st)
	return st, err
}

// Inject puts a fault into an entry instance. An empty name clears all.
func (s *System) Inject(e *Program, name string, args map[string]string) error {
	s.History.Note("fault at %s: %s %v", e.Name, name, args)
	var ignored any
	if name == "" {
		return s.Operate(e, "DELETE", opsapi.PathFaults, nil, &ignored)
	}
	body, _ := json.Marshal(opsapi.Fault{Name: name, Args: args})
	return s.Operate(e, "POST", opsapi.PathFaults, body, &ignored)
}

// Publish publishes a document through an entry instance and records the outcome.
func (s *System) Publish(e *Program, document string, replaces int64) (int64, error) {
	var out opsapi.PublishResult
	query := url.Values{opsapi.ArgReplaces: {strconv.FormatInt(replaces, 10)}}
	err := s.Operate(e, "PUT", opsapi.PathConfig+"?"+query.Encode(), []byte(document), &out)
	s.History.published(e.Name, replaces, document, out.Version, err)
	return out.Version, err
}

// PublishNext publishes a new document over the version that the instance has.
func (s *System) PublishNext(e *Program) (int64, error) {
	st, err := s.Status(e)
	if err != nil {
		return 0, err
	}
	return s.Publish(e, Document(s.nextRevision()), st.ConfigVersion)
}

func (s *System) nextRevision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return s.revision
}

// Refusal returns the code of an operators' refusal.
func Refusal(err error) (result.Code, bool) {
	var e *opsapi.Error
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.Code, true
}

// Identity gets a submission identity.
func (s *System) Identity(e *Program, token string) (string, error) {
	var ids api.Identities
	_, err := call(s.clients.callers, callerMargin, token, "POST", "http://"+e.Callers+"/v1/identities", []byte(`{"count":1}`), &ids)
	if err != nil {
		return "", err
	}
	if len(ids.Identities) != 1 {
		return "", fmt.Errorf("identity refused: %s", ids.Code)
	}
	return ids.Identities[0], nil
}

// Job is a submission that the test has made.
type Job struct {
	Identity string
	Home     string
	Token    string
	Tasks    int
	Cancels  bool // the caller cancels it at some time
	body     []byte
}

// Shape describes the tasks of a job.
type Shape struct {
	Service    string
	Tasks      int
	RunMS      int
	DeclaredMS int
	Cores      float64
	DeadlineMS int64
	Fail       bool
}

// output returns what a task of a job must give.
func output(identity string, task int) string { return identity + " output " + strconv.Itoa(task) }

// NewJob gets an identity and prepares a job.
func (s *System) NewJob(e *Program, token string, sh Shape) (*Job, error) {
	id, err := s.Identity(e, token)
	if err != nil {
		return nil, err
	}
	sub := api.Submit{Identity: id, Service: sh.Service, DeadlineMS: sh.DeadlineMS}
	for i := range sh.Tasks {
		payload, _ := json.Marshal(map[string]any{"run_ms": sh.RunMS, "output": output(id, i), "fail": sh.Fail})
		sub.Tasks = append(sub.Tasks, api.Task{Payload: string(payload), RunTimeMS: int64(sh.DeclaredMS), Cores: sh.Cores})
	}
	body, err := json.Marshal(&sub)
	j := &Job{Identity: id, Home: e.Name, Token: token, Tasks: sh.Tasks, body: body}
	s.History.add(j)
	return j, err
}

// The kinds of callers' requests.
const (
	Submit = "submit"
	Fetch  = "fetch"
	Cancel = "cancel"
)

// Ask sends a request about a job to an entry instance and records it with its answer.
func (s *System) Ask(e *Program, j *Job, kind string, wait time.Duration) (*api.Answer, error) {
	method, path, body := "GET", "/v1/jobs/"+url.PathEscape(j.Identity), []byte(nil)
	switch kind {
	case Submit:
		method, path, body = "POST", "/v1/jobs", j.body
	case Cancel:
		method = "DELETE"
	}
	path += "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	done := s.History.asked(j, kind, e.Name)
	var a api.Answer
	_, err := call(s.clients.callers, wait+callerMargin, j.Token, method, "http://"+e.Callers+path, body, &a)
	if err != nil {
		done(nil, err)
		return nil, err
	}
	done(&a, nil)
	return &a, nil
}
