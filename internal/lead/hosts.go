package lead

import "time"

// hosts reports whether another zone has to serve the callers of this instance's zone, so that its dispatchers matter as much as own ones.
func (c *Controller) hosts(zone string) bool { return c.opts.Hosts != nil && c.opts.Hosts(zone) }

// hostLookUpPause returns the pause between look-ups of the dispatchers of a zone that serves the callers of this instance's zone. known is
// true if a dispatcher of it is known and none was lost lately.
func hostLookUpPause(known bool) time.Duration {
	if known {
		return ownLookUpInterval
	}
	return ownSearchInterval
}
