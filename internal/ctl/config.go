package ctl

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

// maxFileBytes is more than any instance accepts. It guards against reading a wrong, huge file into memory.
const maxFileBytes = 16 << 20

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"a file, or - for standard input"`
}

// readFile reads a file, or standard input if the name is -. It returns an error with ExitUsage if the text is empty or
// longer than maxFileBytes.
func (a *app) readFile(name string) ([]byte, error) {
	var from io.Reader = a.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, usagef("%w", err)
		}
		defer f.Close()
		from = f
	}
	text, err := io.ReadAll(io.LimitReader(from, maxFileBytes+1))
	if err != nil {
		return nil, usagef("%w", err)
	}
	if len(text) > maxFileBytes {
		return nil, usagef("%s has more than %d bytes", name, maxFileBytes)
	}
	if len(strings.TrimSpace(string(text))) == 0 {
		return nil, usagef("%s is empty", name)
	}
	return text, nil
}

type configGetCommand struct{ app *app }

// Execute prints the document in force.
func (c *configGetCommand) Execute([]string) error {
	var current opsapi.Config
	if _, err := c.app.get(opsapi.PathConfig, &current); err != nil {
		return err
	}
	if c.app.Output == "json" {
		return c.app.showJSON(current)
	}
	c.app.notef("version %d, published %s by %s", current.Version, current.Published.UTC().Format(time.RFC3339), cell(current.Author))
	_, err := fmt.Fprint(c.app.Out, current.Document)
	return err
}

type configHistoryCommand struct {
	app *app
	Max int `long:"max" default:"20" description:"number of versions, 1 to 1000"`
}

// Execute lists the published versions.
func (c *configHistoryCommand) Execute([]string) error {
	if c.Max < 1 || c.Max > 1000 {
		return usagef("--max is %d, must be 1 to 1000", c.Max)
	}
	var h opsapi.History
	if _, err := c.app.get(historyPath(c.Max), &h); err != nil {
		return err
	}
	return c.app.show(h, func() *table {
		t := newTable("VERSION", "PUBLISHED", "AUTHOR", "SCHEMA", "NONCE", "DIGEST")
		for _, v := range h.Versions {
			t.add(v.Version, v.Published.UTC().Format(time.RFC3339), v.Author, v.Schema, v.Nonce, shortDigest(v.Digest))
		}
		return t
	})
}

// shortDigest returns the first 12 characters of a digest, enough to tell versions apart.
func shortDigest(digest string) string { return digest[:min(len(digest), 12)] }

func historyPath(max int) string {
	return opsapi.PathHistory + "?" + opsapi.ArgMax + "=" + strconv.Itoa(max)
}

type configValidateCommand struct {
	app  *app
	Args fileArg `positional-args:"yes"`
}

// Execute has a file validated by an instance and prints its problems.
func (c *configValidateCommand) Execute([]string) error {
	text, err := c.app.readFile(c.Args.File)
	if err != nil {
		return err
	}
	_, err = c.app.validate(text)
	if refusalResult(err) == result.ConfigInvalid {
		return &exitError{ExitFailed, err}
	}
	if err != nil {
		return err
	}
	if c.app.Output == "json" {
		return c.app.showJSON(opsapi.Validation{Valid: true})
	}
	_, err = fmt.Fprintf(c.app.Out, "%s is valid\n", c.Args.File)
	return err
}

// validate has a document validated by the first endpoint that can be reached, and returns that endpoint. Problems are
// an error with result.ConfigInvalid.
func (a *app) validate(text []byte) (endpoint string, err error) {
	if err := a.requireEndpoints(); err != nil {
		return "", err
	}
	var problems []error
	for _, e := range a.Endpoints {
		var ok opsapi.Validation
		r := request{address: e, method: http.MethodPost, path: opsapi.PathValidate, body: text, timeout: a.Timeout}
		err := a.client.call(r, &ok)
		if exitCode(err) != ExitUnreachable {
			return e, err
		}
		problems = append(problems, err)
	}
	return "", noInstanceAnswered(problems)
}

type configDiffCommand struct {
	app      *app
	ExitCode bool    `long:"exit-code" description:"exit with 1 when there is a difference"`
	Args     fileArg `positional-args:"yes"`
}

// Execute compares a file with the configuration in force.
func (c *configDiffCommand) Execute([]string) error {
	text, err := c.app.readFile(c.Args.File)
	if err != nil {
		return err
	}
	current, err := c.app.current()
	if err != nil {
		return err
	}
	changes := difference(&current, c.Args.File, text)
	if err := c.print(&current, changes); err != nil {
		return err
	}
	if c.ExitCode && changes != "" {
		return exitf(ExitFailed, "the file differs from version %d", current.Version)
	}
	return nil
}

func (c *configDiffCommand) print(current *opsapi.Config, changes string) error {
	if c.app.Output == "json" {
		return c.app.showJSON(map[string]any{"version": current.Version, "different": changes != "", "diff": changes})
	}
	if changes == "" {
		c.app.notef("no difference from version %d", current.Version)
	}
	_, err := fmt.Fprint(c.app.Out, changes)
	return err
}

// current returns the configuration in force, or version 0 without a document if there is none yet.
func (a *app) current() (opsapi.Config, error) {
	var current opsapi.Config
	_, err := a.get(opsapi.PathConfig, &current)
	if refusalResult(err) == result.ConfigUnavailable {
		return opsapi.Config{}, nil
	}
	return current, err
}

// difference returns a unified diff from the document in force to the file's text, empty if they are equal.
func difference(current *opsapi.Config, name string, text []byte) string {
	old := "version " + strconv.FormatInt(current.Version, 10)
	return string(diff.Diff(old, []byte(current.Document), name, text))
}
