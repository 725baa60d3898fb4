package entry

import (
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/secure"
)

// apply puts a configuration version into force on this instance. It is called for each new version.
func (e *Entry) apply(u config.Update) {
	if err := e.applyTokens(u.Config); err != nil {
		// Validation has accepted the digests, so this is a bug in the dispatcher. The previous tokens stay valid.
		e.log.WithField("event", "tokens_not_replaced").WithError(err).WithField("version", u.State.Version).Error("tokens not replaced")
	}
	// The retention of records is extended before the validity of identities, so that a valid identity always has its
	// record.
	e.registry.SetRetention(u.Config.Retention.IdentityValidity+recordMargin, u.Config.Retention.AnswerRetention)
	e.issuer.SetValidity(u.Config.Retention.IdentityValidity)
	e.current.Store(newSnapshot(u.State.Version, u.Config))
	e.metrics.ConfigVersion.Set(int64(u.State.Version))
	if u.LoggedAt.After(e.started) { // older records were written before this process started, so their age is no lag
		e.metrics.ConfigLag.AddDuration(e.clock.Since(u.LoggedAt))
	}
	opts := schedulerOptions(u.Config)
	e.engine.Configure(func(_ time.Time, s sched.Scheduler) {
		if f, ok := s.(*fair.Scheduler); ok {
			f.Configure(opts)
		}
	})
}

func (e *Entry) applyTokens(c *config.Config) error {
	callers, err := callerTokens(c)
	if err != nil {
		return err
	}
	staff, err := staffTokens(e.staff, c)
	if err != nil {
		return err
	}
	if err := e.tokens.SetCallerTokens(callers); err != nil {
		return err
	}
	return e.tokens.SetStaffTokens(staff)
}

// staffTokens merges the operators and viewers of the settings with those of a configuration. A token that is in both
// keeps its role from the settings, so that no configuration can lock the operators out.
func staffTokens(settings []secure.Entry, c *config.Config) ([]secure.Entry, error) {
	entries := append([]secure.Entry(nil), settings...)
	known := map[secure.Digest]bool{}
	for _, s := range settings {
		known[s.Digest] = true
	}
	for _, o := range c.Operators {
		d, err := secure.ParseDigest(o.TokenDigest)
		if err != nil {
			return nil, err
		}
		role, err := secure.ParseRole(o.Role)
		if err != nil {
			return nil, err
		}
		if !known[d] {
			entries = append(entries, secure.Entry{Digest: d, Principal: secure.Principal{Name: o.Name, Role: role}})
		}
	}
	return entries, nil
}

// schedulerOptions returns the options of the fair scheduler that a configuration specifies.
func schedulerOptions(c *config.Config) fair.Options {
	o := fair.Options{ShortReserve: c.Order.ShortReserve, LongThreshold: c.Order.ShortThreshold, AgeingRate: c.Order.AgeingRate}
	if o.ShortReserve == 0 {
		o.ShortReserve = -1 // no reserve; 0 would select the default
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		team := sched.Team{Name: t.Name, Weight: t.Weight, Quota: t.Quota.Platform()}
		if t.HardLimit != nil {
			team.Limit = t.HardLimit.Platform()
		}
		o.Teams = append(o.Teams, team)
	}
	return o
}
