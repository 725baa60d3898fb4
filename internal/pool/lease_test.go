package pool

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

// Guards against an endpoint whose lease is not extended, and whose next start is refused as too late, because of a cancelled run
// whose start request was never sent.
func TestUnsentRunIsNotUnclaimed(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	mustSubmit(t, p, jobOf("x", 1, 500, 100*ms), 0)
	is.Equal(len(p.Next(0)), 1)
	p.Cancel("x")
	is.True(!p.HasRunsWithoutJob("a"))
}

// Guards against a lease that is extended for a run whose job was cancelled after its start request was sent.
func TestCancelledRunIsUnclaimed(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	mustSubmit(t, p, jobOf("x", 1, 500, 100*ms), 0)
	p.RunSent(p.Next(0)[0], 0)
	is.True(!p.HasRunsWithoutJob("a"))
	p.Cancel("x")
	is.True(p.HasRunsWithoutJob("a"))
}

// Guards against a lease that is extended for a run of another dispatcher that no job has claimed, or whose job was cancelled after it
// had claimed the run.
func TestFoundRunIsUnclaimedWithoutItsJob(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	p.RunFound("a", work.Run{Task: work.TaskID{Job: "x"}, Run: 1}, 0)
	is.True(p.HasRunsWithoutJob("a"))
	mustSubmit(t, p, jobOf("x", 1, 500, 100*ms), 0)
	is.True(!p.HasRunsWithoutJob("a"))
	p.Cancel("x")
	is.True(p.HasRunsWithoutJob("a"))
}
