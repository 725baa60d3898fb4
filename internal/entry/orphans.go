package entry

import (
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/member"
)

// stopOrphans stops the tasks of homes that are known to be dead. Nobody waits for their results, and they hold slots.
func (e *Entry) stopOrphans() {
	dead := func(h identity.Home) bool {
		status, _ := e.members.Home(h)
		return status == member.HomeDead
	}
	tasks := orphans(e.engine.ForeignTasks(), dead)
	if len(tasks) == 0 {
		return
	}
	e.log.WithField("event", "orphans").WithField("tasks", len(tasks)).Info("stopping tasks whose home is gone")
	e.engine.StopForeign(tasks)
}

// orphans returns the tasks whose home is dead.
func orphans(tasks []string, dead func(identity.Home) bool) []string {
	known := map[identity.Home]bool{}
	var out []string
	for _, t := range tasks {
		id, err := identity.Parse(engine.IdentityOf(t))
		if err != nil {
			continue // not from a home of this version; its lease ends it
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
