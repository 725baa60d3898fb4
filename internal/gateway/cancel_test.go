package gateway

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/work"
)

// beat is the pause between the heartbeats of the tests on the virtual clock.
const beat = 100 * time.Millisecond

// searchTest has instances that pass cancellations on. The clock is virtual.
type searchTest struct {
	*is.I
	searcher, between, holder, dispatcher *cancellations
	holds                                 bool // the holder has a job, which was not cancelled
	reachesAll                            bool // the searcher reaches all dispatchers
	outcome                               searchOutcome
}

// search runs a test after a cancel of job x has come to the searcher.
func search(t *testing.T, test func(s *searchTest)) {
	synctest.Test(t, func(t *testing.T) {
		none := func(work.JobID) bool { return false }
		s := &searchTest{I: is.New(t), searcher: newCancellations(none), between: newCancellations(none), dispatcher: newCancellations(none), holds: true}
		s.holder = newCancellations(func(work.JobID) bool {
			held := s.holds
			s.holds = false
			return held
		})
		s.searcher.find("x", waitingCancel{exchange: &server.Exchange{}})
		test(s)
	})
}

// exchange passes cancellations between neighbours of a path for a time, or until the search has ended.
func (s *searchTest) exchange(lasts time.Duration, path ...*cancellations) {
	for end := time.Now().Add(lasts); time.Now().Before(end) && s.outcome == searching; time.Sleep(beat) {
		for i := 1; i < len(path); i++ {
			path[i].Merge(path[i-1].Recent())
			path[i-1].Merge(path[i].Recent())
		}
		for outcome := range s.searcher.due(s.reachesAll) {
			s.outcome = outcome
		}
	}
}

// Guards against "no such job" for a job that was found and cancelled, because the instance that looks for it connects to the dispatcher
// of the job's instance when that one passes the news on no longer.
func TestSearcherThatConnectsLate(t *testing.T) {
	search(t, func(s *searchTest) {
		s.between.Merge(s.searcher.Recent())
		s.holder.Merge(s.between.Recent())
		s.True(!s.holds)
		s.dispatcher.Merge(s.holder.Recent())
		s.exchange(spreadTime+beat, s.searcher)
		s.Equal(s.dispatcher.Recent(), nil)
		s.reachesAll = true
		s.exchange(maxFindTime, s.searcher, s.dispatcher)
		s.Equal(s.outcome, jobFound)
	})
}

// Guards against a job that runs on after its cancel was answered "no such job", because its instance connects to a dispatcher when that
// one passes the cancellation on no longer, although the cancel still waits.
func TestHolderThatConnectsLate(t *testing.T) {
	search(t, func(s *searchTest) {
		s.exchange(spreadTime+beat, s.searcher, s.dispatcher)
		s.reachesAll = true
		s.exchange(maxFindTime, s.searcher, s.dispatcher, s.holder)
		s.Equal(s.outcome, jobFound)
		s.True(!s.holds)
	})
}

// Guards against cancellations that are passed on without end between instances of which some know that the job was found.
func TestCancellationsAreNotPassedOnForEver(t *testing.T) {
	search(t, func(s *searchTest) {
		all := []*cancellations{s.searcher, s.dispatcher, s.holder, s.between}
		s.exchange(maxFindTime, all...)
		s.Equal(s.outcome, jobFound)
		s.outcome = searching
		s.exchange(spreadTime+5*beat, all...)
		for _, c := range all {
			s.Equal(c.Recent(), []relay.Cancellation(nil))
		}
	})
}

// Guards against cancels that wait for their job while the heartbeats of a wave are full of cancels that have been carried out.
func TestSearchesComeFirstInHeartbeats(t *testing.T) {
	search(t, func(s *searchTest) {
		for n := range 2 * maxSpread {
			s.searcher.spread(work.JobID(strconv.Itoa(n)), true)
		}
		recent := s.searcher.Recent()
		s.Equal(len(recent), maxSpread)
		s.Equal(recent[0], relay.Cancellation{Job: "x", Sought: true})
	})
}
