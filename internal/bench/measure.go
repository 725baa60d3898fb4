package bench

import (
	"os"
	"strings"
	"time"
)

// The roles of processes.
const (
	roleEntry     = "entry instance"
	roleWorker    = "worker stand-in"
	roleLog       = "log stand-in"
	roleInstances = "instance list stand-in"
	roleTool      = "savory-bench"
)

// snapshot holds the usage of a cluster's processes by role and the sum of its metrics at one time, or the difference of two
// snapshots.
type snapshot struct {
	at       time.Time
	duration time.Duration // of a difference: the time between the two snapshots
	roles    map[string]Usage
	vars     Vars
}

func roleOf(process string) string {
	switch {
	case strings.HasPrefix(process, "entry"):
		return roleEntry
	case strings.HasPrefix(process, "worker"):
		return roleWorker
	case process == "log":
		return roleLog
	}
	return roleInstances
}

func (c *Cluster) takeSnapshot() (snapshot, error) {
	s := snapshot{roles: map[string]Usage{}}
	pids, err := c.PIDs()
	if err != nil {
		return s, err
	}
	pids[roleTool] = os.Getpid()
	if s.vars, err = c.sumVars(); err != nil {
		return s, err
	}
	s.at = time.Now()
	for name, pid := range pids {
		u, err := UsageOf(pid)
		if err != nil {
			return s, err
		}
		role := name
		if name != roleTool {
			role = roleOf(name)
		}
		s.roles[role] = s.roles[role].plus(u)
	}
	return s, nil
}

// minus returns what was used since the earlier snapshot b. Values that are not counters, such as the resident memory, are those
// of s.
func (s snapshot) minus(b snapshot) snapshot {
	d := snapshot{at: s.at, duration: s.at.Sub(b.at), roles: map[string]Usage{}, vars: s.vars}
	for role, u := range s.roles {
		d.roles[role] = u.minus(b.roles[role])
	}
	d.vars.Starts -= b.vars.Starts
	addCounters(d.vars.ControlBytes, b.vars.ControlBytes, -1)
	addCounters(d.vars.Wasted, b.vars.Wasted, -1)
	return d
}
