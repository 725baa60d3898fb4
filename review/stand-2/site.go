//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

// Bounds and figures of the installation, those of petra-clasp unless a case says otherwise.
const (
	service    = "repair-desk"
	host       = "desk.example"
	prefix     = "/jobs/"
	attempts   = 4
	holdMax    = time.Second
	cancelMS   = 3000 * time.Millisecond
	stopMS     = 50 * time.Millisecond
	visibleMS  = 3000 * time.Millisecond
	retransmit = 1300 * time.Millisecond
	contactMS  = 3000 * time.Millisecond
	finishS    = 14 * time.Second
	graceS     = 6 * time.Second
)

var runnerSize = work.Size{MilliCPU: 16000, MemoryMB: 32768}

// machine is one machine of class edge. At most one process runs on it at a time.
type machine struct {
	site        *site
	name, zone  string
	ip          string
	front, own  string // addresses of the callers' and the health checks' listener
	port        int
	store       *storeServer
	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	misses      int
	disturbedAt time.Time
}

type site struct {
	dir      string
	program  string
	zones    []string
	statusS  int
	keyed    *keyed.Store
	runners  *runners
	machines []*machine
	cancel   context.CancelFunc
	began    time.Time

	mu        sync.Mutex
	loss      func(call string) (bool, time.Duration)
	runnerN   int
	addresses map[string][]string // of runners, by zone
}

type siteOptions struct {
	machines map[string]int // by zone
	runners  map[string]int // by zone
	statusS  int
	zones    []string
}

func newSite(o siteOptions, times func(work.TaskID) time.Duration, fails func(work.TaskID) bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, zones: o.zones, statusS: o.statusS, keyed: keyed.New(), began: time.Now(), addresses: map[string][]string{}}
	s.program, err = filepath.Abs("target/savorypass")
	if err != nil {
		return nil, err
	}
	f := fleet.New(0)
	f.MaxLease, f.StopTime, f.RunTime, f.Fails = holdMax, 30*time.Millisecond, times, fails
	f.LoseAnswer = func(call string) (bool, time.Duration) {
		s.mu.Lock()
		loss := s.loss
		s.mu.Unlock()
		if loss == nil {
			return false, 0
		}
		return loss(call)
	}
	s.runners = newRunners(f)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, zone := range o.zones {
		for range o.runners[zone] {
			if err := s.addRunner(zone); err != nil {
				return nil, err
			}
		}
	}
	topic, key := standin.ConfigRecord()
	s.keyed.Set(topic, key, standin.Config(7, host, service, attempts, prefix))
	subnet := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	n := 0
	for _, zone := range o.zones {
		for k := range o.machines[zone] {
			n++
			m := &machine{site: s, name: fmt.Sprintf("edge-%s-%d", zone, k+1), zone: zone, ip: subnet + fmt.Sprint(10+n)}
			if m.store, err = serveStore(ctx, s.keyed); err != nil {
				return nil, err
			}
			m.front, m.own = freeAt(m.ip), freeAt(m.ip)
			fmt.Sscanf(freeAt(m.ip)[len(m.ip)+1:], "%d", &m.port)
			s.machines = append(s.machines, m)
		}
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	go s.balance(ctx)
	return s, nil
}

// freeAt returns an address of an IP whose port is free, below the ports that outgoing connections use.
func freeAt(ip string) string {
	for {
		address := fmt.Sprintf("%s:%d", ip, 11000+rand.IntN(20000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// addRunner starts a runner in a zone and registers it.
func (s *site) addRunner(zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.runnerN++
	e := work.Endpoint{ID: work.EndpointID(fmt.Sprintf("rn%04d", s.runnerN)), Service: service, Address: l.Addr().String(), Zone: zone, Size: runnerSize, Labels: []string{"a", fmt.Sprintf("r%d", s.runnerN/8)}}
	s.addresses[zone] = append(s.addresses[zone], e.Address)
	s.mu.Unlock()
	s.runners.fleet.Add(e)
	s.register(e)
	go (&fasthttp.Server{Handler: s.runners.handle, NoDefaultServerHeader: true}).Serve(l)
	return nil
}

func (s *site) register(e work.Endpoint) {
	e.StartedUnixMS = s.runners.fleet.Resize(e.Address, e.Size).StartedUnixMS
	s.keyed.Set(standin.EndpointsTopic(), string(e.ID), standin.Registration(e))
}

func (m *machine) settings() string {
	var zones strings.Builder
	for _, z := range m.site.zones {
		fmt.Fprintf(&zones, "  %s: jordan-central\n", z)
	}
	return fmt.Sprintf(`node: %q
role: "dispatcher"
machine_class: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "jordan-central"
zones:
%slisten: {front: %q, ready: %q}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds: {seed_lag_s: 3, reuse_delay_s: 2, contact_ms: 3000, ack_ms: 4000, catchup_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, hold_max_ms: 1000, stop_ms: 50, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: %d, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, impact_ms: 4000, retransmit_ms: 1300}
orders: "rpc"
platform: {addr: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: %d, append_ms: 3.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 300, partition_mb: 200, min_ttl_ms: 1000}
`, m.name, m.ip, m.zone, zones.String(), m.front, m.own, m.port, m.port+3, m.site.statusS, m.store.address, keyed.Partitions)
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.site.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(m.site.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SAVORYPASS_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		cmd.Wait()
		close(done)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbedAt = time.Now()
	m.cmd.Process.Signal(sig)
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	<-done
}

func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceS):
		m.kill()
	}
}

// balance asks each machine once a second whether it is ready.
func (s *site) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range s.machines {
			go func() {
				status, _, err := fasthttp.GetTimeout(nil, "http://"+m.own+"/api/ready", 900*time.Millisecond)
				m.mu.Lock()
				defer m.mu.Unlock()
				if err != nil || status != 200 {
					m.misses++
				} else {
					m.misses = 0
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.misses < 2
}

// pick returns the machine to which a new channel of a client goes.
func (s *site) pick(zone string, r int) *machine {
	var own, ready []*machine
	for _, m := range s.machines {
		if m.zone == zone {
			own = append(own, m)
			if m.inRotation() {
				ready = append(ready, m)
			}
		}
	}
	switch {
	case len(ready) == 0:
		for _, m := range s.machines {
			if m.inRotation() {
				ready = append(ready, m)
			}
		}
		if len(ready) == 0 {
			ready = s.machines
		}
	case 2*len(ready) < len(own):
		ready = own
	}
	return ready[r%len(ready)]
}

// holder returns the machine that holds the first partition of a zone's group, according to the store.
func (s *site) holder(zone string) *machine {
	owners, _ := s.keyed.Owners(context.Background(), "savorypass.lead."+zone)
	for _, o := range owners {
		for _, m := range s.machines {
			if o.Partition == 0 && strings.HasPrefix(o.Member, m.name+"|") {
				return m
			}
		}
	}
	return nil
}

func (s *site) close() {
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	s.cancel()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// setLoss sets which calls to runners get no answer; nil for none.
func (s *site) setLoss(loss func(call string) (bool, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = loss
}

func (s *site) runnerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runnerN
}
