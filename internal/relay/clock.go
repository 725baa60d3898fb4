package relay

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/pause"
)

// A message may wait long before it is handled: in a socket, in a queue, for a lock or for the processor. What it says was true when it
// was composed, so the receiver has to know its age. The clocks of two machines have nothing in common; heartbeats relate them by round
// trips. Each heartbeat tells when it was composed and, of the last heartbeat that the sender received, when that was composed and when
// it was received. The reading of the peer's clock at that receipt is not earlier than the own reading that it echoes. This gives the
// latest time, on the own clock, before which a reading of the peer's clock cannot have been taken.

// offsetWindow is how long the result of a round trip counts at least. Clocks may drift apart by 1 ms meanwhile.
const offsetWindow = 5 * time.Second

// clockReading is the part of a heartbeat that relates the clocks of both ends of a connection.
type clockReading struct {
	// Composed is when the heartbeat was composed, on the sender's clock; 0 from an instance of an earlier version.
	Composed time.Duration `msgpack:"t,omitempty"`
	// Echo is Composed of the last heartbeat that the sender received, Received when it received that, on its own clock.
	Echo     time.Duration `msgpack:"e,omitempty"`
	Received time.Duration `msgpack:"r,omitempty"`
}

// peerClock relates the clock of the peer to the own one. It is safe for concurrent use.
type peerClock struct {
	mu       sync.Mutex
	echo     time.Duration // Composed of the last heartbeat from the peer
	received time.Duration // when it was received
	offsets  [2]offset     // of the present window and the one before
}

// offset is the greatest lower bound of the own clock less the peer's that the round trips of a window have shown.
type offset struct {
	since time.Duration
	known bool
	value time.Duration
}

// reading returns what a heartbeat that is composed now says.
func (p *peerClock) reading() clockReading {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clockReading{Composed: pause.Elapsed(), Echo: p.echo, Received: p.received}
}

// observe records a heartbeat that is received now.
func (p *peerClock) observe(r clockReading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := pause.Elapsed()
	p.echo, p.received = r.Composed, now
	if r.Echo == 0 {
		return
	}
	if now-p.offsets[0].since > offsetWindow {
		p.offsets[0], p.offsets[1] = offset{since: now}, p.offsets[0]
	}
	p.offsets[0].raise(r.Echo - r.Received)
}

func (o *offset) raise(value time.Duration) {
	if !o.known || value > o.value {
		o.known, o.value = true, value
	}
}

// own returns the time on the own clock at which the peer's clock had a reading, at the earliest. ok is false before the first round trip.
func (p *peerClock) own(reading time.Duration) (at time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.offsets[0]
	if p.offsets[1].known {
		best.raise(p.offsets[1].value)
	}
	return reading + best.value, best.known
}

// composedAt returns the time on the own clock at which a message was composed, at the earliest; 0 if that is not known, as of messages of
// instances of earlier versions.
func (p *peerClock) composedAt(reading time.Duration) time.Duration {
	if reading == 0 {
		return 0
	}
	at, known := p.own(reading)
	if !known {
		return 0
	}
	return at
}
