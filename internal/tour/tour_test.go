package tour

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/savorypass/savorypass/internal/ctl"
	"github.com/savorypass/savorypass/internal/entry"
	"github.com/savorypass/savorypass/internal/setup"
	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/address"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// TestMain lets the test binary act as each of the programs that the script runs.
func TestMain(m *testing.M) {
	log, list, workers := logservice.DefaultOptions(), instances.DefaultOptions(), worker.DefaultOptions()
	testscript.Main(m, map[string]func(){
		"savoryd":      func() { os.Exit(entry.Main()) },
		"savoryctl":    func() { os.Exit(ctl.Run(os.Args[1:], ctl.ProcessEnv())) },
		"savory-setup": func() { os.Exit(setup.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
		"savory-log": func() {
			os.Exit(standin.Main("savory-log", &log, func() (standin.Process, error) { return logservice.Start(log) }))
		},
		"savory-instances": func() {
			os.Exit(standin.Main("savory-instances", &list, func() (standin.Process, error) { return instances.Start(list) }))
		},
		"savory-worker": func() {
			os.Exit(standin.Main("savory-worker", &workers, func() (standin.Process, error) { return worker.Start(workers) }))
		},
	})
}

// Guards against a step of docs/getting-started.md that no longer works.
func TestGettingStarted(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			answers, err := os.ReadFile("../../examples/petra/answers.yaml")
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(env.WorkDir, "answers.yaml"), answers, 0o600)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addresses": addresses, "until": until, "edit": edit, "post": post,
		},
	})
}

// addresses implements the command "addresses NAME...". It sets environment variables to free addresses.
func addresses(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		ts.Setenv(name, address.Free())
	}
}

// until implements the command "until PATTERN PROGRAM ARGS...". It runs a program repeatedly until its standard output
// matches the pattern, and fails the test after 600 runs, at least 30 s.
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?s)" + args[0])
	var err error
	for range 600 {
		err = ts.Exec(args[1], args[2:]...)
		if pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s did not print %q: %v\n%s%s", strings.Join(args[1:], " "), args[0], err, ts.ReadFile("stdout"), ts.ReadFile("stderr"))
}

// edit implements the command "edit FILE OLD NEW". It replaces all occurrences of a text, which the file must contain.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s has no %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, args[1], args[2])), 0o600))
}

// post implements the command "post URL TOKEN-FILE BODY". It sends a POST request and prints the body of the response, as
// curl does. If the body contains an identity, it sets the variable ID to it.
func post(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest("POST", args[0], bytes.NewReader([]byte(args[2])))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(ts.ReadFile(args[1])))
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	if id := regexp.MustCompile(`"(1\.[^"]+)"`).FindSubmatch(text); id != nil {
		ts.Setenv("ID", string(id[1]))
	}
	fmt.Fprintf(ts.Stdout(), "%s", text)
}
