package shard

// unattended reports whether the endpoint may have runs for which nobody waits: no job does, or the instance that holds the job's caller
// has been silent for longer than abandonTime. The lease must not be extended for them.
func (x *session) unattended() bool {
	s := x.shard
	if s.pool.Unclaimed(x.endpoint.ID) {
		return true
	}
	for _, id := range s.pool.JobsOn(x.endpoint.ID) {
		if client := s.clients[id]; client == nil || client.Silence() > abandonTime {
			return true
		}
	}
	return false
}
