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
	// usageInterval is the time between two reports of the teams' use to the zone's peers. With 43 teams of about 35
	// bytes and 4 peers it costs 3 KB/s in each direction.
	usageInterval = 2 * time.Second
	// usageTTL drops the report of a peer that has fallen silent.
	usageTTL = 3 * usageInterval
)

// usage holds what the teams use on the slots of the zone's other instances.
type usage struct {
	now  func() time.Time
	mu   sync.Mutex
	from map[string]usageReport
}

type usageReport struct {
	at    time.Time
	teams []message.TeamAmount
}

func newUsage(now func() time.Time) *usage {
	return &usage{now: now, from: map[string]usageReport{}}
}

func (u *usage) handle(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.TeamUsage
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.from[from.Instance] = usageReport{u.now(), m.Teams}
	return nil, nil
}

// sum returns the use of each team, over all peers that have reported lately.
func (u *usage) sum() map[string]sched.Size {
	now := u.now()
	out := map[string]sched.Size{}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, r := range u.from {
		if now.Sub(r.at) > usageTTL {
			delete(u.from, name)
			continue
		}
		for _, t := range r.teams {
			out[t.Team] = out[t.Team].Plus(t.Size)
		}
	}
	return out
}

// elsewhereInterval follows the heartbeats of the zone's peers, which carry their slots.
const elsewhereInterval = 250 * time.Millisecond

// reportUsage sends the teams' use of this instance's slots to the zone's peers, stops the peers' tasks that nobody waits
// for, and gives what is known of the other instances to the scheduler.
func (e *Entry) reportUsage(ctx context.Context) {
	ticker := e.clock.NewTicker(elsewhereInterval)
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
		elsewhere := e.elsewhere()
		e.engine.Configure(func(now time.Time, s sched.Scheduler) {
			if f, ok := s.(sched.Sharer); ok {
				f.SetPeerState(now, elsewhere)
			}
		})
	}
}

// elsewhere summarises the instances whose slots this one may use, and the sizes of all workers that may run tasks of this instance.
func (e *Entry) elsewhere() sched.PeerState {
	v := e.members.View()
	out := sched.PeerState{Usage: e.usage.sum()}
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
			e.node.Notify(p.Addr, peer.TeamUsage, message.Encode(&m)) // best effort; the next report replaces it
		}
	}
}

// usageFor returns the report for one peer. It leaves out the tasks that the peer has delegated, because the peer's own
// scheduler charges their teams.
func usageFor(reader string, use map[engine.UsageKey]sched.Size) message.TeamUsage {
	teams := map[string]sched.Size{}
	for u, size := range use {
		if u.Home != reader {
			teams[u.Team] = teams[u.Team].Plus(size)
		}
	}
	var m message.TeamUsage
	for team, size := range teams {
		m.Teams = append(m.Teams, message.TeamAmount{Team: team, Size: size})
	}
	return m
}
