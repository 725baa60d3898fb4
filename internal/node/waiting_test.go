package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a run for a caller that has left while its submission and its cancel wait behind requests that the instance's own shard handles
// slowly: the shard has to know the age of the submission, and that callers are unattended meanwhile.
func TestRequestsToTheOwnShardAge(t *testing.T) {
	is := is.New(t)
	const slow = 100 * time.Millisecond
	local := newLocalRoute(nil)
	local.gateway = gateway.New(gateway.Options{Config: &catalog.Current{}, Log: silentLog()})
	m := &relay.Submit{Job: work.Job{ID: "a"}, Remaining: slow}
	is.True(local.submit(m)) // nothing handles it
	local.Cancel(&relay.Cancel{Job: "a"})
	time.Sleep(slow)
	is.True(local.Silence() >= slow)
	is.True(m.Age() >= slow)
	is.True(m.Expired())
}
