package dedup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
)

// fixture is a filter at the home of its identities.
type fixture struct {
	filter Filter
	age    time.Duration // clock of the identities' issuer; their validity is a minute
}

func newFixture() *fixture {
	f := &fixture{}
	home := identity.Home{Zone: "blackstone", Instance: "e1", Incarnation: 1}
	f.filter = Filter{
		Issuer:   identity.NewIssuer(home, time.Minute, func() time.Duration { return f.age }),
		Registry: registry.New(registry.Options{RecordTTL: time.Hour, AnswerTTL: time.Hour}), Now: time.Now,
	}
	return f
}

// request sends a request with a digest of body and returns the channel for its answer.
func (f *fixture) request(id string, action filter.Action, body byte, wait time.Duration) <-chan *api.Answer {
	answers := make(chan *api.Answer, 1)
	r := filter.NewRequest(func(a *api.Answer) { answers <- a }, nil)
	r.Action, r.Identity, r.Wait, r.Digest = action, id, wait, registry.Digest{body}
	r.Principal.Team = "survey"
	f.filter.Handle(r, filter.HandlerFunc(func(*filter.Request) {}))
	return answers
}

// Guards against answering a submission with the result of another body. The body must be compared also if the identity
// has expired while its job is open or its answer is retained.
func TestExpiredIdentityIsComparedWithItsBody(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	id := f.filter.Issuer.Issue("survey")
	first := f.request(id, filter.Submit, 1, time.Hour)
	f.age = 2 * time.Minute
	is.Equal((<-f.request(id, filter.Submit, 2, time.Millisecond)).Code, result.IdentityReused)
	is.Equal((<-f.request(id, filter.Submit, 1, 0)).Code, result.Running)
	f.filter.Registry.Finish(time.Now(), 1, api.NewAnswer(result.Complete, ""))
	is.Equal((<-first).Code, result.Complete)
	is.Equal((<-f.request(id, filter.Submit, 1, 0)).Code, result.Complete)
	f.age = 0
	late := f.filter.Issuer.Issue("survey")
	f.age = 2 * time.Minute
	is.Equal((<-f.request(late, filter.Submit, 1, 0)).Code, result.IdentityExpired)
}

// Guards against requests that wait longer than their wait_ms. Resubmissions under an expired identity did so, as did
// cancellations that overtook their submission on the way to the engine.
func TestEveryWaitIsLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	id := f.filter.Issuer.Issue("survey")
	f.request(id, filter.Submit, 1, time.Hour)
	is.Equal((<-f.request(id, filter.Cancel, 0, time.Millisecond)).Code, result.Running)
	f.age = 2 * time.Minute
	is.Equal((<-f.request(id, filter.Submit, 1, time.Millisecond)).Code, result.Running)
	is.Equal((<-f.request(id, filter.Fetch, 0, time.Millisecond)).Code, result.Running)
}
