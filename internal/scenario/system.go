// Package scenario is test support: it runs a small deployment of entry instances and stand-ins, submits jobs to it
// under faults, and checks what callers and workers have seen against the promises of the design page.
package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/standin/address"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// Tokens of the deployment.
const (
	CallerToken    = "survey-token"
	OtherTeamToken = "desk-token" // of another team
	OperatorToken  = "operator-token"
)

// ConfigDocument returns a valid configuration. Documents of different numbers differ.
func ConfigDocument(n int) string {
	return fmt.Sprintf(`schema: 1
services:
  - {name: washout, idempotent: true, default_deadline: 30s, expected_run_time: 50ms}
  - {name: dispatch, default_deadline: 30s, expected_run_time: 50ms}
teams:
  - {name: survey, callers: [{name: inspectors, token_digest: %q}]}
  - {name: desk, callers: [{name: counter, token_digest: %q}]}
# revision %d
`, config.TokenDigest(CallerToken), config.TokenDigest(OtherTeamToken), n)
}

// Process is a started program.
type Process interface {
	Kill() // at once
	Stop() // as planned
	Wait() // until it has ended
	Ended() bool
	Pause() error
	Resume() error
}

// Launcher starts a program of the project with arguments.
type Launcher func(name, program string, args []string) (Process, error)

// Options describe a deployment.
type Options struct {
	Dir               string // for certificates and logs
	Launch            Launcher
	Zones             []string
	Entries           int // for each zone
	Workers           int // for each zone
	Slots             int // of each worker
	InstanceListLag   time.Duration
	LogRetentionCount int // records that the log keeps
}

// Program is one started program and how to start it again.
type Program struct {
	Name, Zone, Executable string
	CallerAddress          string // entry instance
	ControlAddress         string // operators' address of an entry instance, or a stand-in's address

	args    []string
	running Process
	starts  []worker.Starts // of the lives that have ended
	down    bool
	ends    int // lives that have ended
}

// System is a running deployment.
type System struct {
	opts         Options
	ca           *secure.DevCA
	Log          *Program
	InstanceList *Program
	Entries      []*Program
	Workers      []*Program
	History      *History
	clients      *clients
	revision     int
	logFault     logservice.Fault
	listFault    instances.Fault

	mu sync.Mutex
}

const program = "savoryd"

// Start starts a deployment. It is not ready yet, and it has no configuration.
func Start(o Options) (*System, error) {
	s := &System{opts: o, History: newHistory(), clients: newClients()}
	var err error
	if s.ca, err = secure.NewDevCA(time.Now()); err != nil {
		return nil, err
	}
	staff := "operator tester " + config.TokenDigest(OperatorToken) + "\n"
	if err := os.WriteFile(filepath.Join(o.Dir, "staff"), []byte(staff), 0o600); err != nil {
		return nil, err
	}
	for _, zone := range o.Zones {
		for i := range o.Entries {
			p, err := s.newEntry(zone, fmt.Sprintf("%s-e%d", zone, i+1))
			if err != nil {
				return nil, err
			}
			s.Entries = append(s.Entries, p)
		}
	}
	s.newPlatform()
	for _, p := range slices.Concat([]*Program{s.Log, s.InstanceList}, s.Workers, s.Entries) {
		if err := s.launch(p); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *System) newPlatform() {
	keep := s.opts.LogRetentionCount
	if keep == 0 {
		keep = 10_000
	}
	s.Log = &Program{Name: "log", Executable: "savory-log", ControlAddress: address.Free()}
	s.Log.args = []string{"--listen", s.Log.ControlAddress, "--retention-count", strconv.Itoa(keep)}
	s.InstanceList = &Program{Name: "list", Executable: "savory-instances", ControlAddress: address.Free()}
	s.InstanceList.args = []string{"--listen", s.InstanceList.ControlAddress, "--lag", s.opts.InstanceListLag.String()}
	for _, e := range s.Entries {
		peers := e.args[slices.Index(e.args, "--peers")+1]
		s.InstanceList.args = append(s.InstanceList.args, "--entry", strings.Join([]string{e.Zone + "/" + e.Name, peers, e.ControlAddress, e.CallerAddress}, ","))
		e.args = append(e.args, "--log-url", "http://"+s.Log.ControlAddress, "--instances-url", "http://"+s.InstanceList.ControlAddress)
	}
	for _, zone := range s.opts.Zones {
		for i := range s.opts.Workers {
			w := &Program{Name: fmt.Sprintf("%s-w%d", zone, i+1), Zone: zone, Executable: "savory-worker", ControlAddress: address.Free()}
			w.args = []string{
				"--listen", w.ControlAddress, "--name", w.Name, "--zone", zone, "--instances", s.InstanceList.ControlAddress,
				"--slots", strconv.Itoa(s.opts.Slots), "--run-time", "10ms",
			}
			s.Workers = append(s.Workers, w)
		}
	}
}

func (s *System) newEntry(zone, name string) (*Program, error) {
	settings, err := s.ca.Issue(secure.Name{Zone: zone, Instance: name})
	if err != nil {
		return nil, err
	}
	p := &Program{Name: name, Zone: zone, Executable: program, CallerAddress: address.Free(), ControlAddress: address.Free()}
	p.args = []string{
		"--name", name, "--zone", zone, "--callers", p.CallerAddress, "--operators", p.ControlAddress, "--peers", address.Free(),
		"--staff-tokens", filepath.Join(s.opts.Dir, "staff"), "--enable-faults", "--event-loops", "1", "--drain-timeout", "30s",
	}
	for flag, text := range map[string]string{"tls-cert": settings.Certificate, "tls-key": settings.Key, "tls-ca": settings.CA} {
		file := filepath.Join(s.opts.Dir, name+"."+flag)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		p.args = append(p.args, "--"+flag, file)
	}
	return p, nil
}

func (s *System) launch(p *Program) error {
	r, err := s.opts.Launch(p.Name, p.Executable, p.args)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.running, p.down = r, false
	return nil
}

// Up reports whether the program is meant to run.
func (s *System) Up(p *Program) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !p.down
}

func (s *System) markDown(p *Program) Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.down || p.running == nil {
		return nil
	}
	p.down = true
	p.ends++
	return p.running
}

// Kill ends a program without a word to anybody. A worker is halted first, so that its last starts are known.
func (s *System) Kill(p *Program) error {
	s.History.Note("kill %s", p.Name)
	if p.Executable == "savory-worker" {
		if err := s.saveStarts(p); err != nil {
			return err
		}
	}
	if r := s.markDown(p); r != nil {
		r.Kill()
		r.Wait()
	}
	return nil
}

// Stop ends a program as planned and waits until it has ended.
func (s *System) Stop(p *Program) {
	s.History.Note("stop %s", p.Name)
	if r := s.markDown(p); r != nil {
		r.Stop()
		r.Wait()
	}
}

// Restart starts a program that has ended and waits until it listens.
func (s *System) Restart(p *Program) error {
	s.History.Note("restart %s", p.Name)
	if err := s.launch(p); err != nil {
		return err
	}
	return WaitUntil(p.Name+" listens", WaitTimeout, func() string {
		c, err := net.Dial("tcp", p.ControlAddress)
		if err == nil {
			c.Close()
		}
		return text(err)
	})
}

// Pause stops a process where it is; Resume lets it go on.
func (s *System) Pause(p *Program) error {
	s.History.Note("pause %s", p.Name)
	return p.running.Pause()
}

// Resume ends a pause.
func (s *System) Resume(p *Program) error {
	s.History.Note("resume %s", p.Name)
	return p.running.Resume()
}

// RestartIfEnded starts a program again if it has ended by itself, as the platform does.
func (s *System) RestartIfEnded(p *Program) error {
	if !p.running.Ended() {
		return nil
	}
	s.History.Note("%s has ended by itself", p.Name)
	s.markDown(p)
	return s.Restart(p)
}

func (s *System) saveStarts(w *Program) error {
	if err := s.Fault(w, worker.Fault{Pause: true}); err != nil {
		return err
	}
	st, err := s.readStarts(w)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.starts = append(w.starts, st)
	return nil
}

// Close ends all programs.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, p := range slices.Concat(s.Entries, s.Workers, []*Program{s.InstanceList, s.Log}) {
		if r := s.markDown(p); r != nil {
			wg.Go(func() {
				r.Kill()
				r.Wait()
			})
		}
	}
	wg.Wait()
	s.clients.close()
}

// Find returns a program by its name.
func (s *System) Find(name string) (*Program, error) {
	for _, p := range slices.Concat(s.Entries, s.Workers, []*Program{s.InstanceList, s.Log}) {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("there is no program %q", name)
}

// WaitTimeout bounds each wait for a state. It is generous, as tests must not depend on the machine's speed.
const WaitTimeout = 60 * time.Second

var errLimit = errors.New("state not reached")

// WaitUntil waits for a state. ok returns "" when it is reached and otherwise what is missing.
func WaitUntil(what string, limit time.Duration, ok func() string) error {
	missing := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if missing = ok(); missing == "" {
			return nil
		}
	}
	return fmt.Errorf("%w in %s: %s: %s", errLimit, limit, what, missing)
}
