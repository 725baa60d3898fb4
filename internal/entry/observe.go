package entry

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
)

// observer implements engine.Observer by counting the engine's events in the metrics.
type observer struct{ set *metric.Set }

// Started implements engine.Observer.
func (o observer) Started(_, _ string, wait time.Duration, delegated bool) {
	if !delegated { // the peer that runs a delegated task counts its start
		o.set.Starts.Add(1)
	}
	o.set.QueueWait.AddDuration(wait)
}

// Ended implements engine.Observer. No metric counts ended tasks.
func (observer) Ended(string, string, platform.Outcome, time.Duration) {}

// Answered implements engine.Observer.
func (o observer) Answered(j *engine.Job, a *api.Answer, took time.Duration) {
	o.set.Answers.Add(a.Code)
	if run := j.LongestRun(); a.Code == result.Complete && run > 0 {
		o.set.ResponseRatio.Add(float64(took) / float64(run))
		if !j.Waited() {
			o.set.Overhead.AddDuration(took - run)
		}
	}
}

// Wasted implements engine.Observer.
func (o observer) Wasted(kind metric.Kind) { o.set.Wasted.Add(kind, 1) }

// Delegated implements engine.Observer.
func (o observer) Delegated(n int) { o.set.Delegations.Add(metric.Sent, int64(n)) }

// ForeignStarted implements engine.Observer.
func (o observer) ForeignStarted(_, _ string) {
	o.set.Starts.Add(1)
	o.set.Delegations.Add(metric.Received, 1)
}

// DelegationLost implements engine.Observer.
func (o observer) DelegationLost() { o.set.Delegations.Add(metric.Lost, 1) }

// Replaced implements engine.Observer.
func (o observer) Replaced() { o.set.Replaced.Add(1) }
