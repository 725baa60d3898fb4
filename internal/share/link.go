package share

import (
	"context"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
)

// Link delegates tasks to one peer. It implements engine.Peer.
type Link struct {
	service *Service
	name    string
	addr    string
}

var _ engine.Peer = (*Link)(nil)

// Link returns the link to the peer of a name, which is that of its messages, at an address.
func (s *Service) Link(name, addr string) *Link { return &Link{service: s, name: name, addr: addr} }

// Delegate implements engine.Peer.
func (l *Link) Delegate(grant uint64, tasks []engine.Delegated, ended engine.ResultFunc) {
	m := &message.Delegate{Grant: grant, Tasks: make([]message.DelegatedTask, len(tasks))}
	for i := range tasks {
		t := &tasks[i]
		m.Tasks[i] = message.DelegatedTask{
			Task: t.Task, Team: t.Team, Service: t.Service, Size: t.Size, Payload: t.Payload, Expected: t.Expected,
		}
		l.service.pending.add(t.Task, &entry{l.name, grant, i, ended, l.service.opts.Now()})
	}
	go l.send(message.Encode(m), grant, tasks, ended)
}

func (l *Link) send(body []byte, grant uint64, tasks []engine.Delegated, ended engine.ResultFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := l.service.opts.Transport.Call(ctx, l.addr, peer.Delegate, body)
	var m message.DelegateAccepted
	if err == nil {
		err = message.Decode(answer, &m)
	}
	switch {
	case err == nil:
		l.refused(grant, tasks, m.Accepted, platform.Refused, ended)
	case peer.NotProcessed(err):
		l.refused(grant, tasks, 0, platform.Unreached, ended)
	default:
		// The peer may be running the tasks. Their results may still come, so they stay pending; the engine asks for
		// their states meanwhile.
		for i := range tasks {
			ended(i, platform.RunResult{Outcome: platform.Lost, Output: err.Error()})
		}
	}
}

// refused ends the tasks from the given one on, which did not start.
func (l *Link) refused(grant uint64, tasks []engine.Delegated, from int, why platform.Outcome, ended engine.ResultFunc) {
	for i := max(0, from); i < len(tasks); i++ {
		if l.service.pending.take(tasks[i].Task, l.name, grant) != nil {
			ended(i, platform.RunResult{Outcome: why, Output: "the peer did not take the task"})
		}
	}
}

// Status implements engine.Peer.
func (l *Link) Status(ctx context.Context, tasks []string) ([]platform.TaskStatus, error) {
	answer, err := l.service.opts.Transport.Call(ctx, l.addr, peer.DelegateStatus, message.Encode(&message.DelegateStatus{Tasks: tasks}))
	if err != nil {
		return nil, err
	}
	var m message.DelegateStates
	if err := message.Decode(answer, &m); err != nil {
		return nil, err
	}
	out := make([]platform.TaskStatus, len(m.Tasks))
	for i := range m.Tasks {
		out[i] = platform.TaskStatus(m.Tasks[i])
	}
	return out, nil
}

// Stop implements engine.Peer.
func (l *Link) Stop(_ context.Context, tasks []string) error {
	return l.service.opts.Transport.Notify(l.addr, peer.DelegateStop, message.Encode(&message.DelegateStop{Tasks: tasks}))
}

// entry is a delegated task whose result has not come.
type entry struct {
	peer  string // that has the task now
	grant uint64 // of that peer
	index int
	ended engine.ResultFunc
	at    time.Time
}

// pending holds the delegated tasks of this home.
type pending struct {
	mu    sync.Mutex
	tasks map[string]*entry
	swept time.Time
}

func (p *pending) add(task string, added *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks[task] = added
	if added.at.Sub(p.swept) > pendingTTL {
		p.swept = added.at
		for t, e := range p.tasks {
			if added.at.Sub(e.at) > pendingTTL {
				delete(p.tasks, t)
			}
		}
	}
}

// take removes a task that a peer has under a grant, or returns nil. A peer repeats its results until they are
// acknowledged; a late repetition of "refused" must not end the next delegation, to another peer or to the same one, since
// the task would then start again.
func (p *pending) take(task, peer string, grant uint64) *entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.tasks[task]
	if e == nil || e.peer != peer || e.grant != grant {
		return nil
	}
	delete(p.tasks, task)
	return e
}

// results takes in the ends of delegated tasks.
func (s *Service) results(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.DelegateResults
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Results {
		r := &m.Results[i]
		if e := s.pending.take(r.Task, PeerName(from), r.Grant); e != nil {
			e.ended(e.index, platform.RunResult{Outcome: r.Outcome, Output: r.Output, RunTime: r.RunTime})
		}
	}
	return nil, nil
}

// outgoing sends the results of one delegation to its home. Results that come while a message is on its way travel
// together in the next one.
type outgoing struct {
	service *Service
	addr    string
	mu      sync.Mutex
	results []message.TaskResult
	sending bool
}

func (o *outgoing) add(r message.TaskResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
	if !o.sending {
		o.sending = true
		go o.run()
	}
}

func (o *outgoing) run() {
	for {
		o.mu.Lock()
		batch := o.results
		o.results = nil
		if len(batch) == 0 {
			o.sending = false
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		o.send(message.Encode(&message.DelegateResults{Results: batch}))
	}
}

// send repeats a message until it is answered. A home takes each result once and only from the peer that has the task,
// so repetition does no harm; a home that gets none of them asks for the states.
func (o *outgoing) send(body []byte) {
	for range resultRetries {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := o.service.opts.Transport.Call(ctx, o.addr, peer.DelegateResult, body)
		cancel()
		if err == nil {
			return
		}
		o.service.opts.Log.WithField("event", "results_not_delivered").WithError(err).WithField("peer", o.addr).Debug("results of delegated tasks not delivered")
		time.Sleep(resultRetry)
	}
}
