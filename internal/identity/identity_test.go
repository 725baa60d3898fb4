package identity

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newIssuer(inc uint64, now *time.Duration) *Issuer {
	home := Home{Zone: "blackstone", Instance: "e1", Incarnation: inc}
	return NewIssuer(home, 10*time.Minute, func() time.Duration { return *now })
}

// Guards against starting a submission whose identity this incarnation did not issue to this team.
func TestVerifyRefusesForeignIdentities(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	a, b := newIssuer(1, &now), newIssuer(2, &now)
	id, err := Parse(a.Issue("survey"))
	is.NoErr(err)
	is.NoErr(a.Verify(id, "survey"))
	is.True(errors.Is(a.Verify(id, "desk"), ErrForged)) // another team
	is.True(errors.Is(b.Verify(id, "survey"), ErrForged))
	id.Seq++
	is.True(errors.Is(a.Verify(id, "survey"), ErrForged)) // changed content
}

// Guards against starting a submission whose record may already have been dropped.
func TestVerifyRefusesExpired(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	a := newIssuer(1, &now)
	id, _ := Parse(a.Issue("survey"))
	now = 10 * time.Minute
	is.NoErr(a.Verify(id, "survey"))
	now++
	is.True(errors.Is(a.Verify(id, "survey"), ErrExpired))
}

// Guards against an expired identity that becomes valid again when the validity is extended. Its record may have been
// dropped.
func TestExpiredIdentitiesStayExpired(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	a := newIssuer(1, &now)
	old, _ := Parse(a.Issue("survey"))
	now = 6 * time.Minute
	young, _ := Parse(a.Issue("survey"))
	a.SetValidity(time.Minute)
	now = 11 * time.Minute
	is.True(errors.Is(a.Verify(young, "survey"), ErrExpired))
	a.SetValidity(time.Hour)
	is.True(errors.Is(a.Verify(old, "survey"), ErrExpired))
	is.NoErr(a.Verify(young, "survey")) // not expired under the longest validity so far, 10 minutes, so its record was kept
	now = 6*time.Minute + time.Hour + 1
	is.True(errors.Is(a.Verify(young, "survey"), ErrExpired))
}

// Guards against text that is no identity and crashes Parse or is accepted.
func FuzzParse(f *testing.F) {
	var now time.Duration
	f.Add(newIssuer(1, &now).Issue("survey"))
	f.Add("1.a.b.c.d")
	f.Add("....")
	f.Add(strings.Repeat(".", 300))
	f.Fuzz(func(t *testing.T, s string) {
		if id, err := Parse(s); err == nil && newIssuer(1, &now).Verify(id, "x") == nil {
			t.Fatalf("accepted %q", s)
		}
	})
}
