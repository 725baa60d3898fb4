package ledger

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// askTimeout is how long a holder may take to reply before the request is sent again.
	askTimeout = 900 * time.Millisecond
	// askPause is the pause before a holder is looked for again. A partition changes hands within a few hundred milliseconds.
	askPause = 40 * time.Millisecond
	// holderTimeout is how long a submission or a cancel looks for the holder before this instance appends the record itself.
	holderTimeout = 350 * time.Millisecond
	// appendPause is the pause before an append without an answer is repeated.
	appendPause = 60 * time.Millisecond
	// pendingTimeout is how long a count of waiting jobs waits for the holders, and pendingAge the greatest age of counts that are used
	// again.
	pendingTimeout = 700 * time.Millisecond
	pendingAge     = 400 * time.Millisecond
	// maxPendingAge is how old a count may be that is given to callers.
	maxPendingAge = 1500 * time.Millisecond
	// maxVacancy is how long a zone may have been without a dispatcher when a job of it is stored without a holder. A successor or a
	// substitute begins within it if there is one.
	maxVacancy = 8 * time.Second
)

// Result is the result of a caller's request.
type Result int

// The results.
const (
	Done     Result = 1 + iota // carried out
	Refused                    // the job is not stored and never runs, for want of capacity
	NotSaved                   // the job is not stored and never runs, since the store refuses it
	NotKnown                   // the job may be stored, now or later
	NoJob                      // no such job was accepted
	NoAnswer                   // the holder cannot be reached
)

// Answer is the answer to a caller's request.
type Answer struct {
	Result     Result
	State      work.State
	RetryAfter time.Duration
	Reason     string
}

// Transport sends requests to holders.
type Transport interface {
	// Send sends a request to the instance that holds a partition of a zone's log. done is called at most once: with nil if the
	// connection ends before the reply. Send returns false if the holder is not known or cannot be reached.
	Send(zone string, r *relay.StoredRequest, done func(*relay.StoredReply)) bool
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Transport     Transport
	Log           joblog.Log
	Topic         func(zone string) string
	Zones         []string // sorted
	LogPartitions int
	// Vacancy returns for how long a zone has been known to have no dispatcher; nil means never.
	Vacancy func(zone string) time.Duration
	// Announce writes to the store that the deployment has stored jobs. It returns at once if that is known.
	Announce func(ctx context.Context) error
	Logger   logrus.FieldLogger
}

// Client sends callers' requests to the holders of the log. Its methods wait for the result until ctx ends and may be called concurrently.
type Client struct {
	opts ClientOptions

	mu      sync.Mutex
	pending map[string]pendingCount // by queue
	reads   map[place]*partitionRead
}

// pendingCount counts the waiting jobs of a queue.
type pendingCount struct {
	at     time.Time
	counts map[place]counted
}

// counted is the number of waiting jobs in a partition, as it was at a time.
type counted struct {
	waiting int
	at      time.Time
}

// place names a partition of a zone's log.
type place struct {
	zone      string
	partition int
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	return &Client{opts: o, pending: map[string]pendingCount{}, reads: map[place]*partitionRead{}}
}

func (c *Client) placeOf(id work.JobID) place {
	return place{ZoneOf(id, c.opts.Zones), PartitionOf(id, c.opts.LogPartitions)}
}

// Ask sends a request about a partition of a zone's log and waits for the reply for a short time; nil if there is none.
func (c *Client) Ask(ctx context.Context, zone string, r relay.StoredRequest) *relay.StoredReply {
	reply, _ := c.ask(ctx, place{zone, r.Partition}, r)
	return reply
}

// ask sends a request to a holder and waits for the reply. sent is false if the request was certainly not received.
func (c *Client) ask(ctx context.Context, to place, r relay.StoredRequest) (reply *relay.StoredReply, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r.Partition = to.partition
	replies := make(chan *relay.StoredReply, 1)
	if !c.opts.Transport.Send(to.zone, &r, func(a *relay.StoredReply) { replies <- a }) {
		return nil, false
	}
	select {
	case a := <-replies:
		return a, true
	case <-ctx.Done():
		return nil, true
	}
}

// Submit stores a job, whose request arrived at a time. A job that was stored before counts as stored.
func (c *Client) Submit(ctx context.Context, job *work.Job, arrived time.Time) Answer {
	if err := c.opts.Announce(ctx); err != nil {
		return Answer{Result: NotSaved, Reason: "store_unavailable"} // nothing was sent
	}
	uncertain := false
	for time.Since(arrived) < holderTimeout && ctx.Err() == nil {
		reply, sent := c.ask(ctx, c.placeOf(job.ID), relay.StoredRequest{Operation: relay.StoredSubmit, Job: job, Waited: time.Since(arrived)})
		if reply == nil || reply.Result == relay.StoredNotKnown {
			uncertain = uncertain || sent
		} else if answer, ok := answerOf(reply); ok {
			return certain(answer, uncertain)
		}
		pause.For(ctx, askPause, nil)
	}
	if zone := c.placeOf(job.ID).zone; c.vacant(zone) && !uncertain {
		return Answer{Result: NotSaved, Reason: reasonVacant}
	}
	return c.append(ctx, joblog.Submission{Job: *job}, job.ID, uncertain)
}

// reasonVacant is the reason for the refusal of a job that nobody could run.
const reasonVacant = "zone_without_dispatcher"

// vacant reports whether a zone has had no dispatcher for so long that a job of it may wait without end.
func (c *Client) vacant(zone string) bool {
	return c.opts.Vacancy != nil && c.opts.Vacancy(zone) > maxVacancy
}

// certain returns an answer; a refusal proves nothing if an earlier request may have been carried out.
func certain(a Answer, uncertain bool) Answer {
	if uncertain && (a.Result == Refused || a.Result == NotSaved) {
		return Answer{Result: NotKnown}
	}
	return a
}

// answerOf returns the answer of a holder. ok is false if the holder has none.
func answerOf(r *relay.StoredReply) (a Answer, ok bool) {
	a = Answer{State: r.State, RetryAfter: r.RetryAfter, Reason: r.Reason}
	switch r.Result {
	case relay.StoredDone:
		a.Result = Done
	case relay.StoredRefused:
		a.Result = Refused
	case relay.StoredNotSaved:
		a.Result = NotSaved
	case relay.StoredNoJob:
		a.Result = NoJob
	default:
		return a, false
	}
	return a, true
}

// append appends the record of a submission or of a cancel in place of a holder that cannot be reached. The same record may be appended
// any number of times.
func (c *Client) append(ctx context.Context, record any, id work.JobID, uncertain bool) Answer {
	r, err := joblog.Encode(record)
	if err != nil {
		c.opts.Logger.WithFields(logrus.Fields{"event": "stored_record_invalid", "job": id}).WithError(err).Error("a record cannot be encoded")
		return certain(Answer{Result: NotSaved, Reason: "invalid"}, uncertain)
	}
	to := c.placeOf(id)
	for ctx.Err() == nil {
		_, err = c.opts.Log.Append(ctx, store.Append{Topic: c.opts.Topic(to.zone), Partition: to.partition, Records: []store.Record{r}})
		c.opts.Logger.WithFields(logrus.Fields{"event": "stored_append", "job": id, "zone": to.zone, "log_partition": to.partition}).WithError(err).
			Info("the holder of the job's partition cannot be reached; appending the record here")
		switch {
		case err == nil:
			return Answer{Result: Done, State: work.Queued}
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return Answer{Result: NotSaved, Reason: "store_unavailable"}
		}
		uncertain = uncertain || !errors.Is(err, store.ErrUnavailable)
		pause.For(ctx, appendPause, nil)
	}
	return certain(Answer{Result: NotSaved, Reason: "store_unavailable"}, uncertain)
}

// State returns the state of a job.
func (c *Client) State(ctx context.Context, id work.JobID) Answer {
	for ctx.Err() == nil {
		if reply, _ := c.ask(ctx, c.placeOf(id), relay.StoredRequest{Operation: relay.StoredState, ID: id}); reply != nil {
			if a, ok := answerOf(reply); ok {
				return a
			}
		}
		pause.For(ctx, askPause, nil)
	}
	return Answer{Result: NoAnswer}
}

// Cancel cancels a job. A job that has ended keeps its state. If the holder cannot be reached, the cancel is appended here and NoJob means
// that the log does not hold the job; a submission that is stored later does not start it.
func (c *Client) Cancel(ctx context.Context, id work.JobID) Answer {
	begun := time.Now()
	for time.Since(begun) < holderTimeout && ctx.Err() == nil {
		if reply, _ := c.ask(ctx, c.placeOf(id), relay.StoredRequest{Operation: relay.StoredCancel, ID: id}); reply != nil {
			if a, ok := answerOf(reply); ok {
				return a
			}
		}
		pause.For(ctx, askPause, nil)
	}
	if a := c.append(ctx, joblog.Cancel{Job: id}, id, false); a.Result != Done {
		return a
	}
	return c.cancelAppended(ctx, id)
}

// cancelAppended returns the answer to a cancel that this instance has appended. The store takes the cancel of any name, so whether the log
// holds the job is known from a read that begins afterwards only.
func (c *Client) cancelAppended(ctx context.Context, id work.JobID) Answer {
	jobs, err := c.jobsSince(ctx, c.placeOf(id), time.Now())
	if err != nil {
		c.opts.Logger.WithFields(logrus.Fields{"event": "stored_cancel_unknown", "job": id}).WithError(err).
			Info("the cancel is appended, but whether the log holds the job cannot be read")
		return Answer{Result: NotKnown}
	}
	job := jobs.Get(id)
	switch {
	case job.Unreadable():
		return Answer{Result: NotKnown}
	case !job.Known():
		return Answer{Result: NoJob}
	case job.State != "":
		return Answer{Result: Done, State: job.State}
	}
	return Answer{Result: Done, State: work.Cancelled}
}

// Pending returns the number of stored jobs of a queue of which no task has started. The jobs of a holder that does not answer are
// counted in the store. ok is false if the number in some partition has not been known for maxPendingAge.
func (c *Client) Pending(ctx context.Context, queue string) (sum int, ok bool) {
	c.mu.Lock()
	known := c.pending[queue]
	c.mu.Unlock()
	if time.Since(known.at) > pendingAge {
		known = c.countPending(ctx, queue, known)
	}
	for _, n := range known.counts {
		if time.Since(n.at) > maxPendingAge {
			return 0, false
		}
		sum += n.waiting
	}
	return sum, len(known.counts) == len(c.opts.Zones)*c.opts.LogPartitions
}

func (c *Client) countPending(ctx context.Context, queue string, before pendingCount) pendingCount {
	fresh := pendingCount{at: time.Now(), counts: map[place]counted{}}
	maps.Copy(fresh.counts, before.counts)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, zone := range c.opts.Zones {
		for p := range c.opts.LogPartitions {
			to := place{zone, p}
			asked.Go(func() {
				if n, ok := c.pendingAt(ctx, to, queue); ok {
					mu.Lock()
					fresh.counts[to] = counted{n, time.Now()}
					mu.Unlock()
				}
			})
		}
	}
	asked.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[queue] = fresh
	return fresh
}

// pendingAt returns the number of a partition's waiting jobs of a queue.
func (c *Client) pendingAt(ctx context.Context, at place, queue string) (int, bool) {
	askCtx, cancel := context.WithTimeout(ctx, pendingTimeout)
	reply, _ := c.ask(askCtx, at, relay.StoredRequest{Operation: relay.StoredPending, Queue: queue})
	cancel()
	if reply != nil && reply.Result == relay.StoredDone {
		return reply.Pending, true
	}
	return c.foldPending(ctx, at, queue)
}
