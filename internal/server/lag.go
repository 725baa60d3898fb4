package server

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
)

const (
	// idleProbeInterval is the pause between the probes of an event loop that has no requests in progress. Each wakeup of an idle loop costs about 0.5 ms of processor time, most of it
	// in the runtime.
	idleProbeInterval = time.Second
	// probeTimeout is the time without a report after which a probe is replaced: a connection may be reset or fall silent, also within a
	// machine. If the event loop itself stands still, the new probe tells so as well.
	probeTimeout = 300 * time.Millisecond
	// probeReports is how often a probe must be reported to its event loop.
	probeReports = 3
)

// LagMonitor measures how far the event loops of a server are behind the kernel. It is safe for concurrent use.
//
// The tick of gnet cannot tell, since it runs in a goroutine of its own, and a task that an event loop runs cannot either, since the
// loop may have polled long before the task was queued. The monitor therefore registers one end of a connection within the process, the probe, with each event loop. The
// kernel reports ready sockets in turns, so between two reports of the probe it reports every socket that was ready at the first one,
// also if a poll does not return all of them. The probe is made ready three times in a row, each time from the report before. When the third
// report is handled, the polls of the first two have been handled to the end, and with them all closes that the kernel had received when the
// probe began. A close that follows unread data needs one more report of its socket, which these polls contain too if the data fits the
// read buffer of 64 KB.
type LagMonitor struct {
	interval time.Duration        // pause between the probes of an event loop that has requests in progress
	now      func() time.Duration // time since a fixed moment, with suspensions of the machine
	loops    atomic.Pointer[[]*loopLag]

	mu sync.Mutex // held while a loop is added
}

// NewLagMonitor returns a monitor for one server that probes event loops with requests in progress at an interval.
func NewLagMonitor(interval time.Duration) *LagMonitor {
	m := &LagMonitor{interval: interval, now: pause.Elapsed}
	m.loops.Store(new([]*loopLag))
	return m
}

// HandledUntil returns a time as of pause.Elapsed for which the following holds: every close of a connection with a request in progress
// that the kernel received before has been passed to the function of Exchange.OnDisconnect, and that has returned. If no request is in
// progress, it is the present time, unless an event loop has stood still for more than idleProbeInterval. It does not block. A nil
// monitor returns the present time.
func (m *LagMonitor) HandledUntil() time.Duration {
	if m == nil {
		return pause.Elapsed()
	}
	until := m.now()
	for _, l := range *m.loops.Load() {
		until = min(until, l.handledUntil())
	}
	return until
}

// watch returns the measurement of an event loop, which it begins if necessary. It is called on the loop. A nil monitor returns nil.
func (m *LagMonitor) watch(loop gnet.EventLoop, log logrus.FieldLogger) *loopLag {
	if m == nil {
		return nil
	}
	for _, l := range *m.loops.Load() {
		if l.loop == loop {
			return l
		}
	}
	l := &loopLag{loop: loop, interval: m.interval, now: m.now, log: log}
	l.noteSeen(m.now())
	l.probe.Store(newProbe(l))
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append(slices.Clone(*m.loops.Load()), l)
	m.loops.Store(&all)
	return l
}

// tick starts the probes that are due. It is called each interval.
func (m *LagMonitor) tick() {
	for _, l := range *m.loops.Load() {
		l.tick()
	}
}

// loopLag measures one event loop.
type loopLag struct {
	loop     gnet.EventLoop
	interval time.Duration // see LagMonitor
	now      func() time.Duration
	log      logrus.FieldLogger
	active   atomic.Int64 // requests in progress
	// seenAt is a time as of now: closes of connections with a request in progress that the kernel received before have been handled. It is
	// set only on the event loop.
	seenAt   atomic.Int64
	probe    atomic.Pointer[probe]
	probedAt time.Duration // start of the last probe; used only by tick
}

// handledUntil returns what LagMonitor.HandledUntil does, for one loop. The result may lie in the future.
func (l *loopLag) handledUntil() time.Duration {
	active := l.active.Load() > 0 // read before seenAt, which the first request sets before it counts
	seenAt := time.Duration(l.seenAt.Load())
	if active {
		return seenAt
	}
	return seenAt + idleProbeInterval + l.interval
}

// begin counts a request that is passed to the handler. Its connection was open at the time openAt. It is called on the event loop. A
// nil loopLag ignores it.
func (l *loopLag) begin(openAt time.Duration) {
	if l == nil {
		return
	}
	if l.active.Load() == 0 {
		l.noteSeen(openAt) // no other connection of this loop matters
	}
	l.active.Add(1)
}

// end counts a request as answered. A nil loopLag ignores it.
func (l *loopLag) end() {
	if l != nil {
		l.active.Add(-1)
	}
}

// time returns the present time of the measurement. A nil loopLag returns 0.
func (l *loopLag) time() time.Duration {
	if l == nil {
		return 0
	}
	return l.now()
}

// noteSeen records that closes before a time have been handled.
func (l *loopLag) noteSeen(at time.Duration) { l.seenAt.Store(max(l.seenAt.Load(), int64(at))) }

// tick starts a probe if one is due, and replaces one that has failed or is not reported.
func (l *loopLag) tick() {
	now := l.now()
	interval := idleProbeInterval
	if l.active.Load() > 0 {
		interval = 0
	}
	p := l.probe.Load()
	switch {
	case p.mayBeBroken():
		if now-l.probedAt >= probeTimeout {
			l.replace(p, now)
		}
	case p.running.Load(): // the event loop has not accepted it yet
	case now-l.probedAt >= interval:
		l.probedAt = now
		p.start(now)
	}
}

// replace makes a new probe in place of one that has failed or is not reported.
func (l *loopLag) replace(old *probe, now time.Duration) {
	old.close()
	l.probe.Store(newProbe(l))
	l.probedAt = now
}

// probe is a connection within the process of which one end is registered with an event loop.
type probe struct {
	lag       *loopLag
	peer      *net.TCPConn              // the other end
	enrolled  atomic.Pointer[gnet.Conn] // the registered end
	failed    atomic.Bool               // the connection is closed or was not accepted; the lag grows until it is replaced
	running   atomic.Bool               // it was started and has not been reported often enough yet
	startedAt atomic.Int64              // when it was started last
	reports   int                       // how often it has been reported; used only on the event loop
}

var probeByte = []byte{0}

// newProbe returns a probe that is being registered with its event loop.
func newProbe(l *loopLag) *probe {
	p := &probe{lag: l}
	if err := p.register(); err != nil {
		p.fail(err)
	}
	return p
}

func (p *probe) register() error {
	near, far, err := connectionPair()
	if err != nil {
		return err
	}
	p.peer = near
	registered, err := p.lag.loop.Enroll(gnet.NewContext(context.Background(), p), far)
	if err != nil {
		far.Close()
		return err
	}
	go func() {
		r := <-registered
		if r.Err != nil {
			p.fail(r.Err)
			return
		}
		p.enrolled.Store(&r.Conn)
		if p.failed.Load() {
			r.Conn.Close() // it was replaced meanwhile
		}
	}()
	return nil
}

// fail records that the probe does not work.
func (p *probe) fail(err error) {
	p.logFailure(err)
	p.closed()
}

// closed records that the registered end is closed.
func (p *probe) closed() {
	if p.peer != nil {
		p.peer.Close()
	}
	p.failed.Store(true)
}

// close closes both ends.
func (p *probe) close() {
	p.closed()
	if c := p.enrolled.Load(); c != nil {
		(*c).Close()
	}
}

// mayBeBroken reports whether the probe has failed or its report is awaited.
func (p *probe) mayBeBroken() bool {
	return p.failed.Load() || p.running.Load() && p.enrolled.Load() != nil
}

// start makes the probe ready.
func (p *probe) start(now time.Duration) {
	p.running.Store(true)
	p.startedAt.Store(int64(now))
	p.makeReady()
}

// makeReady writes to the peer, so that the event loop reports the probe. At most one byte is unread, so the write does not block.
func (p *probe) makeReady() {
	if _, err := p.peer.Write(probeByte); err != nil && !errors.Is(err, net.ErrClosed) {
		p.fail(err)
	}
}

// reported handles a report of the probe on its event loop.
func (p *probe) reported(c gnet.Conn) {
	if _, err := c.Discard(-1); err != nil {
		p.logFailure(err)
	}
	if p.reports++; p.reports < probeReports {
		p.makeReady()
		return
	}
	p.reports = 0
	p.lag.noteSeen(time.Duration(p.startedAt.Load()))
	p.running.Store(false)
}

func (p *probe) logFailure(err error) {
	p.lag.log.WithField("event", "lag_probe_failed").WithError(err).Error("the lag of an event loop cannot be measured; its callers count as unattended")
}

var errOtherConnection = errors.New("another process has connected to the listener of the probe")

// connectionPair returns the ends of a new TCP connection within this process. The users' platform reports no pairs of Unix sockets to an
// event loop.
func connectionPair() (near, far *net.TCPConn, err error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	near, err = net.DialTCP("tcp4", nil, l.Addr().(*net.TCPAddr))
	if err != nil {
		return nil, nil, err
	}
	far, err = l.AcceptTCP()
	if err == nil && far.RemoteAddr().String() != near.LocalAddr().String() {
		far.Close()
		err = errOtherConnection
	}
	if err != nil {
		near.Close()
		return nil, nil, err
	}
	return near, far, nil
}
