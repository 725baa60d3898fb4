package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against an instance whose callers count as unattended for ever, so that their jobs never start: the probe of an event loop has ended
// after it was registered.
func TestLagRecoversAfterAProbeHasEnded(t *testing.T) {
	is := is.New(t)
	m := NewLagMonitor(probeInterval)
	s := startMonitored(t, 1, m, HandlerFunc(func(x *Exchange) { go x.Reply(200, nil, 0) }), func() {})
	request(t, s, "GET")
	wait.For(t, "the loop is measured", func() bool { return len(*m.loops.Load()) == 1 && lag(m) < 2*probeInterval })
	(*m.loops.Load())[0].probe.Load().peer.Close()
	time.Sleep(3 * tickInterval) // longer than probeTimeout
	is.True(lag(m) < tickInterval)
}
