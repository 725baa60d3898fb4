package server

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

const probeInterval = 50 * time.Millisecond

// startMonitored starts a server with a number of event loops whose lag is measured. An event loop calls onRefusal when it refuses a
// malformed request.
func startMonitored(t *testing.T, loops int, m *LagMonitor, h Handler, onRefusal func()) *Server {
	s, err := Start(Options{
		Address: "127.0.0.1:0", Loops: loops, Handler: h, Lag: m,
		EncodeRefusal: func(result.Code, string) []byte {
			onRefusal()
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(context.Background()) })
	return s
}

// lag returns how far the event loops may be behind the kernel.
func lag(m *LagMonitor) time.Duration { return m.now() - m.HandledUntil() }

// request opens a connection and sends a request on it.
func request(t *testing.T, s *Server, method string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := c.Write([]byte(method + " / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a monitor that leaves out one of several event loops, the time for which the machine was suspended, or a loop that stands
// still without a request in progress, that counts its own sockets as callers' connections, and against one whose lag does not end when
// the loop goes on.
func TestLag(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64
	m := NewLagMonitor(probeInterval)
	m.now = func() time.Duration { return pause.Elapsed() + time.Duration(suspended.Load()) }
	held, release, exchanges := make(chan struct{}), make(chan struct{}), make(chan *Exchange, 3)
	refused, goOn := make(chan struct{}), make(chan struct{})
	s := startMonitored(t, 3, m, HandlerFunc(func(x *Exchange) {
		if string(x.Request.Header.Method()) == "PUT" {
			close(held)
			<-release
		}
		exchanges <- x
	}), func() {
		refused <- struct{}{}
		<-goOn
	})
	before := m.now()
	is.True(m.HandledUntil() >= before) // nobody is connected
	request(t, s, "GET")
	request(t, s, "GET")
	wait.For(t, "the loops are measured", func() bool { return s.Active() == 2 && len(*m.loops.Load()) == 2 && lag(m) < probeInterval })
	request(t, s, "PUT")
	<-held
	begun := time.Now()
	is.Equal(len(*m.loops.Load()), 3)
	is.Equal(s.Connections(), 3)
	time.Sleep(3 * probeInterval)
	age := time.Since(begun)
	is.True(lag(m) >= age) // the two others go on
	suspended.Store(int64(time.Hour))
	is.True(lag(m) >= time.Hour)
	close(release)
	wait.For(t, "the lag ends", func() bool { return lag(m) < probeInterval })
	for range 3 {
		(<-exchanges).Reply(200, nil, 0)
	}
	wait.For(t, "no request is in progress", func() bool { return s.Active() == 0 })
	request(t, s, strings.Repeat("x", 20<<10))
	<-refused
	suspended.Store(int64(2 * time.Hour))
	is.True(lag(m) >= time.Hour-2*idleProbeInterval)
	close(goOn)
	wait.For(t, "idle loops are measured", func() bool { return lag(m) < probeInterval })
}

// Guards against callers that count as unattended for good after the connection of the probe was reset or has fallen silent.
func TestBrokenProbeIsReplaced(t *testing.T) {
	m := NewLagMonitor(probeInterval)
	s := startMonitored(t, 1, m, HandlerFunc(func(*Exchange) {}), func() {})
	request(t, s, "GET")
	probeOf := func() *probe { return (*m.loops.Load())[0].probe.Load() }
	measured := func() bool { return s.Active() == 1 && lag(m) < probeInterval }
	wait.For(t, "the loop is measured", measured)
	for breakage, damage := range map[string]func(*probe){
		"reset": func(p *probe) {
			p.peer.SetLinger(0)
			p.peer.Close()
		},
		"silent": func(p *probe) { p.running.Store(true) },
	} {
		before := probeOf()
		damage(before)
		wait.For(t, "the probe is replaced after it was "+breakage, func() bool { return probeOf() != before })
		wait.For(t, "the loop is measured again", measured)
	}
}

// Guards against a lag that ends although closes are left: the kernel reports the probe before sockets that were ready when it was started,
// as it was reported last in the poll in progress, and a poll returns a limited number of events.
func TestLagWithManyCloses(t *testing.T) {
	const callers = 100 // an idle loop polls for 32 events at a time
	var closed atomic.Int64
	held, release := make(chan struct{}), make(chan struct{})
	m := NewLagMonitor(probeInterval)
	s := startMonitored(t, 1, m, HandlerFunc(func(x *Exchange) {
		x.OnDisconnect(func() {
			time.Sleep(time.Millisecond)
			closed.Add(1)
		})
		if string(x.Request.Header.Method()) == "PUT" {
			held <- struct{}{}
			<-release
		}
	}), func() {})
	var conns []net.Conn
	for range callers {
		conns = append(conns, request(t, s, "GET"))
	}
	second, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	wait.For(t, "all requests are read", func() bool { return s.Active() == callers && s.Connections() == callers+1 })
	request(t, s, "PUT")
	<-held
	time.Sleep(2 * probeInterval) // the probe is ready now
	second.Write([]byte("PUT / HTTP/1.1\r\nHost: a\r\n\r\n"))
	release <- struct{}{}
	<-held // the probe has been reported by the same poll
	for _, c := range conns {
		c.Close()
	}
	allClosed := time.Now()
	time.Sleep(2 * probeInterval)
	release <- struct{}{}
	for {
		age, behind, n := time.Since(allClosed), lag(m), closed.Load()
		if age > behind && n < callers {
			t.Fatalf("%v after the last close the lag is %v, but only %d of %d closes are handled", age, behind, n, callers)
		}
		if n == callers && behind < probeInterval {
			return
		}
	}
}
