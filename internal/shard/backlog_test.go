package shard_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	blockerQueue = "blocker"
	backlogTime  = 600 * time.Millisecond // for which the blocker keeps the messages behind it waiting
	slowHandling = 100 * time.Millisecond // between the handling of one submission and that of the next message
)

// slowServer passes the messages of a connection on to a shard, late: the job of blockerQueue holds them up, as a lock or a lack of the
// processor does.
type slowServer struct {
	*dispatcher
	mu      sync.Mutex
	handled []work.JobID
}

func (d *slowServer) Submit(from relay.Client, s *relay.Submit) {
	if s.Job.Queue == blockerQueue {
		time.Sleep(backlogTime)
		return
	}
	d.dispatcher.Submit(from, s)
	time.Sleep(slowHandling)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handled = append(d.handled, s.Job.ID)
}

func (d *slowServer) handledOne() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.handled) == 1
}

func (d *slowServer) Claim(relay.Client, *relay.Claim)          {}
func (d *slowServer) Cancel(from relay.Client, c *relay.Cancel) { d.dispatcher.Cancel(from, c) }
func (d *slowServer) Loads() []relay.Load                       { return nil }
func (d *slowServer) Attempts() []attempt.Attempt               { return nil }
func (d *slowServer) Cancellations() relay.Cancellations        { return noCancellations{} }

// noCancellations passes no cancellations on.
type noCancellations struct{}

func (noCancellations) Recent() []relay.Cancellation { return nil }
func (noCancellations) Merge(_ []relay.Cancellation) {}

// Guards against a run for a caller that has left: the submission waits at its dispatcher for longer than the caller does, with its
// cancel behind it, and the caller may have submitted the job again elsewhere.
func TestSubmissionFromABacklogStartsNothing(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, time.Minute)
	d := &slowServer{dispatcher: newShard(f, func() {})}
	d.Begin(shard.Term{Fence: 1, Partitions: 1})
	defer d.End()
	d.register(all)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server, err := relay.Listen("127.0.0.1:0", d, nil, discardLog())
	is.NoErr(err)
	go server.Run(ctx)
	u := relay.Dial(server.Address(), nil, relay.Handler{
		Unattended: func() time.Duration { return 0 }, Cancellations: noCancellations{},
		Answer: func(*relay.Answer) {}, Attempts: func([]attempt.Attempt) {}, End: func(*relay.Uplink, bool, error) {},
	})
	defer u.Close()
	wait.For(t, "the dispatcher responds", u.Connected)
	is.NoErr(u.Submit(&relay.Submit{Job: work.Job{ID: "blocker", Queue: blockerQueue}}))
	time.Sleep(20 * time.Millisecond)
	is.NoErr(u.Submit(&relay.Submit{Job: jobOf("a", 1, time.Minute), Remaining: time.Minute}))
	time.Sleep(200 * time.Millisecond)
	is.NoErr(u.Cancel(&relay.Cancel{Job: "a"}))
	wait.For(t, "the submission has been handled", d.handledOne)
	time.Sleep(slowHandling)
	is.Equal(len(f.Starts()), 0)
}
