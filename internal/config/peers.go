package config

import (
	"context"
	"sort"

	"github.com/jonboulle/clockwork"
)

// ObserveVersion notes the version that a peer's heartbeat shows. It is cheap and is to be called for each heartbeat.
func (c *Controller) ObserveVersion(peer string, version uint64) {
	c.mu.Lock()
	c.seen[peer] = version
	higher := version > c.state.Version
	c.mu.Unlock()
	if !higher {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ForgetPeer drops what is known of a peer that has left.
func (c *Controller) ForgetPeer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.seen, peer)
}

func (c *Controller) followPeers(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(c.opts.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-ticker.Chan():
		}
		c.fetch(ctx)
	}
}

// fetch asks peers that can help, one after the other, until one has given a newer state.
func (c *Controller) fetch(ctx context.Context) {
	for _, peer := range c.helpful() {
		if c.fetchFrom(ctx, peer) || ctx.Err() != nil {
			return
		}
	}
}

// helpful returns the peers with a higher version, the highest first. While records of the log are missing here, a
// peer with the same version helps as well, for it may have folded them.
func (c *Controller) helpful() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []string
	for p, v := range c.seen {
		if v > c.state.Version || (v == c.state.Version && v > 0 && c.behind()) {
			peers = append(peers, p)
		}
	}
	sort.Slice(peers, func(i, j int) bool {
		a, b := c.seen[peers[i]], c.seen[peers[j]]
		return a > b || (a == b && peers[i] < peers[j])
	})
	return peers
}

// behind reports whether the retention has dropped records before they were folded here. c.mu is held.
func (c *Controller) behind() bool { return c.cursor > c.state.Next }

func (c *Controller) fetchFrom(ctx context.Context, peer string) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.FetchTimeout)
	defer cancel()
	snap, err := c.opts.Peers.Fetch(ctx, peer)
	if err != nil {
		c.mu.Lock()
		c.status.PeerError = peer + ": " + err.Error()
		c.mu.Unlock()
		return false
	}
	return c.adopt(peer, snap)
}

// adopt takes over a peer's state if it is newer than the current one.
func (c *Controller) adopt(peer string, snap Snapshot) bool {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.mu.Lock()
	before := c.state
	next, ok := c.state.Adopt(snap)
	if !ok {
		if snap.Version > before.Version && snap.Schema > SchemaVersion {
			c.newer = snap.Schema
		}
		c.mu.Unlock()
		return false
	}
	c.state, c.cursor = next, next.Next
	c.status.FromPeers++
	c.status.PeerError = ""
	c.enter(before)
	u := Update{State: c.state, Config: c.config}
	c.mu.Unlock()
	c.opts.Logger.WithField("event", "config_from_peer").WithField("peer", peer).WithField("version", u.State.Version).Info("config state from peer")
	if u.State.Version > before.Version {
		c.announce([]Update{u})
	}
	return true
}
