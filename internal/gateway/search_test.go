package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// firstWait and laterWait are how long callers say that they wait with their first request, and with one that repeats it.
const (
	firstWait = 20 * time.Second
	laterWait = firstWait - 2*testRetransmit
)

// searched is a router whose dispatchers the instance can ask for a job.
type searched struct {
	*homes
	askedMu sync.Mutex
	asked   map[Target][]relay.Claim
	mute    map[Target]bool // dispatchers that cannot be asked
}

func (s *searched) Dispatchers() (own, others []Target) {
	return []Target{away, home}, []Target{abroad}
}

func (s *searched) Claim(to Target, c *relay.Claim) (Route, bool) {
	if !c.Searches {
		return s.homes.Claim(to, c)
	}
	s.askedMu.Lock()
	defer s.askedMu.Unlock()
	if s.mute[to] {
		return nil, false
	}
	s.asked[to] = append(s.asked[to], *c)
	return s, true
}

func (s *searched) questions(to Target) []relay.Claim {
	s.askedMu.Lock()
	defer s.askedMu.Unlock()
	return append([]relay.Claim(nil), s.asked[to]...)
}

// startSearched starts a gateway that knows how long callers usually wait.
func startSearched(t *testing.T) (*fixture, *searched) {
	t.Helper()
	r := &searched{homes: newHomes(home), asked: map[Target][]relay.Claim{}, mute: map[Target]bool{}}
	f := startChanged(t, 5*time.Second, r, func(o *Options) {
		o.Retransmit, o.Codec = testRetransmit, declaringCodec{codec{}}
	})
	f.router = &r.router
	for range minUsualWaits {
		f.repetitions.Repeats("q", firstWait, testRetransmit, 0)
	}
	return f, r
}

// declaringCodec reads how long a caller waits from its request.
type declaringCodec struct{ codec }

func (declaringCodec) ResponseTimeout(header func(string) []byte) (time.Duration, bool) {
	wait, err := time.ParseDuration(string(header("Wait")))
	return wait, err == nil
}

// postDeclaring posts a job whose caller waits for some time, and returns at once.
func (f *fixture) postDeclaring(id string, wait time.Duration) {
	req, err := http.NewRequestWithContext(f.t.Context(), "POST", f.url+"/p/"+id, strings.NewReader("job"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Wait", wait.String())
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
}

// answerTo answers the last question to a dispatcher.
func (s *searched) answerTo(f *fixture, to Target, a relay.Answer) {
	f.t.Helper()
	f.eventually("the dispatcher is asked", func() bool { return len(s.questions(to)) > 0 })
	all := s.questions(to)
	a.Job, a.Number, a.Claim = "j", all[len(all)-1].Number, true
	f.Answer(s, &a)
}

// Guards against a repeated request that is placed before every dispatcher has said that it does not hold the job, and against searches
// for jobs that are new.
func TestRepeatedRequestAsksAllDispatchersFirst(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("new", firstWait)
	f.eventually("a new job is placed", func() bool { return len(r.sent()) == 1 })
	is.Equal(len(r.questions(home)), 0)
	f.postDeclaring("j", laterWait)
	r.answerTo(f, away, relay.Answer{})
	r.answerTo(f, abroad, relay.Answer{})
	r.answerTo(f, home, relay.Answer{Refused: pool.ReasonUnsettled})
	f.Resubmit()
	is.Equal(len(r.questions(home)), 2) // until it knows all runs
	is.Equal(len(r.questions(away)), 1)
	is.Equal(len(r.sent()), 1)
	r.answerTo(f, home, relay.Answer{})
	f.eventually("the job is placed", func() bool { return len(r.sent()) == 2 })
}

// Guards against a second run of a job that a dispatcher holds for a request that no home knows of.
func TestRepeatedRequestGoesWhereTheJobIsFound(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	f.postDeclaring("j", laterWait)
	r.answerTo(f, away, relay.Answer{Placed: &relay.Placement{Zone: away.Zone, Partition: away.Partition, Knowledge: 1}})
	f.eventually("the job is submitted", func() bool { return len(r.sent()) == 1 })
	sent := r.sent()[0]
	is.Equal(sent.to, away)
	is.True(sent.s.Shared)
	r.answerTo(f, home, relay.Answer{}) // comes too late to change anything
	is.Equal(len(r.sent()), 1)
}

// Guards against repeated requests that wait for ever for a dispatcher that cannot be asked, or whose connection has ended.
func TestSearchEndsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	f, r := startSearched(t)
	r.mute[home], r.mute[abroad] = true, true
	f.postDeclaring("j", laterWait)
	r.answerTo(f, away, relay.Answer{Refused: pool.ReasonNotLeader})
	f.RouteEnded(r, true)
	f.Resubmit()
	r.answerTo(f, away, relay.Answer{})
	is.Equal(len(r.sent()), 0)
	time.Sleep(testRetransmit)
	f.Resubmit()
	f.eventually("the job is placed", func() bool { return len(r.sent()) == 1 })
	is.Equal(f.opts.Metrics.SearchesUnanswered.Value(), int64(1))
}
