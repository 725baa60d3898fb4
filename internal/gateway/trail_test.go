package gateway

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// lines collects the log of a gateway.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards against the log of a job that does not tell which dispatchers had it, and why it left each of them.
func TestRequestLogNamesAllPlacements(t *testing.T) {
	is := is.New(t)
	written := &lines{}
	r := &router{targets: []Target{north, south}, down: map[Target]bool{}}
	f := startChanged(t, 5*time.Second, r, func(o *Options) {
		log := logrus.New()
		log.SetOutput(written)
		o.Log = log
	})
	f.router = r
	done := f.post("j")
	f.Answer(r, &relay.Answer{Job: "j", Number: 1, Refused: pool.ReasonGivenBack})
	f.eventually("the job is placed again", func() bool { return len(r.sent()) == 2 })
	f.RouteEnded(r, true)
	f.Resubmit()
	f.Answer(r, &relay.Answer{Job: "j", State: work.Completed})
	is.Equal(f.receive(done).status, 200)
	f.eventually("the end is logged", func() bool { return strings.Contains(written.String(), "outcome=completed") })
	for _, want := range []string{"north/0:0000000000000000+", "(given_back) south/0:", "(dispatcher_lost) south/0:", ":resumed"} {
		is.True(strings.Contains(written.String(), want)) // in the placements
	}
}

// Guards against log lines that grow without a bound with a job that is placed again and again.
func TestTrailIsBounded(t *testing.T) {
	is := is.New(t)
	var placements trail
	for range 3 * maxTrail {
		placements.add(placed{at: north})
		placements.leave("refused")
	}
	is.Equal(strings.Count(placements.String(), "north/0"), maxTrail)
	is.True(strings.HasSuffix(placements.String(), "(24 not listed)"))
}
