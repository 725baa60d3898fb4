package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

const (
	// usageInterval is the time between two reports of the teams' slot usage to the peers of the zone. With 43 teams of
	// about 35 bytes each and 4 peers the reports cost 3 KB/s in each direction.
	usageInterval = 2 * time.Second
	// usageTTL is how long a report counts. A peer that has sent none for this time is ignored.
	usageTTL = 3 * usageInterval
)

// usage holds the latest reports of how much the teams use on the slots of other instances of the zone.
type usage struct {
	now  func() time.Time
	mu   sync.Mutex
	from map[string]usageReport // by name of the reporting instance
}

type usageReport struct {
	receivedAt time.Time
	teams      []message.TeamUsageEntry
}

func newUsage(now func() time.Time) *usage {
	return &usage{now: now, from: map[string]usageReport{}}
}

// handleReport is the handler of peer.TeamUsage. It does not block.
func (u *usage) handleReport(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.TeamUsage
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.from[from.Instance] = usageReport{u.now(), m.Teams}
	return nil, nil
}

// total returns the usage of each team, summed over all peers whose last report is at most usageTTL old.
func (u *usage) total() map[string]sched.Size {
	now := u.now()
	out := map[string]sched.Size{}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, r := range u.from {
		if now.Sub(r.receivedAt) > usageTTL {
			delete(u.from, name)
			continue
		}
		for _, t := range r.teams {
			out[t.Team] = out[t.Team].Plus(t.Size)
		}
	}
	return out
}

// peerStateInterval is how often the scheduler gets the state of the other instances. It equals the interval of the
// heartbeats in the zone, which carry that state.
const peerStateInterval = 250 * time.Millisecond

// reportUsage runs until the context ends. Every usageInterval it sends the teams' usage of this instance's slots to
// the peers of the zone and stops orphaned tasks. Every peerStateInterval it passes the state of the other instances
// to the scheduler.
func (e *Entry) reportUsage(ctx context.Context) {
	ticker := e.clock.NewTicker(peerStateInterval)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.Chan():
			if now.Sub(sent) >= usageInterval {
				sent = now
				e.sendUsage()
				e.stopOrphans()
			}
		}
		peerState := e.peerState()
		e.engine.Configure(func(now time.Time, s sched.Scheduler) {
			if f, ok := s.(sched.Sharer); ok {
				f.SetPeerState(now, peerState)
			}
		})
	}
}

// peerState summarises the state of the instances whose slots this one may use, with the sizes of all workers that may
// run its tasks. Instances of other zones are included if spilling is enabled.
func (e *Entry) peerState() sched.PeerState {
	v := e.members.View()
	out := sched.PeerState{Usage: e.usage.total()}
	spill := e.spill().Enabled
	for _, m := range v.Live() {
		if m.Zone == e.opts.Zone || spill {
			out.Slots += m.Slots
			out.FreeSlots += m.FreeSlots
			out.Queued += m.Backlog
		}
	}
	for _, in := range v.Instances {
		near := in.Zone == e.opts.Zone || spill
		if in.Kind == platform.KindEndpoint && near && !slices.Contains(out.WorkerSizes, in.Size) {
			out.WorkerSizes = append(out.WorkerSizes, in.Size)
		}
	}
	return out
}

func (e *Entry) sendUsage() {
	use := e.engine.Usage()
	for _, p := range e.members.View().Live() {
		if p.Zone == e.opts.Zone {
			m := usageFor(p.Zone+"/"+p.Instance, use)
			e.node.Notify(p.Addr, peer.TeamUsage, message.Encode(&m)) // best effort: the next report replaces a lost one
		}
	}
}

// usageFor returns the report for the peer that reader names (ZONE/INSTANCE). It leaves out the tasks that this peer
// has delegated, because the peer's own scheduler charges their teams.
func usageFor(reader string, use map[engine.UsageKey]sched.Size) message.TeamUsage {
	teams := map[string]sched.Size{}
	for u, size := range use {
		if u.Home != reader {
			teams[u.Team] = teams[u.Team].Plus(size)
		}
	}
	var m message.TeamUsage
	for team, size := range teams {
		m.Teams = append(m.Teams, message.TeamUsageEntry{Team: team, Size: size})
	}
	return m
}
