// Package peer carries messages between entry instances over QUIC with mutual TLS.
//
// Two processes share one connection. On it each side keeps two streams: one for small frames and one for large
// frames, so that a document does not hold up heartbeats. Requests and answers are matched by number, so answers
// come in any order and waiting requests cost no stream.
package peer

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/secure"
)

// Defaults of Options.
const (
	DefaultMaxMessage  = 8 << 20  // bytes; holds an answer with the outputs of a whole job
	DefaultMaxPending  = 32 << 20 // bytes waiting to be sent to one peer on one stream
	DefaultMaxInFlight = 16384    // calls to one peer, and requests of one peer being handled
	DefaultKeepAlive   = 400 * time.Millisecond
	// DefaultIdleTimeout and DefaultKeepAlive together stay below 2 s, the time in which a connection that has
	// silently died must be found: the idle time-out restarts with the first packet sent into the silence, which
	// is a keep-alive at the latest.
	DefaultIdleTimeout = 1500 * time.Millisecond
	DefaultDialTimeout = time.Second
	DefaultBackoffMin  = 50 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// Errors of Call and Notify. Every error that they return is, or wraps, one of these or is a *RemoteError.
var (
	// ErrUnreached means that no byte of the message was sent.
	ErrUnreached = errors.New("peer not reached")
	// ErrRefused means that the peer refused the request before its handler saw it.
	ErrRefused = errors.New("peer refused the request")
	// ErrLost means that the message was at least partly sent and no answer came; it may have been processed.
	ErrLost = errors.New("no answer from peer")
)

// NotProcessed reports whether an error of Call proves that the peer did not process the request.
func NotProcessed(err error) bool {
	return errors.Is(err, ErrUnreached) || errors.Is(err, ErrRefused)
}

// RemoteError is the error that a peer's handler returned.
type RemoteError struct {
	Message string
}

// Error returns the handler's message.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Sender names the sender of a message. Zone and instance are those of its verified certificate.
type Sender struct {
	secure.Name
	Addr string // address that Call and Notify reach the sender at
}

// Handler answers a request. The context ends when the sender's connection ends, so a handler whose work must
// outlive the connection may not pass the context on. The body belongs to the handler. For a notification the
// returned values are ignored.
type Handler func(ctx context.Context, from Sender, body []byte) ([]byte, error)

// Options configures a Node. Zero values take the defaults.
type Options struct {
	Listen      string // UDP address
	TLS         *secure.TLS
	Log         logrus.FieldLogger
	MaxMessage  int
	MaxPending  int
	MaxInFlight int
	KeepAlive   time.Duration
	IdleTimeout time.Duration
	DialTimeout time.Duration
	BackoffMin  time.Duration
	BackoffMax  time.Duration
	// CountBytes is told the bytes of each frame that is sent or received, without those of QUIC. It may be nil.
	CountBytes   func(m Method, bytes int)
	EnableFaults bool // allows SetCut; for tests and debug runs only
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxMessage, DefaultMaxMessage)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.BackoffMin, DefaultBackoffMin)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	if o.CountBytes == nil {
		o.CountBytes = func(Method, int) {}
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
