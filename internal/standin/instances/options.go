// Package instances is a stand-in for the platform's instance list.
package instances

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/standin"
)

// Options configure the stand-in. DefaultOptions gives the defaults.
type Options struct {
	Listen  string          `long:"listen" env:"SAVORY_INSTANCES_LISTEN" description:"address host:port; port 0 takes a free port"`
	Lag     time.Duration   `long:"lag" env:"SAVORY_INSTANCES_LAG" description:"readers see the state of that long ago"`
	Expiry  time.Duration   `long:"expiry" env:"SAVORY_INSTANCES_EXPIRY" description:"an instance that is not renewed for that long is removed"`
	Entries []string        `long:"entry" env:"SAVORY_INSTANCES_ENTRIES" env-delim:";" description:"entry instance to watch: ZONE/NAME,PEERS,OPERATORS,CALLERS with three addresses"`
	Clock   clockwork.Clock `no-flag:"true"`
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Listen: "127.0.0.1:0",
		Lag:    time.Second,
		Expiry: 5 * time.Second,
		Clock:  clockwork.NewRealClock(),
	}
}

// Check lists all problems of the settings.
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
