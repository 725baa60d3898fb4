// Package traffic counts an instance's calls, connections and bytes by kind, so that operators see what fills its link.
package traffic

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"sync"
)

// Kind names a kind of call or message, for example "start" or "uplink".
type Kind string

// The kinds of calls and messages.
const (
	Start      Kind = "start"      // requests to start a run at an endpoint
	Stop       Kind = "stop"       // requests to stop a run at an endpoint
	Renewal    Kind = "renewal"    // lease renewals, whose answers are the endpoints' reports
	Connection Kind = "connection" // connections opened to endpoints and to the store
	Read       Kind = "read"       // reads of new records in the store, followed by the topic
	Newest     Kind = "newest"     // reads of the newest record of each key in the store, followed by the topic
	Write      Kind = "write"      // writes to the store
	Membership Kind = "membership" // joins and leaves of groups of the store
	Owners     Kind = "owners"     // look-ups of the members of a group of the store
	Uplink     Kind = "uplink"     // connections to dispatchers on other instances
	Downlink   Kind = "downlink"   // connections of other instances to the dispatchers of this one
	Callers    Kind = "callers"    // callers' requests and responses, without their headers
)

// Of returns the kind of calls about a topic.
func (k Kind) Of(topic string) Kind { return k + "." + Kind(topic) }

// Counts are the totals of one kind since the process started.
type Counts struct {
	Calls    int64 `json:"calls"`
	Failed   int64 `json:"failed,omitempty"` // calls without a response
	Sent     int64 `json:"sent"`             // bytes
	Received int64 `json:"received"`         // bytes
}

// String returns the counts as text: calls, failed calls, bytes sent and bytes received.
func (c Counts) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", c.Calls, c.Failed, c.Sent, c.Received)
}

// Meter counts by kind. It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	mu    sync.Mutex
	kinds map[Kind]Counts
}

// New returns a meter whose counts are zero.
func New() *Meter { return &Meter{kinds: map[Kind]Counts{}} }

// Add adds to the counts of a kind.
func (m *Meter) Add(k Kind, c Counts) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.kinds[k]
	sum.Calls += c.Calls
	sum.Failed += c.Failed
	sum.Sent += c.Sent
	sum.Received += c.Received
	m.kinds[k] = sum
}

// Snapshot returns the counts of all kinds.
func (m *Meter) Snapshot() map[Kind]Counts {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.kinds)
}

// String returns the counts as JSON, as expvar requires.
func (m *Meter) String() string {
	raw, err := json.Marshal(m.Snapshot())
	if err != nil {
		return "null"
	}
	return string(raw)
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meter *Meter
	kind  Kind
}

// Conn returns a connection whose bytes are counted under a kind.
func (m *Meter) Conn(c net.Conn, k Kind) net.Conn {
	m.Add(k, Counts{Calls: 1})
	return &meteredConn{c, m, k}
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Add(c.kind, Counts{Received: int64(n)})
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Add(c.kind, Counts{Sent: int64(n)})
	return n, err
}
