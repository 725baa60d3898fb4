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

// defaultRetryDelay is the shortest wait before another attempt. It is also the wait if there is no answer or the answer
// gives no time.
const defaultRetryDelay = 500 * time.Millisecond

type submitCommand struct {
	app      *app
	To       []string      `long:"to" env:"SAVORY_CALLERS" env-delim:"," value-name:"ADDRESS" description:"callers' address, usually the load balancer; may be repeated"`
	Identity string        `long:"identity" value-name:"ID" description:"submit again under an identity of an earlier run"`
	Wait     time.Duration `long:"wait" default:"11m" description:"longest wait for the final answer"`
	Retry    bool          `long:"retry" description:"submit again after a refusal that may be temporary, such as a full queue"`
	Args     fileArg       `positional-args:"yes"`

	deadline    time.Time // the time at which Wait has passed
	nextAddress int       // index of the address to use next, modulo len(To)
}

// Execute submits a job, waits for its final answer and prints it.
func (c *submitCommand) Execute([]string) error {
	if c.To = dropEmpty(c.To); len(c.To) == 0 {
		return usagef("no address to submit to: set SAVORY_CALLERS or --to")
	}
	if err := checkAddresses("--to", c.To); err != nil {
		return err
	}
	job, err := c.readJob()
	if err != nil {
		return err
	}
	c.deadline = c.app.Now().Add(c.Wait)
	if job.Identity, err = c.obtainIdentity(); err != nil {
		return err
	}
	c.app.notef("identity %s", job.Identity)
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	answer, err := c.submitUntilFinal(body)
	if err != nil {
		c.app.notef("to ask again: savoryctl submit --identity %s %s", job.Identity, c.Args.File)
		return err
	}
	return c.finish(answer)
}

// readJob reads the file and checks it as an instance would, so that a mistake does not use up an identity.
func (c *submitCommand) readJob() (*api.Submit, error) {
	text, err := c.app.readFile(c.Args.File)
	if err != nil {
		return nil, err
	}
	// The file must have no identity. The first check stops at the missing identity; a second one with a placeholder
	// covers the other fields.
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

// obtainIdentity returns the identity that --identity gives, or gets a new one. The request may be repeated, because an
// identity that is never used has no cost.
func (c *submitCommand) obtainIdentity() (string, error) {
	if c.Identity != "" {
		return c.Identity, nil
	}
	got, err := c.sendToAny(pathIdentities, []byte(`{"count":1}`), c.app.Timeout)
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
	return "", exitf(answerExitCode(answer), "no identity from %s: %s: %s%s", c.To[c.nextAddress%len(c.To)], answer.Name, answer.Message, adviceFor(answer))
}

// adviceFor returns the advice for a refused request for an identity. For a wrong token or address it names the usual
// mistake.
func adviceFor(a *api.Answer) string {
	switch a.Code {
	case result.Unauthenticated:
		return "\nadvice: submit needs a caller's token, not an operator's: --token-file or SAVORY_TOKEN_FILE"
	case result.UnknownPath:
		return "\nadvice: --to and SAVORY_CALLERS name callers' addresses, not operators'"
	}
	return "\nadvice: " + a.Code.Info().Advice
}

// sendToAny sends a request, which must be safe to repeat, to each address in turn until one responds.
func (c *submitCommand) sendToAny(path string, body []byte, timeout time.Duration) (response, error) {
	var problems []error
	for range c.To {
		r := request{address: c.To[c.nextAddress%len(c.To)], method: http.MethodPost, path: path, body: body, timeout: timeout}
		got, err := c.app.client.send(r)
		if err == nil {
			return got, nil
		}
		c.nextAddress++
		problems = append(problems, err)
	}
	return response{}, exitf(ExitUnreachable, "no address answered:\n%w", errors.Join(problems...))
}

// submitUntilFinal submits the job under the same identity until there is a final answer, a refusal that is not to be
// repeated, or the deadline has passed. A repeated submission attaches to the job or gets its answer; it never starts a
// task twice.
func (c *submitCommand) submitUntilFinal(body []byte) (*api.Answer, error) {
	for {
		remaining := c.deadline.Sub(c.app.Now())
		if remaining <= 0 {
			return nil, exitf(ExitFailed, "no final answer within %v; the job may have run", c.Wait)
		}
		got, err := c.sendToAny(pathSubmit, body, remaining)
		if err != nil {
			c.app.notef("%v", err)
			c.sleep(defaultRetryDelay)
			if !c.app.Now().Before(c.deadline) {
				return nil, err
			}
			continue
		}
		answer, err := readAnswer(got)
		if err != nil || !c.shouldRepeat(answer) {
			return answer, err
		}
		c.sleep(max(millis(answer.RetryAfterMS), defaultRetryDelay))
	}
}

// sleep waits for d, but not beyond the deadline.
func (c *submitCommand) sleep(d time.Duration) {
	c.app.Sleep(max(min(d, c.deadline.Sub(c.app.Now())), 0))
}

// shouldRepeat reports whether to submit again after an answer: always while the job runs or its home cannot be
// reached, and after a temporary refusal if --retry is given.
func (c *submitCommand) shouldRepeat(a *api.Answer) bool {
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

// readAnswer decodes the answer of a callers' listener.
func readAnswer(got response) (*api.Answer, error) {
	var a api.Answer
	if err := json.Unmarshal(got.body, &a); err != nil || a.Name == "" {
		return nil, exitf(ExitFailed, "status %d, which is not an answer of a callers' listener", got.status)
	}
	return &a, nil
}

// finish prints the answer as JSON, or the outputs of a complete answer as a table. For any other answer it returns an
// error with the message and the advice.
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
		text += fmt.Sprintf("; try again in %v", millis(a.RetryAfterMS))
	}
	return exitf(answerExitCode(a), "%s\nadvice: %s", text, a.Code.Info().Advice)
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

// answerExitCode returns the exit code for an answer that is not complete: ExitRefused for a refusal, after which
// nothing ran, and ExitFailed for all others.
func answerExitCode(a *api.Answer) int {
	if a.Code >= result.MalformedHTTP && a.Code < result.TaskFailed {
		return ExitRefused
	}
	return ExitFailed
}
