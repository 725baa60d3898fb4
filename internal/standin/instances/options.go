// Package instances is a stand-in for the platform's instance list, an HTTP server with a client for its changes.
//
// The instance list names every entry instance and worker with its availability zone, addresses, state and incarnation, a
// number that identifies one process of the instance and changes with each restart. Readers see changes with a lag. An
// instance whose registration is not renewed expires and is removed.
package instances

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/standin"
)

// Options are the settings of the stand-in.
type Options struct {
	Listen  string          `long:"listen" env:"SAVORY_INSTANCES_LISTEN" description:"address host:port; port 0 takes a free port"`
	Lag     time.Duration   `long:"lag" env:"SAVORY_INSTANCES_LAG" description:"age of the state that readers see"`
	Expiry  time.Duration   `long:"expiry" env:"SAVORY_INSTANCES_EXPIRY" description:"time without a renewal after which an instance is removed"`
	Entries []string        `long:"entry" env:"SAVORY_INSTANCES_ENTRIES" env-delim:";" description:"entry instance to watch: ZONE/NAME,PEERS,OPERATORS,CALLERS with three addresses"`
	Clock   clockwork.Clock `no-flag:"true"`
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Listen: "127.0.0.1:0",
		Lag:    time.Second,
		Expiry: 5 * time.Second,
		Clock:  clockwork.NewRealClock(),
	}
}

// Check returns an error that lists all invalid settings, or nil.
func (o *Options) Check() error {
	var p standin.Problems
	p.CheckAddress("listen", o.Listen)
	p.AddIf(o.Lag < 0, "lag is %s, must be at least 0", o.Lag)
	p.AddIf(o.Expiry <= 0, "expiry is %s, must be above 0", o.Expiry)
	for _, e := range o.Entries {
		_, err := ParseEntry(e)
		p.AddIf(err != nil, "%v", err)
	}
	return p.Err()
}
