package ctl

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

const (
	publishTimeout         = 25 * time.Second       // above the 15 s within which an instance answers a publication
	pollInterval           = 250 * time.Millisecond // half of the interval at which instances poll the log
	resolveHistoryVersions = 100                    // versions that are searched for a nonce
)

type configPublishCommand struct {
	app      *app
	Yes      bool          `short:"y" long:"yes" description:"do not ask for confirmation"`
	Replaces *int64        `long:"replaces" value-name:"VERSION" description:"publish only if this version is in force; the default is the version that the file is compared with"`
	Wait     time.Duration `long:"wait" default:"15s" description:"longest wait until the version is in force everywhere; 0s does not wait"`
	Args     fileArg       `positional-args:"yes"`

	nonce string // set by tests; empty means a random one
}

// publishReport is the JSON output of a publication or a restoration. InForce, NotInForce and Gone hold names of
// instances. The nonce is a random text that identifies the publication's record in the log and in histories.
type publishReport struct {
	Version    int64    `json:"version"`
	Replaces   int64    `json:"replaces"`
	Nonce      string   `json:"nonce"`
	InForce    []string `json:"in_force"`
	NotInForce []string `json:"not_in_force"`
	Gone       []string `json:"gone,omitempty"`
}

// Execute shows the difference, asks for confirmation, publishes the file and waits until it is in force.
func (c *configPublishCommand) Execute([]string) error {
	text, err := c.app.readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.Args.File == "-" && !c.Yes {
		return usagef("standard input holds the document, so the confirmation cannot be read; use --yes")
	}
	current, err := c.app.current()
	if err != nil {
		return err
	}
	if c.Replaces != nil && *c.Replaces != current.Version {
		return exitf(ExitConflict, "--replaces is %d, but version %d is in force", *c.Replaces, current.Version)
	}
	if _, err := c.app.validate(text); err != nil {
		return err
	}
	changes := difference(&current, c.Args.File, text)
	if changes == "" {
		c.app.notef("no difference from version %d; nothing to publish", current.Version)
		return c.finish(&publishReport{Version: current.Version, Replaces: current.Version})
	}
	fmt.Fprint(c.app.Err, changes)
	if !c.Yes {
		if err := c.app.confirm(fmt.Sprintf("Publish this as the successor of version %d?", current.Version)); err != nil {
			return err
		}
	}
	return c.publish(text, current.Version)
}

func (c *configPublishCommand) publish(text []byte, replaces int64) error {
	r := &publishReport{Replaces: replaces, Nonce: c.nonce}
	if r.Nonce == "" {
		r.Nonce = rand.Text()
	}
	version, err := c.send(text, r)
	if err != nil {
		c.showConflict(err, text)
		return err
	}
	r.Version = version
	c.app.notef("published as version %d", version)
	if c.Wait <= 0 {
		return c.finish(r)
	}
	return c.awaitInForce(r)
}

// showConflict prints, after a conflict, how the file differs from the version that was published first.
func (c *configPublishCommand) showConflict(err error, text []byte) {
	if exitCode(err) != ExitConflict {
		return
	}
	if current, err := c.app.current(); err == nil {
		fmt.Fprint(c.app.Err, difference(&current, c.Args.File, text))
	}
}

// send publishes at the first endpoint that can be reached and returns the version. If the response is lost or the
// instance does not know the outcome, it reads the outcome from the history.
func (c *configPublishCommand) send(text []byte, r *publishReport) (int64, error) {
	var problems []error
	for _, e := range c.app.Endpoints {
		var published opsapi.PublishResult
		err := c.app.client.call(publishRequest(e, text, r), &published)
		var noResponse *noResponseError
		switch {
		case err == nil:
			return published.Version, nil
		case errors.As(err, &noResponse) && !noResponse.maybeSent:
			problems = append(problems, err)
			continue
		case errors.As(err, &noResponse) || refusalResult(err) == result.ConfigUnresolved:
			c.app.notef("%v", err)
			return c.resolveOutcome(r)
		}
		return 0, err
	}
	return 0, noInstanceAnswered(problems)
}

func publishRequest(endpoint string, text []byte, r *publishReport) request {
	args := url.Values{}
	args.Set(opsapi.ArgReplaces, strconv.FormatInt(r.Replaces, 10))
	args.Set(opsapi.ArgNonce, r.Nonce)
	return request{
		address: endpoint,
		method:  http.MethodPut,
		path:    opsapi.PathConfig + "?" + args.Encode(),
		body:    text,
		timeout: publishTimeout,
	}
}

// resolveOutcome polls the history until it shows the outcome of the publication: the record with the nonce was
// accepted, or another record got the version, so that this one can never be accepted.
func (c *configPublishCommand) resolveOutcome(r *publishReport) (int64, error) {
	c.app.notef("the answer was lost; reading the history for nonce %s", r.Nonce)
	limit := max(c.Wait, pollInterval)
	for deadline := c.app.Now().Add(limit); ; c.app.Sleep(pollInterval) {
		version, err := c.findOutcome(r)
		if version > 0 || err != nil {
			return version, err
		}
		if !c.app.Now().Before(deadline) {
			return 0, exitf(ExitFailed, "unknown whether version %d was replaced: nonce %s was not in any history within %v; "+
				"publishing the same file again with --replaces %d cannot take effect twice", r.Replaces, r.Nonce, limit, r.Replaces)
		}
	}
}

// findOutcome returns the version with the nonce, 0 if the outcome is still open, or an error with ExitConflict if
// another publication has replaced the version r.Replaces.
func (c *configPublishCommand) findOutcome(r *publishReport) (int64, error) {
	views, err := c.app.instances()
	if err != nil {
		return 0, nil // no instance can be reached now; the next attempt may reach one
	}
	var successor *opsapi.Config // the version that has replaced r.Replaces
	for _, v := range views {
		if v.Status == nil {
			continue
		}
		var h opsapi.History
		if err := c.app.getFrom(v.Operators, historyPath(resolveHistoryVersions), &h); err != nil {
			continue
		}
		for i := range h.Versions {
			if h.Versions[i].Nonce == r.Nonce {
				return h.Versions[i].Version, nil
			}
			if h.Versions[i].Version == r.Replaces+1 {
				successor = &h.Versions[i]
			}
		}
	}
	if successor != nil {
		return 0, exitf(ExitConflict, "version %d was published by %s instead; compare and publish again", successor.Version, cell(successor.Author))
	}
	return 0, nil
}

// awaitInForce waits until the version is in force on every instance that is not gone, prints the progress and shows
// the report. It returns an error with ExitPartial if that takes longer than c.Wait.
func (c *configPublishCommand) awaitInForce(r *publishReport) error {
	lastLine := ""
	for deadline := c.app.Now().Add(c.Wait); ; c.app.Sleep(pollInterval) {
		views, err := c.app.instances()
		if err == nil {
			r.classify(views)
		}
		if line := r.progress(err); line != lastLine {
			c.app.notef("%s", line)
			lastLine = line
		}
		if err == nil && len(r.NotInForce) == 0 {
			return c.finish(r)
		}
		if !c.app.Now().Before(deadline) {
			return c.notInForceError(r, err)
		}
	}
}

// classify sorts the instances into those where the version is in force, those where it is not, and those that are
// gone.
func (r *publishReport) classify(views []instanceView) {
	r.InForce, r.NotInForce, r.Gone = nil, nil, nil
	for _, v := range views {
		switch {
		case v.Status == nil && v.State == opsapi.MemberGone:
			r.Gone = append(r.Gone, v.Instance)
		case v.configVersion() >= r.Version:
			r.InForce = append(r.InForce, v.Instance)
		default:
			r.NotInForce = append(r.NotInForce, v.Instance)
		}
	}
}

func (r *publishReport) progress(err error) string {
	if err != nil {
		return "no instance answers: " + strings.ReplaceAll(err.Error(), "\n", " ")
	}
	total := len(r.InForce) + len(r.NotInForce)
	line := fmt.Sprintf("version %d in force on %d of %d instances", r.Version, len(r.InForce), total)
	if len(r.NotInForce) > 0 {
		line += ", waiting for " + strings.Join(r.NotInForce, ", ")
	}
	return line
}

// notInForceError shows the report and returns an error that says where the version is not in force. err is that of the
// last discovery.
func (c *configPublishCommand) notInForceError(r *publishReport, err error) error {
	if showErr := c.finish(r); showErr != nil {
		return showErr
	}
	if err != nil {
		return exitf(ExitPartial, "version %d was published, but it is not known where it is in force: %w", r.Version, err)
	}
	return exitf(ExitPartial, "version %d was published but is not in force on %s after %v", r.Version, strings.Join(r.NotInForce, ", "), c.Wait)
}

// finish shows the report.
func (c *configPublishCommand) finish(r *publishReport) error {
	return c.app.show(r, func() *table {
		t := newTable("VERSION", "REPLACES", "IN FORCE", "NOT IN FORCE", "GONE")
		t.add(r.Version, r.Replaces, strings.Join(r.InForce, " "), strings.Join(r.NotInForce, " "), strings.Join(r.Gone, " "))
		return t
	})
}
