package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

// Paths of the callers' interface.
const (
	pathIdentities = "/v1/identities"
	pathSubmit     = "/v1/jobs"
)

// defaultRetry is the wait before another attempt when the answer names none.
const defaultRetry = 500 * time.Millisecond

type submitCommand struct {
	app      *app
	To       []string      `long:"to" env:"SAVORY_CALLERS" env-delim:"," value-name:"ADDRESS" description:"callers' address, usually the load balancer; may be repeated"`
	Identity string        `long:"identity" value-name:"ID" description:"submit again under an identity of an earlier run"`
	Wait     time.Duration `long:"wait" default:"11m" description:"longest wait for the final answer"`
	Retry    bool          `long:"retry" description:"submit again after a refusal that names a time to come back"`
	Args     fileArg       `positional-args:"yes"`

	end  time.Time
	next int // address to use next
}

// Execute submits a job and prints its answer.
func (c *submitCommand) Execute([]string) error {
	if c.To = named(c.To); len(c.To) == 0 {
		return usagef("no address to submit to: set SAVORY_CALLERS or --to")
	}
	if err := checkAddresses("--to", c.To); err != nil {
		return err
	}
	job, err := c.read()
	if err != nil {
		return err
	}
	c.end = c.app.Now().Add(c.Wait)
	if job.Identity, err = c.identity(); err != nil {
		return err
	}
	c.app.notef("identity %s", job.Identity)
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	answer, err := c.untilFinal(body)
	if err != nil {
		c.app.notef("to ask again: savoryctl submit --identity %s %s", job.Identity, c.Args.File)
		return err
	}
	return c.finish(answer)
}

// read checks the file as an instance would, so that mistakes cost no identity.
func (c *submitCommand) read() (*api.Submit, error) {
	text, err := c.app.readFile(c.Args.File)
	if err != nil {
		return nil, err
	}
	// Without an identity, which is the last thing that is missing, the instance's own check says so.
	_, problem := api.DecodeSubmit(text)
	if problem == nil {
		return nil, usagef("%s: has an identity; use --identity to submit again under one", c.Args.File)
	}
	if problem.Code != result.IdentityRequired {
		return nil, usagef("%s: %w", c.Args.File, problem)
	}
	var job api.Submit
	if err := json.Unmarshal(text, &job); err != nil {
		return nil, usagef("%s: %w", c.Args.File, err)
	}
	checked := job
	checked.Identity = "unset"
	body, err := json.Marshal(checked)
	if err != nil {
		return nil, err
	}
	if _, problem := api.DecodeSubmit(body); problem != nil {
		return nil, usagef("%s: %w", c.Args.File, problem)
	}
	return &job, nil
}

// identity returns the given identity or gets a new one. An identity that was issued and lost costs nothing.
func (c *submitCommand) identity() (string, error) {
	if c.Identity != "" {
		return c.Identity, nil
	}
	got, err := c.anywhere(pathIdentities, []byte(`{"count":1}`), c.app.Timeout)
	if err != nil {
		return "", err
	}
	var ids api.Identities
	if err := json.Unmarshal(got.body, &ids); err == nil && len(ids.Identities) == 1 {
		return ids.Identities[0], nil
	}
	answer, err := readAnswer(got)
	if err != nil {
		return "", err
	}
	return "", exitf(answerCode(answer), "no identity from %s: %s: %s%s", c.To[c.next%len(c.To)], answer.Name, answer.Message, hint(answer))
}

// hint names the usual mistake behind a refusal.
func hint(a *api.Answer) string {
	switch a.Code {
	case result.Unauthenticated:
		return "\nadvice: submit needs a caller's token, not an operator's: --token-file or SAVORY_TOKEN_FILE"
	case result.UnknownPath:
		return "\nadvice: --to and SAVORY_CALLERS name callers' addresses, not operators'"
	}
	return "\nadvice: " + a.Code.Info().Advice
}

// anywhere sends a request that may be repeated to each address in turn until one answers.
func (c *submitCommand) anywhere(path string, body []byte, timeout time.Duration) (answer, error) {
	var problems []error
	for range c.To {
		r := request{address: c.To[c.next%len(c.To)], method: http.MethodPost, path: path, body: body, timeout: timeout}
		got, err := c.app.client.send(r)
		if err == nil {
			return got, nil
		}
		c.next++
		problems = append(problems, err)
	}
	return answer{}, exitf(ExitUnreachable, "no address answered:\n%w", errors.Join(problems...))
}

// untilFinal submits under the same identity until there is an answer to end with. A repetition attaches to the job or
// gets its answer; it never starts a task again.
func (c *submitCommand) untilFinal(body []byte) (*api.Answer, error) {
	for {
		left := c.end.Sub(c.app.Now())
		if left <= 0 {
			return nil, exitf(ExitFailed, "no final answer within %v; the job may have run", c.Wait)
		}
		got, err := c.anywhere(pathSubmit, body, left)
		if err != nil {
			c.app.notef("%v", err)
			c.pause(defaultRetry)
			if !c.app.Now().Before(c.end) {
				return nil, err
			}
			continue
		}
		answer, err := readAnswer(got)
		if err != nil || !c.again(answer) {
			return answer, err
		}
		c.pause(max(millis(answer.RetryAfterMS), defaultRetry))
	}
}

func (c *submitCommand) pause(d time.Duration) {
	c.app.Sleep(max(min(d, c.end.Sub(c.app.Now())), 0))
}

// again reports whether the same submission is to be sent once more.
func (c *submitCommand) again(a *api.Answer) bool {
	switch a.Code {
	case result.Running, result.HomeUnreachable:
		c.app.notef("%s; asking again", a.Name)
		return true
	case result.QueueFull, result.DeadlineUnreachable, result.RateLimited, result.NotReady, result.TooManyConnections:
		if c.Retry {
			c.app.notef("%s; submitting again after %v", a.Name, millis(a.RetryAfterMS))
		}
		return c.Retry
	}
	return false
}

func readAnswer(got answer) (*api.Answer, error) {
	var a api.Answer
	if err := json.Unmarshal(got.body, &a); err != nil || a.Name == "" {
		return nil, exitf(ExitFailed, "status %d, which is not an answer of a callers' listener", got.status)
	}
	return &a, nil
}

// finish prints the answer. Without a complete answer there is no output and the exit code says so.
func (c *submitCommand) finish(a *api.Answer) error {
	if c.app.Output == "json" {
		if err := c.app.showJSON(a); err != nil {
			return err
		}
	}
	if a.Code == result.Complete {
		return c.printOutputs(a)
	}
	text := fmt.Sprintf("%s (%s): %s", a.Name, a.Execution, a.Message)
	if a.RetryAfterMS > 0 {
		text += fmt.Sprintf("; come back in %v", millis(a.RetryAfterMS))
	}
	return exitf(answerCode(a), "%s\nadvice: %s", text, a.Code.Info().Advice)
}

func (c *submitCommand) printOutputs(a *api.Answer) error {
	if c.app.Output == "json" {
		return nil
	}
	t := newTable("TASK", "OUTPUT")
	for i, output := range a.Outputs {
		t.add(i, output)
	}
	return c.app.showTable(t)
}

// answerCode maps a caller's answer to an exit code: refusals ran nothing, all else failed.
func answerCode(a *api.Answer) int {
	if a.Code >= result.MalformedHTTP && a.Code < result.TaskFailed {
		return ExitRefused
	}
	return ExitFailed
}
