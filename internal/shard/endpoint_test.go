package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against tasks that are lost or run twice when an endpoint falls silent and its lease expires.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 2, 300*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 4, 300*time.Millisecond)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	f.SetSilent(all[0].Address, true)
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against waiting for runs that an endpoint lost when it was restarted under the same name, and for its new registration.
func TestRestartedEndpoint(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 2, 200*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 4, 200*time.Millisecond)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	f.Restart(all[0].Address)
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
	is.Equal(s.replaced.Load(), int32(1)) // the registrations are read again, since the new process may have another one
}

// Guards against tasks that wait forever for runs without progress on an endpoint that still answers.
func TestHungTasks(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 50*time.Millisecond)
	f.HangTasks(all[0].Address)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 4, 50*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against overfilling an endpoint that was restarted under its name with less capacity, as long as only its old
// registration is known.
func TestEndpointRestartedWithLessCapacity(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, 30*time.Millisecond)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	all[0] = f.Resize(all[0].Address, all[0].Size) // registered with the start time of its process
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, 30*time.Millisecond)})
	wait.For(t, "the first job completes", completed(c, "a"))
	f.SetSilent(all[0].Address, true)
	wait.For(t, "the endpoint gets no new runs", func() bool { return s.Pressure() > 100 })
	f.Restart(all[0].Address)
	smaller := f.Resize(all[0].Address, work.Size{MilliCPU: 1000, MemoryMB: 1024})
	for i := range 10 {
		s.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("b", i), 2, 30*time.Millisecond)})
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000}), "")
	s.register([]work.Endpoint{smaller})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("c", 2, 30*time.Millisecond)})
	wait.For(t, "a job completes on the smaller endpoint", completed(c, "c"))
	is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000}), "")
}
