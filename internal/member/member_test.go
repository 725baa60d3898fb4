package member

import (
	"context"
	"errors"
	"io"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/secure"
)

// cluster is a set of controllers that share a fake clock, an instance list and a network without delay.
type cluster struct {
	t     *testing.T
	clock *clockwork.FakeClock
	nodes map[string]*node           // by address
	cut   func(from, to string) bool // reports whether messages between two addresses are lost

	mu      sync.Mutex
	list    []platform.Instance
	listErr error
}

type node struct {
	*Controller
	w      *cluster
	name   secure.Name
	addr   string
	paused bool
	events []EventKind
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, clock: clockwork.NewFakeClock(), nodes: map[string]*node{}, cut: func(_, _ string) bool { return false }}
}

func (w *cluster) Instances(context.Context) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list, w.listErr
}

func (w *cluster) setList(err error, nodes ...*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list, w.listErr = nil, err
	for _, n := range nodes {
		w.list = append(w.list, platform.Instance{Name: n.name.Instance, Zone: n.name.Zone, Kind: platform.KindEntry, Address: n.addr, Incarnation: n.opts.Self.Incarnation})
	}
}

// add adds an incarnation of an instance. It replaces an earlier one at the same address.
func (w *cluster) add(zone, instance string, incarnation uint64) *node {
	n := &node{w: w, name: secure.Name{Zone: zone, Instance: instance}, addr: zone + "/" + instance}
	log := logrus.New()
	log.SetOutput(io.Discard)
	home := identity.Home{Zone: zone, Instance: instance, Incarnation: incarnation}
	n.Controller = New(Options{Self: home, List: w, Transport: n, Clock: w.clock, Log: log})
	n.Subscribe(func(e Event) { n.events = append(n.events, e.Kind) })
	w.nodes[n.addr] = n
	return n
}

func (n *node) Notify(addr string, _ peer.Method, body []byte) error {
	to := n.w.nodes[addr]
	if to == nil || to.paused || n.w.cut(n.addr, addr) {
		return peer.ErrUnreached
	}
	to.HandleHeartbeat(context.Background(), peer.Sender{Name: n.name, Addr: n.addr}, body)
	return nil
}

// run advances the clock tick by tick and runs the controllers that are not paused.
func (w *cluster) run(d time.Duration) {
	for ; d > 0; d -= TickInterval {
		w.clock.Advance(TickInterval)
		for _, n := range w.nodes {
			if n.paused {
				continue
			}
			n.tick(context.Background(), w.clock.Now())
			for n.reading.Load() {
				runtime.Gosched()
			}
		}
	}
}

func (n *node) status(instance *node) Status {
	for _, m := range n.View().Members {
		if m.Instance == instance.name.Instance && m.Zone == instance.name.Zone {
			return m.Status
		}
	}
	return "unknown"
}

func (n *node) home(of *node) HomeStatus {
	s, _ := n.Home(of.opts.Self)
	return s
}

func (w *cluster) startThree() (a, b, far *node) {
	a, b, far = w.add("blackstone", "e1", 10), w.add("blackstone", "e2", 20), w.add("farmington", "e3", 30)
	w.setList(nil, a, b, far)
	w.run(SettleTime + time.Second)
	return a, b, far
}

// Guards against a peer that keeps its workers while it is cut off, and against a home that is declared dead while it
// is only cut off: another instance would then answer for work that is still running.
func TestCut(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, b, far := w.startThree()
	is.Equal(a.status(b), Alive)
	is.Equal(far.status(a), Alive)
	is.Equal(a.home(b), HomeLive)
	w.cut = func(from, to string) bool { return from == b.addr || to == b.addr }
	w.run(ZoneSuspectAfter)
	is.Equal(a.status(b), Suspect)
	is.Equal(a.home(b), HomeLive)
	w.run(ZoneDeadAfter - ZoneSuspectAfter)
	is.Equal(a.status(b), Dead)
	is.Equal(b.status(a), Dead)
	w.run(time.Minute)
	is.Equal(a.home(b), HomeUnreachable)
	is.Equal(far.home(b), HomeUnreachable)
	is.True(b.MayDispatch(w.clock.Now())) // the instance that is cut off keeps serving
	returns := a.View().Returns
	w.cut = func(_, _ string) bool { return false }
	w.run(OtherZoneHeartbeatInterval)
	is.Equal(a.home(b), HomeLive)
	is.Equal(a.View().Returns, returns+1)
}

// Guards against declaring a home dead because of an instance list that lags, was not readable in between, or is old.
func TestHomeDeclaredDead(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, b, far := w.startThree()
	old := b.opts.Self
	delete(w.nodes, b.addr)
	w.setList(nil, a, far)
	w.run(AbsentAfter - ListInterval)
	is.Equal(a.home(b), HomeUnreachable)
	w.setList(errors.New("down"), a, far)
	w.run(10 * time.Second)
	is.Equal(a.home(b), HomeUnreachable) // absent from the list, which could not be read in between
	w.setList(nil, a, far)
	w.run(AbsentAfter - ListInterval)
	is.Equal(a.home(b), HomeUnreachable)
	w.run(2 * ListInterval)
	is.Equal(a.home(b), HomeDead)
	w.add("blackstone", "e2", 21)
	w.run(ZoneHeartbeatInterval)
	w.setList(nil, a, b, far) // the list lags and still contains the old incarnation
	w.run(2 * ListInterval)
	s, _ := far.Home(old)
	is.Equal(s, HomeDead)
	s, _ = a.Home(identity.Home{Zone: "blackstone", Instance: "e2", Incarnation: 21})
	is.Equal(s, HomeLive)
	is.Equal(a.status(w.nodes[b.addr]), Alive)
}

// Guards against declaring a home dead as soon as its heartbeats stop, because the list has lacked it for long: the
// absence counts only from the last heartbeat.
func TestUnlistedHomeIsNotDeadAtOnce(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, b, far := w.startThree()
	w.setList(nil, a, far)
	w.run(time.Minute)
	is.Equal(a.home(b), HomeLive)
	w.cut = func(_, _ string) bool { return true }
	w.run(ZoneDeadAfter)
	is.Equal(a.home(b), HomeUnreachable)
}

// Guards against dispatching right after a pause of this process, when peers may have taken over its workers, against
// declaring peers dead because of that pause, and against an instance that never dispatches again after a pause
// because it is cut off.
func TestPause(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, b, _ := w.startThree()
	pause := func() {
		a.paused = true
		w.run(2 * ZoneDeadAfter)
		a.paused = false
		is.Equal(b.status(a), Dead)
		is.True(!a.MayDispatch(w.clock.Now())) // before the first tick
	}
	pause()
	returns := a.View().Returns
	w.run(TickInterval)
	is.True(!a.MayDispatch(w.clock.Now()))
	is.Equal(a.status(b), Alive)
	w.run(2 * ZoneHeartbeatInterval)
	is.True(a.MayDispatch(w.clock.Now()))
	is.Equal(a.View().Returns, returns+1)
	w.setList(errors.New("down"))
	pause()
	w.run(MaxResumeWait - TickInterval)
	is.True(!a.MayDispatch(w.clock.Now())) // peers answer, the platform does not
	w.run(2 * TickInterval)
	is.True(a.MayDispatch(w.clock.Now()))
	w.cut = func(_, _ string) bool { return true }
	pause()
	w.run(MaxResumeWait + TickInterval)
	is.True(a.MayDispatch(w.clock.Now()))
	is.Equal(a.status(b), Dead)
}

// Guards against answers from an incarnation that was paused for so long that peers may have answered for it.
func TestLongPauseEndsTheIncarnation(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, _, _ := w.startThree()
	var events []EventKind
	a.Subscribe(func(e Event) { events = append(events, e.Kind) })
	a.paused = true
	w.run(FenceGap)
	a.paused = false
	is.True(a.Fenced(w.clock.Now())) // before the first tick
	w.run(time.Minute)
	is.True(a.Fenced(w.clock.Now()))
	is.True(!a.MayDispatch(w.clock.Now()))
	is.True(slices.Contains(events, Fenced))
}

// Guards against declaring the homes of a zone dead while the whole zone is cut off but still answers its callers:
// peers would give final answers for those homes.
func TestCutZoneIsNotDeclaredDead(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, b, far := w.startThree()
	w.cut = func(x, y string) bool { return true }
	w.setList(nil, a, b)
	w.run(SilentZoneAbsentAfter - time.Second)
	is.Equal(a.home(far), HomeUnreachable)
	w.run(SilentZoneAbsentAfter)
	is.Equal(a.home(far), HomeDead)
}

// Guards against a new instance that owns workers before it knows its peers, and against an old incarnation that keeps
// dispatching after it was replaced.
func TestSettlingAndReplacement(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	a, b, far := w.startThree()
	is.True(a.View().Settled && b.View().Settled)
	w.list = nil
	c := w.add("blackstone", "e4", 40)
	w.setList(nil, a, b, far, c)
	w.run(SettleTime - TickInterval)
	is.True(!c.View().Settled)
	is.Equal(a.status(c), Alive)
	w.run(ZoneHeartbeatInterval)
	is.True(c.View().Settled)
	newer := w.add("blackstone", "e4", 41)
	w.setList(nil, a, b, far, newer)
	w.nodes["old"] = c // still running elsewhere
	w.run(2 * ListInterval)
	is.True(!c.MayDispatch(w.clock.Now()))
	is.True(c.View().Superseded)
	is.Equal(a.home(c), HomeDead)
}

func BenchmarkCheck(b *testing.B) {
	c := New(Options{})
	for b.Loop() {
		c.MayDispatch(time.Now())
	}
}
