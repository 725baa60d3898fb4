// Package share exchanges the messages of the engine's slot sharing between entry instances: backlog reports, grants,
// delegated tasks and their results. The comment of package engine explains these terms.
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

// Transport sends messages to peers and registers the handlers of received ones.
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
	ExpectedWait time.Duration // expected wait of a task that is submitted at the peer
}

// Members provides the live peers.
type Members interface {
	// Live returns the peers that may delegate tasks and accept them, without this instance.
	Live() []Member
	// Member returns a peer by name. ok is false if it is not live.
	Member(name string) (m Member, ok bool)
}

// Spill configures when backlog is reported to other availability zones, so that tasks may run there.
type Spill struct {
	Enabled        bool
	WaitDifference time.Duration // the expected wait at this instance must exceed that at the peer by more than this
}

// Options configures a Service.
type Options struct {
	Zone      string // zone of this instance
	Transport Transport
	Members   Members
	Spill     func() Spill // returns the current settings
	Log       logrus.FieldLogger
	Now       func() time.Time
	Wasted    func(metric.Kind) // counts a message that led to no start; may be nil
}

const (
	callTimeout         = time.Second
	resultAttempts      = 3
	resultRetryInterval = 100 * time.Millisecond
	// pendingTTL is the time after which a delegated task without a result is dropped. It is longer than any deadline.
	pendingTTL           = 15 * time.Minute
	remoteReportInterval = 20 * time.Millisecond // shortest time between two reports to other zones
)

// Service implements engine.Sharing and handles the peers' messages.
type Service struct {
	opts             Options
	engine           *engine.Engine
	pending          pending
	unanswered       unansweredReports
	reported         map[string]bool // peers to which the current backlog was reported; owned by the engine's loop
	remoteReportedAt time.Time       // last report to another availability zone
}

var _ engine.Sharing = (*Service)(nil)

// New returns a service without an engine. RegisterHandlers sets the engine.
func New(opts Options) *Service {
	if opts.Wasted == nil {
		opts.Wasted = func(metric.Kind) {}
	}
	return &Service{opts: opts, unanswered: unansweredReports{peers: map[string]bool{}}, reported: map[string]bool{}, pending: pending{tasks: map[string]*delegation{}}}
}

// RegisterHandlers sets the engine and registers the handlers of messages from peers.
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

// PeerName returns the engine's name for the sender of a message: ZONE/INSTANCE.
func PeerName(from peer.Sender) string { return from.Zone + "/" + from.Instance }

// Backlog implements engine.Sharing. The backlog is always reported to the peers of the zone. It is reported to peers of
// other zones only if spill is enabled and their expected wait is shorter by more than WaitDifference, and at most once in
// remoteReportInterval.
func (s *Service) Backlog(b sched.Backlog) {
	body := message.Encode(&message.Backlog{Count: b.Queued, BestRank: b.BestRank, Size: b.Size})
	if b.Queued == 0 {
		s.withdraw(body)
		return
	}
	spill := s.opts.Spill()
	now := s.opts.Now()
	reportRemote := spill.Enabled && now.Sub(s.remoteReportedAt) >= remoteReportInterval
	for _, m := range s.opts.Members.Live() {
		if m.Zone != s.opts.Zone {
			if !reportRemote || b.Wait-m.ExpectedWait <= spill.WaitDifference {
				continue
			}
			s.remoteReportedAt = now
		}
		if s.opts.Transport.Notify(m.Addr, peer.Backlog, body) == nil {
			s.reported[m.Name] = true
			s.reportEnded(m.Name, true)
		}
	}
}

// withdraw sends the withdrawal of the last report to the peers that received it.
func (s *Service) withdraw(body []byte) {
	for name := range s.reported {
		if m, ok := s.opts.Members.Member(name); ok {
			s.opts.Transport.Notify(m.Addr, peer.Backlog, body)
		}
		delete(s.reported, name)
		s.reportEnded(name, false)
	}
}

// Grant implements engine.Sharing. If the message cannot be sent, the slots are returned to the engine.
func (s *Service) Grant(name string, id uint64, slots int) {
	m, ok := s.opts.Members.Member(name)
	if ok && s.opts.Transport.Notify(m.Addr, peer.Grant, message.Encode(&message.Grant{ID: id, Slots: slots})) == nil {
		return
	}
	s.engine.ReturnGrant(name, id)
}

func (s *Service) backlog(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.Backlog
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.engine.SetDemand(PeerName(from), engine.Demand{
		Queued: m.Count, Best: m.BestRank, Size: m.Size, Remote: from.Zone != s.opts.Zone,
	})
	return nil, nil
}

func (s *Service) grant(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.Grant
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.unanswered.set(PeerName(from), false)
	s.engine.UseGrant(PeerName(from), m.ID, m.Slots, func(used int) {
		if used == 0 {
			returned := message.Encode(&message.GrantReturn{ID: m.ID, Slots: m.Slots})
			s.opts.Transport.Notify(from.Addr, peer.GrantReturn, returned)
		}
	})
	return nil, nil
}

func (s *Service) grantReturn(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.GrantReturn
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.engine.ReturnGrant(PeerName(from), m.ID)
	return nil, nil
}

func (s *Service) stop(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var m message.DelegateStop
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s.engine.StopForeign(m.Tasks)
	return nil, nil
}

func (s *Service) status(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
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

// delegate runs tasks of the sending peer. The answer says how many were accepted; their results follow in separate
// messages.
func (s *Service) delegate(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
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
	accepted := make(chan int, 1)
	out := &resultSender{service: s, addr: from.Addr}
	s.engine.AcceptDelegated(PeerName(from), m.Grant, tasks, func(n int) { accepted <- n }, func(i int, r platform.RunResult) {
		out.add(message.TaskResult{Task: tasks[i].Task, Grant: m.Grant, Outcome: r.Outcome, Output: r.Output, RunTime: r.RunTime})
	})
	select {
	case n := <-accepted:
		return message.Encode(&message.DelegateAccepted{Accepted: n}), nil
	case <-ctx.Done():
		return nil, ctx.Err() // the connection to the sender has ended, or the engine has stopped
	}
}
