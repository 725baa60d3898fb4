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
	// probeInterval is the pause between the probes of an event loop.
	probeInterval = 50 * time.Millisecond
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
	now    func() time.Duration // time since a fixed moment, with suspensions of the machine
	probes atomic.Pointer[[]*probe]

	mu sync.Mutex // held while probes are added or replaced
}

// NewLagMonitor returns a monitor for one server.
func NewLagMonitor() *LagMonitor {
	m := &LagMonitor{now: pause.Elapsed}
	m.probes.Store(new([]*probe))
	return m
}

// Lag returns a time for which the following holds: every close of a connection with a request in progress that the kernel received longer
// ago has been passed to the function of Exchange.OnDisconnect, and that has returned. It does not block. A nil monitor returns 0.
func (m *LagMonitor) Lag() time.Duration {
	if m == nil {
		return 0
	}
	var lag time.Duration
	for _, p := range *m.probes.Load() {
		seen := time.Duration(p.seenAt.Load())
		lag = max(lag, m.now()-seen)
	}
	return lag
}

// watch begins to measure an event loop unless that has been done. It is called on the loop, before the first request of the loop's
// first connection is read.
func (m *LagMonitor) watch(loop gnet.EventLoop, log logrus.FieldLogger) {
	for _, p := range *m.probes.Load() {
		if p.loop == loop {
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append(slices.Clone(*m.probes.Load()), newProbe(loop, m, m.now(), log))
	m.probes.Store(&all)
}

// tick starts a probe of each event loop whose last one has ended.
func (m *LagMonitor) tick() {
	for _, p := range *m.probes.Load() {
		p.start()
	}
}

// replaceFailed replaces the probes that could not be registered.
func (m *LagMonitor) replaceFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.Clone(*m.probes.Load())
	for i, p := range all {
		if p.failed.Load() {
			all[i] = newProbe(p.loop, m, time.Duration(p.seenAt.Load()), p.log)
		}
	}
	m.probes.Store(&all)
}

// probe is a connection within the process of which one end is registered with an event loop.
type probe struct {
	loop    gnet.EventLoop
	monitor *LagMonitor
	log     logrus.FieldLogger
	peer    *net.TCPConn // the other end
	failed  atomic.Bool  // the event loop did not accept it; the lag grows until it is replaced
	// seenAt says that closes that the kernel received before have been handled, startedAt when the probe was started last. Both are
	// times of LagMonitor.now.
	seenAt, startedAt atomic.Int64
	running           atomic.Bool // it was started and has not been reported often enough yet
	reports           int         // how often it has been reported; used only on the event loop
}

var probeByte = []byte{0}

// newProbe returns a probe that is being registered with an event loop. Closes before the time seenAt have been handled.
func newProbe(loop gnet.EventLoop, m *LagMonitor, seenAt time.Duration, log logrus.FieldLogger) *probe {
	p := &probe{loop: loop, monitor: m, log: log}
	p.seenAt.Store(int64(seenAt))
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
	registered, err := p.loop.Enroll(gnet.NewContext(context.Background(), p), far)
	if err != nil {
		far.Close()
		return err
	}
	go func() {
		if r := <-registered; r.Err != nil {
			p.fail(r.Err)
		}
	}()
	return nil
}

// fail records that the probe could not be registered.
func (p *probe) fail(err error) {
	p.logFailure(err)
	p.closePeer()
	p.failed.Store(true)
}

// start makes the probe ready unless it still is from the last time.
func (p *probe) start() {
	if p.failed.Load() || p.running.Swap(true) {
		return
	}
	p.startedAt.Store(int64(p.monitor.now()))
	p.makeReady()
}

// makeReady writes to the peer, so that the event loop reports the probe. At most one byte is unread, so the write does not block.
func (p *probe) makeReady() {
	if _, err := p.peer.Write(probeByte); err != nil && !errors.Is(err, net.ErrClosed) {
		p.logFailure(err)
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
	p.seenAt.Store(p.startedAt.Load())
	p.running.Store(false)
}

// closePeer closes the end that is not registered.
func (p *probe) closePeer() {
	if p.peer != nil {
		p.peer.Close()
	}
}

func (p *probe) logFailure(err error) {
	p.log.WithField("event", "lag_probe_failed").WithError(err).Error("the lag of an event loop cannot be measured; its callers count as unattended")
}

var errOtherConnection = errors.New("another process has connected to the listener of the probe")

// connectionPair returns the ends of a new TCP connection within this process. A pair of Unix sockets would do, but not on the users'
// platform, which does not report such sockets to an event loop.
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
