// Package httpx implements the interfaces platform.Dialer, platform.Endpoint, platform.Log and platform.InstanceList
// over HTTP/1.1.
//
// It uses fasthttp's message types on its own connections instead of fasthttp.HostClient. Reporting correctly whether a
// task may have run depends on two facts that HostClient does not report: whether a byte of a request was written, and
// whether an idle connection was still open when the request was written. No request is ever written twice.
package httpx

import "time"

// Headers of the platform's HTTP interfaces.
const (
	HeaderTask         = "X-Task"         // identity and index of the task
	HeaderService      = "X-Service"      // service of the task
	HeaderLease        = "X-Lease-Ms"     // lease in milliseconds
	HeaderCores        = "X-Cores"        // declared size of the task in cores
	HeaderMemory       = "X-Memory-Mb"    // declared memory of the task in MB
	HeaderAccelerators = "X-Accelerators" // declared number of accelerators of the task
	HeaderNotStarted   = "X-Not-Started"  // 1 on a 503: the task was refused before its start
	HeaderLeaving      = "X-Leaving"      // 1: the worker is leaving
	HeaderZone         = "X-Zone"         // availability zone of the sender
)

// Options configure the adapters. Zero values take the defaults.
type Options struct {
	// Zone is sent as HeaderZone when it is not empty.
	Zone string
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed instead of reused. It must be well below the idle
	// timeout of the server, because a request written while the server closes the connection counts as Lost.
	IdleTimeout time.Duration
	// CallTimeout bounds calls whose context has no earlier deadline. It does not apply to Run.
	CallTimeout time.Duration
	// CountControlBytes receives the size in bytes of each control call with its response. Runs of tasks and fetches of
	// their outputs are not control calls. It may be nil.
	CountControlBytes func(bytes int)
	// MaxResponseBytes bounds the size of the body of a response.
	MaxResponseBytes int
}

// The defaults of Options.
const (
	DefaultDialTimeout      = time.Second
	DefaultIdleTimeout      = 10 * time.Second
	DefaultCallTimeout      = 5 * time.Second
	DefaultMaxResponseBytes = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.CountControlBytes == nil {
		o.CountControlBytes = func(int) {}
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return o
}
