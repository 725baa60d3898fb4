package joblog

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// BenchmarkRecords reports the bytes of the records of a job with a specification of 1,000 bytes and 8 tasks, with keys and
// lengths, and the time to encode them.
func BenchmarkRecords(b *testing.B) {
	var done Ends
	for index := range 8 {
		done.Succeed(work.TaskID{Index: index})
	}
	records := []any{Submission{testJob(testID)}, Cancel{testID}, Progress{testID, done}, End{testID, work.Completed}}
	for i, name := range []string{"submission", "cancel", "progress", "end"} {
		b.Run(name, func(b *testing.B) {
			var encoded store.Record
			for b.Loop() {
				encoded = record(b, records[i])
			}
			b.ReportMetric(float64(size([]store.Record{encoded})), "bytes")
		})
	}
}

// BenchmarkLoad reports the time and the processor time to fold a partition with live jobs and ended ones whose state is still
// kept. Reading from the store is not part of it.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []struct{ live, ended int }{{100, 4_000}, {1_000, 4_000}, {1_000, 16_000}} {
		b.Run(fmt.Sprintf("live=%d/ended=%d", n.live, n.ended), func(b *testing.B) {
			s := keyed.New()
			a := store.Append{Topic: partition.Topic, Partition: partition.Number}
			for i := range n.live {
				id := work.JobID(fmt.Sprintf("%016x", i))
				a.Records = append(a.Records, record(b, Submission{testJob(id)}), record(b, Progress{id, ends(0, 3)}))
			}
			for i := range n.ended {
				a.Records = append(a.Records, record(b, End{work.JobID(fmt.Sprintf("%016x", n.live+i)), work.Completed}))
			}
			if _, err := s.Append(b.Context(), a); err != nil {
				b.Fatal(err)
			}
			newest, err := s.Newest(b.Context(), a.Topic, a.Partition)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			begin := processorTime(b)
			for b.Loop() {
				jobs := NewJobs()
				jobs.ApplyAll(newest.Records, time.Second, logrus.StandardLogger())
				if len(jobs.Live()) != n.live {
					b.Fatal("jobs are missing")
				}
			}
			b.ReportMetric(float64((processorTime(b)-begin).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// processorTime returns the processor time that the process has used, which other programs on the machine affect less than
// the time of a benchmark.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
