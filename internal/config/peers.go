package config

import (
	"context"
	"sort"

	"github.com/jonboulle/clockwork"
)

// ObserveVersion records the configuration version in a peer's heartbeat. It must be called for each heartbeat and is
// cheap. A version above the current one makes Run fetch the states of peers.
func (c *Controller) ObserveVersion(peer string, version uint64) {
	c.mu.Lock()
	c.peerVersions[peer] = version
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

// ForgetPeer removes the recorded version of a peer that has left.
func (c *Controller) ForgetPeer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peerVersions, peer)
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

// fetch asks the peers of fetchCandidates, one after the other, until a newer state has been adopted.
func (c *Controller) fetch(ctx context.Context) {
	for _, peer := range c.fetchCandidates() {
		if c.fetchFrom(ctx, peer) || ctx.Err() != nil {
			return
		}
	}
}

// fetchCandidates returns the peers whose state may be newer, those with the highest version first. These are the peers
// with a higher version and, while this instance misses records of the log, also those with the same version, because
// they may have folded the missing records.
func (c *Controller) fetchCandidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []string
	for p, v := range c.peerVersions {
		if v > c.state.Version || (v == c.state.Version && v > 0 && c.behindLocked()) {
			peers = append(peers, p)
		}
	}
	sort.Slice(peers, func(i, j int) bool {
		a, b := c.peerVersions[peers[i]], c.peerVersions[peers[j]]
		return a > b || (a == b && peers[i] < peers[j])
	})
	return peers
}

// behindLocked reports whether this instance misses records: the log's retention has dropped them before this instance
// folded them. c.mu must be held.
func (c *Controller) behindLocked() bool { return c.cursor > c.state.Next }

func (c *Controller) fetchFrom(ctx context.Context, peer string) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.FetchTimeout)
	defer cancel()
	snap, err := c.opts.Peers.Fetch(ctx, peer)
	if err != nil {
		c.mu.Lock()
		c.stats.PeerError = peer + ": " + err.Error()
		c.mu.Unlock()
		return false
	}
	return c.adopt(peer, snap)
}

// adopt replaces the current state by a peer's state if that is newer, and reports whether it did.
func (c *Controller) adopt(peer string, snap Snapshot) bool {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	c.mu.Lock()
	before := c.state
	next, ok := c.state.Adopt(snap)
	if !ok {
		if snap.Version > before.Version && snap.Schema > SchemaVersion {
			c.newerSchema = snap.Schema
		}
		c.mu.Unlock()
		return false
	}
	c.state, c.cursor = next, next.Next
	c.stats.FromPeers++
	c.stats.PeerError = ""
	c.activate(before)
	u := Update{State: c.state, Config: c.config}
	c.mu.Unlock()
	c.opts.Logger.WithField("event", "config_from_peer").WithField("peer", peer).WithField("version", u.State.Version).Info("configuration state adopted from a peer")
	if u.State.Version > before.Version {
		c.notifySubscribers([]Update{u})
	}
	return true
}
