package share

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/secure"
)

// network connects services in memory. fault decides on the fate of each call.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	fault    func(m peer.Method) fate
}

type fate int

const (
	delivered  fate = iota
	unreached       // the peer does not get the message
	answerLost      // the peer gets the message, the sender no answer
)

func (n *network) set(f func(m peer.Method) fate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

type port struct {
	net  *network
	name string
}

func (p port) Handle(m peer.Method, h peer.Handler)       { p.net.handlers[p.name][m] = h }
func (p port) HandleInline(m peer.Method, h peer.Handler) { p.Handle(m, h) }

func (p port) Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error) {
	p.net.mu.Lock()
	f, h := p.net.fault(m), p.net.handlers[addr][m]
	p.net.mu.Unlock()
	if f == unreached {
		return nil, fmt.Errorf("%w: cut", peer.ErrUnreached)
	}
	out, err := h(ctx, peer.From{Name: secure.Name{Zone: "z", Instance: p.name}, Addr: p.name}, body)
	if f == answerLost {
		return nil, fmt.Errorf("%w: cut", peer.ErrLost)
	}
	return out, err
}

func (p port) Notify(addr string, m peer.Method, body []byte) error {
	go p.Call(context.Background(), addr, m, body)
	return nil
}

type roster []Member

func (r roster) Live() []Member { return r }
func (r roster) Member(name string) (Member, bool) {
	for _, m := range r {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// endpoint counts starts; its tasks end when release is closed.
type endpoint struct {
	mu       sync.Mutex
	starts   map[string]int
	refusals int // calls that are refused before the first start
	release  chan struct{}
}

func (e *endpoint) Run(_ int, req *platform.RunRequest) platform.RunResult {
	e.mu.Lock()
	refused := e.refusals > 0
	if refused {
		e.refusals--
	} else {
		e.starts[req.Task]++
	}
	e.mu.Unlock()
	if refused {
		return platform.RunResult{Outcome: platform.Refused}
	}
	<-e.release
	return platform.RunResult{Outcome: platform.Succeeded, Output: req.Payload, RunTime: time.Millisecond}
}
func (e *endpoint) Abandon(int) {}
func (e *endpoint) Renew(context.Context, []string) (platform.EndpointStatus, error) {
	return platform.EndpointStatus{Incarnation: 1}, nil
}
func (e *endpoint) Fetch(_ context.Context, t string) (platform.TaskStatus, error) {
	return platform.TaskStatus{Task: t, State: platform.TaskRunning}, nil
}
func (e *endpoint) Stop(context.Context, []string) (platform.EndpointStatus, error) {
	return platform.EndpointStatus{}, nil
}
func (e *endpoint) Close()                             {}
func (e *endpoint) Dial(string, int) platform.Endpoint { return e }

// pair is a home without workers and an owner with one worker of 8 slots.
type pair struct {
	net      *network
	home     *engine.Engine
	endpoint *endpoint
	answers  chan *api.Answer
}

func newPair(t *testing.T) *pair {
	net := &network{handlers: map[string]map[peer.Method]peer.Handler{"home": {}, "owner": {}}}
	net.set(func(peer.Method) fate { return delivered })
	p := &pair{net: net, endpoint: &endpoint{starts: map[string]int{}, release: make(chan struct{})}, answers: make(chan *api.Answer, 1)}
	p.home = newEngine(t, net, "home", "owner", p.endpoint)
	owner := newEngine(t, net, "owner", "home", p.endpoint)
	owner.SetWorker(platform.Instance{Name: "w1", Address: "w1", Slots: 8, Size: platform.Size{Cores: 16}}, 8)
	return p
}

func newEngine(t *testing.T, net *network, self, other string, d platform.Dialer) *engine.Engine {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Options{
		Zone: "z", Transport: port{net, self}, Members: roster{{Name: "z/" + other, Zone: "z", Addr: other}},
		Spill: func() Spill { return Spill{} }, Log: log, Now: time.Now,
	})
	timing := engine.DefaultTiming()
	timing.RenewBusy, timing.RenewIdle, timing.CallGrace = 20*time.Millisecond, 20*time.Millisecond, 10*time.Millisecond
	e := engine.New(engine.Options{
		Scheduler: fair.New(fair.Options{}), Dialer: d, Clock: clockwork.NewRealClock(), Log: log, Sharing: s, Timing: timing,
	})
	s.RegisterHandlers(e)
	e.AddPeer("z/"+other, s.Link("z/"+other, other))
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	t.Cleanup(cancel)
	return e
}

func (p *pair) submit(tasks int) {
	j := &engine.Job{Identity: "id", Team: "survey", Service: "washout", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	j.Shape = sched.Job{Team: j.Team, Service: j.Service, Deadline: j.Deadline, Tasks: make([]sched.Task, tasks)}
	for i := range tasks {
		j.Payloads = append(j.Payloads, fmt.Sprint(i))
	}
	p.home.Submit(j, func(a *api.Answer) { p.answers <- a })
}

// finish lets the tasks end and checks that the answer is whole and each task was started once.
func (p *pair) finish(t *testing.T, tasks int) {
	is := is.New(t)
	close(p.endpoint.release)
	a := <-p.answers
	is.Equal(a.Code, result.Complete)
	is.Equal(a.Outputs[tasks-1], fmt.Sprint(tasks-1))
	is.Equal(len(p.endpoint.starts), tasks)
	for _, n := range p.endpoint.starts {
		is.Equal(n, 1)
	}
}

func (p *pair) started(n int) {
	for {
		p.endpoint.mu.Lock()
		have := len(p.endpoint.starts)
		p.endpoint.mu.Unlock()
		if have >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a backlog that waits although a peer has free slots, and against a job that needs more slots than the
// peer has.
func TestBacklogRunsOnPeersSlots(t *testing.T) {
	p := newPair(t)
	p.submit(20)
	p.started(8)
	p.finish(t, 20)
}

// Guards against a second start, or a loss, of tasks whose delegation was processed but not answered.
func TestLostAnswerOfDelegation(t *testing.T) {
	p := newPair(t)
	p.net.set(func(m peer.Method) fate {
		if m == peer.Delegate {
			return answerLost
		}
		return delivered
	})
	p.submit(8)
	p.started(8)
	p.finish(t, 8)
}

// Guards against a lost result of a delegated task: the home asks for its state.
func TestLostResults(t *testing.T) {
	p := newPair(t)
	p.net.set(func(m peer.Method) fate {
		if m == peer.DelegateResult {
			return unreached
		}
		return delivered
	})
	p.submit(8)
	p.started(8)
	p.finish(t, 8)
}

// Guards against tasks that stay out of the queue after a delegation which did not reach the peer.
func TestUnreachedDelegationReturnsToTheQueue(t *testing.T) {
	p := newPair(t)
	var mu sync.Mutex
	failures := 3
	p.net.set(func(m peer.Method) fate {
		mu.Lock()
		defer mu.Unlock()
		if m == peer.Delegate && failures > 0 {
			failures--
			return unreached
		}
		return delivered
	})
	p.submit(8)
	p.started(8)
	p.finish(t, 8)
}

// Guards against a task that waits although slots are free: the peer's worker refused it once, and the peer must take it
// again.
func TestRefusedTaskRunsAtTheSamePeerLater(t *testing.T) {
	p := newPair(t)
	p.endpoint.refusals = 8
	p.submit(8)
	p.started(8)
	p.finish(t, 8)
}
