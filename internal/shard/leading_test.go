package shard_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
)

// watcher is a client that notes whether the dispatcher counted as leading when it answered.
type watcher struct {
	*client
	dispatcher *dispatcher
	led        atomic.Bool
}

func (w *watcher) Answer(a *relay.Answer) {
	w.led.Store(w.dispatcher.Leading())
	w.client.Answer(a)
}

// Guards against the end of a term that is seen before the jobs are answered: whoever sees it would look for answers that are not there.
func TestEndOfTermIsSeenAfterItsAnswers(t *testing.T) {
	is := is.New(t)
	_, _, d, c := newLeadingDispatcher(t, 1, time.Minute)
	submitUntilAccepted(t, d, c, &relay.Submit{Job: jobOf("a", 1, time.Minute)})
	w := &watcher{client: c, dispatcher: d}
	d.Submit(w, &relay.Submit{Job: jobOf("a", 1, time.Minute)}) // the same job, whose answers go to the watcher now
	d.End()
	is.True(w.led.Load())
	is.True(!d.Leading())
}
