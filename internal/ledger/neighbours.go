package ledger

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// The endpoints of a zone are divided among its dispatchers by their names, its log by the names of jobs. As long as a division is in force a
// dispatcher runs the tasks of the jobs whose part of the log it holds, on its own endpoints. A change of the division moves endpoints and
// parts of the log independently: a task's end may then be reported to a dispatcher that does not hold the task's job. Such an end stays
// with the endpoint, and is passed on until the holder has recorded it. A holder lets tasks that may have been started before start only
// once the zone's other dispatchers have nothing more to report on its jobs.

const (
	// neighbourPause is the pause before an end is passed on again, or another dispatcher is asked again. Each try may look a dispatcher up.
	neighbourPause = 100 * time.Millisecond
	// maxNeighbourWait is how long a holder waits for the zone's other dispatchers. A dispatcher that has not answered for that long does not
	// extend leases either, if it is dead or cut off, so the ends that its endpoints list come from runs whose lease has lapsed.
	maxNeighbourWait = 6 * time.Second
)

// passOn passes the end of a task to the holder of its job and calls recorded when the holder has stored it, or does not need it. It gives up
// when the fence changes; the end is then reported again.
func (l *Ledger) passOn(end work.End, recorded func()) {
	l.mu.Lock()
	ctx := l.ctx
	l.mu.Unlock()
	r := relay.StoredRequest{Operation: relay.StoredEnd, Partition: PartitionOf(end.Task.Job, l.opts.LogPartitions), End: &end}
	go func() {
		for ctx.Err() == nil {
			reply := l.opts.Ask(ctx, r)
			if reply != nil && (reply.Result == relay.StoredDone || reply.Result == relay.StoredNoJob) {
				l.opts.Logger.WithFields(logrus.Fields{
					"event": "stored_end_passed_on", "task": end.Task.String(), "run": end.Run, "log_partition": r.Partition,
					"recorded": reply.Result == relay.StoredDone,
				}).Info("the end of another dispatcher's task was passed on")
				recorded()
				return
			}
			pause.For(ctx, neighbourPause, nil)
		}
	}()
}

// takeEnd records an end that another dispatcher has passed on.
func (h *holder) takeEnd(end *work.End, reply replyFunc) {
	if end == nil {
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
		return
	}
	stored := func() { reply(relay.StoredReply{Result: relay.StoredDone}) }
	record := func() shard.Recording { return h.recordEnd(*end, h.opts().Now(), stored) }
	switch h.ledger.dispatcher.StoredEnd(h.fence, *end, record) {
	case shard.NotStored:
		reply(relay.StoredReply{Result: relay.StoredNoJob})
	case shard.Undecided:
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
	}
}

// settled returns whether this dispatcher has nothing to report on the jobs of a partition of the log that another one holds.
func (l *Ledger) settled(r *relay.StoredRequest) relay.StoredResult {
	owns := func(id work.JobID) bool { return PartitionOf(id, l.opts.LogPartitions) == r.Partition }
	if l.holder(r.Partition) != nil || !l.dispatcher.StoredSettled(r.Dispatchers, owns) {
		return relay.StoredNoHolder
	}
	return relay.StoredDone
}

// awaitNeighbours returns when the zone's other dispatchers have nothing to report on the holder's jobs, or after maxNeighbourWait.
func (h *holder) awaitNeighbours(ctx context.Context) {
	begun := h.opts().Now()
	for part := range h.share.Partitions {
		if part == h.share.Partition {
			continue
		}
		r := relay.StoredRequest{
			Operation: relay.StoredSettled, Partition: h.partition.Number, Dispatcher: part, Dispatchers: h.share.Partitions,
		}
		for ctx.Err() == nil {
			if reply := h.opts().Ask(ctx, r); reply != nil && reply.Result == relay.StoredDone {
				break
			}
			if h.opts().Now()-begun > maxNeighbourWait {
				h.log().WithFields(logrus.Fields{"event": "stored_neighbour_silent", "partition": part}).
					Warn("another dispatcher of the zone has not told that it has nothing to report; jobs continue without it")
				break
			}
			pause.For(ctx, neighbourPause, nil)
		}
	}
	h.log().WithFields(logrus.Fields{"event": "stored_neighbours_settled", "ms": (h.opts().Now() - begun).Milliseconds()}).
		Info("the zone's other dispatchers have nothing to report on the partition's jobs")
}
