package ctl

import (
	"errors"
	"net/http"
	"net/url"
	"strings"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

type jobCommand struct {
	app  *app
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"the job's submission identity"`
	} `positional-args:"yes"`
}

type jobShowCommand struct{ jobCommand }

// Execute shows a job.
func (c *jobShowCommand) Execute([]string) error { return c.send(http.MethodGet) }

type jobCancelCommand struct{ jobCommand }

// Execute cancels a job.
func (c *jobCancelCommand) Execute([]string) error { return c.send(http.MethodDelete) }

// send sends the request to the job's home, which the identity names, and shows the job. A request without a response
// is sent once more, which is safe because a second cancellation has no effect.
func (c *jobCommand) send(method string) error {
	id, err := identity.Parse(c.Args.ID)
	if err != nil {
		return usagef("%q is not an identity", c.Args.ID)
	}
	home, err := c.app.home(id.Home)
	if err != nil {
		return err
	}
	r := request{address: home, method: method, path: opsapi.PathJobs + "/" + url.PathEscape(c.Args.ID), timeout: c.app.Timeout}
	var job opsapi.Job
	err = c.app.client.call(r, &job)
	var noResponse *noResponseError
	if errors.As(err, &noResponse) {
		err = c.app.client.call(r, &job)
	}
	if err != nil {
		return err
	}
	return c.app.show(job, func() *table { return jobTable(&job) })
}

// home returns the operators' address of the incarnation that issued an identity. It returns an error if another
// incarnation has replaced that one, because the jobs of the earlier incarnation are lost.
func (a *app) home(h identity.Home) (string, error) {
	views, err := a.instances()
	if err != nil {
		return "", err
	}
	for _, v := range views {
		if v.Instance != h.Instance || v.Zone != h.Zone {
			continue
		}
		if v.Incarnation != h.Incarnation {
			return "", exitf(ExitFailed, "the job's home %s was replaced: its incarnation was %d and is %d now; the job is lost", h.Instance, h.Incarnation, v.Incarnation)
		}
		if v.Status == nil {
			return "", exitf(ExitUnreachable, "the job's home %s in %s does not answer: %s", h.Instance, h.Zone, v.missingStatusReason())
		}
		return v.Operators, nil
	}
	return "", exitf(ExitFailed, "no instance knows the job's home %s in %s", h.Instance, h.Zone)
}

func jobTable(j *opsapi.Job) *table {
	t := newTable("FIELD", "VALUE")
	// Only the answer of an ended job is known, so fields without a value are omitted.
	addKnown := func(name string, v any) {
		if !isBlank(cell(v)) {
			t.add(name, v)
		}
	}
	t.add("identity", j.Identity)
	addKnown("team", j.Team)
	addKnown("service", j.Service)
	t.add("result", j.Name)
	t.add("final", j.Final)
	addKnown("message", j.Message)
	addKnown("age", millis(j.AgeMS))
	addKnown("deadline in", millis(j.DeadlineMS))
	if !j.Final {
		t.add("tasks queued", j.Tasks.Queued)
		t.add("tasks running", j.Tasks.Running)
		t.add("tasks delegated", j.Tasks.Delegated)
		t.add("tasks done", j.Tasks.Done)
	}
	if j.Outcome != nil {
		t.add("tasks that ran", j.Outcome.Ran)
		t.add("tasks not run", j.Outcome.NotRun)
		t.add("tasks that may have run", j.Outcome.MayHaveRun)
	}
	addKnown("workers", strings.Join(j.Workers, " "))
	return t
}
