// Package logservice is a stand-in for the platform's log service, an HTTP server that keeps its records in memory.
//
// The log service has named streams, to which records can only be appended. The offset of a record is its position in the
// stream, counted from 0. Old records are dropped; the retention bounds the age and number of those that are kept.
package logservice

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/standin"
)

// Options are the settings of the stand-in.
type Options struct {
	Listen         string        `long:"listen" env:"SAVORY_LOG_LISTEN" description:"address host:port; port 0 takes a free port"`
	RetentionAge   time.Duration `long:"retention-age" env:"SAVORY_LOG_RETENTION_AGE" description:"age at which records are dropped"`
	RetentionCount int           `long:"retention-count" env:"SAVORY_LOG_RETENTION_COUNT" description:"maximum number of records that are kept per stream"`
	Rate           float64       `long:"rate" env:"SAVORY_LOG_RATE" description:"maximum rate of appends per second over all streams"`
	Burst          int           `long:"burst" env:"SAVORY_LOG_BURST" description:"maximum number of appends at once"`
	MaxRecord      int           `long:"max-record" env:"SAVORY_LOG_MAX_RECORD" description:"maximum size of a record in bytes"`

	Clock clockwork.Clock `no-flag:"true"`
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Listen:         "127.0.0.1:0",
		RetentionAge:   time.Hour,
		RetentionCount: 10_000,
		Rate:           300,
		Burst:          30,
		MaxRecord:      1 << 20,
		Clock:          clockwork.NewRealClock(),
	}
}

// Check returns an error that lists all invalid settings, or nil.
func (o *Options) Check() error {
	var p standin.Problems
	p.CheckAddress("listen", o.Listen)
	p.AddIf(o.RetentionAge <= 0, "retention-age is %s, must be above 0", o.RetentionAge)
	p.AddIf(o.RetentionCount < 1, "retention-count is %d, must be at least 1", o.RetentionCount)
	p.AddIf(o.Rate <= 0, "rate is %g, must be above 0", o.Rate)
	p.AddIf(o.Burst < 1, "burst is %d, must be at least 1", o.Burst)
	p.AddIf(o.MaxRecord < 1, "max-record is %d, must be at least 1", o.MaxRecord)
	return p.Err()
}
