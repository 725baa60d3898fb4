package follow

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/store"
)

func start(t *testing.T, s *keyed.Store) <-chan Update {
	log := logrus.New()
	log.SetOutput(io.Discard)
	updates := make(chan Update, 1000)
	c := New(Options{Store: s, Topic: "t", Wait: 20 * time.Millisecond, Log: log, Apply: func(u Update) {
		if len(u.Records) > 0 || u.Snapshot {
			updates <- u
		}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return updates
}

func next(t *testing.T, updates <-chan Update) Update {
	t.Helper()
	select {
	case u := <-updates:
		return u
	case <-time.After(20 * time.Second):
		t.Fatal("no update within 20 s")
		return Update{}
	}
}

// Guards against a controller that misses records written before or after its start.
func TestFollow(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.Set("t", "a", []byte("1"))
	updates := start(t, s)
	u := next(t, updates)
	is.True(u.Snapshot)
	is.Equal(string(u.Records[0].Value), "1")
	s.Set("t", "a", []byte("2"))
	u = next(t, updates)
	is.True(!u.Snapshot)
	is.Equal(string(u.Records[0].Value), "2")
}

// Guards against reads by an instance that does not need the topic, and against one that begins with records which miss what was
// written while it did not read.
func TestInactive(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.Set("t", "a", []byte("1"))
	log := logrus.New()
	log.SetOutput(io.Discard)
	updates := make(chan Update, 1000)
	active := &atomic.Bool{}
	asked := make(chan struct{}, 1000)
	c := New(Options{Store: s, Topic: "t", Log: log, Apply: func(u Update) { updates <- u }, Active: func() bool {
		asked <- struct{}{}
		return active.Load()
	}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	<-asked
	<-asked // the first answer has been acted upon
	is.Equal(len(updates), 0)
	s.Set("t", "b", []byte("2"))
	active.Store(true)
	u := next(t, updates)
	is.True(u.Snapshot)
	is.Equal(len(u.Records), 2)
}

// Guards against a controller that stops when the store is down at its start, or when the records that it would read
// next are no longer retained.
func TestOutageAndDroppedHistory(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.SetDown(true)
	updates := start(t, s)
	s.Set("t", "a", []byte("1"))
	s.SetDown(false)
	is.True(next(t, updates).Snapshot)
	s.SetLoseAnswers(true)
	s.Set("t", "a", []byte("2"))
	s.Set("t", "b", []byte("3"))
	s.DropHistory("t")
	s.SetLoseAnswers(false)
	u := next(t, updates)
	is.True(u.Snapshot)
	is.Equal(len(u.Records), 2)
}

// Guards against a missing Recovered in the first update after an outage, and against a second update with it.
func TestRecovered(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	updates := make(chan Update, 1000)
	c := New(Options{Store: s, Topic: "t", Wait: time.Millisecond, Log: log, Apply: func(u Update) { updates <- u }})
	is.True(!step(t, c, updates).Recovered)
	s.SetDown(true)
	is.True(c.step(t.Context()) != nil)
	c.reportFailure(store.ErrUnavailable)
	s.SetDown(false)
	is.True(step(t, c, updates).Recovered)
	c.reportRecovery()
	is.True(!step(t, c, updates).Recovered)
}

func step(t *testing.T, c *Controller, updates <-chan Update) Update {
	t.Helper()
	if err := c.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	return next(t, updates)
}

// Guards against registrations that become older than they may be: a read after records were dropped waited for the interval, and
// the time that a read took was added to it.
func TestReadsAtAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		log := logrus.New()
		log.SetOutput(io.Discard)
		const interval = time.Second
		var at []time.Duration
		started, failed := time.Now(), 0
		c := New(Options{
			Store: s, Topic: "t", Log: log, Interval: func() time.Duration { return interval }, Failed: func() { failed++ },
			Apply: func(Update) {
				at = append(at, time.Since(started).Round(interval/10))
				time.Sleep(interval / 4)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		time.Sleep(interval / 2)
		s.Set("t", "a", []byte("1"))
		s.DropHistory("t")
		time.Sleep(2 * interval)
		synctest.Wait()
		is.Equal(at, []time.Duration{0, interval, 2 * interval})
		s.SetDown(true)
		time.Sleep(interval)
		cancel()
		<-done
		is.True(failed > 0)
	})
}
