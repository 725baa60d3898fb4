package peer

import (
	"cmp"
	"slices"
	"time"
)

// ConnState is the state of a connection, for operators.
type ConnState struct {
	Peer     string        `json:"peer"`
	Addr     string        `json:"addr"`
	Dialed   bool          `json:"dialed"`         // whether this process opened the connection
	Calls    int           `json:"calls"`          // calls of this process in flight
	Serving  int64         `json:"serving"`        // requests of the peer being handled
	Pending  int           `json:"pending_bytes"`  // bytes queued for sending
	Sent     uint64        `json:"sent_bytes"`     // bytes of UDP payload sent
	Received uint64        `json:"received_bytes"` // bytes of UDP payload received
	Lost     uint64        `json:"lost_packets"`   // sent packets that were lost
	RTT      time.Duration `json:"rtt_ns"`
	Cut      bool          `json:"cut,omitempty"` // traffic is dropped by fault injection
}

// Dump returns the states of all connections as a []ConnState, sorted by peer and address.
func (n *Node) Dump() any {
	states := []ConnState{}
	for _, c := range n.openConns() {
		states = append(states, c.state())
	}
	slices.SortFunc(states, func(a, b ConnState) int {
		return cmp.Or(cmp.Compare(a.Peer, b.Peer), cmp.Compare(a.Addr, b.Addr))
	})
	return states
}

func (c *conn) state() ConnState {
	q := c.quic.ConnectionStats()
	s := ConnState{
		Peer:     c.from.Name.String(),
		Addr:     c.from.Addr,
		Dialed:   c.dialed,
		Serving:  c.serving.Load(),
		Sent:     q.BytesSent,
		Received: q.BytesReceived,
		Lost:     q.PacketsLost,
		RTT:      q.SmoothedRTT,
		Cut:      c.cut.Load(),
	}
	for _, w := range c.out {
		s.Pending += w.pending()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Calls = len(c.calls)
	return s
}

// pending returns the number of queued bytes that have not been passed to the stream.
func (w *writer) pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buf)
}
