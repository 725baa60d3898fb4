package soak

import (
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// network holds the loopback relays through which all programs of a run reach each other. A link connects from the IP
// address of its user, so that stand-ins can tell their callers apart. It implements standin.Network.
type network struct {
	mu      sync.Mutex
	links   map[[2]string]*link // by IP address of the user and address of the target
	targets map[string]string   // target by address of the link
}

func newNetwork() *network {
	return &network{links: map[[2]string]*link{}, targets: map[string]string{}}
}

// Route implements standin.Network. Programs reach their own addresses directly.
func (n *network) Route(from, to string) string {
	if to == "" || strings.HasPrefix(to, from+":") {
		return to
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[[2]string{from, to}]; l != nil {
		return l.address()
	}
	l := &link{from: from, to: to, pipes: map[*pipe]bool{}, faults: map[*linkFault]time.Time{}}
	var err error
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err) // out of ports or descriptors; the run cannot go on
	}
	n.links[[2]string{from, to}] = l
	n.targets[l.address()] = to
	go l.serve()
	return l.address()
}

// Target implements standin.Network.
func (n *network) Target(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to, ok := n.targets[address]; ok {
		return to
	}
	return address
}

// between returns the links that match.
func (n *network) between(match func(from, to string) bool) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*link
	for key, l := range n.links {
		if match(key[0], key[1]) {
			found = append(found, l)
		}
	}
	return found
}

func (n *network) close() {
	for _, l := range n.between(func(string, string) bool { return true }) {
		l.listener.Close()
		l.reset()
	}
}

// Directions of a link.
const (
	toTarget = iota
	toUser
)

// linkFault is a fault of a link while it lasts.
type linkFault struct {
	delay time.Duration // of each piece of data
	ramp  time.Duration // time in which the delay grows from 0; without it, its beginning is a gap
	cut   [2]bool       // by direction; data is held until the cut ends
	ways  [2]bool       // directions that are delayed; both if none is set
	// By direction, how much later than data the end of a connection passes. What the other side sends meanwhile is lost.
	holdEnd [2]time.Duration
	// Called with what users send. A request of the soak's callers is one piece of data.
	onRequest func(request []byte)
}

const forGood = time.Hour // as holdEnd; the run ends before

// link is a loopback relay.
type link struct {
	from, to string
	listener net.Listener

	mu     sync.Mutex
	pipes  map[*pipe]bool
	faults map[*linkFault]time.Time // with their beginnings; a fault may be that of several links
}

// pipe is a connection over a link.
type pipe struct {
	user, target net.Conn
	silent       atomic.Bool // passes nothing further
	closed       atomic.Bool
	held         [2]atomic.Bool // the end of the direction is held back
	ended        atomic.Int32   // directions that have ended
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) begin(f *linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[f] = time.Now()
}

func (l *link) end(f *linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.faults, f)
}

// reset resets the open connections.
func (l *link) reset() {
	for _, p := range l.open() {
		p.abort()
	}
}

// resetUsers resets the open connections for their users only. The targets learn of it as of any end that comes from the users.
func (l *link) resetUsers() {
	for _, p := range l.open() {
		abort(p.user)
	}
}

// resetTargets resets the open connections for their targets only.
func (l *link) resetTargets() {
	for _, p := range l.open() {
		abort(p.target)
	}
}

// silence makes the open connections pass nothing further. New ones work.
func (l *link) silence() {
	for _, p := range l.open() {
		p.silent.Store(true)
	}
}

func (l *link) open() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*pipe
	for p := range l.pipes {
		all = append(all, p)
	}
	return all
}

func (l *link) serve() {
	for {
		user, err := l.listener.Accept()
		if err != nil {
			return // the run has ended
		}
		go l.connect(user)
	}
}

const dialTimeout = time.Second

func (l *link) connect(user net.Conn) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.from)}, Timeout: dialTimeout}
	target, err := dialer.Dial("tcp", l.to)
	if err != nil {
		abort(user)
		return
	}
	p := &pipe{user: user, target: target}
	l.mu.Lock()
	l.pipes[p] = true
	l.mu.Unlock()
	go l.copy(p, user, target, toTarget)
	l.copy(p, target, user, toUser)
}

// chunk is what one read of a connection has returned.
type chunk struct {
	data []byte
	err  error
	at   time.Time
}

const maxChunks = 4096 // under way in one direction of a connection

// copy passes data in one direction until the connection ends.
func (l *link) copy(p *pipe, source, sink net.Conn, direction int) {
	chunks := make(chan chunk, maxChunks)
	go readChunks(source, chunks)
	for c := range chunks {
		l.hold(p, direction, c.at)
		if len(c.data) > 0 {
			l.observe(direction, c.data)
			if _, err := sink.Write(c.data); err != nil && !l.holdsEnd(p, 1-direction) {
				c.err = err
			}
		}
		if c.err != nil {
			l.awaitEnd(p, direction, c.at)
			l.ended(p, sink, c.err)
			break
		}
	}
	for range chunks { // the reader must not wait for ever
	}
}

// readChunks reads until the connection ends.
func readChunks(source net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	buf := make([]byte, 32<<10)
	for {
		n, err := source.Read(buf)
		chunks <- chunk{slices.Clone(buf[:n]), err, time.Now()}
		if err != nil {
			return
		}
	}
}

const (
	holdInterval = 2 * time.Millisecond  // interval at which held data checks for the end of its fault
	endInterval  = 10 * time.Millisecond // the same for held ends, of which there may be hundreds
)

// hold waits until data that was read at a time may pass.
func (l *link) hold(p *pipe, direction int, read time.Time) {
	for {
		delay, held := l.effect(direction)
		if p.closed.Load() || !held && !p.silent.Load() && time.Since(read) >= delay {
			return
		}
		time.Sleep(holdInterval)
	}
}

// observe tells the present faults what a user sends.
func (l *link) observe(direction int, data []byte) {
	if direction != toTarget {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.faults {
		if f.onRequest != nil {
			f.onRequest(data)
		}
	}
}

// holdsEnd reports whether an end of a direction is or would be held back.
func (l *link) holdsEnd(p *pipe, direction int) bool {
	return p.held[direction].Load() || l.endDelay(direction) > 0
}

// awaitEnd waits until an end that was read at a time may pass.
func (l *link) awaitEnd(p *pipe, direction int, read time.Time) {
	delay := l.endDelay(direction)
	p.held[direction].Store(delay > 0)
	for !p.closed.Load() && time.Since(read) < delay {
		time.Sleep(endInterval)
	}
}

// endDelay returns for how long the present faults hold ends of a direction back.
func (l *link) endDelay(direction int) (delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.faults {
		delay = max(delay, f.holdEnd[direction])
	}
	return delay
}

// effect returns the longest delay of the present faults and whether one of them cuts a direction.
func (l *link) effect(direction int) (delay time.Duration, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, since := range l.faults {
		delay = max(delay, f.delayOf(direction, time.Since(since)))
		held = held || f.cut[direction]
	}
	return delay, held
}

// delayOf returns the delay of a direction when the fault has lasted for a time.
func (f *linkFault) delayOf(direction int, grown time.Duration) time.Duration {
	if f.ways != [2]bool{} && !f.ways[direction] {
		return 0
	}
	if grown < f.ramp {
		return time.Duration(float64(f.delay) * float64(grown) / float64(f.ramp))
	}
	return f.delay
}

// ended ends one direction of a connection because of err, and the connection if both have ended or it was reset.
func (l *link) ended(p *pipe, sink net.Conn, err error) {
	if err == io.EOF {
		sink.(*net.TCPConn).CloseWrite()
	} else {
		p.abort()
	}
	if p.ended.Add(1) < 2 {
		return
	}
	p.user.Close()
	p.target.Close()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

func (p *pipe) abort() {
	p.closed.Store(true)
	abort(p.user)
	abort(p.target)
}

// abort resets a connection.
func abort(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}
