package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/secure"
)

func newCA(tb testing.TB) *secure.DevCA {
	ca, err := secure.NewDevCA(time.Now())
	if err != nil {
		tb.Fatal(err)
	}
	return ca
}

func newTLS(tb testing.TB, ca *secure.DevCA, zone, instance string) *secure.TLS {
	s, err := ca.Issue(secure.Name{Zone: zone, Instance: instance})
	if err != nil {
		tb.Fatal(err)
	}
	t, err := secure.LoadTLS(s)
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

func newNode(tb testing.TB, ca *secure.DevCA, zone, instance string) *Node {
	return newNodeWithIdleTimeout(tb, ca, zone, instance, DefaultIdleTimeout)
}

func newNodeWithIdleTimeout(tb testing.TB, ca *secure.DevCA, zone, instance string, idle time.Duration) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(Options{Listen: "127.0.0.1:0", TLS: newTLS(tb, ca, zone, instance), Log: log, EnableFaults: true, IdleTimeout: idle})
	if err != nil {
		tb.Fatal(err)
	}
	n.Handle(Forward, func(_ context.Context, from Sender, body []byte) ([]byte, error) {
		return fmt.Appendf(nil, "%s/%s:%s", from.Zone, from.Instance, body), nil
	})
	tb.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.Close(ctx)
	})
	return n
}

// Guards against answers that reach the wrong call, frames that are mixed up between the two streams, and a Sender that
// differs from the certificate, while both sides dial at the same time.
func TestCallsInBothDirections(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	a, b := newNode(t, ca, "blackstone", "e1"), newNode(t, ca, "farmington", "e2")
	ctx := context.Background()
	var wg sync.WaitGroup
	for i := range 200 {
		body := make([]byte, 1+i*500) // 1 byte to 100 KB: both size classes
		copy(body, fmt.Sprint(i))
		wg.Go(func() {
			out, err := a.Call(ctx, b.Addr(), Forward, body)
			is.NoErr(err)
			is.Equal(string(out), "blackstone/e1:"+string(body))
		})
		wg.Go(func() {
			out, err := b.Call(ctx, a.Addr(), Forward, body)
			is.NoErr(err)
			is.Equal(string(out), "farmington/e2:"+string(body))
		})
	}
	wg.Wait()
	b.Handle(Delegate, func(context.Context, Sender, []byte) ([]byte, error) { return nil, errors.New("no slot") })
	_, err := a.Call(ctx, b.Addr(), Delegate, nil)
	var remote *RemoteError
	is.True(errors.As(err, &remote) && remote.Message == "no slot")
	_, err = a.Call(ctx, b.Addr(), ConfigFetch, nil) // no handler
	is.True(errors.Is(err, ErrRefused) && NotProcessed(err))
}

// Guards against calls that are lost when a duplicate connection is closed while the peer still makes calls on it.
func TestClosingDuplicateConnectionLosesNoCall(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	a, b := newNode(t, ca, "blackstone", "e1"), newNode(t, ca, "farmington", "e2")
	ctx := context.Background()
	_, err := a.Call(ctx, b.Addr(), Forward, nil)
	is.NoErr(err)
	duplicate := a.openConns()[0]
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for !stop.Load() {
				if _, err := b.Call(ctx, a.Addr(), Forward, make([]byte, 1000)); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	a.closeDuplicate(duplicate, 20*time.Millisecond)
	_, err = b.Call(ctx, a.Addr(), Forward, nil)
	is.NoErr(err)
	stop.Store(true)
	wg.Wait()
	is.True(!duplicate.usable())
}

// Guards against accepting messages of a peer whose certificate comes from another CA, and against reporting such a failed
// call as possibly processed.
func TestForeignCAIsRefused(t *testing.T) {
	is := is.New(t)
	a, foreign := newNode(t, newCA(t), "blackstone", "e1"), newNode(t, newCA(t), "blackstone", "e2")
	_, err := foreign.Call(context.Background(), a.Addr(), Forward, []byte("x"))
	is.True(NotProcessed(err))
	_, err = a.Call(context.Background(), foreign.Addr(), Forward, []byte("x"))
	is.True(NotProcessed(err))
	is.Equal(len(a.openConns()), 0)
	// A client that does not verify the server's certificate is still refused by the server.
	lax := newNode(t, newCA(t), "blackstone", "e3")
	conf := lax.opts.TLS.Client()
	conf.VerifyConnection = nil
	q, err := lax.transport.Dial(context.Background(), a.socket.LocalAddr(), conf, lax.quicConfig())
	if err == nil {
		_, err = lax.setup(context.Background(), q, true)
	}
	is.True(err != nil)
	is.Equal(len(a.openConns()), 0)
}

// Guards against a running process that ignores a replaced certificate or CA.
func TestCertificateAndCAAreReplacedWhileRunning(t *testing.T) {
	is := is.New(t)
	old, renewed := newCA(t), newCA(t)
	a, b := newNode(t, old, "blackstone", "e1"), newNode(t, old, "blackstone", "e2")
	ctx := context.Background()
	_, err := a.Call(ctx, b.Addr(), Forward, nil)
	is.NoErr(err)
	s, err := renewed.Issue(secure.Name{Zone: "blackstone", Instance: "e1"})
	is.NoErr(err)
	is.NoErr(a.opts.TLS.Reload(s))
	_, err = a.Call(ctx, b.Addr(), Forward, nil)
	is.NoErr(err) // the established connection is still used
	for _, c := range a.openConns() {
		c.end(errClosed)
	}
	_, err = a.Call(ctx, b.Addr(), Forward, nil)
	is.True(errors.Is(err, ErrUnreached)) // b does not trust the new CA yet
	s, err = renewed.Issue(secure.Name{Zone: "blackstone", Instance: "e2"})
	is.NoErr(err)
	is.NoErr(b.opts.TLS.Reload(s))
	for err = ErrUnreached; errors.Is(err, ErrUnreached); { // until the back-off has ended
		_, err = a.Call(ctx, b.Addr(), Forward, nil)
	}
	is.NoErr(err)
	wrong, err := renewed.Issue(secure.Name{Zone: "blackstone", Instance: "e9"})
	is.NoErr(err)
	is.True(b.opts.TLS.Reload(wrong) != nil) // another instance's certificate
}

// udpProxy forwards packets between a client and a server until silent is closed, and drops them from then on.
type udpProxy struct {
	net.PacketConn
	server net.Addr
	silent chan struct{}
}

func newUDPProxy(tb testing.TB, server net.Addr) *udpProxy {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &udpProxy{PacketConn: front, server: server, silent: make(chan struct{})}
	tb.Cleanup(func() { front.Close() })
	go p.run()
	return p
}

func (p *udpProxy) run() {
	buf := make([]byte, 64<<10)
	var client net.Addr
	for {
		n, from, err := p.ReadFrom(buf)
		if err != nil {
			return
		}
		to := p.server
		if from.String() == p.server.String() {
			to = client
		} else {
			client = from
		}
		select {
		case <-p.silent:
		default:
			p.WriteTo(buf[:n], to)
		}
	}
}

// Guards against calls that hang, or are reported as not processed, after their connection has gone silent, and against a
// silent connection that is not replaced. The limit of 2 s for the detection is checked by the sum of the idle timeout
// and the keep-alive interval.
func TestSilentConnectionIsFoundAndReplaced(t *testing.T) {
	is := is.New(t)
	is.True(DefaultIdleTimeout+DefaultKeepAlive < 2*time.Second)
	ca := newCA(t)
	a, b := newNode(t, ca, "blackstone", "e1"), newNode(t, ca, "blackstone", "e2")
	p := newUDPProxy(t, b.socket.LocalAddr())
	started := make(chan struct{})
	b.Handle(Delegate, func(ctx context.Context, _ Sender, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, nil
	})
	addr := p.LocalAddr().String()
	failed := make(chan error)
	go func() {
		_, err := a.Call(context.Background(), addr, Delegate, nil)
		failed <- err
	}()
	<-started
	close(p.silent)
	is.True(errors.Is(<-failed, ErrLost))
	_, err := a.Call(context.Background(), addr, Forward, nil) // still silent: no new connection can be opened
	is.True(errors.Is(err, ErrUnreached))
	_, err = a.Call(context.Background(), b.Addr(), Forward, nil)
	is.NoErr(err)
}

// Guards against calls that keep waiting for a process after a new one has started at its address.
func TestReplacedProcess(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	// With an idle timeout of an hour, only the connection of the new process can end the old connection.
	a, b := newNodeWithIdleTimeout(t, ca, "blackstone", "e1", time.Hour), newNodeWithIdleTimeout(t, ca, "blackstone", "e2", time.Hour)
	started := make(chan struct{})
	b.Handle(Delegate, func(ctx context.Context, _ Sender, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, nil
	})
	failed := make(chan error)
	go func() {
		_, err := a.Call(context.Background(), b.Addr(), Delegate, nil)
		failed <- err
	}()
	<-started
	addr := b.Addr()
	b.socket.Close() // without notice to the peer
	restarted, err := New(Options{Listen: addr, TLS: b.opts.TLS, Log: b.opts.Log})
	is.NoErr(err)
	_, err = restarted.Call(context.Background(), a.Addr(), Forward, nil)
	is.NoErr(err)
	err = <-failed
	is.True(errors.Is(err, ErrLost) && errors.Is(err, errReplaced))
	_, err = a.Call(context.Background(), addr, Backlog, nil)
	is.True(errors.Is(err, ErrRefused)) // the call reached the new process, which has no handler
	is.NoErr(restarted.Close(context.Background()))
}

// Guards against an injected network cut that lets a message through, or that persists after SetCut(nil).
func TestCut(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	a, b := newNode(t, ca, "blackstone", "e1"), newNode(t, ca, "farmington", "e2")
	ctx := context.Background()
	_, err := a.Call(ctx, b.Addr(), Forward, nil)
	is.NoErr(err)
	cut, err := ParseCut("farmington")
	is.NoErr(err)
	is.NoErr(a.SetCut(cut))
	_, err = a.Call(ctx, b.Addr(), Forward, nil)
	is.True(errors.Is(err, ErrLost))
	_, err = b.Call(ctx, a.Addr(), Forward, nil)
	is.True(err != nil)
	is.NoErr(a.SetCut(nil))
	for err = ErrUnreached; errors.Is(err, ErrUnreached); {
		_, err = a.Call(ctx, b.Addr(), Forward, nil)
	}
	is.NoErr(err)
}

// Guards against a planned stop that aborts a request in progress or loses its answer.
func TestCloseDeliversAnswers(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	a, b := newNode(t, ca, "blackstone", "e1"), newNode(t, ca, "blackstone", "e2")
	started, finish := make(chan struct{}), make(chan struct{})
	b.Handle(Delegate, func(context.Context, Sender, []byte) ([]byte, error) {
		close(started)
		<-finish
		return make([]byte, 1<<20), nil
	})
	answered := make(chan error, 1)
	go func() {
		_, err := a.Call(context.Background(), b.Addr(), Delegate, nil)
		answered <- err
	}()
	<-started
	closed := make(chan error, 1)
	go func() { closed <- b.Close(context.Background()) }()
	for !b.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	_, err := a.Call(context.Background(), b.Addr(), Forward, nil)
	is.True(NotProcessed(err))
	close(finish)
	is.NoErr(<-answered)
	is.NoErr(<-closed)
}

// BenchmarkCall measures calls over loopback for different numbers of calls in flight and sizes of the body.
func BenchmarkCall(b *testing.B) {
	ca := newCA(b)
	x, y := newNode(b, ca, "blackstone", "e1"), newNode(b, ca, "blackstone", "e2")
	y.HandleInline(Backlog, func(_ context.Context, _ Sender, body []byte) ([]byte, error) { return body, nil })
	for _, size := range []int{64, 1024} {
		for _, inFlight := range []int{1, 16, 256, 2048} {
			b.Run(fmt.Sprintf("size=%d/inflight=%d", size, inFlight), func(b *testing.B) {
				benchCalls(b, x, y.Addr(), size, inFlight)
			})
		}
	}
}

func benchCalls(b *testing.B, n *Node, addr string, size, inFlight int) {
	body := make([]byte, size)
	var wg sync.WaitGroup
	b.ReportAllocs()
	for i := range inFlight {
		wg.Go(func() {
			for range b.N/inFlight + min(1, max(0, b.N%inFlight-i)) {
				if _, err := n.Call(context.Background(), addr, Backlog, body); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
