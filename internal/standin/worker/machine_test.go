package worker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
)

func newTestMachine() (*machine, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	o := DefaultOptions()
	o.Slots, o.Cores, o.Clock = 2, 4, clock
	return newMachine(&o), clock
}

func newWork(runTime time.Duration, cores float64) work {
	return work{runTime: runTime, output: "out", size: platform.Size{Cores: cores}}
}

// Guards against a stand-in that hides over-commitment: if tasks need more slots or cores than the worker has, they must
// slow down.
func TestSlowDown(t *testing.T) {
	is := is.New(t)
	m, clock := newTestMachine()
	state := func(id string) platform.TaskState { return m.fetch(id).State }
	m.start("a", newWork(time.Second, 1), time.Hour)
	clock.Advance(500 * time.Millisecond)
	m.start("b", newWork(time.Second, 7), time.Hour) // 8 cores in use of 4: half speed
	clock.Advance(999 * time.Millisecond)
	is.Equal(state("a"), platform.TaskRunning)
	clock.Advance(time.Millisecond)
	is.Equal(state("a"), platform.TaskDone)
	is.Equal(m.fetch("a").Output, "out")
	clock.Advance(874 * time.Millisecond) // b has 500 ms left at 4/7 of the speed
	is.Equal(state("b"), platform.TaskRunning)
	clock.Advance(2 * time.Millisecond)
	is.Equal(state("b"), platform.TaskDone)

	m.setFaults(3, false, false)
	m.start("c", newWork(time.Second, 1), time.Hour)
	clock.Advance(2999 * time.Millisecond)
	is.Equal(state("c"), platform.TaskRunning)
	m.setFaults(3, false, true)
	clock.Advance(time.Minute) // paused
	is.Equal(state("c"), platform.TaskRunning)
	m.setFaults(1, false, false)
	clock.Advance(time.Millisecond)
	is.Equal(state("c"), platform.TaskDone)
	is.Equal(m.peak.Cores, 8.0)
}

// Guards against tasks that run on after their lease, and against ended tasks that are dropped before the retention ends
// or never.
func TestLeaseAndRetention(t *testing.T) {
	is := is.New(t)
	m, clock := newTestMachine()
	m.start("kept", newWork(time.Hour, 1), time.Second)
	lost := m.start("lost", newWork(time.Hour, 1), time.Second)
	clock.Advance(600 * time.Millisecond)
	is.Equal(m.renew([]string{"kept", "none"}), []platform.TaskStatus{
		{Task: "kept", State: platform.TaskRunning},
		{Task: "none", State: platform.TaskUnknown},
	})
	clock.Advance(400 * time.Millisecond)
	<-lost.done // ended by the timer
	is.Equal(m.fetch("lost").State, platform.TaskStopped)
	is.Equal(m.fetch("kept").State, platform.TaskRunning)
	is.Equal(m.stop([]string{"kept"})[0].State, platform.TaskStopped)
	clock.Advance(m.opts.Retention - time.Millisecond)
	is.Equal(m.fetch("kept").State, platform.TaskStopped)
	clock.Advance(time.Millisecond)
	is.Equal(m.fetch("kept").State, platform.TaskUnknown)
	is.Equal(len(m.tasks), 0)
}

// Guards against a report of the usage without the lag that the platform has.
func TestUsageLags(t *testing.T) {
	is := is.New(t)
	m, clock := newTestMachine()
	m.start("a", newWork(time.Second, 3), time.Hour)
	usage := func() float64 { _, u := m.load(); return u.Cores }
	is.Equal(usage(), 0.0)
	clock.Advance(time.Second)
	m.load() // ends the task even if the timer's goroutine has not run yet
	clock.Advance(time.Second)
	is.Equal(usage(), 3.0)
	clock.Advance(time.Second)
	is.Equal(usage(), 0.0)
}
