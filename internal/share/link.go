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

// Link sends delegated tasks to one peer. It implements engine.Peer.
type Link struct {
	service *Service
	name    string // ZONE/INSTANCE
	addr    string
}

var _ engine.Peer = (*Link)(nil)

// Link returns the link to a peer. name must be the PeerName of the peer's messages.
func (s *Service) Link(name, addr string) *Link { return &Link{service: s, name: name, addr: addr} }

// Delegate implements engine.Peer.
func (l *Link) Delegate(grant uint64, tasks []engine.Delegated, ended engine.ResultFunc) {
	m := &message.Delegate{Grant: grant, Tasks: make([]message.DelegatedTask, len(tasks))}
	for i := range tasks {
		t := &tasks[i]
		m.Tasks[i] = message.DelegatedTask{
			Task: t.Task, Team: t.Team, Service: t.Service, Size: t.Size, Payload: t.Payload, Expected: t.Expected,
		}
		l.service.pending.add(t.Task, &delegation{l.name, grant, i, ended, l.service.opts.Now()})
	}
	go l.send(message.Encode(m), grant, tasks, ended)
}

// send sends a delegation and ends the tasks that the peer did not accept.
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
		l.endNotStarted(grant, tasks, m.Accepted, platform.Refused, ended)
	case peer.NotProcessed(err):
		l.endNotStarted(grant, tasks, 0, platform.Unreached, ended)
	default:
		// The peer may be running the tasks. They stay pending, since their results may still arrive. The outcome Lost
		// makes the engine request their states from the peer.
		for i := range tasks {
			ended(i, platform.RunResult{Outcome: platform.Lost, Output: err.Error()})
		}
	}
}

// endNotStarted ends the tasks from index from on, which did not start at the peer.
func (l *Link) endNotStarted(grant uint64, tasks []engine.Delegated, from int, why platform.Outcome, ended engine.ResultFunc) {
	for i := max(0, from); i < len(tasks); i++ {
		if l.service.pending.take(tasks[i].Task, l.name, grant) != nil {
			ended(i, platform.RunResult{Outcome: why, Output: "the peer did not accept the task"})
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

// delegation is a delegated task whose result has not arrived.
type delegation struct {
	peer    string // ZONE/INSTANCE of the peer that has the task now
	grant   uint64 // number of the peer's grant
	index   int    // index of the task in its delegation message
	ended   engine.ResultFunc
	addedAt time.Time
}

// pending holds the delegated tasks of this instance whose results have not arrived, by task name.
type pending struct {
	mu      sync.Mutex
	tasks   map[string]*delegation
	sweptAt time.Time
}

// add records a delegated task and, once in pendingTTL, drops tasks older than that.
func (p *pending) add(task string, added *delegation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks[task] = added
	if added.addedAt.Sub(p.sweptAt) > pendingTTL {
		p.sweptAt = added.addedAt
		for t, d := range p.tasks {
			if added.addedAt.Sub(d.addedAt) > pendingTTL {
				delete(p.tasks, t)
			}
		}
	}
}

// take removes and returns the delegation of a task to a peer under a grant, or returns nil if there is none. A peer repeats
// its results until they are acknowledged. A late repetition of "refused" must not end the task's next delegation, to
// another peer or to the same one, since the task would then be started a second time.
func (p *pending) take(task, peer string, grant uint64) *delegation {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.tasks[task]
	if d == nil || d.peer != peer || d.grant != grant {
		return nil
	}
	delete(p.tasks, task)
	return d
}

// results handles the results of delegated tasks.
func (s *Service) results(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.DelegateResults
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Results {
		r := &m.Results[i]
		if d := s.pending.take(r.Task, PeerName(from), r.Grant); d != nil {
			d.ended(d.index, platform.RunResult{Outcome: r.Outcome, Output: r.Output, RunTime: r.RunTime})
		}
	}
	return nil, nil
}

// resultSender sends the results of one delegation message back to the peer that sent it. Results that arrive while a
// message is being sent go into the next message together.
type resultSender struct {
	service *Service
	addr    string
	mu      sync.Mutex
	results []message.TaskResult
	sending bool
}

// add queues a result and starts run if it is not running.
func (o *resultSender) add(r message.TaskResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
	if !o.sending {
		o.sending = true
		go o.run()
	}
}

// run sends queued results until none is left.
func (o *resultSender) run() {
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

// send sends a message until it is acknowledged, at most resultAttempts times. Repetition is safe, since the receiver
// accepts each result once and only from the peer that has the task. A receiver that gets no result of a task requests the
// task's state.
func (o *resultSender) send(body []byte) {
	for range resultAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := o.service.opts.Transport.Call(ctx, o.addr, peer.DelegateResult, body)
		cancel()
		if err == nil {
			return
		}
		o.service.opts.Log.WithField("event", "results_not_delivered").WithError(err).WithField("peer", o.addr).Debug("results of delegated tasks not acknowledged")
		time.Sleep(resultRetryInterval)
	}
}
