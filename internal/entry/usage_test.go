package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/sched"
)

// Guards against a team that is charged twice for a delegated task: the home charges it when the task leaves, so the
// owner's report to that home must not hold it.
func TestUsageReportLeavesOutTheReadersTasks(t *testing.T) {
	is := is.New(t)
	use := map[engine.UsageKey]sched.Size{
		{Team: "survey"}:                 {Cores: 1},
		{Home: "z/e1", Team: "survey"}:   {Cores: 2},
		{Home: "z/e2", Team: "survey"}:   {Cores: 4},
		{Home: "z/e1", Team: "dispatch"}: {Cores: 8},
	}
	is.Equal(usageFor("z/e1", use), message.TeamUsage{Teams: []message.TeamAmount{{Team: "survey", Size: sched.Size{Cores: 5}}}})
}
