package entry

import (
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/member"
)

// stopOrphans stops delegated tasks whose home is known to be dead. No instance can use their results, and they occupy
// slots.
func (e *Entry) stopOrphans() {
	dead := func(h identity.Home) bool {
		status, _ := e.members.Home(h)
		return status == member.HomeDead
	}
	tasks := orphans(e.engine.ForeignTasks(), dead)
	if len(tasks) == 0 {
		return
	}
	e.log.WithField("event", "orphans").WithField("tasks", len(tasks)).Info("stopping tasks whose home is dead")
	e.engine.StopForeign(tasks)
}

// orphans returns the IDs of the tasks whose home is dead. Tasks whose ID holds no valid identity are left out.
func orphans(tasks []string, dead func(identity.Home) bool) []string {
	known := map[identity.Home]bool{}
	var out []string
	for _, t := range tasks {
		id, err := identity.Parse(engine.IdentityOf(t))
		if err != nil {
			continue // issued by an incompatible version; the task ends when its lease expires
		}
		gone, ok := known[id.Home]
		if !ok {
			gone = dead(id.Home)
			known[id.Home] = gone
		}
		if gone {
			out = append(out, t)
		}
	}
	return out
}
