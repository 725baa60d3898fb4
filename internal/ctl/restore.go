package ctl

import (
	"errors"
	"net/http"
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

type configRestoreCommand struct {
	app  *app
	Yes  bool          `short:"y" long:"yes" description:"do not ask for confirmation"`
	Wait time.Duration `long:"wait" default:"15s" description:"longest wait until the version is in force everywhere; 0s does not wait"`
	Args fileArg       `positional-args:"yes"`
}

// Execute makes the file the configuration from which a log that has lost records continues, and waits until it is in
// force.
func (c *configRestoreCommand) Execute([]string) error {
	text, err := c.app.readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.Args.File == "-" && !c.Yes {
		return usagef("standard input holds the document, so the confirmation cannot be read; use --yes")
	}
	endpoint, err := c.app.validate(text)
	if err != nil {
		return err
	}
	if !c.Yes {
		c.app.notef("Restore only if the log has lost records that no live instance has. Every version that only " +
			"the lost records held is discarded.")
		if err := c.app.confirm("Make this file the configuration?"); err != nil {
			return err
		}
	}
	version, err := c.send(endpoint, text)
	if err != nil {
		return err
	}
	c.app.notef("restored as version %d", version)
	p := configPublishCommand{app: c.app, Wait: c.Wait}
	r := &publishReport{Version: version}
	if c.Wait <= 0 {
		return p.finish(r)
	}
	return p.awaitInForce(r)
}

// send restores at the instance that has validated the document. The operator may repeat the command after an unknown
// outcome: once a restoration has taken effect, the instance is missing no record and refuses another.
func (c *configRestoreCommand) send(endpoint string, text []byte) (int64, error) {
	r := request{address: endpoint, method: http.MethodPost, path: opsapi.PathRestore, body: text, timeout: publishTimeout}
	var published opsapi.PublishResult
	err := c.app.client.call(r, &published)
	var noResponse *noResponseError
	if (errors.As(err, &noResponse) && noResponse.maybeSent) || refusalResult(err) == result.ConfigUnresolved {
		return 0, exitf(ExitFailed, "it is unknown whether the file was restored; check 'savoryctl config history', then restore again: %w", err)
	}
	return published.Version, err
}
