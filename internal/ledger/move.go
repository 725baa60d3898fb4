package ledger

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// A job that cannot go on in its zone, because no endpoint fits its next tasks or the zone is evacuated, moves to another zone. The holder takes
// the job from its dispatcher and appends a joblog.Move: from then on nobody starts tasks of the job in the zone, and its ends there are
// complete. Only then the submission and the ends are appended to the other zone's log, whose holder finds them like any job that another
// instance has stored. The first holder keeps the job as a moved one: it passes requests on, and records the end that the other zone has
// recorded. See docs/design/stored-moves.md.

const (
	// moveInterval is the pause between two looks for jobs to move, and at those that have moved.
	moveInterval = 300 * time.Millisecond
	// moveDelay is how long a job must have had no endpoint before it moves. Endpoints that start again are back within it.
	moveDelay = 2 * time.Second
	// maxTried bounds the jobs for which a zone is looked for in one round, which costs a look at all registrations each.
	maxTried = 100
	// maxPlacedBytes is the size of the records from which on an append to another zone's log takes no further job.
	maxPlacedBytes = 512 << 10
	// maxAsked bounds the moved jobs whose state is asked for in one round, and maxAsking those that are asked for at the same time.
	maxAsked  = 64
	maxAsking = 32
)

// OtherZones are the zones of the deployment, for jobs that move between them.
type OtherZones interface {
	// Choose returns a zone whose endpoints fit all steps of a job and that is not among those excluded; "" if there is none.
	Choose(job *work.Job, excluded []string) string
	// Topic returns the topic of a zone's log.
	Topic(zone string) string
	// Ask sends a request about a partition of a zone's log to its holder and waits for the reply for a short time; nil if there is none.
	Ask(ctx context.Context, zone string, r relay.StoredRequest) *relay.StoredReply
}

// movingState is what a holder knows of a job that moves.
type movingState struct {
	to      string // the zone that the holder has decided on; empty if it has not decided
	sent    bool   // the writer has the Move
	placed  bool   // the submission is in the other zone's log
	arrived bool   // the other zone's holder has told of the job
}

// moveJobs moves jobs that cannot go on in the zone, and follows those that have moved.
func (h *holder) moveJobs(ctx context.Context) {
	if h.opts().Others == nil {
		return
	}
	since := map[work.JobID]time.Duration{}
	for ctx.Err() == nil {
		h.updateStranded(since)
		h.decideMoves(since)
		h.sendMoves()
		h.placeMoved(ctx)
		h.followMoved(ctx)
		h.releaseReceived(ctx)
		pause.For(ctx, moveInterval, nil)
	}
}

// updateStranded notes since when each job has had no endpoint.
func (h *holder) updateStranded(since map[work.JobID]time.Duration) {
	now := h.opts().Now()
	stranded := map[work.JobID]bool{}
	for _, id := range h.ledger.dispatcher.StoredToMove(h.fence, h.owns) {
		stranded[id] = true
		if _, known := since[id]; !known {
			since[id] = now
		}
	}
	maps.DeleteFunc(since, func(id work.JobID, _ time.Duration) bool { return !stranded[id] })
}

// decideMoves takes the jobs from the dispatcher that move now. since holds since when each job has had no endpoint.
func (h *holder) decideMoves(since map[work.JobID]time.Duration) {
	now := h.opts().Now()
	zones := map[work.JobID]string{}
	tried := 0
	for id, begun := range since {
		if now-begun < moveDelay || tried == maxTried {
			continue
		}
		tried++
		if zone := h.chooseZone(id); zone != "" {
			zones[id] = zone
		}
	}
	if len(zones) > 0 {
		h.take(zones)
	}
}

// chooseZone returns the zone to which a job can move; "" if there is none.
func (h *holder) chooseZone(id work.JobID) string {
	h.mu.Lock()
	job, live := h.jobs.Get(id), h.live[id]
	if !h.ready || live == nil || !live.stored || !job.Runnable() {
		h.mu.Unlock()
		return ""
	}
	w, excluded := job.Work, h.passed(job)
	h.mu.Unlock()
	return h.opts().Others.Choose(w, excluded)
}

// passed returns the zones that a job has been in, this one included. h.mu is held.
func (h *holder) passed(job *joblog.Job) []string {
	return append(slices.Clone(job.Passed), h.opts().Zone)
}

// take takes the jobs from the dispatcher that still cannot go on here.
func (h *holder) take(zones map[work.JobID]string) {
	taken := h.ledger.dispatcher.TakeStored(h.fence, func(id work.JobID) bool { return zones[id] != "" })
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range taken {
		if live := h.live[id]; live != nil {
			live.moving.to = zones[id]
		}
		h.log().WithFields(logrus.Fields{"event": "stored_move", "job": id, "to": zones[id]}).
			Warn("a stored job cannot go on in its zone and moves to another one")
	}
}

// sendMoves passes the decided moves to the writer. Each comes with the ends of the job's tasks, of which it must be the last record.
func (h *holder) sendMoves() {
	h.mu.Lock()
	w := h.writer
	records := map[work.JobID][]store.Record{}
	for id, job := range h.live {
		if job.moving.to != "" && !job.moving.sent && job.final == "" {
			if r := h.moveRecords(id, job); r != nil {
				records[id] = r
			}
		}
	}
	h.mu.Unlock()
	for id, r := range records {
		if err := w.Keep(id, r, func(joblog.Outcome, error) {}); err != nil {
			h.log().WithField("job", id).WithError(err).Warn("stored_move_waits")
			continue
		}
		h.mu.Lock()
		if job := h.live[id]; job != nil {
			job.moving.sent = true
		}
		h.mu.Unlock()
	}
}

// moveRecords returns the records of a job's move; nil if they cannot be encoded. h.mu is held.
func (h *holder) moveRecords(id work.JobID, job *liveJob) []store.Record {
	var records []store.Record
	for _, content := range []any{joblog.Progress{Job: id, Ends: job.ends.Clone()}, joblog.Move{Job: id, To: job.moving.to}} {
		r, err := joblog.Encode(content)
		if err != nil {
			h.log().WithFields(logrus.Fields{"event": "stored_record_invalid", "job": id}).WithError(err).Error("a record cannot be encoded")
			return nil
		}
		records = append(records, r)
	}
	return records
}

// placement is an append to another zone's log.
type placement struct {
	zone    string
	jobs    []work.JobID
	records []store.Record
	bytes   int
}

// placeMoved appends the jobs whose Move is stored to the logs of their zones. An append without an answer is made again: the records are the
// same, and the other zone keeps a job that has ended until this one has its end.
func (h *holder) placeMoved(ctx context.Context) {
	for _, p := range h.unplaced() {
		_, err := h.opts().Log.Append(ctx, store.Append{
			Topic: h.opts().Others.Topic(p.zone), Partition: h.partition.Number, Records: p.records,
		})
		if err != nil {
			h.log().WithFields(logrus.Fields{"event": "stored_place_failed", "zone": p.zone, "jobs": len(p.jobs)}).WithError(err).
				Info("moved jobs are not certainly in the log of their zone")
			continue
		}
		h.notePlaced(p.jobs)
	}
}

// unplaced returns the appends that are to be made.
func (h *holder) unplaced() []*placement {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := map[string]*placement{}
	var all []*placement
	for id, live := range h.live {
		job := h.jobs.Get(id)
		if !job.Moved() || job.Work == nil || live.moving.placed || live.final != "" {
			continue
		}
		p := open[job.MovedTo]
		if p == nil || p.bytes >= maxPlacedBytes {
			p = &placement{zone: job.MovedTo}
			open[p.zone] = p
			all = append(all, p)
		}
		p.add(job, h.passed(job))
	}
	return all
}

// add adds a job. Its Handover precedes its submission, so that nobody knows of the job without knowing of its ends.
func (p *placement) add(job *joblog.Job, passed []string) {
	id := job.Work.ID
	first, err := joblog.Encode(joblog.Handover{Job: id, Passed: passed, Ends: job.Ends.Clone()})
	if err != nil {
		return // never: the log has a submission and ends that could be encoded
	}
	second, err := joblog.Encode(joblog.Submission{Job: *job.Work})
	if err != nil {
		return
	}
	p.jobs = append(p.jobs, id)
	p.records = append(p.records, first, second)
	p.bytes += len(first.Value) + len(second.Value)
}

func (h *holder) notePlaced(ids []work.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		if live := h.live[id]; live != nil {
			live.moving.placed = true
		}
	}
	h.opts().Counts.Moved.Add(int64(len(ids)))
}

// inquiry is a question to the zone that a job has moved to or from.
type inquiry struct {
	id        work.JobID
	zone      string
	operation relay.StoredOperation
}

// followMoved asks for the states of moved jobs, and passes cancels on that others have appended here.
func (h *holder) followMoved(ctx context.Context) {
	var cancels, states []inquiry
	h.mu.Lock()
	for id, live := range h.live {
		job := h.jobs.Get(id)
		switch {
		case !job.Moved() || !live.moving.placed || live.final != "":
		case job.Cancelled:
			cancels = append(cancels, inquiry{id, job.MovedTo, relay.StoredCancel})
		default:
			states = append(states, inquiry{id, job.MovedTo, relay.StoredState})
		}
	}
	h.mu.Unlock()
	h.inquire(ctx, append(cancels, states...), func(q inquiry, reply *relay.StoredReply) {
		h.noteElsewhere(q.id, reply, func(relay.StoredReply) {})
	})
}

// inquire asks the first maxAsked questions and calls answered with each reply.
func (h *holder) inquire(ctx context.Context, all []inquiry, answered func(inquiry, *relay.StoredReply)) {
	var asked sync.WaitGroup
	room := make(chan struct{}, maxAsking)
	for _, q := range all[:min(len(all), maxAsked)] {
		room <- struct{}{}
		asked.Go(func() {
			if reply := h.ask(ctx, q); reply != nil {
				answered(q, reply)
			}
			<-room
		})
	}
	asked.Wait()
}

func (h *holder) ask(ctx context.Context, q inquiry) *relay.StoredReply {
	r := relay.StoredRequest{Operation: q.operation, Partition: h.partition.Number, ID: q.id}
	return h.opts().Others.Ask(ctx, q.zone, r)
}

// noteElsewhere notes what the zone that a job has moved to has replied. If the job has ended, ended is called when the end is stored here, and
// noteElsewhere returns true.
func (h *holder) noteElsewhere(id work.JobID, reply *relay.StoredReply, ended replyFunc) bool {
	if reply.Result != relay.StoredDone {
		return false
	}
	h.mu.Lock()
	live := h.live[id]
	if live == nil { // another request has learned of the end
		recorded := h.jobs.Get(id).Ended()
		h.mu.Unlock()
		if recorded {
			ended(*reply)
		}
		return recorded
	}
	live.moving.arrived = true
	final := h.ready && reply.State.Final()
	if final {
		live.replies = append(live.replies, ended)
	}
	h.mu.Unlock()
	if final {
		h.jobEnded(id, reply.State)
	}
	return final
}

// stateElsewhere replies with the state of a job that has moved.
func (h *holder) stateElsewhere(id work.JobID, zone string, reply replyFunc) {
	found := h.askElsewhere(inquiry{id, zone, relay.StoredState})
	switch {
	case found == nil, found.Result != relay.StoredDone && found.Result != relay.StoredNoJob:
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
	case h.noteElsewhere(id, found, reply):
	case found.Result == relay.StoredNoJob || found.State.Final(): // not yet in the other zone's log, or not recorded here in time
		reply(relay.StoredReply{Result: relay.StoredDone, State: work.Queued})
	default:
		reply(relay.StoredReply{Result: relay.StoredDone, State: found.State})
	}
}

// cancelElsewhere cancels a job that has moved.
func (h *holder) cancelElsewhere(id work.JobID, zone string, reply replyFunc) {
	found := h.askElsewhere(inquiry{id, zone, relay.StoredCancel})
	if found == nil || !h.noteElsewhere(id, found, reply) {
		reply(relay.StoredReply{Result: relay.StoredNoHolder}) // the caller's instance asks again, or appends the cancel here
	}
}

func (h *holder) askElsewhere(q inquiry) *relay.StoredReply {
	if h.opts().Others == nil {
		return nil
	}
	return h.ask(h.ctx, q)
}

// movedWaiting returns the number of a queue's jobs that move and are not known to have arrived, so that nobody else counts them as waiting.
// h.mu is held.
func (h *holder) movedWaiting(queue string) int {
	n := 0
	for id, live := range h.live {
		job := h.jobs.Get(id)
		if job == nil || job.Work == nil || job.Work.Queue != queue {
			continue
		}
		moves := job.Moved() || live.moving.to != ""
		if moves && !live.moving.arrived && !job.Ends.Any() {
			n++
		}
	}
	return n
}

// releaseReceived lets ended jobs from other zones leave once the zone that they came from has their end, or nothing of them any more.
func (h *holder) releaseReceived(ctx context.Context) {
	var all []inquiry
	h.mu.Lock()
	for _, id := range h.jobs.Received() {
		if job := h.jobs.Get(id); job != nil {
			all = append(all, inquiry{id, job.Passed[len(job.Passed)-1], relay.StoredState})
		}
	}
	h.mu.Unlock()
	h.inquire(ctx, all, func(q inquiry, reply *relay.StoredReply) {
		if reply.Result != relay.StoredNoJob && (reply.Result != relay.StoredDone || !reply.State.Final()) {
			return
		}
		h.mu.Lock()
		h.jobs.Release(q.id, h.opts().Now())
		h.mu.Unlock()
	})
}
