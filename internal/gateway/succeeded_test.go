package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a successor that runs tasks again which had succeeded at the dispatchers that gave the job back, also after several moves.
func TestSucceededTasksArePassedOn(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	resubmitted := func() []work.TaskID {
		f.Resubmit()
		all := f.router.sent()
		return all[len(all)-1].s.Succeeded
	}
	task := func(index int) work.TaskID { return work.TaskID{Job: "a", Index: index} }
	is.Equal(len(f.router.sent()[0].s.Succeeded), 0)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true, Succeeded: []work.TaskID{task(1)}})
	is.Equal(resubmitted(), []work.TaskID{task(1)})
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true, Succeeded: []work.TaskID{task(0)}})
	is.Equal(resubmitted(), []work.TaskID{task(1), task(0)})
}
