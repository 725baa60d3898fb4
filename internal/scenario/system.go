// Package scenario is test support. It runs a small deployment of entry instances and of stand-ins for the platform's
// services and workers, submits jobs to it under faults, and checks what callers and workers have recorded against the
// guarantees of the system. The comment of TestScenarios lists the guarantees.
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
	CallerToken    = "survey-token" // token of a caller of the team survey
	OtherTeamToken = "desk-token"   // token of a caller of the team desk
	OperatorToken  = "operator-token"
)

// ConfigDocument returns a valid configuration document that contains the number n, so that documents of different numbers
// differ.
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
	Kill()         // ends the program at once
	Stop()         // begins a planned stop
	Wait()         // returns when the program has ended
	Ended() bool   // reports whether the program has ended
	Pause() error  // suspends the program
	Resume() error // ends a pause
}

// Launcher starts an executable of the project, for example savoryd, under a name that is unique in the deployment.
type Launcher func(name, executable string, args []string) (Process, error)

// Options describe a deployment.
type Options struct {
	Dir               string // directory for certificates, staff tokens and logs
	Launch            Launcher
	Zones             []string
	Entries           int           // entry instances per zone
	Workers           int           // workers per zone
	Slots             int           // slots per worker
	InstanceListLag   time.Duration // time until readers of the instance list see a change
	LogRetentionCount int           // number of records that the log keeps; 0: 10,000
}

// Program is one program of a deployment and what is needed to start it again.
type Program struct {
	Name, Zone, Executable string
	CallerAddress          string // address of the callers' listener of an entry instance; empty for stand-ins
	ControlAddress         string // address of the operators' listener of an entry instance, or of a stand-in

	args        []string
	process     Process
	savedStarts []worker.Starts // records of a worker's processes that the test has killed
	down        bool            // the test has ended the program and not started it again
	endCount    int             // how often the program was marked as down
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
	httpClients  *httpClients
	revision     int // number of the latest ConfigDocument
	logFault     logservice.Fault
	listFault    instances.Fault

	mu sync.Mutex // guards revision and the state of the programs
}

// entryExecutable is the executable of an entry instance.
const entryExecutable = "savoryd"

// Start starts the programs of a deployment. The deployment has no configuration yet and is not ready; see Prepare.
func Start(o Options) (*System, error) {
	s := &System{opts: o, History: newHistory(), httpClients: newHTTPClients()}
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
	s.addPlatform()
	for _, p := range slices.Concat([]*Program{s.Log, s.InstanceList}, s.Workers, s.Entries) {
		if err := s.launch(p); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// addPlatform defines the log, the instance list and the workers, and adds the addresses of the log and of the list to the
// arguments of the entry instances.
func (s *System) addPlatform() {
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

// newEntry issues a certificate for an entry instance and defines its program.
func (s *System) newEntry(zone, name string) (*Program, error) {
	settings, err := s.ca.Issue(secure.Name{Zone: zone, Instance: name})
	if err != nil {
		return nil, err
	}
	p := &Program{Name: name, Zone: zone, Executable: entryExecutable, CallerAddress: address.Free(), ControlAddress: address.Free()}
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

// launch starts a program and marks it as up.
func (s *System) launch(p *Program) error {
	r, err := s.opts.Launch(p.Name, p.Executable, p.args)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.process, p.down = r, false
	return nil
}

// Up reports whether the test has started the program and not ended it since. A program that has ended by itself still
// counts as up.
func (s *System) Up(p *Program) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !p.down
}

// markDown marks a program as down and returns its process. It returns nil if the program is down already or was never
// started.
func (s *System) markDown(p *Program) Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.down || p.process == nil {
		return nil
	}
	p.down = true
	p.endCount++
	return p.process
}

// Kill ends a program at once, without a planned stop, and waits until it has ended. It pauses a worker first and saves its
// start records, which would be lost otherwise.
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

// Stop performs a planned stop of a program and waits until it has ended.
func (s *System) Stop(p *Program) {
	s.History.Note("stop %s", p.Name)
	if r := s.markDown(p); r != nil {
		r.Stop()
		r.Wait()
	}
}

// Restart starts a program that has ended and waits until it accepts connections.
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
		return errorText(err)
	})
}

// Pause suspends the process of a program until Resume.
func (s *System) Pause(p *Program) error {
	s.History.Note("pause %s", p.Name)
	return p.process.Pause()
}

// Resume lets a paused process continue.
func (s *System) Resume(p *Program) error {
	s.History.Note("resume %s", p.Name)
	return p.process.Resume()
}

// RestartIfEnded restarts a program if it has ended by itself, as the platform would.
func (s *System) RestartIfEnded(p *Program) error {
	if !p.process.Ended() {
		return nil
	}
	s.History.Note("%s has ended by itself", p.Name)
	s.markDown(p)
	return s.Restart(p)
}

// saveStarts pauses a worker, so that it starts nothing more, and saves its start records.
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
	w.savedStarts = append(w.savedStarts, st)
	return nil
}

// Close kills all programs and waits until they have ended.
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
	s.httpClients.close()
}

// Find returns the program of the given name.
func (s *System) Find(name string) (*Program, error) {
	for _, p := range slices.Concat(s.Entries, s.Workers, []*Program{s.InstanceList, s.Log}) {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("there is no program %q", name)
}

// WaitTimeout is the timeout of waits for a state. It is long, so that tests do not depend on the speed of the machine.
const WaitTimeout = 60 * time.Second

var errWaitTimeout = errors.New("state not reached")

// WaitUntil waits for a state that "what" describes, at most for limit. check returns "" when the state is reached and
// otherwise what is missing.
func WaitUntil(what string, limit time.Duration, check func() string) error {
	missing := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if missing = check(); missing == "" {
			return nil
		}
	}
	return fmt.Errorf("%w within %s: %s: %s", errWaitTimeout, limit, what, missing)
}
