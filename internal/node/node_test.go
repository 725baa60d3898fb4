package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/dump"
	"github.com/savorypass/savorypass/internal/node"
	"github.com/savorypass/savorypass/internal/standin/address"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform"
)

// deployment is a deployment whose instances run in this process, with stand-ins for the store and the endpoints.
type deployment struct {
	t     *testing.T
	store *keyed.Store
	fleet *fleet.Fleet
	zones []string
	// linkMbps is the speed of the instances' links, which bounds the endpoints of a partition; 0 for the default.
	linkMbps float64
	// retransmit is the time after which callers submit a job again; deployments set it.
	retransmit time.Duration
}

const configText = `{"version":%d,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"survey","attempts":2,
	"stretch":3,"slo_ms":2000}],"services":[{"name":"survey"}]}`

func deploy(t *testing.T, endpoints int, run time.Duration) *deployment {
	return deployZones(t, endpoints, run, "north")
}

// deployZones is deploy for several zones, each with a number of endpoints.
func deployZones(t *testing.T, endpoints int, run time.Duration, zones ...string) *deployment {
	d := &deployment{t, keyed.New(), fleet.New(run), zones, 0, 1300 * time.Millisecond}
	d.store.Set("keyed.op", "config", fmt.Appendf(nil, configText, 1))
	for z, zone := range zones {
		for i := range endpoints {
			d.addEndpoint(zone, fmt.Sprint("10.0.", z, ".", i, ":80"))
		}
	}
	return d
}

// addEndpoint starts and registers an endpoint.
func (d *deployment) addEndpoint(zone, address string) {
	e := work.Endpoint{
		ID: work.EndpointID("e" + address), Service: "survey", Address: address, Zone: zone, Size: work.Size{MilliCPU: 4000, MemoryMB: 1000},
	}
	d.fleet.Add(e)
	d.store.Set("keyed.servers", string(e.ID), fmt.Appendf(nil, `{"service":"survey","addr":%q,"zone":%q,"state":"ready",
		"capacity":{"cpu":4000,"mem_mb":1000}}`, e.Address, zone))
}

// instance is one running instance.
type instance struct {
	*node.Node
	url       string
	health    string
	operators string
	kill      context.CancelFunc
	endpoints *fleet.Paths
	store     *refusingStore
	ended     chan error
}

// refusingStore is the store as an instance sees it whose memberships it may refuse.
type refusingStore struct {
	store.Store
	refusesJoins atomic.Bool
}

// Join implements store.Store.
func (s *refusingStore) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	if s.refusesJoins.Load() {
		return store.Assignment{}, store.ErrUnavailable
	}
	return s.Store.Join(ctx, m)
}

// crash ends the instance like a crash of its process: nothing that it does in reaction reaches an endpoint.
func (i *instance) crash() {
	i.endpoints.SetAllCut(true)
	i.kill()
}

func (d *deployment) start(name string) *instance { return d.startIn(d.zones[0], name) }

// startIn starts an instance of a zone.
func (d *deployment) startIn(zone, name string) *instance {
	d.t.Helper()
	callers, health, operators := address.Free(), address.Free(), address.Free()
	relays := address.FreeRun("127.0.0.1", len(d.zones))
	log := logrus.New()
	written := &output{}
	log.SetOutput(written)
	s := node.Settings{
		Instance: name, Zone: zone, Zones: d.zones, IP: "127.0.0.1", Callers: callers, Health: health,
		Store: "127.0.0.1:1", FirstPort: portOf(relays), LastPort: portOf(relays) + len(d.zones) - 1, Grace: 6 * time.Second,
		Lease: time.Second, Retransmit: d.retransmit, MemberTTL: 400 * time.Millisecond, GroupPartitions: keyed.Partitions, LinkMbps: d.linkMbps,
		EvacuationTime: 5 * time.Second,
	}
	i := &instance{url: "http://" + callers, health: "http://" + health, operators: "http://" + operators, ended: make(chan error, 1)}
	i.endpoints, i.store = &fleet.Paths{Dialer: d.fleet}, &refusingStore{Store: d.store}
	i.Node = node.New(node.Options{
		Settings: s, Store: i.store, Records: platform.Records{}, Codec: platform.Callers{}, Dialer: i.endpoints, Log: log, OperatorsAddress: operators,
	})
	ctx, cancel := context.WithCancel(context.Background())
	i.kill = cancel
	d.t.Cleanup(cancel)
	d.t.Cleanup(func() {
		if d.t.Failed() {
			d.t.Logf("instance %s:\n%s", name, written)
		}
	})
	go func() {
		err := i.Run(ctx)
		log.WithField("event", "run_ended").WithError(err).Info("instance ended")
		i.ended <- err
	}()
	return i
}

// output collects an instance's log, which is printed if its test fails.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func portOf(address string) int {
	a, _ := net.ResolveTCPAddr("tcp", address)
	return a.Port
}

func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	wait.For(d.t, what, ok)
}

func (i *instance) post(id string, tasks int) (int, string) { return i.postWithin(id, tasks, 0) }

// postWithin submits a job whose caller says how long it waits, unless that is 0.
func (i *instance) postWithin(id string, tasks int, wait time.Duration) (int, string) {
	body := fmt.Sprintf(`{"spec":"x","best_effort":true,"phases":[{"count":%d,"cpu":1000,"mem_mb":10,"estimate_ms":300}]}`, tasks)
	req, err := http.NewRequest("POST", i.url+"/p/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	if wait > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

func (d *deployment) served(i *instance, n int) func() bool {
	return func() bool {
		n += 1000
		status, _ := i.post(id(n), 1)
		return status == 200
	}
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

// Guards against a break anywhere between a caller's request and the endpoints, through both instances, and against metrics
// and dumps that lack the result.
func TestServe(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 20*time.Millisecond)
	a, b := d.start("a"), d.start("b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	d.eventually("the instance is ready", func() bool { status, _ := get(a.health + platform.HealthPath); return status == 200 })
	status, body := a.post(id(3), 9)
	is.Equal(status, 200)
	is.Equal(body, `{"state":"completed"}`)
	is.Equal(d.fleet.OverlappingRuns(), "")
	_, text := get(a.operators + node.MetricsPath)
	is.True(strings.Contains(text, "requests_answered ") && strings.Contains(text, "response_ms {"))
	_, text = get(a.operators + node.DumpPath)
	var dump dump.Instance
	is.NoErr(json.Unmarshal([]byte(text), &dump))
	is.Equal(dump.Instance, "a")
	is.Equal(dump.ConfigVersion, int64(1))
}

// Guards against jobs that are lost, refused or run twice during a planned stop of the dispatcher, and against a stop that exceeds
// its grace period. The stop begins while a job of each caller runs. Before it, callers submit refused jobs again: instances that got no
// processor may have lost each other, and such a refusal is true.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	const callers = 8
	d := deploy(t, 3, 600*time.Millisecond)
	a := d.start("a")
	d.eventually("the first instance serves", d.served(a, 1))
	b := d.start("b")
	d.eventually("the second instance serves", d.served(b, 2))
	answers := make(chan int, callers)
	var stopping atomic.Bool
	for n := range callers {
		go func() {
			from := []*instance{a, b}[n%2]
			status := 0
			for job := 100 * (1 + n); ; {
				status, _ = from.post(id(job), 1)
				if stopping.Load() {
					break
				}
				if status == 200 {
					job++
				} else {
					time.Sleep(10 * time.Millisecond)
				}
			}
			answers <- status
		}()
	}
	get(a.health + platform.HealthPath) // leaves its connection open, as the load balancer's health checks do
	d.eventually("a job of each caller runs", func() bool { return d.fleet.Running() >= callers })
	stopping.Store(true)
	a.Drain()
	for range callers {
		is.Equal(<-answers, 200)
	}
	select {
	case err := <-a.ended:
		is.NoErr(err)
	case <-time.After(6 * time.Second):
		t.Fatal("the planned stop did not end within the grace period of 6 s")
	}
	is.Equal(d.fleet.OverlappingRuns(), "")
	d.eventually("the other instance serves", d.served(b, 3))
}

// Guards against jobs that another instance submitted and that are lost or run twice when the dispatcher is killed.
func TestDispatcherKilled(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 800*time.Millisecond)
	a := d.start("a")
	d.eventually("the first instance serves", d.served(a, 1))
	b := d.start("b")
	d.eventually("the second instance serves", d.served(b, 2))
	var wg sync.WaitGroup
	statuses := make([]int, 6)
	for n := range statuses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			statuses[n], _ = b.post(id(20+n), 1)
		}()
	}
	d.eventually("the jobs run", func() bool { return d.fleet.Running() >= len(statuses) })
	a.kill()
	wg.Wait()
	for _, status := range statuses {
		is.Equal(status, 200)
	}
	is.Equal(d.fleet.OverlappingRuns(), "")
}

// Guards against crashes that are forgotten with the dispatcher that saw them, or when a caller submits its job again: the other instance
// learns of the first crash from heartbeats, takes over and gives the task up.
func TestCrashesSurviveTheDispatcher(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 6, 100*time.Millisecond)
	task := work.TaskID{Job: work.JobID(id(50))}
	d.fleet.DownTime = 3 * time.Second
	d.fleet.CrashTime = func(started work.TaskID) time.Duration {
		if started == task {
			return 50 * time.Millisecond
		}
		return 0
	}
	a := d.start("a")
	d.eventually("the first instance serves", d.served(a, 1))
	b := d.start("b")
	d.eventually("the second instance serves", d.served(b, 2))
	answer := make(chan string, 1)
	go func() {
		status, body := b.post(id(50), 1)
		answer <- fmt.Sprint(status, body)
	}()
	d.eventually("the second instance knows of the first crash", func() bool {
		_, metrics := get(b.operators + node.MetricsPath)
		return strings.Contains(metrics, "tasks_with_attempts 1\n")
	})
	a.kill()
	failed := `200{"state":"failed"}`
	is.Equal(<-answer, failed)
	crashes := d.fleet.Crashes(task)
	is.True(crashes <= 3) // the first dispatcher may have started the task once more before it was killed
	status, body := b.post(id(50), 1)
	is.Equal(fmt.Sprint(status, body), failed)
	is.Equal(d.fleet.Crashes(task), crashes)
}

// Guards against an outage of the store that makes instances fail accepted or new jobs.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 20*time.Millisecond)
	a, b := d.start("a"), d.start("b")
	d.eventually("the first instance serves", d.served(a, 1))
	d.eventually("the second instance serves", d.served(b, 2))
	d.store.SetDown(true)
	for n := range 20 {
		status, _ := a.post(id(30+n), 2)
		is.Equal(status, 200)
		status, _ = b.post(id(60+n), 2)
		is.Equal(status, 200)
	}
}

// Guards against a new configuration that is not applied, and against an older or unreadable one that replaces it.
func TestConfiguration(t *testing.T) {
	d := deploy(t, 1, 10*time.Millisecond)
	a := d.start("a")
	d.eventually("the instance serves", d.served(a, 1))
	d.store.Set("keyed.op", "config", []byte(`{"version":5,"routes":[]}`))
	d.eventually("the queue is gone", func() bool { status, _ := a.post(id(2), 1); return status == 404 })
	d.store.Set("keyed.op", "config", fmt.Appendf(nil, configText, 4))
	d.store.Set("keyed.op", "config", []byte("unreadable"))
	d.store.Set("keyed.op", "other", []byte("{}"))
	d.store.Set("keyed.op", "config", fmt.Appendf(nil, configText, 6))
	d.eventually("the queue is back", d.served(a, 3))
}

// Guards against a planned stop that closes the connection of a caller whose job lasts longer than the drain, in place of
// answering.
func TestPlannedStopAnswersLongJobs(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, 20*time.Second)
	a := d.start("a")
	d.eventually("the instance is ready", func() bool { status, _ := get(a.health + platform.HealthPath); return status == 200 })
	answer := make(chan int, 1)
	go func() {
		status, _ := a.post(id(1), 1)
		for (status == 429 || status == 503) && len(d.fleet.Starts()) == 0 { // no endpoint has reported to the dispatcher yet
			status, _ = a.post(id(1), 1)
		}
		answer <- status
	}()
	d.eventually("the job runs", func() bool { return d.fleet.Running() == 1 })
	a.Drain()
	is.Equal(<-answer, 504)
	is.NoErr(<-a.ended)
}
