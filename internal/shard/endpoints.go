package shard

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/work"
)

// The endpoints of the partition: a session for each registered one, and for those that may still have runs.

// UpdateEndpoints applies a read of the registrations after which those in removed have ended. Without a term it does nothing.
func (s *Shard) UpdateEndpoints(r Registrations, removed []work.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return
	}
	s.registrations.read(r.AsOf)
	for _, e := range r.Changed {
		if s.owns(e) {
			s.updateEndpoint(e)
		}
	}
	for _, id := range removed {
		s.unregister(id)
	}
	s.releaseResumed(s.opts.Now())
	s.dispatch()
}

func (s *Shard) updateEndpoint(e work.Endpoint) {
	if e.ColdLeft > 0 {
		e.ColdUntil = s.opts.Now() + e.ColdLeft
	}
	x := s.sessions[e.ID]
	if x != nil && x.endpoint.Address != e.Address {
		if !x.endedBefore(e) {
			s.move(x, e)
			return
		}
		s.drop(x, "moved", false)
		x = nil
	}
	s.pool.Update(e)
	if x != nil {
		if x.endpoint.Draining != e.Draining || !x.registered {
			s.opts.Log.WithFields(logrus.Fields{"event": "endpoint", "endpoint": e.ID, "draining": e.Draining}).Info("registration changed")
		}
		x.endpoint, x.registered = e, true
		x.updateUsable()
		return
	}
	s.begin(newSession(s, e))
	s.sessions[e.ID].updateUsable()
}

// begin makes a session that of its endpoint and begins to poll.
func (s *Shard) begin(x *session) {
	s.sessions[x.endpoint.ID] = x
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(s.ctx)
	go x.run(ctx)
}

// move continues the session of an endpoint at another address, where its process, or one that cannot be told from it, is registered now.
// The runs at the earlier address may go on there until their lease has expired. The endpoint gets no new runs and no longer lease
// before it has reported.
func (s *Shard) move(x *session, to work.Endpoint) {
	s.opts.Log.WithFields(logrus.Fields{
		"event": "endpoint_moved", "endpoint": to.ID, "from": x.endpoint.Address, "to": to.Address, "tasks": x.runNames(),
	}).Warn("endpoint registered with another address; its runs may go on")
	x.cancel()
	s.opts.Window.Forget(x.path)
	s.pool.Update(to)
	s.pool.SetUsable(to.ID, false)
	s.begin(x.movedTo(to))
	now := s.opts.Now()
	for _, r := range s.pool.RunsOn(to.ID) {
		if !r.MayHaveStarted() {
			s.finish(s.pool.RunLost(r, now)) // the request to start it is not sent any more
		}
	}
}

// unregister stops new runs on an endpoint whose registration has ended. Its present runs are still followed.
func (s *Shard) unregister(id work.EndpointID) {
	x := s.sessions[id]
	if x == nil || !x.registered {
		return
	}
	x.registered = false
	s.pool.SetUsable(id, false)
	s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_unlisted", "endpoint": id}).Info("registration ended")
}

// drop ends the session of an endpoint that is known to run nothing, and its runs with it. crashed is true if another process answers in
// place of its own.
func (s *Shard) drop(x *session, why string, crashed bool) {
	if s.sessions[x.endpoint.ID] != x {
		return
	}
	delete(s.sessions, x.endpoint.ID)
	s.forgetReports()
	x.cancel()
	s.opts.Window.Forget(x.path)
	s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_dropped", "endpoint": x.endpoint.ID, "why": why, "tasks": x.runNames()}).
		Info("endpoint dropped")
	if crashed {
		x.processEnded(s.opts.Now())
	}
	s.finish(s.pool.Remove(x.endpoint.ID, s.opts.Now()))
}
