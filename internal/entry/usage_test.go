package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/sched"
)

// Guards against charging a team twice for a delegated task: the home charges the team when it delegates the task, so
// the usage report of the worker's owner to that home must leave the task out.
func TestUsageReportLeavesOutTheReadersTasks(t *testing.T) {
	is := is.New(t)
	use := map[engine.UsageKey]sched.Size{
		{Team: "survey"}:                 {Cores: 1},
		{Home: "z/e1", Team: "survey"}:   {Cores: 2},
		{Home: "z/e2", Team: "survey"}:   {Cores: 4},
		{Home: "z/e1", Team: "dispatch"}: {Cores: 8},
	}
	is.Equal(usageFor("z/e1", use), message.TeamUsage{Teams: []message.TeamUsageEntry{{Team: "survey", Size: sched.Size{Cores: 5}}}})
}
