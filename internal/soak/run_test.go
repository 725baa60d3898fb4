package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/standin/address"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

const (
	service          = "survey"
	taskAttempts     = 2 // failed runs of a task after which its job fails
	taskCrashes      = 2 // endpoints that ended under a task, after which its job fails because the task may have crashed them
	endpointSlots    = 4 // tasks that fit an endpoint at the same time
	endpointMemoryMB = 1000
	endpointsPerZone = 12
	linkMbps         = 1  // with which 12 endpoints of a zone need two partitions
	firstInstanceIP  = 11 // last byte of the first instance's IP address
)

var (
	zones    = []string{"north", "south"}
	taskSize = work.Size{MilliCPU: 1000, MemoryMB: 100}
)

// run is one run of the soak.
type run struct {
	seed         uint64
	dir          string
	repeat       time.Duration // time after which callers submit a job again
	stores       bool          // some callers' jobs are stored
	paths        bool          // the callers' paths hide ends of connections and deliver requests again
	ending       time.Duration // of the phase in which the callers leave; 0 for none
	record       *record
	network      *network
	keyed        *keyed.Store
	fleet        *fleet.Fleet
	storeAddress string
	orderServer  *fasthttp.Server
	storeServer  *fasthttp.Server
	instances    []*instance
	cancel       context.CancelFunc // ends waiting reads of the store

	mu          sync.Mutex
	rand        *rand.Rand
	endpoints   []*endpoint
	created     int // number of endpoints so far
	notReady    map[*instance]bool
	storeFaults map[*storeFault]bool
	orderFaults map[*orderFault]bool
	evacuated   map[string]bool // zones whose evacuation a fault uses
}

// endpoint is an endpoint of the fleet. At most one fault uses it.
type endpoint struct {
	registration work.Endpoint
	claimed      bool
}

// newRun starts the stand-ins and the instances.
func newRun(seed uint64, program, dir string, instances int, repeat time.Duration, stores bool) (*run, error) {
	r := &run{
		seed: seed, dir: dir, repeat: repeat, stores: stores, record: newRecord(), network: newNetwork(), keyed: keyed.New(), rand: rand.New(rand.NewPCG(seed, 0)),
		notReady: map[*instance]bool{}, storeFaults: map[*storeFault]bool{}, orderFaults: map[*orderFault]bool{}, evacuated: map[string]bool{},
	}
	r.record.note("seed %d, %d instances, callers submit again after %v", seed, instances, r.repeat)
	r.newFleet()
	if err := r.serveStore(); err != nil {
		return nil, err
	}
	for n := range len(zones) * endpointsPerZone {
		if err := r.addEndpoint(zones[n%len(zones)]); err != nil {
			return nil, err
		}
	}
	r.publish()
	for n := range instances {
		i := r.newInstance(program, n)
		r.instances = append(r.instances, i)
		if err := i.start(r.ended); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

func (r *run) newInstance(program string, n int) *instance {
	name := fmt.Sprint("i", n+1)
	ip := "127.0.0." + strconv.Itoa(firstInstanceIP+n)
	_, port, _ := net.SplitHostPort(address.FreeRun(ip, len(zones)))
	relayPort, _ := strconv.Atoi(port)
	return &instance{program: program, dir: r.dir, spec: standin.Instance{
		Name: name, Zone: zones[n%len(zones)], Zones: zones, IP: ip, Callers: address.FreeAt(ip), Health: address.FreeAt(ip), Store: r.network.Route(ip, r.storeAddress),
		Port: relayPort, GroupPartitions: keyed.Partitions, LinkMbps: linkMbps, Grace: grace, Lease: lease, Repeat: r.repeat, Evacuate: evacuationBound,
	}}
}

// newFleet creates the fleet. The seed and the task decide how long a run takes and whether it fails.
func (r *run) newFleet() {
	r.fleet = fleet.New(0)
	r.fleet.MaxLease, r.fleet.StopTime = lease, stopTime
	r.fleet.RunTime = func(task work.TaskID) time.Duration {
		rnd := rand.New(rand.NewPCG(r.seed, hash(task)))
		if rnd.IntN(50) == 0 {
			return between(rnd, 2*time.Second, 6*time.Second)
		}
		return between(rnd, 50*time.Millisecond, 900*time.Millisecond)
	}
	r.fleet.Fails = func(task work.TaskID) bool { return hash(task)%100 == 0 }
	r.fleet.LoseAnswer = r.loseAnswer
	orders := &standin.Endpoints{Fleet: r.fleet, Observe: r.record.addOrder}
	r.orderServer = &fasthttp.Server{Handler: orders.Handle, NoDefaultServerHeader: true}
}

func hash(task work.TaskID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(task.String()))
	return h.Sum64()
}

func (r *run) serveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.storeAddress = l.Addr().String()
	store := &standin.Store{Context: ctx, Keyed: r.keyed, Network: r.network, Fault: r.storeFault}
	r.storeServer = &fasthttp.Server{Handler: store.Handle, NoDefaultServerHeader: true}
	go r.storeServer.Serve(l) // ends when the run closes it
	return nil
}

// addEndpoint adds an endpoint to a zone and registers it.
func (r *run) addEndpoint(zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.created++
	e := work.Endpoint{
		ID: work.EndpointID(fmt.Sprint("e", r.created)), Service: service, Address: l.Addr().String(), Zone: zone,
		Size: work.Size{MilliCPU: endpointSlots * taskSize.MilliCPU, MemoryMB: endpointMemoryMB},
	}
	r.mu.Unlock()
	r.record.addEndpoint(e.ID, zone)
	r.fleet.Add(e)
	added := &endpoint{registration: r.register(e)}
	go r.orderServer.Serve(l)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = append(r.endpoints, added)
	return nil
}

// register writes the registration of an endpoint's present process to the store and returns it.
func (r *run) register(e work.Endpoint) work.Endpoint {
	e.StartedUnixMS = r.fleet.Resize(e.Address, e.Size).StartedUnixMS
	r.keyed.Set(standin.EndpointsTopic(), string(e.ID), standin.Registration(e))
	return e
}

func routeOf(revision int) string { return fmt.Sprintf("/r%d/", revision) }

// publish publishes the next revision of the configuration.
func (r *run) publish() {
	revision := r.record.beginPublication()
	prefixes := []string{jobsPrefix}
	for n := max(revision-revisionsKept+1, 0); n <= revision; n++ {
		prefixes = append(prefixes, routeOf(n))
	}
	topic, key := standin.ConfigRecord()
	version := int64(1 + 3*revision)
	r.keyed.Set(topic, key, standin.Config(version, host, service, taskAttempts, prefixes...))
	r.record.endPublication()
}

// ended notices that a process of an instance has ended.
func (r *run) ended(i *instance, asked bool) {
	if !asked {
		r.record.problem("the process of %s ended by itself", i.spec.Name)
	}
}

func (r *run) setReady(i *instance, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notReady[i] = !ready
}

// inRotation returns the instances that get new connections: those that are ready, or all if fewer than half are.
func (r *run) inRotation() []*instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := slices.DeleteFunc(slices.Clone(r.instances), func(i *instance) bool { return r.notReady[i] })
	if 2*len(ready) < len(r.instances) {
		return slices.Clone(r.instances)
	}
	return ready
}

const startTime = 20 * time.Second // in which the first instances must be ready; no check depends on its value

// awaitServing waits until all instances serve a job, and returns those that do not.
func (r *run) awaitServing(limit time.Duration) (missing []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	inTime := func() bool { return time.Since(began) < limit+r.record.slackSince(began) }
	for _, i := range r.instances {
		wg.Go(func() {
			if !r.serves(i, inTime) {
				mu.Lock()
				defer mu.Unlock()
				missing = append(missing, i.spec.Name)
			}
		})
	}
	wg.Wait()
	return missing
}

// serves submits jobs to an instance, without faults on the way, until one is completed or the time is over.
func (r *run) serves(i *instance, inTime func() bool) bool {
	r.mu.Lock()
	c := &caller{run: r, rand: rand.New(rand.NewPCG(r.seed, r.rand.Uint64())), only: i}
	r.mu.Unlock()
	defer c.disconnect()
	for inTime() {
		j, body := c.newJob()
		r.record.addJob(j)
		if c.send(j, body, shortDeadline).State == work.Completed {
			return true
		}
		c.disconnect()
		time.Sleep(probeInterval)
	}
	return false
}

// load runs callers until traffic ends and watchers until ctx ends, and waits for the answers to their requests.
func (r *run) load(ctx, traffic context.Context) {
	var wg sync.WaitGroup
	for n := range *soakCallers * len(r.instances) {
		c := &caller{run: r, rand: rand.New(rand.NewPCG(r.seed, uint64(1000+n))), stores: r.stores && n%storingPart == 0}
		if r.paths && n%2 == 0 {
			c.zone = zones[n/2%len(zones)]
		}
		wg.Go(func() { c.loop(traffic) })
	}
	for _, i := range r.instances {
		wg.Go(func() { r.watch(ctx, i) })
	}
	wg.Wait()
}

// killAll kills all instances, starts them again and checks that they serve within the bound.
func (r *run) killAll() {
	var names []string
	for _, i := range r.instances {
		names = append(names, i.spec.Name, callersOf(i.spec.Name))
	}
	r.record.note("all instances are killed")
	end := r.record.disturb(names...)
	for _, i := range r.instances {
		i.kill()
	}
	for _, i := range r.instances {
		if err := i.start(r.ended); err != nil {
			r.record.problem("%s: %v", i.spec.Name, err)
		}
	}
	end()
	began := time.Now()
	if missing := r.awaitServing(recoveryBound); len(missing) > 0 {
		r.record.problem("%v do not serve %v after they were killed with all others", missing, recoveryBound)
	}
	r.record.note("all instances serve again after %v", time.Since(began).Round(time.Millisecond))
}

func (r *run) view() *view {
	callers := map[string]string{}
	for _, i := range r.instances {
		callers[i.spec.IP] = i.spec.Name
	}
	return r.record.view(r.fleet.Starts, callers)
}

// close ends all processes that the run has started and closes its listeners.
func (r *run) close() {
	for _, i := range r.instances {
		if i.currentIncarnation() > 0 {
			i.kill()
		}
	}
	r.cancel()
	r.network.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.storeServer.ShutdownWithContext(ctx) // connections that their clients keep open are left to the end of the test
	r.orderServer.ShutdownWithContext(ctx)
}
