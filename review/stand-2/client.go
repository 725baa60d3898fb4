//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	deadline = 1500 * time.Millisecond // how long clients wait for a response
	taskCPU  = 6800                    // of each task, in thousandths of a core
)

// step is a step of a job; each depends on the one before.
type step struct {
	count int
	each  time.Duration
}

// job is a job as its client knows it.
type job struct {
	id     string
	zone   string
	steps  []step
	poison bool
	best   bool // best_effort

	mu        sync.Mutex
	sentAt    time.Time
	ackedAt   time.Time
	attempts  int
	rejected  int
	cancelAt  time.Time // when the client sent its cancel
	cancelAck time.Time
	cancelled int // status of the acknowledgement
	final     string
	finalAt   time.Time // when the client saw its final state first
	gone      time.Time // first 410 to a request for its state
	unknown   string    // why the job counts as lost at the end; empty if it does not
}

func (j *job) taskTime(t work.TaskID) time.Duration {
	if t.Step >= len(j.steps) {
		return 100 * time.Millisecond
	}
	return j.steps[t.Step].each
}

// load is all that clients have submitted.
type load struct {
	site     *site
	mu       sync.Mutex
	jobs     map[string]*job
	log      *record
	troubles [][2]time.Time // beginnings and ends of the disruptions
	mixed    []string       // breaches of MIXED by counts of waiting jobs
}

func newLoad(r *record) *load { return &load{jobs: map[string]*job{}, log: r} }

// disrupted records a disruption that begins now, and returns the function that records its end.
func (l *load) disrupted(format string, values ...any) (end func()) {
	l.log.add("DISRUPTION begins: "+format, values...)
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.troubles)
	now := time.Now()
	l.troubles = append(l.troubles, [2]time.Time{now, now.Add(time.Hour)})
	return func() {
		l.log.add("DISRUPTION ends: "+format, values...)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.troubles[n][1] = time.Now()
	}
}

// calm reports whether there was no disruption at a time and for contact_ms before it.
func (l *load) calm(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.troubles {
		if at.After(t[0]) && at.Before(t[1].Add(contactMS)) {
			return false
		}
	}
	return true
}

func (l *load) job(id string) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id]
}

func (l *load) all() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*job
	for _, j := range l.jobs {
		all = append(all, j)
	}
	return all
}

func (l *load) newJob(zone string, poison bool, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), zone: zone, steps: steps, poison: poison}
	l.mu.Lock()
	l.jobs[j.id] = j
	l.mu.Unlock()
	return j
}

func (j *job) body() []byte {
	phases := []map[string]any{}
	for i, s := range j.steps {
		p := map[string]any{"count": s.count, "cpu": taskCPU, "mem_mb": 64, "estimate_ms": s.each.Milliseconds()}
		if i > 0 {
			p["deps"] = []int{i - 1}
		}
		phases = append(phases, p)
	}
	body := map[string]any{"spec": "review", "phases": phases}
	if j.best {
		body["best_effort"] = true
	}
	raw, _ := json.Marshal(body)
	return raw
}

// client is a client with a channel of its own.
type client struct {
	load *load
	zone string
	n    int
	http *http.Client
	at   *machine
}

func (l *load) newClient(zone string) *client {
	c := &client{load: l, zone: zone, n: rand.IntN(1 << 20)}
	c.reconnect()
	return c
}

// reconnect opens another channel with the next request. The platform chooses the machine of each new channel.
func (c *client) reconnect() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	dialer := net.Dialer{Timeout: deadline}
	c.at = c.load.site.pick(c.zone, c.n)
	c.http = &http.Client{Timeout: deadline, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			c.at = c.load.site.pick(c.zone, c.n)
			return dialer.DialContext(ctx, "tcp", c.at.front)
		},
	}}
}

// close closes the client's channel.
func (c *client) close() { c.http.CloseIdleConnections() }

// do sends a request and returns the status, 0 for no response, and the state in the response.
func (c *client) do(method, id string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+host+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	sent := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		c.load.log.add("BROKEN %s %s at %s after %.3f s: %v", method, id, c.at.name, time.Since(sent).Seconds(), err)
		c.n++
		c.reconnect()
		return 0, ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.n++
		c.reconnect()
		return 0, ""
	}
	var answer struct {
		State   string `json:"state"`
		Error   string `json:"error"`
		Pending *int   `json:"pending"`
	}
	json.Unmarshal(raw, &answer)
	if answer.Error != "" {
		answer.State = answer.Error
	}
	if answer.Pending != nil {
		answer.State = fmt.Sprint(*answer.Pending)
	}
	return response.StatusCode, answer.State
}

// pending asks for the number of jobs that wait.
func (c *client) pending() (status, n int) {
	status, text := c.do("GET", "", nil)
	fmt.Sscan(text, &n)
	return status, n
}

// submit submits a job, again after each attempt without a certain answer, and returns whether it was accepted.
func (c *client) submit(j *job) bool {
	for range 6 {
		j.mu.Lock()
		if j.sentAt.IsZero() {
			j.sentAt = time.Now()
		}
		j.attempts++
		j.mu.Unlock()
		status, state := c.do("POST", j.id, j.body())
		c.load.log.add("POST %s at %s: %d %s", j.id, c.at.name, status, state)
		switch {
		case status >= 200 && status < 300 && j.best:
			return false // it has ended
		case status >= 200 && status < 300:
			j.mu.Lock()
			j.ackedAt = time.Now()
			j.mu.Unlock()
			return true
		case status == 429 || status == 503:
			j.mu.Lock()
			j.rejected++
			j.mu.Unlock()
			return false
		case status == 404 || status == 400:
			c.load.log.add("unexpected status %d", status)
			return false
		}
		time.Sleep(retransmit)
		c.n++
		c.reconnect()
	}
	return false
}

// cancel cancels a job until that is acknowledged.
func (c *client) cancel(j *job) {
	for range 10 {
		j.mu.Lock()
		if j.cancelAt.IsZero() {
			j.cancelAt = time.Now()
		}
		j.mu.Unlock()
		status, state := c.do("DELETE", j.id, nil)
		c.load.log.add("DELETE %s at %s: %d %s", j.id, c.at.name, status, state)
		if status >= 200 && status < 300 || status == 410 {
			j.mu.Lock()
			j.cancelAck, j.cancelled = time.Now(), status
			j.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
		if status == 0 || status >= 500 {
			c.n++
			c.reconnect()
		}
	}
}

// state asks for the state of a job once.
func (c *client) state(j *job) (int, string) {
	status, state := c.do("GET", j.id, nil)
	c.load.log.add("GET %s at %s: %d %s", j.id, c.at.name, status, state)
	j.mu.Lock()
	defer j.mu.Unlock()
	if status == 200 && (state == "completed" || state == "failed" || state == "cancelled") {
		if j.final == "" {
			j.finalAt = time.Now()
		}
		j.final = state
	}
	if status == 410 && j.gone.IsZero() && !j.ackedAt.IsZero() && time.Since(j.ackedAt) > visibleMS && j.cancelAt.IsZero() && c.load.calm(time.Now()) {
		j.gone = time.Now()
	}
	return status, state
}

// follow asks for the state of a job until it has ended or ctx ends.
func (c *client) follow(ctx context.Context, j *job) {
	for ctx.Err() == nil {
		if _, state := c.state(j); state == "completed" || state == "failed" || state == "cancelled" {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
}
