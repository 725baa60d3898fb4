package logservice

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/standin"
)

const streamName = "config/a b" // needs escaping in a path

func start(t *testing.T, change func(*Options)) (*Server, *httpx.Log) {
	o := DefaultOptions()
	change(&o)
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	l := httpx.NewLog(s.Address(), httpx.Options{Zone: "zone-a"})
	t.Cleanup(l.Close)
	return s, l
}

func texts(b platform.Batch) (all []string) {
	for _, r := range b.Records {
		all = append(all, string(r.Data))
	}
	return all
}

// Guards against records that are kept longer or dropped earlier than the retention says, and against a reader that is not
// told of dropped records.
func TestRetention(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	_, l := start(t, func(o *Options) { o.RetentionCount, o.RetentionAge, o.Clock = 2, time.Minute, clock })
	ctx := t.Context()
	for i, data := range []string{"a", "b", "c"} {
		offset, err := l.Append(ctx, streamName, []byte(data))
		is.NoErr(err)
		is.Equal(offset, int64(i))
		clock.Advance(10 * time.Second)
	}
	b, err := l.Read(ctx, streamName, 0, 10)
	is.True(errors.Is(err, platform.ErrTruncated))
	is.Equal(b, platform.Batch{First: 1, Next: 3})
	b, err = l.Read(ctx, streamName, b.First, 1)
	is.NoErr(err)
	is.Equal(texts(b), []string{"b"})
	clock.Advance(40 * time.Second) // b is a minute old
	b, err = l.Read(ctx, streamName, 2, 10)
	is.NoErr(err)
	is.Equal(texts(b), []string{"c"})
	clock.Advance(time.Hour)
	b, err = l.Read(ctx, streamName, 3, 10)
	is.NoErr(err)
	is.Equal(b, platform.Batch{First: 3, Next: 3})
}

// Guards against an append that was carried out but is reported as not carried out, or the reverse.
func TestAppendOutcomes(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock() // time stands still, so the rate limit gives no new appends
	s, l := start(t, func(o *Options) { o.Burst, o.MaxRecord, o.Clock = 2, 10, clock })
	ctx := t.Context()
	count := func() int64 { return s.Dump().Streams[streamName].Next }

	is.NoErr(s.SetFault(Fault{LoseAnswers: 1}))
	_, err := l.Append(ctx, streamName, []byte("lost"))
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(count(), int64(1)) // carried out once
	_, err = l.Append(ctx, streamName, []byte("second"))
	is.NoErr(err)
	_, err = l.Append(ctx, streamName, []byte("limited"))
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = l.Append(ctx, streamName, []byte("larger than 10 bytes"))
	is.True(err != nil && !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknown))

	is.NoErr(s.SetFault(Fault{GateFault: standin.GateFault{Outage: standin.OutageRefuse}}))
	_, err = l.Append(ctx, streamName, []byte("refused"))
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = l.Read(ctx, streamName, 0, 10)
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.NoErr(s.SetFault(Fault{GateFault: standin.GateFault{Outage: standin.OutageDrop}}))
	_, err = l.Append(ctx, streamName, []byte("dropped"))
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(count(), int64(2))

	s.Close()
	_, err = l.Append(ctx, streamName, []byte("gone"))
	is.True(errors.Is(err, platform.ErrUnavailable)) // connection refused
}

// Guards against a cut of one availability zone that affects others, against calls that ignore their context, and against
// an append from a cut zone that is reported as not carried out although that is not known.
func TestCutZone(t *testing.T) {
	is := is.New(t)
	s, cut := start(t, func(*Options) {})
	other := httpx.NewLog(s.Address(), httpx.Options{Zone: "zone-b"})
	t.Cleanup(other.Close)
	is.NoErr(s.SetFault(Fault{GateFault: standin.GateFault{CutZones: []string{"zone-a"}}}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for s.Dump().HangingCalls == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := cut.Append(ctx, streamName, []byte("x"))
	is.True(errors.Is(err, platform.ErrUnknown) && errors.Is(err, context.Canceled))
	_, err = other.Append(t.Context(), streamName, []byte("y"))
	is.NoErr(err)
	is.NoErr(s.SetFault(Fault{Clear: true}))
	b, err := cut.Read(t.Context(), streamName, 0, 10)
	is.NoErr(err)
	is.Equal(texts(b), []string{"y"}) // the append from the cut zone is never carried out
}

// Guards against calls that are carried out before the delay of the fault slow_ms has passed.
func TestSlow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s, l := start(t, func(o *Options) { o.Clock = clock })
	is.NoErr(s.SetFault(Fault{GateFault: standin.GateFault{SlowMS: 1000}}))
	done := make(chan error, 1)
	go func() {
		_, err := l.Append(t.Context(), streamName, []byte("x"))
		done <- err
	}()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	is.Equal(len(s.Dump().Streams), 0)
	clock.Advance(time.Second)
	is.NoErr(<-done)
}
