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

// httpClients are the HTTP clients of a deployment's test.
type httpClients struct {
	callers *http.Client // for callers' requests; keeps connections open
	control *http.Client // for operators' requests and for stand-ins; a new connection for each request
}

const (
	controlTimeout = 10 * time.Second
	publishTimeout = 30 * time.Second
	// callerMargin is added to the wait that a caller requests; the sum is the timeout of the request.
	callerMargin = 15 * time.Second
)

func newHTTPClients() *httpClients {
	return &httpClients{
		callers: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		control: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (c *httpClients) close() { c.callers.CloseIdleConnections() }

// call sends one request, decodes the JSON body of the response into "into", whatever the status, and returns the status.
// limit bounds the whole exchange.
func call(c *http.Client, limit time.Duration, token, method, url string, body []byte, into any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	// Without GetBody the transport cannot retry a request by itself.
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

// Fault replaces the faults of a stand-in by the given one, a Fault of the stand-in's package.
func (s *System) Fault(p *Program, fault any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	s.History.Note("fault at %s: %s", p.Name, body)
	var ignored any
	status, err := call(s.httpClients.control, controlTimeout, "", "POST", "http://"+p.ControlAddress+"/fault", body, &ignored)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("fault at %s: status %d", p.Name, status)
	}
	return err
}

// readStarts returns a worker's record of task starts.
func (s *System) readStarts(w *Program) (st worker.Starts, err error) {
	_, err = call(s.httpClients.control, controlTimeout, "", "GET", "http://"+w.ControlAddress+"/starts", nil, &st)
	return st, err
}

// readStatus returns a worker's report of its state.
func (s *System) readStatus(w *Program) (st platform.EndpointStatus, err error) {
	_, err = call(s.httpClients.control, controlTimeout, "", "GET", "http://"+w.ControlAddress+"/status", nil, &st)
	return st, err
}

// listedNames returns the instance names that readers of the instance list see at present, which includes its lag.
func (s *System) listedNames() ([]string, error) {
	var d instances.Dump
	_, err := call(s.httpClients.control, controlTimeout, "", "GET", "http://"+s.InstanceList.ControlAddress+"/dump", nil, &d)
	var names []string
	for _, in := range d.Seen {
		names = append(names, in.Name)
	}
	return names, err
}

// CallOperatorAPI sends a request to the operators' listener of an entry instance and decodes a successful response into
// "into". A refusal is returned as an *opsapi.Error.
func (s *System) CallOperatorAPI(e *Program, method, path string, body []byte, into any) error {
	var raw json.RawMessage
	status, err := call(s.httpClients.control, publishTimeout, OperatorToken, method, "http://"+e.ControlAddress+path, body, &raw)
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

// Status returns the status that an entry instance reports to operators.
func (s *System) Status(e *Program) (st opsapi.Status, err error) {
	err = s.CallOperatorAPI(e, "GET", opsapi.PathStatus, nil, &st)
	return st, err
}

// InjectFault activates a fault in an entry instance. An empty name clears all faults.
func (s *System) InjectFault(e *Program, name string, args map[string]string) error {
	s.History.Note("fault at %s: %s %v", e.Name, name, args)
	var ignored any
	if name == "" {
		return s.CallOperatorAPI(e, "DELETE", opsapi.PathFaults, nil, &ignored)
	}
	body, _ := json.Marshal(opsapi.Fault{Name: name, Args: args})
	return s.CallOperatorAPI(e, "POST", opsapi.PathFaults, body, &ignored)
}

// Publish publishes a configuration document through an entry instance, to replace the given version, and records the
// outcome. It returns the new version.
func (s *System) Publish(e *Program, document string, replaces int64) (int64, error) {
	var out opsapi.PublishResult
	query := url.Values{opsapi.ArgReplaces: {strconv.FormatInt(replaces, 10)}}
	err := s.CallOperatorAPI(e, "PUT", opsapi.PathConfig+"?"+query.Encode(), []byte(document), &out)
	s.History.recordPublication(e.Name, replaces, document, out.Version, err)
	return out.Version, err
}

// PublishNext publishes a new configuration document through an entry instance, to replace the version in force there.
func (s *System) PublishNext(e *Program) (int64, error) {
	st, err := s.Status(e)
	if err != nil {
		return 0, err
	}
	return s.Publish(e, ConfigDocument(s.nextRevision()), st.ConfigVersion)
}

// nextRevision returns a number for ConfigDocument that was not used before.
func (s *System) nextRevision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return s.revision
}

// RefusalCode returns the code of an error of CallOperatorAPI, and false if the error is not a refusal.
func RefusalCode(err error) (result.Code, bool) {
	var e *opsapi.Error
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.Code, true
}

// Identity requests one submission identity from an entry instance, which becomes the home of the job.
func (s *System) Identity(e *Program, token string) (string, error) {
	var ids api.Identities
	_, err := call(s.httpClients.callers, callerMargin, token, "POST", "http://"+e.CallerAddress+"/v1/identities", []byte(`{"count":1}`), &ids)
	if err != nil {
		return "", err
	}
	if len(ids.Identities) != 1 {
		return "", fmt.Errorf("identity request refused: %s", ids.Code)
	}
	return ids.Identities[0], nil
}

// Job is a job that the test submits.
type Job struct {
	Identity string
	Home     string // name of the entry instance that issued the identity
	Token    string // token of the caller
	Tasks    int
	ToCancel bool // the caller cancels the job during the run
	body     []byte
}

// JobSpec describes a job of identical tasks.
type JobSpec struct {
	Service       string
	Tasks         int
	RunMS         int // run time of each task
	DeclaredRunMS int // run time that the submission declares for each task; 0: none
	Cores         float64
	DeadlineMS    int64
	Fail          bool // every task fails
	ToCancel      bool // the caller cancels the job during the run
}

// expectedOutput returns the output that a task of a job must have.
func expectedOutput(identity string, task int) string {
	return identity + " output " + strconv.Itoa(task)
}

// NewJob gets an identity from an entry instance, prepares a job with it and adds the job to the history. It does not submit
// the job.
func (s *System) NewJob(e *Program, token string, spec JobSpec) (*Job, error) {
	id, err := s.Identity(e, token)
	if err != nil {
		return nil, err
	}
	submission := api.Submit{Identity: id, Service: spec.Service, DeadlineMS: spec.DeadlineMS}
	for i := range spec.Tasks {
		payload, _ := json.Marshal(map[string]any{"run_ms": spec.RunMS, "output": expectedOutput(id, i), "fail": spec.Fail})
		submission.Tasks = append(submission.Tasks, api.Task{Payload: string(payload), RunTimeMS: int64(spec.DeclaredRunMS), Cores: spec.Cores})
	}
	body, err := json.Marshal(&submission)
	j := &Job{Identity: id, Home: e.Name, Token: token, Tasks: spec.Tasks, ToCancel: spec.ToCancel, body: body}
	s.History.addJob(j)
	return j, err
}

// Kinds of caller requests about a job.
const (
	Submit = "submit"
	Fetch  = "fetch"
	Cancel = "cancel"
)

// SendRequest sends a request of the given kind about a job to an entry instance and records the request and its outcome in
// the history. wait is the time that the instance may hold the request until the job has ended.
func (s *System) SendRequest(e *Program, j *Job, kind string, wait time.Duration) (*api.Answer, error) {
	method, path, body := "GET", "/v1/jobs/"+url.PathEscape(j.Identity), []byte(nil)
	switch kind {
	case Submit:
		method, path, body = "POST", "/v1/jobs", j.body
	case Cancel:
		method = "DELETE"
	}
	path += "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	done := s.History.recordRequest(j, kind, e.Name)
	var a api.Answer
	_, err := call(s.httpClients.callers, wait+callerMargin, j.Token, method, "http://"+e.CallerAddress+path, body, &a)
	if err != nil {
		done(nil, err)
		return nil, err
	}
	done(&a, nil)
	return &a, nil
}
