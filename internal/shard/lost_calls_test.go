package shard_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// lossyDispatcher returns a dispatcher that has held the term for a fleet for a second of the virtual clock, and a client. lose decides
// which calls get no answer, see fleet.Fleet. locked makes a function run at another time than lose.
func lossyDispatcher(f *fleet.Fleet, all []work.Endpoint, lose func(call string) (bool, time.Duration)) (_ *dispatcher, _ *client, locked func(func())) {
	var mu sync.Mutex
	f.LoseAnswer = func(call string) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return lose(call)
	}
	s := newShard(f, func() {})
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	s.register(all)
	time.Sleep(time.Second)
	locked = func(f func()) {
		mu.Lock()
		defer mu.Unlock()
		f()
	}
	return s, newClient(), locked
}

// endTerm ends the dispatcher's term and waits for its goroutines.
func endTerm(s *dispatcher) {
	s.End()
	time.Sleep(time.Second)
}

// Guards against tasks that come late because a start request got no answer: finding out whether it was carried out may cost no more
// than two timeouts of a request. The clock is virtual.
func TestUnansweredStartIsRepeatedSoon(t *testing.T) {
	for name, delay := range map[string]time.Duration{"never carried out": -1, "carried out 3 s later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(4, 50*time.Millisecond)
				first := true
				s, c, _ := lossyDispatcher(f, all, func(call string) (bool, time.Duration) {
					lost := call == "start" && first
					first = first && !lost
					return lost, delay
				})
				s.Submit(c, &relay.Submit{Job: jobOf("a", 4, 50*time.Millisecond)})
				time.Sleep(2*60*time.Millisecond + 50*time.Millisecond)
				is.True(completed(c, "a")())
				time.Sleep(4 * time.Second)
				is.Equal(f.OverlappingRuns(), "")
				endTerm(s)
			})
		})
	}
}

// Guards against a stop, a report and another run for each start request without an answer: the request is repeated as it is, and the
// endpoint starts the run once, however late it carries out the first requests. The clock is virtual.
func TestUnansweredStartIsRepeatedAsItIs(t *testing.T) {
	for name, delay := range map[string]time.Duration{"never carried out": -1, "carried out at once": 0, "carried out 3 s later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(4, 300*time.Millisecond)
				calls := map[string]int{}
				s, c, locked := lossyDispatcher(f, all, func(call string) (bool, time.Duration) {
					calls[call]++
					return call == "start" && calls[call] <= 2, delay
				})
				s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 300*time.Millisecond)})
				time.Sleep(5 * time.Second)
				is.True(completed(c, "a")())
				locked(func() { is.Equal(calls["stop"], 0) })
				is.Equal(len(f.Starts()), 1)
				endTerm(s)
			})
		})
	}
}

// Guards against a second run of a task because its endpoint refuses the repetition of the start request: the first run has ended by
// then, and the report of its end is lost as well. The clock is virtual.
func TestRefusedRepetitionOfAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 10*time.Millisecond)
		lossy := false
		started := false
		s, c, locked := lossyDispatcher(f, all, func(call string) (bool, time.Duration) {
			first := call == "start" && !started
			started = started || first
			return lossy && (first || call == "report"), 0
		})
		locked(func() { lossy = true })
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 10*time.Millisecond)})
		time.Sleep(200 * time.Millisecond)
		locked(func() { lossy = false })
		time.Sleep(3 * time.Second)
		is.True(completed(c, "a")())
		is.Equal(len(f.Starts()), 1)
		endTerm(s)
	})
}

// Guards against an endpoint that is used beyond its capacity: it shrinks while a start request waits for its answer, and the request is
// not repeated. The clock is virtual.
func TestStartIsNotRepeatedOnAShrunkEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 300*time.Millisecond)
		starts := 0
		s, c, _ := lossyDispatcher(f, all, func(call string) (bool, time.Duration) {
			if call == "start" {
				starts++
			}
			return call == "start" && starts == 2, -1
		})
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 300*time.Millisecond)})
		time.Sleep(10 * time.Millisecond)
		s.Submit(c, &relay.Submit{Job: jobOf("b", 1, 300*time.Millisecond)})
		time.Sleep(10 * time.Millisecond)
		size := work.Size{MilliCPU: 1000, MemoryMB: 1024}
		s.register([]work.Endpoint{f.SetCapacity(all[0].Address, size)})
		time.Sleep(3 * time.Second)
		is.True(completed(c, "a")() && completed(c, "b")())
		is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000, MemoryMB: 64}), "")
		endTerm(s)
	})
}

// Guards against tasks that wait for the next periodic check because the stop of a run got no answer either: the stop and the
// report that follows it are repeated at once. The clock is virtual.
func TestUnansweredStopIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 50*time.Millisecond)
		lost := map[string]int{"start": 3, "stop": 2} // the start request is repeated twice before the run is stopped
		s, c, _ := lossyDispatcher(f, all, func(call string) (bool, time.Duration) {
			lost[call]--
			return lost[call] >= 0, -1
		})
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 50*time.Millisecond)})
		time.Sleep(5*60*time.Millisecond + 60*time.Millisecond) // a timeout each for three starts and two stops, and the run
		is.True(completed(c, "a")())
		endTerm(s)
	})
}

// Guards against tasks whose end is learned late because polls got no answer: a lost poll is repeated without a pause. The clock is
// virtual.
func TestLostPollIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 50*time.Millisecond)
		lost := map[string]int{}
		s, c, locked := lossyDispatcher(f, all, func(call string) (bool, time.Duration) {
			lost[call]--
			return lost[call] >= 0, -1
		})
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 50*time.Millisecond)})
		locked(func() { lost["report"], lost["hold"] = 1, 1 })
		time.Sleep(2*60*time.Millisecond + 60*time.Millisecond) // a timeout each for two polls, and the run
		is.True(completed(c, "a")())
		endTerm(s)
	})
}
