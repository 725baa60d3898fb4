package daemon

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/secure"
)

// LogOptions are the settings of the log. Programs embed them in their own settings.
type LogOptions struct {
	Level string `long:"log-level" env:"SAVORY_LOG_LEVEL" default:"info" description:"error, warning, info, debug or trace"`
}

// Validate returns every problem of the settings.
func (o *LogOptions) Validate() []error {
	var c Checks
	if level, err := logrus.ParseLevel(o.Level); err != nil || level < logrus.ErrorLevel {
		c.Addf("log-level", "is %q, must be error, warning, info, debug or trace", o.Level)
	}
	return c.Problems()
}

// NewLogger returns a logger that writes one line of key=value pairs per event and removes secrets from it. If o has
// not been validated and its level is invalid, the level is info.
func NewLogger(w io.Writer, o LogOptions) *logrus.Logger {
	log := NewUnredactedLogger(w, o)
	log.AddHook(secure.LogHook{})
	return log
}

// NewUnredactedLogger returns a logger like that of NewLogger which does not remove secrets. It is meant for programs
// that hold none: searching a line for secrets costs more than writing it.
func NewUnredactedLogger(w io.Writer, o LogOptions) *logrus.Logger {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	return log
}
