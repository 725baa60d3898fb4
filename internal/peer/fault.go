package peer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrFaultsDisabled is returned by SetCut unless Options.EnableFaults is set.
var ErrFaultsDisabled = errors.New("fault injection is not enabled")

// SetCut drops all traffic to and from the peers for which cut returns true. It simulates a network that loses all
// packets without notice: messages are lost, and the connection ends after the idle timeout. SetCut(nil) restores all
// traffic.
func (n *Node) SetCut(cut func(zone, instance string) bool) error {
	if !n.opts.EnableFaults {
		return ErrFaultsDisabled
	}
	n.cut.Store(&cut)
	for _, c := range n.openConns() {
		n.applyCut(c)
	}
	return nil
}

func (n *Node) isCut(c *conn) bool {
	cut := n.cut.Load()
	return cut != nil && *cut != nil && (*cut)(c.from.Zone, c.from.Instance)
}

func (n *Node) applyCut(c *conn) {
	cut := n.isCut(c)
	if c.cut.Swap(cut) || !cut {
		return
	}
	time.AfterFunc(n.opts.IdleTimeout, func() {
		if c.cut.Load() {
			c.end(errCut)
		}
	})
}

// ParseCut parses an operator's comma-separated list of zones, as "ZONE", and instances, as "ZONE/INSTANCE", and returns
// the function for SetCut that cuts off these. An empty list cuts off nothing.
func ParseCut(list string) (func(zone, instance string) bool, error) {
	var parts []string
	for _, p := range strings.Split(list, ",") {
		p = strings.TrimSpace(p)
		if strings.Count(p, "/") > 1 || strings.HasPrefix(p, "/") || strings.HasSuffix(p, "/") {
			return nil, fmt.Errorf("%q is neither ZONE nor ZONE/INSTANCE", p)
		}
		if p != "" {
			parts = append(parts, p)
		}
	}
	return func(zone, instance string) bool {
		return slices.Contains(parts, zone) || slices.Contains(parts, zone+"/"+instance)
	}, nil
}
