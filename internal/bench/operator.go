package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

const (
	operatorTimeout   = 20 * time.Second
	readyTimeout      = 60 * time.Second
	readyPollInterval = 100 * time.Millisecond
	overlapTimeout    = 10 * time.Second // ownership settles within 2 s of the last change of the members
)

var (
	errOverlap      = errors.New("workers have more than one owner")
	errProcessEnded = errors.New("process has ended")
)

var operatorClient = fasthttp.Client{Name: "savory-bench", MaxConnsPerHost: 16, MaxResponseBodySize: 256 << 20}

// Vars are the metrics of an entry instance that the measurements use; docs/metrics.md describes them.
type Vars struct {
	Starts int64            `json:"starts"`
	Wasted map[string]int64 `json:"wasted_messages"`
}

func sumCounters(counters map[string]int64) int64 {
	var sum int64
	for _, v := range counters {
		sum += v
	}
	return sum
}

// call makes one request with the operator's token and decodes the JSON response into the value that into points
// to, unless into is nil.
func (c *Cluster) call(method, address, path string, body []byte, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.Operator)
	req.SetBody(body)
	if err := operatorClient.DoTimeout(req, resp, operatorTimeout); err != nil {
		return fmt.Errorf("%s %s: %w", address, path, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", address, path, resp.StatusCode(), resp.Body())
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), into)
}

// vars returns the metrics of each entry instance.
func (c *Cluster) vars() ([]Vars, error) {
	out := make([]Vars, len(c.Entries))
	err := c.eachEntry(func(i int, e Entry) error {
		var all struct {
			Savory Vars `json:"savory"`
		}
		err := c.call(http.MethodGet, e.Operators, opsapi.PathVars, nil, &all)
		out[i] = all.Savory
		return err
	})
	return out, err
}

// eachEntry calls f for all entry instances concurrently and returns the first error in their order.
func (c *Cluster) eachEntry(f func(i int, e Entry) error) error {
	errs := make([]error, len(c.Entries))
	var wg sync.WaitGroup
	for i, e := range c.Entries {
		wg.Go(func() { errs[i] = f(i, e) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sumVars returns the sums of the metrics over all entry instances.
func (c *Cluster) sumVars() (Vars, error) {
	list, err := c.vars()
	sum := Vars{Wasted: map[string]int64{}}
	for _, v := range list {
		sum.Starts += v.Starts
		addCounters(sum.Wasted, v.Wasted, 1)
	}
	return sum, err
}

func addCounters(to, from map[string]int64, sign int64) {
	for k, v := range from {
		to[k] += sign * v
	}
}

// publish publishes a document at an entry instance and returns its version. replaces is the version that it replaces.
func (c *Cluster) publish(e Entry, doc []byte, replaces int64) (int64, error) {
	var done opsapi.PublishResult
	path := fmt.Sprintf("%s?%s=%d", opsapi.PathConfig, opsapi.ArgReplaces, replaces)
	err := c.call(http.MethodPut, e.Operators, path, doc, &done)
	return done.Version, err
}

func (c *Cluster) version(e Entry) (int64, error) {
	var current opsapi.Config
	err := c.call(http.MethodGet, e.Operators, opsapi.PathConfig, nil, &current)
	return current.Version, err
}

// MakeReady publishes the first configuration if there is none, and waits until every entry instance is ready and every slot
// has exactly one owner.
//
// An instance that has just started may own workers that its peers own too. If that lasts longer than overlapTimeout, MakeReady
// returns without an error, and the cluster is measured as it is; recordOwnedSlots puts the overlap into the table.
func (c *Cluster) MakeReady() error {
	doc, err := os.ReadFile(filepath.Join(c.dir, configFile))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	begin := time.Now()
	for {
		err := c.checkReady(doc)
		if err == nil || errors.Is(err, errOverlap) && time.Since(begin) > overlapTimeout {
			return nil
		}
		if errors.Is(err, errProcessEnded) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("cluster %s is not ready after %v: %w", c.Name, readyTimeout, err)
		case <-time.After(readyPollInterval):
		}
	}
}

func (c *Cluster) checkReady(doc []byte) error {
	if err := c.checkProcesses(); err != nil {
		return err
	}
	var published error
	if v, err := c.version(c.Entries[0]); err != nil || v == 0 {
		_, published = c.publish(c.Entries[0], doc, 0) // fails until the instance has read the log
	}
	sum, err := c.ownedSlots()
	err = errors.Join(published, err)
	switch {
	case err != nil:
		return err
	case sum > c.Slots:
		return fmt.Errorf("%w: the entry instances own %d slots, the workers have %d", errOverlap, sum, c.Slots)
	case sum < c.Slots:
		return fmt.Errorf("slots without an owner: the entry instances own %d slots, the workers have %d", sum, c.Slots)
	}
	return nil
}

// checkProcesses returns an error if a process of the cluster has ended, for example because its port is in use. Otherwise the
// process that uses the port could answer in its place.
func (c *Cluster) checkProcesses() error {
	pids, err := c.PIDs()
	for name, pid := range pids {
		if _, gone := cpuTime(pid); gone != nil {
			err = errors.Join(err, fmt.Errorf("%s has ended, see %s: %w", name, filepath.Join(c.dir, name+".log"), errProcessEnded))
		}
	}
	return err
}

// ownedSlots returns the number of slots that all entry instances own together, or an error if one of them is not ready or
// does not know all of its peers as live.
func (c *Cluster) ownedSlots() (int, error) {
	slots := make([]int, len(c.Entries))
	err := c.eachEntry(func(i int, e Entry) error {
		var s opsapi.Status
		if err := c.call(http.MethodGet, e.Operators, opsapi.PathStatus, nil, &s); err != nil {
			return err
		}
		if !s.Ready {
			return fmt.Errorf("%s is not ready: %v", e.Name, s.Reasons)
		}
		if n := liveMembers(s.Members); n < len(c.Entries) {
			return fmt.Errorf("%s knows %d live members, expected %d", e.Name, n, len(c.Entries))
		}
		slots[i] = s.Workers.Slots
		return nil
	})
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum, err
}

// queuedTasks returns the number of queued tasks at all entry instances together.
func (c *Cluster) queuedTasks() (int, error) {
	counts := make([]int, len(c.Entries))
	err := c.eachEntry(func(i int, e Entry) error {
		var s opsapi.Status
		err := c.call(http.MethodGet, e.Operators, opsapi.PathStatus, nil, &s)
		counts[i] = s.Queued
		return err
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum, err
}

func liveMembers(members []opsapi.Member) int {
	n := 0
	for _, m := range members {
		if m.State == opsapi.MemberLive {
			n++
		}
	}
	return n
}

// OpenRunning reads the description of a running cluster and the addresses of its workers.
func OpenRunning(dir string) (*Cluster, error) {
	c, err := Open(dir)
	if err != nil {
		return nil, err
	}
	var list instances.Dump
	if err := c.call(http.MethodGet, c.Instances, "/dump", nil, &list); err != nil {
		return nil, err
	}
	for _, in := range list.Instances {
		if in.Kind == platform.KindEndpoint {
			c.Workers = append(c.Workers, in.Address)
		}
	}
	return c, nil
}

// cutFromLog makes the log service unreachable for the entry instances of a zone, or reachable for all if zone is "".
func (c *Cluster) cutFromLog(zone string) error {
	f := logservice.Fault{Clear: true}
	if zone != "" {
		f = logservice.Fault{GateFault: standin.GateFault{CutZones: []string{zone}}}
	}
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return c.call(http.MethodPost, c.Log, "/fault", body, nil)
}

// start is one start of a task, as its worker recorded it.
type start struct {
	worker int // index in Cluster.Workers
	at     time.Time
}

// starts returns the starts of each task, from the records of all workers.
func (c *Cluster) starts() (map[string][]start, error) {
	lists := make([]worker.Starts, len(c.Workers))
	errs := make([]error, len(c.Workers))
	var wg sync.WaitGroup
	for i, address := range c.Workers {
		wg.Go(func() { errs[i] = c.call(http.MethodGet, address, "/starts?min=1", nil, &lists[i]) })
	}
	wg.Wait()
	out := map[string][]start{}
	for i, l := range lists {
		if errs[i] != nil {
			return nil, errs[i]
		}
		for task, s := range l.Tasks {
			for _, a := range s.Arrivals {
				if a.Started {
					out[task] = append(out[task], start{i, a.Time})
				}
			}
		}
	}
	return out, nil
}
