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

// TestMain lets the test's binary run as each of the project's programs.
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

// Guards the path of docs/getting-started.md against a step that stops working.
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

// addresses NAME... sets variables to free addresses.
func addresses(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		ts.Setenv(name, address.Free())
	}
}

// until PATTERN PROGRAM ARGS... runs a program again and again until its standard output matches.
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

// edit FILE OLD NEW replaces a text that the file must hold.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s has no %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, args[1], args[2])), 0o600))
}

// post URL TOKEN-FILE BODY prints the answer, as curl does. The variable ID is set to the identity in it.
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
