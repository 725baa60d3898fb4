package entry

import (
	"fmt"
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/server"
)

// maxWait is the longest time that one request may wait for an answer.
const maxWait = 10 * time.Minute

// requestTimeout closes connections on which a request does not arrive completely.
const requestTimeout = 10 * time.Second

// maxConnections bounds callers' connections of the process.
const maxConnections = 20000

// snapshot is a configuration version with everything that is prepared from it.
type snapshot struct {
	version uint64
	config  *config.Config
	view    *filter.View
	limits  server.Limits
	teams   map[string]*config.Team
}

func newSnapshot(version uint64, c *config.Config) *snapshot {
	s := &snapshot{version: version, config: c, teams: map[string]*config.Team{}}
	s.view = &filter.View{
		Version:  version,
		Services: map[string]filter.Service{},
		Limits:   filter.Limits{TasksPerJob: c.Limits.TasksPerJob, BodyBytes: c.Limits.BodyBytes, Wait: maxWait},
	}
	for _, svc := range c.Services {
		s.view.Services[svc.Name] = filter.Service{
			Idempotent: svc.Idempotent, Deadline: svc.DefaultDeadline, RunTime: svc.ExpectedRunTime,
			MaxDeadline: svc.MaxDeadline, MaxRunTime: svc.MaxRunTime, Size: svc.DefaultSize.Platform(),
		}
	}
	for i := range c.Teams {
		s.teams[c.Teams[i].Name] = &c.Teams[i]
	}
	s.limits = server.Limits{
		HeaderBytes: c.Limits.HeaderBytes, BodyBytes: c.Limits.BodyBytes, Connections: maxConnections,
		RequestTimeout: requestTimeout,
	}
	return s
}

// connectionsPerCaller is asked for authenticated callers only, so there is a configuration.
func (e *Entry) connectionsPerCaller() int {
	return e.current.Load().config.Limits.ConnectionsPerCaller
}

// callerTokens returns the callers' token digests of a configuration.
func callerTokens(c *config.Config) ([]secure.Entry, error) {
	var entries []secure.Entry
	for _, team := range c.Teams {
		for _, caller := range team.Callers {
			d, err := secure.ParseDigest(caller.TokenDigest)
			if err != nil {
				return nil, fmt.Errorf("token of caller %s of team %s: %w", caller.Name, team.Name, err)
			}
			entries = append(entries, secure.Entry{
				Digest:    d,
				Principal: secure.Principal{Name: caller.Name, Role: secure.RoleCaller, Team: team.Name},
			})
		}
	}
	return entries, nil
}
