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

// SetCut drops all traffic to and from the peers for which cut is true, as a network does that silently loses
// packets: messages vanish, and the connection ends after the idle time-out. nil ends the cut.
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

// ParseCut reads an operator's list of what to cut: zones as "ZONE" and instances as "ZONE/INSTANCE", separated by
// commas. An empty list cuts nothing.
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
