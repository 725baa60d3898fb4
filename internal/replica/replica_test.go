package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
)

// network connects replicators. Their addresses are ZONE/INSTANCE.
type network struct {
	clock *clockwork.FakeClock
	nodes map[string]*Replicator
	names []identity.Home
	down  sync.Map // addresses that cannot be reached; a sync.Map, since lookups still read it after the first copy was found
}

func (n *network) Notify(addr string, _ peer.Method, body []byte) error {
	if _, down := n.down.Load(addr); down {
		return peer.ErrUnreached
	}
	_, err := n.nodes[addr].HandleCopies(context.Background(), peer.Sender{}, body)
	return err
}

func (n *network) Call(ctx context.Context, addr string, _ peer.Method, body []byte) ([]byte, error) {
	if _, down := n.down.Load(addr); down {
		return nil, peer.ErrUnreached
	}
	return n.nodes[addr].HandleLookup(ctx, peer.Sender{}, body)
}

func (n *network) view(self identity.Home) member.View {
	v := member.View{Self: self}
	for _, h := range n.names {
		if h != self {
			v.Members = append(v.Members, member.Member{Zone: h.Zone, Instance: h.Instance, Addr: h.Zone + "/" + h.Instance, Status: member.Alive})
		}
	}
	return v
}

func newNetwork() *network {
	n := &network{clock: clockwork.NewFakeClock(), nodes: map[string]*Replicator{}}
	for _, zone := range []string{"blackstone", "farmington"} {
		for i := range 3 {
			h := identity.Home{Zone: zone, Instance: fmt.Sprintf("e%d", i)}
			n.names = append(n.names, h)
			n.nodes[zone+"/"+h.Instance] = New(Options{View: func() member.View { return n.view(h) }, Transport: n, Clock: n.clock, MaxBytes: 4096})
		}
	}
	return n
}

func (n *network) holders(id string) (holders []string) {
	for addr, r := range n.nodes {
		if _, ok := r.store.get(n.clock.Now(), id, "survey"); ok {
			holders = append(holders, addr)
		}
	}
	return holders
}

// Guards against an answer that is lost when its home or one of the peers with a copy fails, that another team can
// read, or that is kept longer than its retention.
func TestCopiesSurviveTheHome(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	home := n.nodes["blackstone/e0"]
	ctx := context.Background()
	home.Add("i1", "survey", []byte("answer"))
	home.Flush()
	holders := n.holders("i1")
	is.Equal(len(holders), 2)
	is.True(holders[0][:3] != holders[1][:3]) // one in each zone
	n.down.Store("blackstone/e0", true)
	for _, lost := range holders {
		n.down.Store(lost, true)
		for addr, r := range n.nodes {
			if addr == lost {
				continue
			}
			answer, ok := r.Lookup(ctx, "i1", "survey")
			is.True(ok)
			is.Equal(string(answer), "answer")
			_, ok = r.Lookup(ctx, "i1", "desk")
			is.True(!ok)
		}
		n.down.Delete(lost)
	}
	n.down.Store(holders[0], true) // the next answer must go to another peer
	home.Add("i2", "survey", []byte("answer"))
	home.Flush()
	is.Equal(len(n.holders("i2")), 2)
	n.clock.Advance(DefaultRetention)
	is.Equal(len(n.holders("i1")), 0)
}

// Guards against copies that take more memory than allowed, and against an old or too large copy that displaces newer
// copies.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	s := newStore(time.Minute, 4096)
	now := time.Unix(0, 0)
	for i := range 100 {
		s.put(now, &message.Copy{Identity: fmt.Sprint(i), Answer: make([]byte, 100)})
		is.True(s.bytes <= 4096)
	}
	_, newest := s.get(now, "99", "")
	_, oldest := s.get(now, "0", "")
	is.True(newest && !oldest)
	s.put(now, &message.Copy{Identity: "huge", Answer: make([]byte, 5000)})
	_, newest = s.get(now, "99", "")
	is.True(newest)
	_, _ = s.get(now.Add(time.Minute), "99", "")
	is.Equal(s.bytes, 0)
	is.Equal(len(s.copies), 0)
}

// Guards against answers that are never sent, or that are sent in one message each instead of in batches.
func TestRunBatches(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	home := n.nodes["blackstone/e0"]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { home.Run(ctx); close(done) }()
	for i := range 10 {
		home.Add(fmt.Sprint(i), "survey", []byte("a"))
	}
	n.clock.BlockUntilContext(ctx, 1)
	n.clock.Advance(BatchInterval)
	for home.Dump().(Stats).Batches == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(home.Dump().(Stats).Batches, uint64(1))
	home.Add("last", "survey", nil)
	cancel()
	<-done
	is.Equal(len(n.holders("last")), 2) // pending answers are sent at the end
}
