//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform"
	"github.com/savorypass/savorypass/platform/standin"
)

const (
	service  = "huvo11a"
	host     = "nony24.example"
	prefix   = "/lohu930/"
	attempts = 3
	// endpointPort is that of the endpoints' registered addresses. Each instance reaches them under others, which the store tells it.
	endpointPort = 8080
)

// plan describes a deployment.
type plan struct {
	zones     []string
	instances int // a zone
	endpoints int // a zone
	kinds     []string
	sizes     []float64 // factor of the endpoints' size, by kind
	runTime   func(work.TaskID) time.Duration
}

// world is a deployment with its stand-ins.
type world struct {
	plan
	dir       string
	base      string // first three bytes of the loopback addresses
	started   time.Time
	keyed     *keyed.Store
	fleet     *fleet.Fleet
	instances []*instance
	endpoints []*endpoint
	stores    map[string]*link // by IP address of the instance
	ended     context.Context
	end       context.CancelFunc

	mu     sync.Mutex
	record *os.File
	orders []standin.Order
}

// endpoint is one endpoint with its links from the instances.
type endpoint struct {
	registration work.Endpoint
	links        map[string]*link  // by IP address of the instance
	addresses    map[string]string // under which an instance reaches it, by the instance's IP address
}

func newWorld(p plan, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		plan: p, dir: dir, base: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), started: time.Now(), keyed: keyed.New(),
		fleet: fleet.New(time.Second), stores: map[string]*link{}, record: f,
	}
	w.ended, w.end = context.WithCancel(context.Background())
	w.fleet.RunTime = p.runTime
	w.fleet.StopTime, w.fleet.MaxLease = 20*time.Millisecond, time.Second
	w.addInstances()
	w.addEndpoints()
	for _, i := range w.instances {
		if err := w.serve(i); err != nil {
			return nil, err
		}
	}
	for _, e := range w.endpoints {
		w.register(e)
	}
	w.configure(1)
	return w, nil
}

func (w *world) addInstances() {
	for z, zone := range w.zones {
		for n := range w.plan.instances {
			w.instances = append(w.instances, &instance{
				world: w, name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("%s%d", w.base, 10*(z+1)+n),
			})
		}
	}
}

func (w *world) addEndpoints() {
	for z, zone := range w.zones {
		for n := range w.plan.endpoints {
			kind := n % len(w.kinds)
			e := &endpoint{links: map[string]*link{}, addresses: map[string]string{}}
			e.registration = work.Endpoint{
				ID: work.EndpointID(fmt.Sprintf("i-%s-%d", zone, n+1)), Service: service, Address: fmt.Sprintf("%s%d:%d", w.base, 100+20*z+n, endpointPort), Zone: zone,
				Size:   work.Size{MilliCPU: int(16000 * w.sizes[kind]), MemoryMB: int(65536 * w.sizes[kind])},
				Labels: []string{w.kinds[kind], fmt.Sprintf("r%d-%d", z+1, n/8+1)}, StartedUnixMS: time.Now().UnixMilli(),
			}
			w.fleet.Add(e.registration)
			w.endpoints = append(w.endpoints, e)
		}
	}
}

// listen opens a port at an IP address for a link.
func listen(ip string, l *link, h fasthttp.RequestHandler) (string, error) {
	n, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, MaxRequestBodySize: 4 << 20}
	go s.Serve(&listener{n, l})
	return n.Addr().String(), nil
}

// serve opens the ports of the store and of all endpoints for an instance.
func (w *world) serve(i *instance) error {
	caller := &net.TCPAddr{IP: net.ParseIP(i.ip), Port: 1}
	toStore := &link{caller: caller}
	w.stores[i.ip] = toStore
	s := &standin.Store{Context: w.ended, Keyed: w.keyed, Network: w, Fault: func(string) standin.Fault { return standin.Fault{Delay: 3 * time.Millisecond} }}
	var err error
	if i.store, err = listen(w.base+"2", toStore, s.Handle); err != nil {
		return err
	}
	for _, e := range w.endpoints {
		ip := strings.Split(e.registration.Address, ":")[0]
		l := &link{caller: caller, local: &net.TCPAddr{IP: net.ParseIP(ip), Port: endpointPort}}
		address, err := listen(ip, l, w.serveEndpoint(l))
		if err != nil {
			return err
		}
		e.links[i.ip], e.addresses[i.ip] = l, address
	}
	return nil
}

// Route implements standin.Network.
func (w *world) Route(caller, address string) string {
	for _, e := range w.endpoints {
		if e.registration.Address == address {
			return e.addresses[caller]
		}
	}
	return address
}

// Target implements standin.Network.
func (w *world) Target(address string) string { return address }

// register writes the registration of an endpoint.
func (w *world) register(e *endpoint) {
	r := w.fleet.Registration(e.registration.Address)
	raw, _ := json.Marshal(map[string]any{
		"service": r.Service, "addr": r.Address, "zone": r.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"capacity": map[string]any{"cpu": r.Size.MilliCPU, "mem_mb": r.Size.MemoryMB, "gpu": 0}, "labels": r.Labels, "born": r.StartedUnixMS,
	})
	w.keyed.Set(platform.Records{}.EndpointsTopic(), string(r.ID), raw)
}

// unregister removes the registration of an endpoint.
func (w *world) unregister(e *endpoint) {
	w.keyed.Set(platform.Records{}.EndpointsTopic(), string(e.registration.ID), nil)
}

// configure writes a configuration with one queue.
func (w *world) configure(version int) {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 20000, "slo_ms": 2000, "prio": 0,
			"service": service, "attempts": attempts, "stretch": 3.0,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "rejects_overload": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	topic, key := platform.Records{}.ConfigTopic()
	w.keyed.Set(topic, key, raw)
}

// holder returns the instance that the store names as the holder of most partitions of a zone's group.
func (w *world) holder(zone string) *instance {
	counts := map[string]int{}
	for _, topic := range []string{"savorypass.lead." + zone} {
		owners, _ := w.keyed.Owners(context.Background(), topic)
		for _, o := range owners {
			if o.Partition == 0 {
				counts[o.Member]++
			}
		}
	}
	for _, i := range w.instances {
		for member := range counts {
			if strings.Contains(member, i.name+"|") {
				return i
			}
		}
	}
	return nil
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
}

// at returns a time as seconds from the start of the record.
func (w *world) at(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range w.instances {
			if i.ready() {
				ready++
			}
		}
		if ready == len(w.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready after 15 s")
}

// noteRuns writes all runs to the record.
func (w *world) noteRuns() {
	for _, s := range w.fleet.Starts() {
		end := "in progress"
		if !s.EndedAt.IsZero() {
			end = fmt.Sprintf("%.3f %s", w.at(s.EndedAt), s.Reason)
		}
		w.note("run     %s run %d at %s: %.3f to %s", s.Task, s.Run, s.Endpoint, w.at(s.StartedAt), end)
	}
}

// close ends all processes and deletes the folder of the run.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	w.end()
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, i := range w.instances {
			raw, _ := os.ReadFile(i.log())
			os.WriteFile(filepath.Join(keep, i.name+".log"), raw, 0o600)
		}
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}
