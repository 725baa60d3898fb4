package instances

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
)

// Entry describes an entry instance whose health the stand-in watches, as the platform does for real ones. Peers,
// Operators and Callers are the addresses for other entry instances, operators and callers, of the form host:port.
type Entry struct {
	Zone, Name, Peers, Operators, Callers string
}

// ParseEntry parses the form ZONE/NAME,PEERS,OPERATORS,CALLERS, where the last three are addresses.
func ParseEntry(s string) (Entry, error) {
	parts := strings.Split(s, ",")
	zone, name, ok := strings.Cut(parts[0], "/")
	if !ok || len(parts) != 4 || zone == "" || name == "" {
		return Entry{}, fmt.Errorf("entry %q must be ZONE/NAME,PEERS,OPERATORS,CALLERS", s)
	}
	return Entry{zone, name, parts[1], parts[2], parts[3]}, nil
}

// probeInterval is the interval between two health checks of an entry instance.
const probeInterval = 250 * time.Millisecond

// health is the part of an entry instance's response to GET /healthz that the stand-in uses.
type health struct {
	Live        bool   `json:"live"`
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
}

// watch checks the health of an entry instance until ctx is done. While the instance is live, watch registers it, as
// leaving if it is draining. An instance that does not answer or is not live expires from the list.
func (s *Server) watch(ctx context.Context, e Entry) {
	client := fasthttp.Client{MaxConnsPerHost: 1, ReadTimeout: callTimeout}
	c := NewClient(s.Address(), "")
	defer c.Close()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		if h, err := probe(&client, e.Operators); err == nil && h.Live {
			in := platform.Instance{
				Name: e.Name, Kind: platform.KindEntry, Zone: e.Zone, State: platform.StateLive, Incarnation: h.Incarnation,
				Address: e.Peers, Operators: e.Operators, Callers: e.Callers,
			}
			if h.Draining {
				in.State = platform.StateLeaving
			}
			if err := c.Register(in); err != nil {
				logrus.WithError(err).WithField("instance", e.Name).Warn("registration failed")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe reads the health of an entry instance at its operators' address.
func probe(client *fasthttp.Client, operators string) (h health, err error) {
	_, body, err := client.GetTimeout(nil, "http://"+operators+"/healthz", callTimeout)
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(body, &h)
}
