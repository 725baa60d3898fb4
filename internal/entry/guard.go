package entry

import (
	"time"

	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

// maxLimited is the largest number of callers and teams whose request rates are tracked at a time.
const maxLimited = 10000

// tokens implements authn.Tokens on secure.Tokens.
type tokens struct{ *secure.Tokens }

// Caller implements authn.Tokens. Tokens of operators and viewers are not accepted.
func (t tokens) Caller(token string) (filter.Principal, bool) {
	p, ok := t.Lookup([]byte(token))
	if !ok || p.Role != secure.RoleCaller {
		return filter.Principal{}, false
	}
	return filter.Principal{Team: p.Team, Name: p.Name}, true
}

// limiter implements admit.Limiter with the configured request rates of callers and teams.
type limiter struct {
	buckets  *secure.Limiter
	snapshot func() *snapshot
}

// Allow implements admit.Limiter. It checks the rate of the caller first, then that of its team. Without a
// configuration every request is allowed.
func (l limiter) Allow(p filter.Principal, now time.Time) (time.Duration, bool) {
	s := l.snapshot()
	if s == nil {
		return 0, true
	}
	perCaller := s.config.Limits.RequestsPerSecondPerCaller
	callerLimit := secure.Limit{PerSecond: perCaller, Burst: max(1, int(perCaller))}
	if ok, wait := l.buckets.Allow(now, p.Team+"/"+p.Name, callerLimit); !ok {
		return wait, false
	}
	team := s.teams[p.Team]
	if team == nil || team.RateLimit == nil {
		return 0, true
	}
	teamLimit := secure.Limit{PerSecond: team.RateLimit.RequestsPerSecond, Burst: team.RateLimit.Burst}
	ok, wait := l.buckets.Allow(now, p.Team, teamLimit)
	return wait, ok
}

// gate implements admit.Gate: it refuses new work while the instance is draining or not ready.
type gate struct{ e *Entry }

// Check implements admit.Gate. It returns result.Complete if the instance accepts new work.
func (g gate) Check() (result.Code, string) {
	if g.e.draining.Load() {
		return result.Draining, "the instance is stopping"
	}
	if reasons := g.e.notReady(); len(reasons) > 0 {
		return result.NotReady, reasons[0]
	}
	return result.Complete, ""
}
