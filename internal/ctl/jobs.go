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
func (c *jobShowCommand) Execute([]string) error { return c.at(http.MethodGet) }

type jobCancelCommand struct{ jobCommand }

// Execute cancels a job.
func (c *jobCancelCommand) Execute([]string) error { return c.at(http.MethodDelete) }

// at sends the request to the job's home, which the identity names. A cancel whose answer was lost is sent once more,
// since cancelling twice changes nothing.
func (c *jobCommand) at(method string) error {
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
	var broken *brokenError
	if errors.As(err, &broken) {
		err = c.app.client.call(r, &job)
	}
	if err != nil {
		return err
	}
	return c.app.show(job, func() *table { return jobTable(&job) })
}

// home finds the address of the incarnation that issued an identity.
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
			return "", exitf(ExitUnreachable, "the job's home %s in %s does not answer: %s", h.Instance, h.Zone, v.silence())
		}
		return v.Operators, nil
	}
	return "", exitf(ExitFailed, "no instance knows the job's home %s in %s", h.Instance, h.Zone)
}

func jobTable(j *opsapi.Job) *table {
	t := newTable("FIELD", "VALUE")
	// An ended job is known by its answer only, so what describes the open job is left out.
	known := func(name string, v any) {
		if !blank(cell(v)) {
			t.add(name, v)
		}
	}
	t.add("identity", j.Identity)
	known("team", j.Team)
	known("service", j.Service)
	t.add("result", j.Name)
	t.add("final", j.Final)
	known("message", j.Message)
	known("age", millis(j.AgeMS))
	known("deadline in", millis(j.DeadlineMS))
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
	known("workers", strings.Join(j.Workers, " "))
	return t
}
