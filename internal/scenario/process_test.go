package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/savorypass/savorypass/internal/ctl"
	"github.com/savorypass/savorypass/internal/entry"
	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// runMain runs the tests. It registers the project's programs as commands, so that the test binary can run as each of them.
func runMain(m *testing.M) int {
	testscript.Main(m, map[string]func(){
		"savoryd":   func() { os.Exit(entry.Main()) },
		"savoryctl": func() { os.Exit(ctl.Run(os.Args[1:], ctl.ProcessEnv())) },
		"savory-log": func() {
			o := logservice.DefaultOptions()
			os.Exit(standin.Main("savory-log", &o, func() (standin.Process, error) { return logservice.Start(o) }))
		},
		"savory-instances": func() {
			o := instances.DefaultOptions()
			os.Exit(standin.Main("savory-instances", &o, func() (standin.Process, error) { return instances.Start(o) }))
		},
		"savory-worker": func() {
			o := worker.DefaultOptions()
			os.Exit(standin.Main("savory-worker", &o, func() (standin.Process, error) { return worker.Start(o) }))
		},
	})
	return 0
}

// process is a program that runs in a separate process. done is closed when the process has ended.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// processes returns a Launcher that starts each program in a separate process and appends its output to NAME.log in dir.
func processes(dir string) Launcher {
	return func(name, executable string, args []string) (Process, error) {
		out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		p := &process{cmd: exec.Command(executable, args...), done: make(chan struct{})}
		p.cmd.Stdout, p.cmd.Stderr = out, out
		// Ends the process with the test binary, so that it does not outlive a test that the test timeout ends.
		p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := p.cmd.Start(); err != nil {
			return nil, fmt.Errorf("%s: %w", executable, err)
		}
		go func() {
			p.cmd.Wait()
			close(p.done)
		}()
		return p, nil
	}
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

func (p *process) Kill()         { p.signal(syscall.SIGKILL) }
func (p *process) Stop()         { p.signal(syscall.SIGTERM) }
func (p *process) Wait()         { <-p.done }
func (p *process) Ended() bool   { return isClosed(p.done) }
func (p *process) Pause() error  { return p.signal(syscall.SIGSTOP) }
func (p *process) Resume() error { return p.signal(syscall.SIGCONT) }
