package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform"
	"github.com/savorypass/savorypass/platform/standin"
)

const (
	callerIP         = "127.0.0.9"
	host             = "soak.example"
	jobsPrefix       = "/p/"
	maxSubmissions   = 4 // of one job
	requestsPerConn  = 40
	shortDeadline    = 1500 * time.Millisecond
	longDeadline     = 8 * time.Second
	deadlineSlack    = 300 * time.Millisecond // callers wait this much longer than they say
	longDeadlinePart = 5                      // one job in so many has the long deadline
	giveUpPart       = 30                     // the caller of one job in so many closes its connection early
	resetPart        = 6                      // the caller of one job in so many resets its connection early and submits the job again
	maxThink         = 200 * time.Millisecond
)

// caller submits jobs one after the other, over connections that it keeps open.
type caller struct {
	run    *run
	rand   *rand.Rand
	at     *instance // to which conn leads
	conn   net.Conn
	reader *bufio.Reader
	left   int       // requests until the caller opens another connection
	only   *instance // the only instance that the caller uses, without faults on the way; nil for any
	zone   string    // in which the caller looks for an instance first; empty for none
	stores bool      // the caller's jobs are stored
	copies bool      // the caller stands for a path that delivers requests again
	last   bool      // the caller leaves its next request before the answer
}

func (c *caller) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		c.work(ctx)
	}
	if c.run.ending == 0 {
		return
	}
	for leave := time.Now().Add(between(c.rand, 0, c.run.ending)); time.Now().Before(leave); {
		c.work(ctx)
	}
	c.last = true
	c.submit()
}

func (c *caller) work(ctx context.Context) {
	if j := c.submit(); j.Stored != nil {
		c.follow(ctx, j)
	}
	time.Sleep(between(c.rand, 0, maxThink))
}

// submit submits a job until it gets a final answer or a refusal, at another instance after a broken connection.
func (c *caller) submit() *job {
	j, body := c.newJob()
	deadline := shortDeadline
	if c.rand.IntN(longDeadlinePart) == 0 {
		deadline = longDeadline
	}
	c.run.record.addJob(j)
	for range maxSubmissions {
		outcome := c.send(j, body, deadline)
		if outcome.Status == 200 && j.Stored != nil {
			c.run.record.accepted(j)
		}
		if outcome.Status == 200 || !outcome.Broken && outcome.Status != 502 && outcome.Status != 504 {
			break
		}
		c.disconnect()
		time.Sleep(c.run.repeat)
	}
	return j
}

func (c *caller) newJob() (*job, []byte) {
	j := &job{ID: work.JobID(fmt.Sprintf("%016x", c.rand.Uint64())), Steps: []int{1 + c.rand.IntN(4)}}
	if c.rand.IntN(5) == 0 {
		j.Steps = append(j.Steps, 1+c.rand.IntN(2))
	}
	var steps []standin.Step
	for _, tasks := range j.Steps {
		steps = append(steps, standin.Step{Tasks: tasks, Size: taskSize, Estimate: between(c.rand, 20*time.Millisecond, 600*time.Millisecond)})
	}
	if c.stores {
		j.Stored = &storedState{}
		return j, standin.StoredJob(steps...)
	}
	return j, standin.Job(steps...)
}

// send submits a job once and waits for the answer.
func (c *caller) send(j *job, body []byte, deadline time.Duration) (outcome attempt) {
	if c.conn == nil && !c.connect() {
		return attempt{Broken: true}
	}
	c.left--
	ended := c.run.record.addAttempt(j, c.at.spec.Name, c.copies)
	defer func() { ended(outcome) }()
	wait := deadline + deadlineSlack
	givesUp, resets := c.leavesEarly()
	if givesUp || resets {
		wait = between(c.rand, 10*time.Millisecond, 300*time.Millisecond)
	}
	c.conn.SetDeadline(time.Now().Add(wait))
	resp, err := c.exchange("POST", j, body, deadline)
	if err != nil {
		if resets {
			abort(c.conn)
		}
		c.disconnect()
		timedOut := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
		if givesUp && timedOut {
			return attempt{Error: "the caller gave up"}
		}
		return attempt{Broken: true, Error: err.Error(), TimedOut: timedOut}
	}
	defer fasthttp.ReleaseResponse(resp)
	if c.left <= 0 || resp.ConnectionClose() {
		c.disconnect()
	}
	var answer struct {
		State work.State `json:"state"`
	}
	outcome = attempt{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		outcome.Error = err.Error()
	}
	outcome.State = answer.State
	return outcome
}

// leavesEarly draws whether the caller leaves its next request before the answer, and whether it submits the job again then.
func (c *caller) leavesEarly() (givesUp, resets bool) {
	if c.only != nil {
		return false, false
	}
	givesUp = c.rand.IntN(giveUpPart) == 0
	resets = !givesUp && (c.last || c.rand.IntN(resetPart) == 0)
	c.last = false
	return givesUp, resets
}

func (c *caller) exchange(method string, j *job, body []byte, deadline time.Duration) (*fasthttp.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(jobsPrefix + string(j.ID))
	req.Header.SetHost(host)
	req.Header.SetContentType("application/json")
	req.Header.Set(standin.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	req.SetBodyRaw(body)
	w := bufio.NewWriter(c.conn)
	if err := req.Write(w); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	resp := fasthttp.AcquireResponse()
	if err := resp.Read(c.reader); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return resp, nil
}

// connect opens a connection to a random instance in rotation, and not to the last one if there is another.
func (c *caller) connect() bool {
	return c.dial(c.choose())
}

// dial opens a connection to an instance at an address.
func (c *caller) dial(at *instance, address string) bool {
	c.at = at
	c.left = 1 + c.rand.IntN(requestsPerConn)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// choose returns the instance for the next connection and the address to use.
func (c *caller) choose() (*instance, string) {
	if c.only != nil {
		return c.only, c.only.spec.Callers
	}
	ready := slices.DeleteFunc(c.run.inRotation(), func(i *instance) bool { return i == c.at })
	if near := slices.DeleteFunc(slices.Clone(ready), func(i *instance) bool { return i.spec.Zone != c.zone }); len(near) > 0 {
		ready = near
	}
	if len(ready) == 0 {
		ready = c.run.instances
	}
	i := ready[c.rand.IntN(len(ready))]
	return i, c.run.network.Route(callerIP, i.spec.Callers)
}

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

const (
	probeInterval  = 150 * time.Millisecond
	probeTimeout   = time.Second
	healthInterval = time.Second
	healthMisses   = 2 // after so many the instance gets no new connections
)

// watch asks an instance for the routes of its configuration, and as the load balancer whether it is ready, until ctx ends.
// It reaches the instance directly.
func (r *run) watch(ctx context.Context, i *instance) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses, checked := 0, time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		newest := r.record.newest()
		r.probe(client, i, newest-(n%2)*revisionsKept)
		if time.Since(checked) >= healthInterval {
			checked = time.Now()
			misses++
			if status, _ := get(client, "http://"+i.spec.Health+platform.HealthPath); status == 200 {
				misses = 0
			}
			r.setReady(i, misses < healthMisses)
		}
		time.Sleep(probeInterval)
	}
}

// probe asks an instance for the route of a revision of the configuration.
func (r *run) probe(client *http.Client, i *instance, revision int) {
	if revision < 0 {
		return
	}
	p := probe{Instance: i.spec.Name, Incarnation: i.currentIncarnation(), Sent: time.Now(), Revision: revision}
	status, err := get(client, "http://"+i.spec.Callers+routeOf(revision))
	if err != nil || status != 200 && status != 404 || p.Incarnation != i.currentIncarnation() {
		return
	}
	p.Answered, p.Known, p.Newest = time.Now(), status == 200, r.record.newestBegun()
	r.record.addProbe(p)
}

func get(client *http.Client, url string) (int, error) {
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// between returns a random duration of at least low and below high.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}
