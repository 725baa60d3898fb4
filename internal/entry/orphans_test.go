package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/identity"
)

// Guards against tasks that occupy slots after their home has died, and against stopping the tasks of the home's next
// incarnation.
func TestOrphansAreTheTasksOfDeadIncarnations(t *testing.T) {
	is := is.New(t)
	task := func(incarnation uint64) string {
		home := identity.Home{Zone: "blackstone", Instance: "e1", Incarnation: incarnation}
		id := identity.NewIssuer(home, time.Minute, func() time.Duration { return 0 }).Issue("survey")
		return (&engine.Job{Identity: id}).TaskID(12)
	}
	old, young := task(1), task(2)
	dead := func(h identity.Home) bool { return h.Incarnation == 1 }
	is.Equal(orphans([]string{old, young, "other/0"}, dead), []string{old})
}
