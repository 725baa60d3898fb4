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

// network connects services in memory. fault decides whether each call and its answer are delivered.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	fault    func(m peer.Method) delivery
}

type delivery int

const (
	delivered  delivery = iota
	unreached           // the peer does not receive the message
	answerLost          // the peer receives the message, but the sender gets no answer
)

func (n *network) set(f func(m peer.Method) delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

type memoryTransport struct {
	net  *network
	name string
}

func (p memoryTransport) Handle(m peer.Method, h peer.Handler)       { p.net.handlers[p.name][m] = h }
func (p memoryTransport) HandleInline(m peer.Method, h peer.Handler) { p.Handle(m, h) }

func (p memoryTransport) Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error) {
	p.net.mu.Lock()
	f, h := p.net.fault(m), p.net.handlers[addr][m]
	p.net.mu.Unlock()
	if f == unreached {
		return nil, fmt.Errorf("%w: cut", peer.ErrUnreached)
	}
	out, err := h(ctx, peer.Sender{Name: secure.Name{Zone: "z", Instance: p.name}, Addr: p.name}, body)
	if f == answerLost {
		return nil, fmt.Errorf("%w: cut", peer.ErrLost)
	}
	return out, err
}

func (p memoryTransport) Notify(addr string, m peer.Method, body []byte) error {
	go p.Call(context.Background(), addr, m, body)
	return nil
}

type staticMembers []Member

func (r staticMembers) Live() []Member { return r }
func (r staticMembers) Member(name string) (Member, bool) {
	for _, m := range r {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// endpoint counts the starts of each task. Its tasks end when release is closed.
type endpoint struct {
	mu       sync.Mutex
	starts   map[string]int
	refusals int // number of calls that are still to be refused
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

// pair is two connected instances: the home of the jobs, which has no workers, and the owner of one worker with 8 slots.
type pair struct {
	net      *network
	home     *engine.Engine
	endpoint *endpoint
	answers  chan *api.Answer
}

func newPair(t *testing.T) *pair {
	net := &network{handlers: map[string]map[peer.Method]peer.Handler{"home": {}, "owner": {}}}
	net.set(func(peer.Method) delivery { return delivered })
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
		Zone: "z", Transport: memoryTransport{net, self}, Members: staticMembers{{Name: "z/" + other, Zone: "z", Addr: other}},
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

// releaseAndCheck lets the tasks end, and checks that the answer is complete and each task was started once.
func (p *pair) releaseAndCheck(t *testing.T, tasks int) {
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

// waitStarted waits until n tasks have started.
func (p *pair) waitStarted(n int) {
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

// Guards against queued tasks that wait although a peer has free slots, also in a job with more tasks than the peer has
// slots.
func TestBacklogRunsOnPeersSlots(t *testing.T) {
	p := newPair(t)
	p.submit(20)
	p.waitStarted(8)
	p.releaseAndCheck(t, 20)
}

// Guards against starting tasks twice, or losing them, when the peer has processed their delegation but its answer was lost.
func TestLostAnswerOfDelegation(t *testing.T) {
	p := newPair(t)
	p.net.set(func(m peer.Method) delivery {
		if m == peer.Delegate {
			return answerLost
		}
		return delivered
	})
	p.submit(8)
	p.waitStarted(8)
	p.releaseAndCheck(t, 8)
}

// Guards against a job that never ends because the results of delegated tasks were lost. The home must request their states.
func TestLostResults(t *testing.T) {
	p := newPair(t)
	p.net.set(func(m peer.Method) delivery {
		if m == peer.DelegateResult {
			return unreached
		}
		return delivered
	})
	p.submit(8)
	p.waitStarted(8)
	p.releaseAndCheck(t, 8)
}

// Guards against tasks that are not put back into the queue when their delegation did not reach the peer.
func TestUnreachedDelegationReturnsToTheQueue(t *testing.T) {
	p := newPair(t)
	var mu sync.Mutex
	failures := 3
	p.net.set(func(m peer.Method) delivery {
		mu.Lock()
		defer mu.Unlock()
		if m == peer.Delegate && failures > 0 {
			failures--
			return unreached
		}
		return delivered
	})
	p.submit(8)
	p.waitStarted(8)
	p.releaseAndCheck(t, 8)
}

// Guards against a task that waits although slots are free, because the peer's worker refused it once and the peer then
// rejects it as already known.
func TestRefusedTaskRunsAtTheSamePeerLater(t *testing.T) {
	p := newPair(t)
	p.endpoint.refusals = 8
	p.submit(8)
	p.waitStarted(8)
	p.releaseAndCheck(t, 8)
}
