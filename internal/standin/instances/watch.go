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

// Entry names an entry instance that the stand-in watches, as the platform does for real ones.
type Entry struct {
	Zone, Name, Peers, Operators, Callers string
}

// ParseEntry reads ZONE/NAME,PEERS,OPERATORS,CALLERS, where the last three are addresses.
func ParseEntry(s string) (Entry, error) {
	parts := strings.Split(s, ",")
	zone, name, ok := strings.Cut(parts[0], "/")
	if !ok || len(parts) != 4 || zone == "" || name == "" {
		return Entry{}, fmt.Errorf("entry %q must be ZONE/NAME,PEERS,OPERATORS,CALLERS", s)
	}
	return Entry{zone, name, parts[1], parts[2], parts[3]}, nil
}

// probeInterval is how often the health of each entry instance is read.
const probeInterval = 250 * time.Millisecond

// health is what an entry instance says of itself.
type health struct {
	Live        bool   `json:"live"`
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
}

// watch registers an entry instance while it answers, and as leaving while it drains. One that no longer answers
// expires.
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

func probe(client *fasthttp.Client, operators string) (h health, err error) {
	_, body, err := client.GetTimeout(nil, "http://"+operators+"/healthz", callTimeout)
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(body, &h)
}
