package share

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/secure"
)

// Guards against starting a task twice. A peer repeats "refused" because the acknowledgement was lost. Meanwhile the home
// has delegated the task again, to another peer or to the same one. If the repetition ended the second delegation, the task
// would be queued and started again.
func TestRepeatedRefusalDoesNotEndTheNextDelegation(t *testing.T) {
	is := is.New(t)
	s := New(Options{Now: time.Now})
	ended := map[string]int{}
	add := func(p string, grant uint64) {
		count := func(int, platform.RunResult) { ended[p]++ }
		s.pending.add("id/0", &delegation{peer: "zone/" + p, grant: grant, ended: count, addedAt: time.Now()})
	}
	refuse := func(p string, grant uint64) {
		refusal := message.TaskResult{Task: "id/0", Grant: grant, Outcome: platform.Refused}
		body := message.Encode(&message.DelegateResults{Results: []message.TaskResult{refusal}})
		_, err := s.results(context.Background(), peer.Sender{Name: secure.Name{Zone: "zone", Instance: p}}, body)
		is.NoErr(err)
	}
	add("first", 1)
	refuse("first", 1)
	add("second", 1)
	refuse("first", 1) // the repetition
	is.Equal(ended, map[string]int{"first": 1})
	refuse("second", 1)
	is.Equal(ended, map[string]int{"first": 1, "second": 1})
	add("second", 2)
	refuse("second", 1) // a repetition after the same peer received the task again
	is.Equal(ended, map[string]int{"first": 1, "second": 1})
}

// Guards against a goroutine that waits forever for an engine that has stopped.
func TestDelegationToAStoppedEngineEnds(t *testing.T) {
	s := New(Options{Now: time.Now})
	// The engine's Run is not called.
	s.engine = engine.New(engine.Options{Scheduler: fair.New(fair.Options{}), Clock: clockwork.NewRealClock()})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.delegate(ctx, peer.Sender{}, message.Encode(&message.Delegate{Grant: 1}))
	is.New(t).True(err != nil)
}
