package joblog

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	testID    = work.JobID("5c0e7a21d94b36f8")
	retention = 2 * time.Minute
)

var partition = Partition{"keyed.jobs", 2}

// testJob returns a job like those of the present sites: one step of 8 tasks and a specification of 1,000 bytes.
func testJob(id work.JobID) work.Job {
	return work.Job{
		ID: id, Queue: "washout-check", Service: "towpath-reports", Spec: strings.Repeat("specification ", 72)[:1000],
		Steps:     []work.Step{{Count: 8, Size: work.Size{MilliCPU: 6800, MemoryMB: 64}, Estimate: 51 * time.Millisecond}},
		Objective: work.Objective{Stretch: 1.6, Extra: 60 * time.Millisecond, Attempts: 2},
	}
}

func record(t rapid.TB, r any) store.Record {
	encoded, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func ends(step, index int) Ends {
	var e Ends
	e.Succeed(work.TaskID{Step: step, Index: index})
	return e
}

// Guards against records that come back different from what was written.
func TestCodec(t *testing.T) {
	is := is.New(t)
	done := ends(1, 17)
	done.Fail(work.TaskID{Index: 3}, 2)
	done.Crash(work.TaskID{Index: 4}, 1)
	for _, want := range []any{
		Submission{testJob(testID)}, Cancel{testID}, Progress{testID, done}, End{testID, work.Failed},
		Move{testID, "south"}, Handover{testID, []string{"north", "west"}, done},
	} {
		got, err := Decode(record(t, want))
		is.NoErr(err)
		is.Equal(got, want)
	}
	_, err := Encode(Cancel{})
	is.True(err != nil)
	_, err = Encode(Submission{work.Job{ID: testID, Spec: strings.Repeat("x", maxRecordBytes)}})
	is.True(err != nil)
	for _, bad := range []store.Record{
		{Key: "e/1", Value: []byte{codecVersion, 'x'}}, {Key: "e/1", Value: []byte{codecVersion + 1}}, {Key: "p/1", Value: []byte{codecVersion}},
		{Key: "x/1", Value: []byte{codecVersion}}, {Key: "s/", Value: []byte{codecVersion}}, {Key: "s/1"},
	} {
		_, err := Decode(bad)
		is.True(err != nil) // bad
	}
}

// Guards against a record of a few bytes that uses up the memory because it tells a length of billions.
func TestMissingElements(t *testing.T) {
	is := is.New(t)
	for _, payload := range []string{
		"\x81\xa1s\xdd\xff\xff\xff\xff\xc4\x01\x00", "\x81\xa1f\xdd\x7f\xff\xff\xff\x80\x80", "\x81\xa1t\xdd\x7f\xff\xff\xff\x80\x80",
		"\x81\xa1x\xdb\x7f\xff\xff\xff\x80", "\x81\xa1s\x91\xc6\x7f\xff\xff\xff\x80", "\xdf\xff\xff\xff\xff\x80\x80",
	} {
		for _, k := range kinds[:3] {
			r := store.Record{Key: k.key(testID), Value: append([]byte{codecVersion}, payload...)}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			Decode(r)
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < 16<<20)
		}
	}
}

// Guards against an end that is noted for another task than the one that has ended, or for none.
func TestEnds(t *testing.T) {
	is := is.New(t)
	var e Ends
	task := work.TaskID{Job: testID, Step: 1, Index: 17}
	is.True(e.Succeed(task))
	is.True(!e.Succeed(task)) // noted before
	for index := range 40 {
		is.Equal(e.HasSucceeded(work.TaskID{Step: 1, Index: index}), index == 17)
	}
	is.True(!e.HasSucceeded(work.TaskID{Index: 17}))
	is.True(e.Fail(task, 2) && e.Fail(task, 1) && !e.Fail(task, 2))
	is.Equal(e.Failures(task), 2)
	is.True(e.Crash(task, 3) && !e.Crash(task, 3))
	is.Equal(e.Failures(task), 2)
	is.Equal(e.Clone().Crashed, []TaskRun{{1, 17, 3}})
	for _, bad := range []work.TaskID{{Occurrence: 1}, {Step: -1}, {Index: maxTasks}} {
		is.True(!e.Succeed(bad) && !e.HasSucceeded(bad) && !e.Fail(bad, 1)) // bad
	}
}

// Guards against malformed records that make the decoder or the fold panic, or that it takes for something else than it writes.
func FuzzDecode(f *testing.F) {
	done := ends(1, 17)
	done.Fail(work.TaskID{Index: 3}, 2)
	for _, r := range []any{Submission{testJob(testID)}, Cancel{testID}, Progress{testID, done}, End{testID, work.Failed},
		Move{testID, "south"}, Handover{testID, []string{"north"}, done}, Holding{33 * 256}} {
		encoded := record(f, r)
		f.Add(encoded.Key, encoded.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := store.Record{Key: key, Value: value}
		err := NewJobs().Apply(r, 0)
		decoded, decodeErr := Decode(r)
		if len(value) > 0 && (err == nil) != (decodeErr == nil) {
			t.Fatal(err, decodeErr)
		}
		if decodeErr != nil {
			return
		}
		again, err := Encode(decoded)
		if err != nil {
			return // a name that is too long
		}
		if again.Key != key {
			t.Fatalf("key %q became %q", key, again.Key)
		}
	})
}

// drawRecords returns records of a few jobs as holders and entry instances write them, in the order of a log.
func drawRecords(t *rapid.T) []store.Record {
	var log []store.Record
	for n := range rapid.IntRange(1, 3).Draw(t, "jobs") {
		id := work.JobID(fmt.Sprint("job", n))
		log = append(log, record(t, Submission{testJob(id)}))
		var done Ends
		for range rapid.IntRange(0, 4).Draw(t, "ends") {
			task := work.TaskID{Step: rapid.IntRange(0, 2).Draw(t, "step"), Index: rapid.IntRange(0, 20).Draw(t, "index")}
			if rapid.Bool().Draw(t, "succeeded") {
				done.Succeed(task)
			} else {
				done.Fail(task, rapid.IntRange(1, 3).Draw(t, "run"))
			}
			log = append(log, record(t, Progress{id, done}))
		}
		if rapid.Bool().Draw(t, "cancelled") {
			log = append(log, record(t, Cancel{id}))
		}
		if rapid.Bool().Draw(t, "came from another zone") {
			log = append(log, record(t, Handover{id, []string{"west"}, ends(3, 4)}))
		}
		if rapid.Bool().Draw(t, "moved") {
			log = append(log, record(t, Move{id, "south"}))
		}
		if rapid.Bool().Draw(t, "ended") {
			log = append(log, record(t, End{id, work.Completed}))
		}
	}
	return log
}

func fold(t rapid.TB, records []store.Record) *Jobs {
	jobs := NewJobs()
	for _, r := range records {
		if err := jobs.Apply(r, 0); err != nil {
			t.Fatal(err)
		}
	}
	return jobs
}

// Guards against a late duplicate, an overtaking record or a page of newest records read at another moment that changes the
// state, above all against a submission or cancel that revives an ended job.
func TestFoldAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawRecords(t)
		want := fold(t, log)
		shuffled := rapid.Permutation(append(log, log[:rapid.IntRange(0, len(log)).Draw(t, "repeated")]...)).Draw(t, "order")
		got := fold(t, shuffled)
		is := is.New(t)
		is.Equal(got.Len(), want.Len())
		for id, job := range want.byID {
			g := *got.Get(id)
			if job.State != "" {
				is.Equal(g.State, job.State)
				is.True(g.Work == nil && !g.Runnable())
				is.Equal(g.Passed, job.Passed)
				continue
			}
			is.Equal(g, *job)
			is.Equal(g.Runnable(), !job.Cancelled && !job.Moved())
		}
	})
}

// Guards against ended jobs that leave before their state may be forgotten or never, and against keys that stay behind.
func TestRetention(t *testing.T) {
	is := is.New(t)
	jobs := fold(t, []store.Record{
		record(t, Submission{testJob(testID)}), record(t, Progress{testID, ends(0, 1)}), record(t, Submission{testJob("live")}),
		record(t, Cancel{"never submitted"}),
	})
	records, err := jobs.EndRecords(testID, work.Completed)
	is.NoErr(err)
	is.Equal(len(records), 3) // the end, and two deleted keys
	for _, r := range records {
		is.NoErr(jobs.Apply(r, time.Second))
	}
	is.NoErr(jobs.Apply(record(t, Submission{testJob(testID)}), 2*time.Second)) // a late duplicate
	_, err = jobs.EndRecords(testID, work.Cancelled)
	is.True(err != nil) // an end is final
	_, err = jobs.EndRecords("never submitted", work.Cancelled)
	is.True(err != nil)

	is.Equal(jobs.Expired(retention-1, retention, 10), nil)
	is.Equal(jobs.Expired(retention, retention, 10), []store.Record{cancel.drop("never submitted")})
	expired := jobs.Expired(retention+time.Second, retention, 10)
	is.Equal(expired, []store.Record{submission.drop(testID), end.drop(testID)})
	is.True(jobs.Get(testID).Known()) // until the records are stored
	for _, r := range expired {
		is.NoErr(jobs.Apply(r, 0))
	}
	is.True(!jobs.Get(testID).Known())
	is.True(jobs.Get("live").Runnable())
}

// Guards against an unreadable record that loses what stands beside it, or that lets a job start whose tasks may have ended.
func TestUnreadableRecord(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	log, hook := logrustest.NewNullLogger()
	later := record(t, End{"b", work.Completed})
	later.Value[0] = codecVersion + 1
	_, err := s.Append(t.Context(), store.Append{Topic: partition.Topic, Partition: partition.Number, Records: []store.Record{
		record(t, Submission{testJob("a")}), record(t, Submission{testJob("b")}), later, {Key: "?", Value: []byte{1}},
		{Key: "s/c", Value: []byte{codecVersion, 0xc1}}, record(t, Submission{testJob("d")}),
	}})
	is.NoErr(err)
	jobs, next, err := Load(t.Context(), s, partition, 0, log)
	is.NoErr(err)
	is.Equal(next, int64(6))
	is.Equal(len(hook.AllEntries()), 3) // one line for each unreadable record
	is.True(jobs.Get("a").Runnable() && jobs.Get("d").Runnable())
	is.True(jobs.Get("b").Known() && !jobs.Get("b").Runnable() && jobs.Get("b").Unreadable())
	is.True(jobs.Get("c").Known() && !jobs.Get("c").Runnable())
}

// Guards against jobs that are lost with the history of the store, before or while it is read.
func TestHistoryGone(t *testing.T) {
	is := is.New(t)
	s := &trimming{Store: keyed.New()}
	log, _ := logrustest.NewNullLogger()
	for _, id := range []work.JobID{"a", "b"} {
		_, err := s.Append(t.Context(), store.Append{Topic: partition.Topic, Partition: partition.Number, Records: []store.Record{record(t, Submission{testJob(id)})}})
		is.NoErr(err)
		s.DropHistory(partition.Topic)
	}
	s.late = record(t, Submission{testJob("late")})
	jobs, _, err := Load(t.Context(), s, partition, 0, log)
	is.NoErr(err)
	is.Equal(jobs.Len(), 3)
	s.SetDown(true)
	_, _, err = Load(t.Context(), s, partition, 0, log)
	is.True(err != nil) // no state is guessed
}

// trimming is a store to which a record is appended, and whose history goes, between the first read of the newest records and
// the read of the later ones.
type trimming struct {
	*keyed.Store
	late store.Record
}

func (s *trimming) Read(ctx context.Context, topic string, number int, from int64, wait time.Duration) (store.Batch, error) {
	if s.late.Key != "" {
		if _, err := s.Append(ctx, store.Append{Topic: topic, Partition: number, Records: []store.Record{s.late}}); err != nil {
			return store.Batch{}, err
		}
		s.DropHistory(topic)
		s.late = store.Record{}
	}
	return s.Store.Read(ctx, topic, number, from, wait)
}

// Guards against the state of a job that is deleted before its time because the holder read the job's progress before its submission, so that
// the job seemed never to have been accepted.
func TestRetentionBeginsWithTheEnd(t *testing.T) {
	is := is.New(t)
	jobs := NewJobs()
	is.NoErr(jobs.Apply(record(t, Progress{testID, ends(0, 1)}), 0))
	is.NoErr(jobs.Apply(record(t, Submission{testJob(testID)}), 0))
	ended := 100 * time.Second
	is.NoErr(jobs.Apply(record(t, End{testID, work.Completed}), ended))
	is.Equal(len(jobs.Expired(retention, retention, 10)), 0)
	is.Equal(len(jobs.Expired(ended+retention, retention, 10)), 3)
	is.Equal(len(jobs.Expired(ended+2*retention, retention, 10)), 0)
}

// Guards against a job from another zone that leaves before that zone has its end, so that a repeated hand-over starts it anew, and against one
// that never leaves or leaves keys behind.
func TestJobFromAnotherZoneLeavesAfterRelease(t *testing.T) {
	is := is.New(t)
	handedOver := []store.Record{record(t, Handover{testID, []string{"north"}, ends(0, 1)}), record(t, Submission{testJob(testID)})}
	jobs := fold(t, handedOver)
	is.True(jobs.Get(testID).Runnable())
	is.True(jobs.Get(testID).Ends.HasSucceeded(work.TaskID{Job: testID, Index: 1}))
	records, err := jobs.EndRecords(testID, work.Completed)
	is.NoErr(err)
	for _, r := range records {
		is.NoErr(jobs.Apply(r, 0))
	}
	is.Equal(jobs.Expired(retention, retention, 10), nil)
	is.Equal(jobs.Received(), []work.JobID{testID})
	for _, r := range handedOver { // once more, by a holder that does not know of the end
		is.NoErr(jobs.Apply(r, retention))
	}
	is.True(!jobs.Get(testID).Runnable())
	jobs.Release(testID, retention)
	is.Equal(len(jobs.Received()), 0)
	expired := jobs.Expired(2*retention, retention, 10)
	is.Equal(expired, []store.Record{submission.drop(testID), handover.drop(testID), end.drop(testID)})
}
