package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/ledger"
)

// unknownUsage stands for stored jobs of which it is not known whether there are any.
type unknownUsage struct{ StoredJobs }

func (unknownUsage) Usage() ledger.Usage { return ledger.UsageUnknown }

// Guards against an instance that denies jobs, or says that nothing waits, although it has not read whether the deployment has stored jobs.
func TestNothingIsDeniedWhileTheUsageIsUnknown(t *testing.T) {
	is := is.New(t)
	f := startStoring(t, time.Minute, &router{}, unknownUsage{})
	background := context.Background()
	is.Equal(f.receive(f.call(background, "GET", "/p/a", "")).status, 503)
	is.Equal(f.receive(f.call(background, "GET", "/p/", "")).status, 503)
	is.Equal(f.sweepUntil(f.call(background, "DELETE", "/p/a", "")).status, 503)
}
