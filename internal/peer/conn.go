package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/savorypass/savorypass/internal/secure"
)

const readBufferBytes = 32 << 10

// Application error codes with which connections are closed.
const (
	codeClosed    quic.ApplicationErrorCode = 0
	codeProtocol  quic.ApplicationErrorCode = 1
	codeDuplicate quic.ApplicationErrorCode = 2
	codeCut       quic.ApplicationErrorCode = 3
)

// errRetired is the error of a call that was not sent because its connection accepts no new calls.
var errRetired = fmt.Errorf("%w: the connection accepts no new calls", ErrUnreached)

// maxGoAways is how many acknowledgements of sendGoAway a connection can hold for each stream. closeDuplicate calls
// sendGoAway twice and the stop of the process calls it once, possibly at the same time.
const maxGoAways = 3

// reply is the result of a call.
type reply struct {
	body []byte
	err  error
}

// call is a request in flight.
type call struct {
	done    chan reply // capacity 1
	class   class
	offset  uint64 // offset of the frame in its stream
	dropped bool   // the frame was dropped by fault injection, which counts as sent
}

// conn is an established connection to a peer.
type conn struct {
	node    *Node
	quic    *quic.Conn
	from    Sender
	dialed  bool
	process uint64 // random number of the peer's process; see Node.process
	out     [classCount]*writer
	in      [classCount]*quic.ReceiveStream

	serving    atomic.Int64 // requests of the peer being handled
	cut        atomic.Bool  // drop all traffic, for fault injection
	goAwayAcks chan struct{}

	mu      sync.Mutex
	calls   map[uint32]*call
	nextID  uint32
	retired bool // accepts no new calls; those in progress are still answered
	closed  bool
}

// setup opens this side's streams and waits for the peer's. A peer that refuses this side's certificate opens none, so a
// nil error means that both sides have accepted each other's certificates.
func (n *Node) setup(ctx context.Context, q *quic.Conn, dialed bool) (*conn, error) {
	name, err := secure.PeerName(q.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	c := &conn{
		node:       n,
		quic:       q,
		from:       Sender{Name: name, Addr: q.RemoteAddr().String()},
		dialed:     dialed,
		goAwayAcks: make(chan struct{}, maxGoAways*classCount),
		calls:      make(map[uint32]*call),
	}
	if err := c.openStreams(ctx); err != nil {
		return nil, err
	}
	return c, c.acceptStreams(ctx)
}

func (c *conn) openStreams(ctx context.Context) error {
	for i := range c.out {
		s, err := c.quic.OpenUniStreamSync(ctx)
		if err != nil {
			return err
		}
		if class(i) == classSmall {
			s.SetPriority(1, true)
		}
		if _, err := s.Write(appendHello(nil, class(i), c.node.process)); err != nil {
			return err
		}
		c.out[i] = newWriter(s, c.node.opts.MaxPending)
	}
	return nil
}

func (c *conn) acceptStreams(ctx context.Context) error {
	for range c.in {
		s, err := c.quic.AcceptUniStream(ctx)
		if err != nil {
			return err
		}
		if deadline, ok := ctx.Deadline(); ok {
			s.SetReadDeadline(deadline)
		}
		cl, process, err := readHello(s)
		if err != nil {
			return err
		}
		s.SetReadDeadline(time.Time{})
		if c.in[cl] != nil {
			return errors.New("the peer opened two streams of the same class")
		}
		c.in[cl], c.process = s, process
	}
	return nil
}

func (c *conn) start() {
	for i := range c.out {
		c.node.tasks.Go(func() { c.end(c.out[i].run()) })
		c.node.tasks.Go(func() { c.end(c.read(c.in[i])) })
	}
}

// usable reports whether the connection accepts new calls.
func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.retired
}

// retire makes the connection accept no new calls.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// busy reports whether a call in either direction is in progress.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && len(c.calls)+int(c.serving.Load()) > 0
}

// end closes the connection after an error and ends its calls with that error. A nil error comes from a writer that has
// been closed, which happens only when the connection has ended already; it is ignored.
func (c *conn) end(err error) {
	if err == nil {
		return
	}
	code := codeProtocol
	if errors.Is(err, errDuplicate) {
		code = codeDuplicate
	}
	if errors.Is(err, errClosed) {
		code = codeClosed
	}
	if errors.Is(err, errCut) {
		code = codeCut
	}
	calls := c.markClosed()
	if calls == nil {
		return
	}
	c.quic.CloseWithError(code, err.Error())
	var written [classCount]uint64
	for i, w := range c.out {
		written[i] = w.close()
	}
	for _, w := range calls {
		w.done <- reply{err: w.endError(written, err)}
	}
	c.node.removeConn(c, err)
}

// markClosed marks the connection as closed and returns its calls, or nil if it was closed before.
func (c *conn) markClosed() map[uint32]*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	calls := c.calls
	c.calls = nil
	return calls
}

// endError returns the error of a call whose connection has ended: ErrUnreached if no byte of its frame was passed to the
// stream, ErrLost otherwise. written is the number of bytes passed to the stream of each class.
func (p *call) endError(written [classCount]uint64, cause error) error {
	if !p.dropped && p.offset >= written[p.class] {
		return fmt.Errorf("%w: %w", ErrUnreached, cause)
	}
	return fmt.Errorf("%w: %w", ErrLost, cause)
}

// call sends a request and returns the body of its answer.
func (c *conn) call(ctx context.Context, m Method, body []byte) ([]byte, error) {
	req := callPool.Get().(*call)
	id, err := c.send(req, m, body)
	if err != nil {
		callPool.Put(req)
		return nil, err
	}
	select {
	case r := <-req.done:
		callPool.Put(req)
		return r.body, r.err
	case <-ctx.Done():
		c.abandon(id)
		return nil, fmt.Errorf("%w: %w", ErrLost, context.Cause(ctx))
	}
}

var callPool = sync.Pool{New: func() any { return &call{done: make(chan reply, 1)} }}

// send queues the request frame of a call and returns the request's number.
func (c *conn) send(req *call, m Method, body []byte) (uint32, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.retired {
		return 0, errRetired
	}
	if len(c.calls) >= c.node.opts.MaxInFlight {
		return 0, fmt.Errorf("%w: %d calls are in flight", ErrUnreached, len(c.calls))
	}
	id := c.freeID()
	req.class, req.offset, req.dropped = classOf(len(body)), 0, c.cut.Load()
	if !req.dropped {
		offset, err := c.out[req.class].add(header{uint32(len(body)), kindRequest, m, id}, body)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnreached, err)
		}
		req.offset = offset
		c.node.opts.CountBytes(m, headerBytes+len(body))
	}
	c.calls[id] = req
	return id, nil
}

// freeID returns the next request number. It skips the numbers of calls that are still in flight since the counter last
// wrapped around. The caller holds c.mu.
func (c *conn) freeID() uint32 {
	for {
		c.nextID++
		if _, used := c.calls[c.nextID]; !used {
			return c.nextID
		}
	}
}

// abandon removes a call whose caller has stopped waiting; a later answer to it is ignored.
func (c *conn) abandon(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// post queues a frame that expects no answer.
func (c *conn) post(h header, body []byte) error {
	if c.cut.Load() {
		return nil
	}
	h.length = uint32(len(body))
	if _, err := c.out[classOf(len(body))].add(h, body); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreached, err)
	}
	c.node.opts.CountBytes(h.method, headerBytes+len(body))
	return nil
}

// read handles the frames of a stream until reading fails.
func (c *conn) read(s *quic.ReceiveStream) error {
	r := bufio.NewReaderSize(s, readBufferBytes)
	var scratch [headerBytes]byte
	for {
		h, body, err := readFrame(r, &scratch, c.node.opts.MaxMessage)
		if err != nil {
			return err
		}
		if c.cut.Load() {
			continue
		}
		c.node.opts.CountBytes(h.method, headerBytes+len(body))
		c.dispatch(h, body)
	}
}

func (c *conn) dispatch(h header, body []byte) {
	switch h.kind {
	case kindRequest, kindNotify:
		c.serve(h, body)
	case kindResponse:
		c.settle(h.id, reply{body: body})
	case kindFailure:
		c.settle(h.id, reply{err: &RemoteError{Message: string(body)}})
	case kindRefusal:
		c.settle(h.id, reply{err: fmt.Errorf("%w: %s", ErrRefused, body)})
	case kindGoAway:
		c.retire()
		c.node.unlink(c)
		c.out[h.id%classCount].add(header{kind: kindGoAwayAck}, nil)
	case kindGoAwayAck:
		select {
		case c.goAwayAcks <- struct{}{}:
		default:
		}
	}
}

// settle ends a call with its reply.
func (c *conn) settle(id uint32, r reply) {
	c.mu.Lock()
	req, ok := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if ok {
		req.done <- r
	}
}

func (c *conn) serve(h header, body []byte) {
	e, reason := c.admit(h)
	if reason != "" {
		c.answer(h, header{kind: kindRefusal, id: h.id}, []byte(reason))
		return
	}
	c.serving.Add(1)
	if e.inline {
		c.run(e.handler, h, body)
		return
	}
	go c.run(e.handler, h, body)
}

// admit returns the handler for a request or notification, or the reason why it is refused.
func (c *conn) admit(h header) (e *handlerEntry, refusal string) {
	if h.method < methodBound {
		e = c.node.handlers[h.method].Load()
	}
	switch {
	case e == nil:
		return nil, "no handler for " + h.method.String()
	case c.node.closing.Load() && h.kind == kindRequest:
		return nil, "stopping"
	case c.serving.Load() >= int64(c.node.opts.MaxInFlight):
		return nil, "too many requests in progress"
	}
	return e, ""
}

func (c *conn) run(handler Handler, h header, body []byte) {
	defer c.serving.Add(-1)
	out, err := handler(c.quic.Context(), c.from, body)
	if err != nil {
		c.answer(h, header{kind: kindFailure, id: h.id}, []byte(err.Error()))
		return
	}
	if len(out) > c.node.opts.MaxMessage {
		c.answer(h, header{kind: kindFailure, id: h.id}, []byte("the answer exceeds the message size limit"))
		return
	}
	c.answer(h, header{kind: kindResponse, id: h.id}, out)
}

// answer sends the result of a request; notifications get none. If the frame cannot be queued, it ends the connection, so
// that the peer detects the loss of the answer.
func (c *conn) answer(request, h header, body []byte) {
	if request.kind != kindRequest {
		return
	}
	h.method = request.method
	if err := c.post(h, body); err != nil {
		c.end(err)
	}
}
