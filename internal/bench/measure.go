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

// snapshot holds the CPU time of a cluster's processes by role and the number of its task starts at one time, or the
// difference of two snapshots.
type snapshot struct {
	at       time.Time
	duration time.Duration // of a difference: the time between the two snapshots
	cpu      map[string]time.Duration
	starts   int64
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
	s := snapshot{cpu: map[string]time.Duration{}}
	pids, err := c.PIDs()
	if err != nil {
		return s, err
	}
	pids[roleTool] = os.Getpid()
	vars, err := c.sumVars()
	if err != nil {
		return s, err
	}
	s.starts = vars.Starts
	s.at = time.Now()
	for name, pid := range pids {
		cpu, err := cpuTime(pid)
		if err != nil {
			return s, err
		}
		role := name
		if name != roleTool {
			role = roleOf(name)
		}
		s.cpu[role] += cpu
	}
	return s, nil
}

// minus returns what was used since the earlier snapshot b.
func (s snapshot) minus(b snapshot) snapshot {
	d := snapshot{at: s.at, duration: s.at.Sub(b.at), cpu: map[string]time.Duration{}, starts: s.starts - b.starts}
	for role, cpu := range s.cpu {
		d.cpu[role] = cpu - b.cpu[role]
	}
	return d
}
