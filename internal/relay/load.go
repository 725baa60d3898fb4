package relay

import "github.com/savorypass/savorypass/internal/pool"

// Load is the load of the dispatcher of one partition. Instances of earlier versions send no Headroom.
type Load struct {
	Partition int `msgpack:"p"`
	// Pressure is the capacity that running and waiting tasks request, in percent of the total capacity.
	Pressure int `msgpack:"l"`
	// Knowledge identifies the dispatcher and its term among all.
	Knowledge uint64 `msgpack:"e,omitempty"`
	// Partitions is the number of partitions of the zone that the dispatcher uses; 0 from an instance of an earlier version.
	Partitions int `msgpack:"n,omitempty"`
	// Total, Free and Rate are those of pool.Headroom.
	Total int `msgpack:"t,omitempty"`
	Free  int `msgpack:"f,omitempty"`
	Rate  int `msgpack:"r,omitempty"`
}

// NewLoad returns the load of a dispatcher.
func NewLoad(partition, pressure int, knowledge uint64, h pool.Headroom) Load {
	return Load{Partition: partition, Pressure: pressure, Knowledge: knowledge, Total: h.Total, Free: h.Free, Rate: h.Rate}
}

// HasHeadroom reports whether the dispatcher has told its headroom, and has endpoints.
func (l Load) HasHeadroom() bool { return l.Total > 0 }

// noteSent subtracts what a job requests from the known headroom of its dispatcher, until the next report counts it. An instance that sends
// several jobs between two reports would otherwise send all of them to the same partition.
func (u *Uplink) noteSent(s *Submit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l, ok := u.loads[s.Partition]; ok && l.HasHeadroom() {
		l.Free -= s.Job.InitialMilliCPU()
		u.loads[s.Partition] = l
	}
}

// noteLoad records the load that came with an answer. It is newer than that of the last heartbeat, since both come over one connection.
func (u *Uplink) noteLoad(l *Load) {
	if l == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.loads == nil {
		u.loads = map[int]Load{}
	}
	u.loads[l.Partition] = *l
}
