package shard

// updateUsable tells the pool whether the endpoint may get new runs, and if not, whether its report is expected soon. The shard's lock is
// held.
func (x *session) updateUsable() {
	p := x.shard.pool
	p.SetUsable(x.endpoint.ID, x.usable())
	p.SetAwaited(x.endpoint.ID, x.awaited())
}

// awaited reports whether the endpoint has been asked for its first report to the present fence, and nothing speaks against an answer. The
// shard's lock is held.
func (x *session) awaited() bool {
	s := x.shard
	switch {
	case !x.registered || x.endpoint.Draining || !x.registrationCurrent():
		return false
	case x.movedAt > 0 || x.leaseExpired || x.failures > 0 || x.refusedFence == s.term.Fence:
		return false
	case s.opts.Now() < s.pollsFrom:
		return false // its runs are not known for up to a lease
	}
	return x.reportedTo != s.term.Fence
}
