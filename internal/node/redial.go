package node

import "time"

const (
	// startSpread is how far apart the instances of a deployment start when all start together, as after a loss of power.
	startSpread = 500 * time.Millisecond
	// startRedialDelay takes the place of redialDelay within startSpread of this process's start: an instance that refuses a connection may
	// be starting.
	startRedialDelay = 50 * time.Millisecond
)

// redialPause returns the pause before an address is dialed again.
func (r *router) redialPause() time.Duration {
	if time.Since(r.started) < startSpread {
		return startRedialDelay
	}
	return redialDelay
}
