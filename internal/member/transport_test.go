package member

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/secure"
)

type fixedList []platform.Instance

func (l fixedList) Instances(context.Context) ([]platform.Instance, error) { return l, nil }

type instance struct {
	*Controller
	node *peer.Node
}

// startAll runs controllers that exchange heartbeats over the real transport on loopback, perZone in each zone.
func startAll(tb testing.TB, zones, perZone int) []instance {
	ca, err := secure.NewDevCA(time.Now())
	if err != nil {
		tb.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	var nodes []*peer.Node
	var list fixedList
	for i := range zones * perZone {
		name := secure.Name{Zone: fmt.Sprintf("z%d", i/perZone), Instance: fmt.Sprintf("e%d", i)}
		settings, err := ca.Issue(name)
		if err != nil {
			tb.Fatal(err)
		}
		material, err := secure.LoadTLS(settings)
		if err != nil {
			tb.Fatal(err)
		}
		n, err := peer.New(peer.Options{Listen: "127.0.0.1:0", TLS: material, Log: log, EnableFaults: true})
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { n.Close(ctx) })
		nodes = append(nodes, n)
		list = append(list, platform.Instance{Name: name.Instance, Zone: name.Zone, Kind: platform.KindEntry, Address: n.Addr(), Incarnation: 1})
	}
	var all []instance
	for i, n := range nodes {
		c := New(Options{Self: identity.Home{Zone: list[i].Zone, Instance: list[i].Name, Incarnation: 1}, List: list, Transport: n, Log: log})
		n.HandleInline(peer.Heartbeat, c.HandleHeartbeat)
		all = append(all, instance{c, n})
		go c.Run(ctx)
	}
	return all
}

func (i instance) await(status Status, members int) {
	for {
		n := 0
		for _, m := range i.View().Members {
			if m.Status == status {
				n++
			}
		}
		if n == members {
			return
		}
		time.Sleep(TickInterval)
	}
}

// Guards against heartbeats that do not arrive over the real transport, in particular after a cut that closed the
// connections on both sides.
func TestOverTransport(t *testing.T) {
	all := startAll(t, 2, 2)
	for _, i := range all {
		i.await(Alive, 3)
	}
	all[0].node.SetCut(func(zone, _ string) bool { return zone == "z0" })
	all[0].await(Dead, 1)
	all[1].await(Dead, 1)
	all[0].await(Alive, 2) // the members of the other zone
	all[0].node.SetCut(nil)
	for _, i := range all {
		i.await(Alive, 3)
	}
}

// BenchmarkControl measures the cost of membership for one instance: UDP payload in both directions and processor
// time, at the size of today's system and at the target size. All instances run in this process.
func BenchmarkControl(b *testing.B) {
	for _, size := range [][2]int{{3, 2}, {5, 4}} {
		b.Run(fmt.Sprintf("zones=%d/perzone=%d", size[0], size[1]), func(b *testing.B) {
			all := startAll(b, size[0], size[1])
			for _, i := range all {
				i.await(Alive, len(all)-1)
			}
			time.Sleep(3 * time.Second) // until duplicate connections are closed
			sent, received, cpu := traffic(all[0].node), receivedBy(all[0].node), processorTime()
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(traffic(all[0].node)-sent)/seconds, "sent-B/s")
			b.ReportMetric(float64(receivedBy(all[0].node)-received)/seconds, "received-B/s")
			b.ReportMetric(100*(processorTime()-cpu).Seconds()/seconds/float64(len(all)), "%core/instance")
			b.ReportMetric(float64(len(all[0].node.Dump().([]peer.ConnState))), "connections")
		})
	}
}

func traffic(n *peer.Node) (sent uint64) {
	for _, c := range n.Dump().([]peer.ConnState) {
		sent += c.Sent
	}
	return sent
}

func receivedBy(n *peer.Node) (received uint64) {
	for _, c := range n.Dump().([]peer.ConnState) {
		received += c.Received
	}
	return received
}

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
