package entry

import (
	"fmt"
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/server"
)

// maxWait is the longest wait_ms of a request, the time that it may wait for an answer.
const maxWait = 10 * time.Minute

// requestTimeout is how long a request may take to arrive. The connection is closed after that.
const requestTimeout = 10 * time.Second

// maxConnections is the largest number of connections from callers to this process.
const maxConnections = 20000

// snapshot is a configuration version with the look-up structures that are derived from it. It is never changed.
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

// connectionsPerCaller returns the configured limit of connections of one caller. It is used for authenticated callers
// only, so a configuration is present.
func (e *Entry) connectionsPerCaller() int {
	return e.current.Load().config.Limits.ConnectionsPerCaller
}

// callerTokens returns the token digests of all callers in a configuration.
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
