package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a run for a caller that has left while its cancel waits behind requests that the instance's own shard handles slowly: the
// callers count as unattended while a request waits or is in progress.
func TestQueueKnowsTheAgeOfItsOldestValue(t *testing.T) {
	is := is.New(t)
	const slow = 30 * time.Millisecond
	q := newQueue[int]()
	done := make(chan struct{})
	defer close(done)
	ages := make(chan time.Duration, 2)
	q.push(1)
	q.push(2)
	go q.run(done, func(int) {
		time.Sleep(slow)
		ages <- q.age()
	})
	is.True(<-ages >= slow)
	is.True(<-ages >= 2*slow)
	for q.length() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(q.age(), time.Duration(0))
}
