// Package share carries the engine's slot sharing between entry instances: backlog reports, grants, delegated tasks and
// their results.
package share

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// Transport sends messages to peers.
type Transport interface {
	Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error)
	Notify(addr string, m peer.Method, body []byte) error
	Handle(m peer.Method, h peer.Handler)
	HandleInline(m peer.Method, h peer.Handler)
}

// Member is a live peer that is not draining.
type Member struct {
	Name         string // ZONE/INSTANCE
	Zone         string
	Addr         string
	ExpectedWait time.Duration // of a task submitted there
}

// Members knows the live peers.
type Members interface {
	// Live returns the peers that may get and give work, this instance excluded.
	Live() []Member
	// Member returns a peer by name. ok is false for one that is not live.
	Member(name string) (m Member, ok bool)
}

// Spill decides when work goes to another availability zone.
type Spill struct {
	Enabled        bool
	WaitDifference time.Duration
}

// Options configures a Service.
type Options struct {
	Zone      string
	Transport Transport
	Members   Members
	Spill     func() Spill
	Log       logrus.FieldLogger
	Now       func() time.Time
	Wasted    func(metric.Kind) // counts messages that led to no start; may be nil
}

const (
	callTimeout   = time.Second
	resultRetries = 3
	resultRetry   = 100 * time.Millisecond
	pendingTTL    = 15 * time.Minute // longer than any deadline
	remoteReport  = 20 * time.Millisecond
)

// Service implements engine.Sharing and serves the peers' messages.
type Service struct {
	opts    Options
	engine  *engine.Engine
	pending pending
	open    reports
	told    map[string]bool // peers that hold a report of this instance; owned by the engine's loop
	remote  time.Time       // last report to other availability zones
}

var _ engine.Sharing = (*Service)(nil)

// New returns a service without an engine; Serve gives it one.
func New(opts Options) *Service {
	if opts.Wasted == nil {
		opts.Wasted = func(metric.Kind) {}
	}
	return &Service{opts: opts, open: reports{peers: map[string]bool{}}, told: map[string]bool{}, pending: pending{tasks: map[string]*entry{}}}
}

// RegisterHandlers registers the handlers of messages from peers.
func (s *Service) RegisterHandlers(e *engine.Engine) {
	s.engine = e
	t := s.opts.Transport
	t.HandleInline(peer.Backlog, s.backlog)
	t.HandleInline(peer.Grant, s.grant)
	t.HandleInline(peer.GrantReturn, s.grantReturn)
	t.HandleInline(peer.DelegateStop, s.stop)
	t.Handle(peer.Delegate, s.delegate)
	t.Handle(peer.DelegateResult, s.results)
	t.Handle(peer.DelegateStatus, s.status)
}

// PeerName returns the name by which a sender of messages is known to the engine.
func PeerName(from peer.From) string { return from.Zone + "/" + from.Instance }

// Backlog implements engine.Sharing. Peers of the zone are always told; others only when their expected wait is shorter
// by more than the configured difference.
func (s *Service) Backlog(b sched.Backlog) {
	body := message.Encode(&message.Backlog{Count: b.Queued, BestRank: b.Best, Size: b.Size})
	if b.Queued == 0 {
		s.withdraw(body)
		return
	}
	spill := s.opts.Spill()
	now := s.opts.Now()
	far := spill.Enabled && now.Sub(s.remote) >= remoteReport
	for _, m := range s.opts.Members.Live() {
		if m.Zone != s.opts.Zone {
			if !far || b.Wait-m.ExpectedWait <= spill.WaitDifference {
				continue
			}
			s.remote = now
		}
		if s.opts.Transport.Notify(m.Addr, peer.Backlog, body) == nil {
			s.told[m.Name] = true
			s.superseded(m.Name, true)
		}
	}
}

// withdraw takes the last report back where it was sent to.
func (s *Service) withdraw(body []byte) {
	for name := range s.told {
		if m, ok := s.opts.Members.Member(name); ok {
			s.opts.Transport.Notify(m.Addr, peer.Backlog, body)
		}
		delete(s.told, name)
		s.superseded(name, false)
	}
}

// Grant implements engine.Sharing.
func (s *Service) Grant(name string, id uint64, slots int) {
	m, ok := s.opts.Members.Member(name)
	if ok && s.opts.Transport.Notify(m.Addr, peer.Grant, message.Encode(&message.Grant{ID: id, Slots: slots})) == nil {
		return
	}
	s.engine.ReturnGrant(name, id)
}

func (s *Service) backlog(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.Backlog
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.engine.SetDemand(PeerName(from), engine.Demand{
		Queued: m.Count, Best: m.BestRank, Size: m.Size, Remote: from.Zone != s.opts.Zone,
	})
	return nil, nil
}

func (s *Service) grant(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.Grant
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.open.set(PeerName(from), false)
	s.engine.UseGrant(PeerName(from), m.ID, m.Slots, func(used int) {
		if used == 0 {
			back := message.Encode(&message.GrantReturn{ID: m.ID, Slots: m.Slots})
			s.opts.Transport.Notify(from.Addr, peer.GrantReturn, back)
		}
	})
	return nil, nil
}

func (s *Service) grantReturn(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.GrantReturn
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.engine.ReturnGrant(PeerName(from), m.ID)
	return nil, nil
}

func (s *Service) stop(_ context.Context, _ peer.From, body []byte) ([]byte, error) {
	var m message.DelegateStop
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.engine.StopForeign(m.Tasks)
	return nil, nil
}

func (s *Service) status(_ context.Context, _ peer.From, body []byte) ([]byte, error) {
	var m message.DelegateStatus
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	var out message.DelegateStates
	for _, st := range s.engine.ForeignStatus(m.Tasks) {
		out.Tasks = append(out.Tasks, message.TaskState(st))
	}
	return message.Encode(&out), nil
}

// delegate runs tasks of a home. The answer tells how many were taken; their results follow in messages of their own.
func (s *Service) delegate(ctx context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.Delegate
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	tasks := make([]engine.Delegated, len(m.Tasks))
	for i := range m.Tasks {
		t := &m.Tasks[i]
		tasks[i] = engine.Delegated{
			Task: t.Task, Team: t.Team, Service: t.Service, Size: t.Size, Expected: t.Expected, Payload: t.Payload,
		}
	}
	taken := make(chan int, 1)
	out := &outgoing{service: s, addr: from.Addr}
	s.engine.AcceptDelegated(PeerName(from), m.Grant, tasks, func(n int) { taken <- n }, func(i int, r platform.RunResult) {
		out.add(message.TaskResult{Task: tasks[i].Task, Grant: m.Grant, Outcome: r.Outcome, Output: r.Output, RunTime: r.RunTime})
	})
	select {
	case n := <-taken:
		return message.Encode(&message.DelegateAccepted{Accepted: n}), nil
	case <-ctx.Done():
		return nil, ctx.Err() // the home is gone, or the engine has stopped; nobody gets an answer
	}
}
