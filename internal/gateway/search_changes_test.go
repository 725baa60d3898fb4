package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// Guards against an answer that outlives the term in which it was given: a dispatcher says that it does not hold the job and is replaced while
// the search goes on. The successor may have the job's first request, which its instance has resumed there.
func TestAnswerOfAnEarlierTermDoesNotCount(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("j", laterWait)
	r.answerTo(f, away, relay.Answer{})
	r.answerTo(f, abroad, relay.Answer{})
	r.answerTo(f, home, relay.Answer{Refused: pool.ReasonUnsettled})
	r.replace(away, 77) // another dispatcher, which knows nothing of that answer
	f.RouteEnded(r, true)
	f.Resubmit()
	r.answerTo(f, home, relay.Answer{})
	f.Resubmit()
	is.Equal(len(r.questions(away)), 2) // the successor is asked, too
	is.Equal(len(r.sent()), 0)          // the job is not placed on the word of a term that is over
}

// Guards against a repeated request that waits for the retransmit time because one dispatcher of the zone has no holder, although all others
// have answered and its caller waits for less than that.
func TestSearchIsShorterThanTheCallersWait(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	r.mute[home] = true // no holder
	began := time.Now()
	f.postDeclaring("j", testRetransmit/2)
	r.answerTo(f, away, relay.Answer{})
	r.answerTo(f, abroad, relay.Answer{})
	for time.Since(began) < testRetransmit/2 {
		f.Resubmit()
		time.Sleep(10 * time.Millisecond)
	}
	is.True(len(r.sent()) > 0) // the job was placed while its caller waited
}

// Guards against the caller's departure during the search, a late answer after it, and a panic on an answer to a job that is gone.
func TestDepartureDuringTheSearch(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("j", laterWait)
	f.eventually("the dispatcher is asked", func() bool { return len(r.questions(home)) > 0 })
	f.call(t.Context(), "DELETE", "/p/j", "")
	f.eventually("the job is gone", func() bool { return f.pendingCount("q") == 0 })
	for _, to := range []Target{away, home, abroad} {
		r.answerTo(f, to, relay.Answer{})
		r.answerTo(f, to, relay.Answer{Placed: &relay.Placement{Zone: to.Zone, Partition: to.Partition, Knowledge: 1}})
	}
	f.RouteEnded(r, true)
	f.Resubmit()
	is.Equal(len(r.sent()), 0)
}

// Guards against jobs that stay in the search for ever: refusals that repeat, and routes that end again and again.
func TestSearchAlwaysEnds(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("j", laterWait)
	began := time.Now()
	for len(r.sent()) == 0 && time.Since(began) < 10*testRetransmit {
		r.answerTo(f, home, relay.Answer{Refused: pool.ReasonNotLeader})
		r.answerTo(f, away, relay.Answer{Refused: pool.ReasonUnsettled})
		f.RouteEnded(r, false)
		f.Resubmit()
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(len(r.sent()), 1)
}

// Guards against a second request that is placed as a new job although the search has found the first one: the dispatcher that held it has lost
// its term, and the job's home, another dispatcher that has just begun, knows of no placement. The first request is resumed at the successor.
func TestFoundJobWhoseDispatcherIsReplaced(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("j", laterWait)
	r.answerTo(f, away, relay.Answer{Placed: &relay.Placement{Zone: away.Zone, Partition: away.Partition, Knowledge: 1}})
	f.eventually("the job is submitted", func() bool { return len(r.sent()) == 1 })
	f.Answer(f.router, &relay.Answer{Job: "j", Number: r.sent()[0].s.Number, Refused: pool.ReasonNotLeader})
	f.Resubmit()
	f.eventually("the home is asked", func() bool { return len(r.claimed()) > 0 })
	f.Answer(r.homes, r.answer(nil)) // it has just begun
	f.Resubmit()
	all := r.sent()
	is.True(len(all) == 1 || all[1].s.Shared || all[1].s.Resumed) // not as a new job
}

// Guards against a second request that follows a found run although another dispatcher has the first request: after a change of the number of
// partitions the runs of one job belong to two of them. The one with the request relies on the end of the other's leases, which the second
// request's dispatcher then extends.
func TestRequestCountsMoreThanFoundRuns(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("j", laterWait)
	f.eventually("all are asked", func() bool { return len(r.questions(home)) > 0 && len(r.questions(away)) > 0 })
	r.answerTo(f, away, relay.Answer{Placed: &relay.Placement{Zone: away.Zone, Partition: away.Partition}}) // a run only
	r.answerTo(f, home, relay.Answer{Placed: &relay.Placement{Zone: home.Zone, Partition: home.Partition, Knowledge: 2}})
	r.answerTo(f, abroad, relay.Answer{})
	f.eventually("the job is submitted", func() bool { return len(r.sent()) > 0 })
	is.Equal(r.sent()[0].to, home)
}

// divided is a router to a zone whose number of partitions rises.
type divided struct {
	*searched
	more atomic.Bool
}

func (d *divided) Dispatchers() (own, others []Target) {
	own, others = d.searched.Dispatchers()
	if d.more.Load() {
		own = append(own, Target{Zone: "north", Partition: 3})
	}
	return own, others
}

// Guards against a search that ends without the dispatcher of a partition that came to be during the search: endpoints with runs of the job may
// belong to it now.
func TestDivisionDuringTheSearch(t *testing.T) {
	is := is.New(t)
	s := &searched{homes: newHomes(home), asked: map[Target][]relay.Claim{}, mute: map[Target]bool{}}
	r := &divided{searched: s}
	f := startChanged(t, 5*time.Second, r, func(o *Options) {
		o.Retransmit, o.Codec = testRetransmit, declaringCodec{codec{}}
	})
	for range minUsualWaits {
		f.repetitions.Repeats("q", firstWait, testRetransmit, 0)
	}
	f.postDeclaring("j", laterWait)
	s.answerTo(f, away, relay.Answer{})
	s.answerTo(f, abroad, relay.Answer{})
	f.eventually("the dispatcher is asked", func() bool { return len(s.questions(home)) > 0 })
	r.more.Store(true)
	f.Resubmit()
	s.answerTo(f, home, relay.Answer{})
	f.Resubmit()
	is.True(len(s.questions(Target{Zone: "north", Partition: 3})) > 0)
	is.Equal(len(s.sent()), 0)
}
