package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/share"
)

// handlePeers registers the handlers of messages from other entry instances.
func (e *Entry) handlePeers() {
	e.node.HandleInline(peer.Heartbeat, e.members.HandleHeartbeat)
	e.node.Handle(peer.Forward, e.handleForward)
	e.node.Handle(peer.ConfigFetch, e.handleConfigFetch)
	e.node.Handle(peer.Claim, e.owner.HandleClaim)
	e.node.Handle(peer.Handover, e.owner.HandleHandover)
	e.node.HandleInline(peer.Copies, e.replicas.HandleCopies)
	e.node.Handle(peer.CopyLookup, e.replicas.HandleLookup)
	e.node.HandleInline(peer.TeamUsage, e.usage.handleReport)
	e.sharing.RegisterHandlers(e.engine)
}

// localState returns the state of this instance that its heartbeats report.
func (e *Entry) localState() member.LocalState {
	l := e.engine.Load()
	return member.LocalState{
		Version: e.config.Version(), Schema: config.SchemaVersion,
		FreeSlots: l.FreeSlots, Slots: l.Slots, Backlog: l.Queued, ExpectedWait: l.Wait,
	}
}

// memberChanged passes a membership event to the parts that depend on it: worker ownership, the engine's peers, the
// configuration and the metrics.
func (e *Entry) memberChanged(ev member.Event) {
	name := ev.Member.Zone + "/" + ev.Member.Instance
	if ownershipChanges[ev.Kind] {
		e.owner.Refresh()
	}
	switch ev.Kind {
	case member.Fenced, member.Superseded:
		e.endOnce.Do(func() { close(e.incarnationEnded) })
	case member.Joined, member.Returned, member.Recovered:
		e.engine.AddPeer(name, e.sharing.Link(name, ev.Member.Addr))
	case member.Restarted:
		e.engine.RemovePeer(name)
		e.engine.AddPeer(name, e.sharing.Link(name, ev.Member.Addr))
	case member.Died:
		e.engine.DropPeer(name)
	}
	if ev.Member.Live() {
		e.config.ObserveVersion(name, ev.Member.Version)
	} else if ev.Kind == member.Died {
		e.config.ForgetPeer(name)
	}
	if kind, ok := memberMetrics[ev.Kind]; ok {
		e.metrics.MemberChanges.Add(kind, 1)
	}
}

// memberMetrics maps membership events to the kinds of the member_changes metric.
var memberMetrics = map[member.EventKind]metric.Kind{
	member.Joined: metric.MemberJoined, member.Suspected: metric.MemberSuspect, member.Died: metric.MemberGone,
	member.Recovered: metric.MemberReturned, member.Returned: metric.MemberReturned, member.Paused: metric.MemberPaused,
}

// seeds parses the seeds of the settings, each ZONE/INSTANCE@ADDRESS. Options.Validate has already rejected malformed
// ones.
func seeds(texts []string) []member.Seed {
	var out []member.Seed
	for _, t := range texts {
		if s, err := parseSeed(t); err == nil {
			out = append(out, s)
		}
	}
	return out
}

func parseSeed(t string) (member.Seed, error) {
	name, addr, ok := strings.Cut(t, "@")
	zone, instance, named := strings.Cut(name, "/")
	if !ok || !named || zone == "" || instance == "" {
		return member.Seed{}, fmt.Errorf("is %q, must be ZONE/INSTANCE@ADDRESS", t)
	}
	return member.Seed{Zone: zone, Instance: instance, Addr: addr}, nil
}

// findLivePeer returns the live peer with a name, which is ZONE/INSTANCE.
func (e *Entry) findLivePeer(name string) (member.Member, bool) {
	for _, m := range e.members.View().Live() {
		if m.Zone+"/"+m.Instance == name {
			return m, true
		}
	}
	return member.Member{}, false
}

// Fetch implements config.Peer: it fetches the configuration that a live peer has in force.
func (e *Entry) Fetch(ctx context.Context, name string) (config.Snapshot, error) {
	m, ok := e.findLivePeer(name)
	if !ok {
		return config.Snapshot{}, fmt.Errorf("peer %q is not live", name)
	}
	body, err := e.node.Call(ctx, m.Addr, peer.ConfigFetch, message.Encode(&message.ConfigFetch{}))
	if err != nil {
		return config.Snapshot{}, err
	}
	var d message.ConfigDocument
	if err := message.Decode(body, &d); err != nil {
		return config.Snapshot{}, err
	}
	return config.Snapshot{
		Version: d.Version, Schema: d.Schema, Author: d.Author, Nonce: d.Nonce, Document: string(d.Document),
		Digest: d.Digest, Next: d.Offset,
	}, nil
}

func (e *Entry) handleConfigFetch(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var m message.ConfigFetch
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	s := e.config.Snapshot()
	if s.Version <= m.NewerThan {
		return message.Encode(&message.ConfigDocument{}), nil
	}
	return message.Encode(&message.ConfigDocument{
		Version: s.Version, Offset: s.Next, Document: []byte(s.Document), Schema: s.Schema, Author: s.Author,
		Nonce: s.Nonce, Digest: s.Digest,
	}), nil
}

// liveNames returns the names of the live entry instances including this one, or nil while the membership has not
// settled.
func (e *Entry) liveNames() []string {
	view := e.members.View()
	if !view.Settled {
		return nil
	}
	names := []string{e.opts.Zone + "/" + e.opts.Name}
	for _, m := range view.Live() {
		names = append(names, m.Zone+"/"+m.Instance)
	}
	return names
}

// shareMembers implements share.Members on the membership controller.
type shareMembers struct{ e *Entry }

// Live implements share.Members. Draining instances are left out.
func (s shareMembers) Live() []share.Member {
	var out []share.Member
	for _, m := range s.e.members.View().Live() {
		if !m.Draining {
			out = append(out, shareMember(&m))
		}
	}
	return out
}

// Member implements share.Members.
func (s shareMembers) Member(name string) (share.Member, bool) {
	m, ok := s.e.findLivePeer(name)
	return shareMember(&m), ok
}

func shareMember(m *member.Member) share.Member {
	return share.Member{Name: m.Zone + "/" + m.Instance, Zone: m.Zone, Addr: m.Addr, ExpectedWait: m.Wait}
}

// spill returns the configured rule for delegating tasks to other availability zones.
func (e *Entry) spill() share.Spill {
	s := e.current.Load()
	if s == nil {
		return share.Spill{}
	}
	return share.Spill{Enabled: s.config.Spill.Enabled, WaitDifference: s.config.Spill.WaitDifference}
}

// fenced reports whether this incarnation must not answer requests any more. Benchmarks run without a membership and
// are never fenced.
func (e *Entry) fenced(now time.Time) bool { return e.members != nil && e.members.Fenced(now) }

// mayStart reports whether tasks may be started. They may not while this process recovers from a pause, since its view
// of peers and workers is out of date, nor after it was superseded or fenced.
func (e *Entry) mayStart(now time.Time) bool { return e.members.MayDispatch(now) }
