// Package peer carries messages between entry instances over QUIC with mutual TLS.
//
// Two processes share one connection. Each side opens two unidirectional streams on it: one for small frames and one
// for large frames, so that a large document does not delay heartbeats. Answers carry the number of their request, so
// they may come in any order and a waiting request needs no separate stream.
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
	DefaultMaxMessage  = 8 << 20  // bytes; enough for an answer with the outputs of a whole job
	DefaultMaxPending  = 32 << 20 // bytes queued for one peer on one stream
	DefaultMaxInFlight = 16384    // calls in flight to one peer, and requests of one peer being handled
	DefaultKeepAlive   = 400 * time.Millisecond
	// The sum of DefaultIdleTimeout and DefaultKeepAlive must stay below 2 s, the time within which a connection that
	// fails without notice must be detected: the idle timeout restarts with the first packet that is sent after the peer
	// has gone silent, and a keep-alive packet is sent after DefaultKeepAlive at the latest.
	DefaultIdleTimeout = 1500 * time.Millisecond
	DefaultDialTimeout = time.Second
	DefaultBackoffMin  = 50 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// Errors of Call and Notify. Every error that they return wraps one of these or is a *RemoteError.
var (
	// ErrUnreached means that no byte of the message was sent.
	ErrUnreached = errors.New("peer not reached")
	// ErrRefused means that the peer refused the request without passing it to a handler.
	ErrRefused = errors.New("peer refused the request")
	// ErrLost means that at least a part of the message may have been sent and no answer came. The peer may have
	// processed it.
	ErrLost = errors.New("no answer from peer")
)

// NotProcessed reports whether an error of Call proves that the peer did not process the request.
func NotProcessed(err error) bool {
	return errors.Is(err, ErrUnreached) || errors.Is(err, ErrRefused)
}

// RemoteError is an error that a peer's handler returned.
type RemoteError struct {
	Message string
}

// Error returns the handler's message.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Sender identifies the sender of a message. Zone and instance come from its verified certificate.
type Sender struct {
	secure.Name
	Addr string // address of the sender for Call and Notify
}

// Handler answers a request. The context ends when the sender's connection ends, so work that must outlive the
// connection needs another context. The handler may keep and modify the body. The results of a handler of a
// notification are ignored.
type Handler func(ctx context.Context, from Sender, body []byte) ([]byte, error)

// Options configures a Node. Zero values mean the defaults.
type Options struct {
	Listen      string // UDP host:port
	TLS         *secure.TLS
	Log         logrus.FieldLogger
	MaxMessage  int // bytes
	MaxPending  int // bytes queued for one peer on one stream
	MaxInFlight int // calls to one peer, and requests of one peer being handled
	KeepAlive   time.Duration
	IdleTimeout time.Duration
	DialTimeout time.Duration
	BackoffMin  time.Duration
	BackoffMax  time.Duration
	// CountBytes is called with the size of each frame that is sent or received, without the overhead of QUIC. It may be
	// nil.
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
