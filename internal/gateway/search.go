package gateway

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/repetition"
)

// The home of a job knows where an earlier request has placed it, unless another dispatcher has just become the home: a partition that
// changes hands takes the knowledge of placements with it, and often that of the runs, since the home is in most cases also the dispatcher
// of the job. A request that seems to repeat an earlier one is therefore placed only after every dispatcher of its zone has been asked
// for the job, and has answered with knowledge of all runs on its endpoints. One that holds the job gets the request, too.

const (
	// usualWaitMemory is how long the wait that a caller declares counts for what is usual in its queue.
	usualWaitMemory = time.Minute
	// minUsualWaits is the number of waits from which they show what is usual. It is small, since many instances get few requests of a queue.
	minUsualWaits = 3
	// lowWaitQuantile and lowWaitShare tell which waits are unusually short: by a share of the retransmit time below those of almost all new
	// jobs. The waits of a queue may differ by more than the retransmit time, and an unnecessary search costs time when dispatchers change.
	lowWaitQuantile = 0.1
	lowWaitShare    = 0.25
	// searchShare is the share of the time that a caller still waits which a search may take. Later, an answer would come too late in most cases.
	searchShare = 0.5
)

func newRepetitions() *repetition.Detector {
	return repetition.New(repetition.Options{
		Quantile: lowWaitQuantile, Share: lowWaitShare, Memory: usualWaitMemory, MinWaits: minUsualWaits,
	})
}

// jobSearch is a search for a job among the dispatchers, before a repeated request is placed.
type jobSearch struct {
	until     time.Time // it ends without the answers that are missing then
	questions []*question
}

// asks reports whether a dispatcher is among those that are asked.
func (s *jobSearch) asks(t Target) bool {
	return slices.ContainsFunc(s.questions, func(q *question) bool { return q.to == t })
}

// found returns where runs of the job are for which no request is known; nil if there are none.
func (s *jobSearch) found() *relay.Placement {
	for _, q := range s.questions {
		if q.found != nil {
			return q.found
		}
	}
	return nil
}

// question is what one dispatcher was asked, and has answered.
type question struct {
	to        Target
	required  bool                   // the job is not placed without the answer; otherwise it is if the dispatcher cannot be asked
	number    relay.SubmissionNumber // of the claim that waits for its answer
	route     Route                  // over which it was sent; nil if the question is to be sent, or sent again
	knowledge uint64                 // of the dispatcher that was asked; its successor has to be asked, too
	answered  bool                   // the dispatcher knows of no request for the job
	found     *relay.Placement       // runs of the job that it has found; nil for none
}

// placeFirst places a job for the first time.
func (g *Gateway) placeFirst(p *pending) {
	if p.repeats {
		g.beginSearch(p)
		return
	}
	g.placeNew(p)
}

// beginSearch asks the dispatchers of the instance's zone, and the connected ones of other zones, for a job.
func (g *Gateway) beginSearch(p *pending) {
	g.opts.Metrics.Searches.Add(1)
	most := min(g.opts.Retransmit, time.Duration(searchShare*float64(time.Until(p.deadline))))
	p.search = &jobSearch{until: time.Now().Add(most)}
	g.continueSearch(p)
}

// renewQuestions adds the dispatchers that are not asked yet, and opens the questions whose dispatcher has been replaced since.
func (g *Gateway) renewQuestions(s *jobSearch) {
	own, others := g.opts.Router.Dispatchers()
	for n, t := range append(slices.Clone(own), others...) {
		if !s.asks(t) {
			s.questions = append(s.questions, &question{to: t, required: n < len(own)})
		}
	}
	for _, q := range s.questions {
		if q.answered && q.knowledge != g.opts.Router.Knowledge(q.to) {
			q.answered, q.found = false, nil
		}
	}
}

// continueSearch sends the questions that are open. After the retransmit time, the runs that nobody attends to are over, and the search ends
// without the answers that are missing; for a caller that waits less long it ends sooner.
func (g *Gateway) continueSearch(p *pending) {
	if time.Now().After(p.search.until) {
		g.noteSearchUnanswered(p)
		g.endSearch(p)
		return
	}
	g.renewQuestions(p.search)
	for _, q := range p.search.questions {
		if q.route == nil && !q.answered {
			g.sendQuestion(p, q)
		}
	}
	g.endSearchIfAnswered(p)
}

func (g *Gateway) sendQuestion(p *pending, q *question) {
	q.knowledge = g.opts.Router.Knowledge(q.to)
	g.submissions++
	route, ok := g.opts.Router.Claim(q.to, &relay.Claim{Job: p.job.ID, Number: g.submissions, Partition: q.to.Partition, Searches: true})
	if ok {
		q.route, q.number = route, g.submissions
		return
	}
	q.answered = !q.required
}

// find returns the question that an answer over a route is for; nil if there is none.
func (s *jobSearch) find(route Route, number relay.SubmissionNumber) *question {
	if s == nil || number == 0 {
		return nil
	}
	for _, q := range s.questions {
		if q.route == route && q.number == number {
			return q
		}
	}
	return nil
}

// forget makes the questions over a route that has ended be sent again.
func (s *jobSearch) forget(route Route) {
	if s == nil {
		return
	}
	for _, q := range s.questions {
		if q.route == route {
			q.route = nil
		}
	}
}

// searchAnswered handles the answer of a dispatcher to a question.
func (g *Gateway) searchAnswered(p *pending, q *question, a *relay.Answer) {
	q.route = nil
	switch {
	case a.Placed != nil && a.Placed.Knowledge != 0:
		p.search = nil
		g.follow(p, *a.Placed)
		return
	case a.Refused == pool.ReasonNone:
		q.answered, q.found = true, a.Placed // another dispatcher may have a request for the job, which counts more than runs
	case a.Refused == pool.ReasonNotLeader:
		g.opts.Router.ReportNotLeader(q.to)
	}
	g.renewQuestions(p.search)
	g.endSearchIfAnswered(p)
}

func (g *Gateway) endSearchIfAnswered(p *pending) {
	for _, q := range p.search.questions {
		if !q.answered {
			return
		}
	}
	g.endSearch(p)
}

// endSearch places a job for which no dispatcher has a request.
func (g *Gateway) endSearch(p *pending) {
	found := p.search.found()
	p.search = nil
	if found != nil {
		g.follow(p, *found)
		return
	}
	g.chooseTargets(p)
	g.placeNew(p)
}

// noteSearchUnanswered counts and logs a repeated request that is placed although a dispatcher has not said that it does not hold the job.
func (g *Gateway) noteSearchUnanswered(p *pending) {
	g.opts.Metrics.SearchesUnanswered.Add(1)
	var missing []Target
	for _, q := range p.search.questions {
		if !q.answered {
			missing = append(missing, q.to)
		}
	}
	g.opts.Log.WithFields(logrus.Fields{
		"event": "search_unanswered", "job": p.job.ID, "request": relay.RequestName(p.request), "missing": missing,
	}).Info("repeated request placed although not all dispatchers have said that they do not hold its job")
}
