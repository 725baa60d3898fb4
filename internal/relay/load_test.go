package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/savorypass/savorypass/internal/work"
)

// Guards against an instance that sends all jobs of two reports to the same partition, and against one that subtracts its jobs twice.
func TestSentJobsCountUntilTheNextReport(t *testing.T) {
	is := is.New(t)
	u := &Uplink{loads: map[int]Load{0: {Total: 10_000, Free: 5000}, 1: {Pressure: 30}}}
	job := work.Job{Steps: []work.Step{
		{Count: 2, Size: work.Size{MilliCPU: 1000}}, {Count: 5, Size: work.Size{MilliCPU: 1000}, DependsOn: []int{0}},
	}}
	is.NoErr(u.Submit(&Submit{Job: job}))
	load, _ := u.Load(0)
	is.Equal(load.Free, 3000)
	u.noteLoad(&Load{Total: 10_000, Free: 3500})
	load, _ = u.Load(0)
	is.Equal(load.Free, 3500)
	is.NoErr(u.Submit(&Submit{Job: job, Partition: 1})) // of an earlier version
	load, _ = u.Load(1)
	is.Equal(load, Load{Pressure: 30})
	u.noteLoad(nil)
}

// Guards against messages between versions that cannot be read: an earlier version knows neither the headroom nor offers.
func TestLoadsAndOffersOfOtherVersions(t *testing.T) {
	is := is.New(t)
	type earlierLoad struct {
		Partition int `msgpack:"p"`
		Pressure  int `msgpack:"l"`
	}
	type earlierSubmit struct {
		Job       work.Job      `msgpack:"j"`
		Remaining time.Duration `msgpack:"m,omitempty"`
	}
	type earlierAnswer struct {
		Job work.JobID `msgpack:"j"`
	}
	load := Load{Partition: 2, Pressure: 40, Total: 100, Free: -50, Rate: 3}
	var old earlierLoad
	transcode(t, load, &old)
	is.Equal(old, earlierLoad{2, 40})
	var now Load
	transcode(t, old, &now)
	is.Equal(now, Load{Partition: 2, Pressure: 40})
	is.True(!now.HasHeadroom())
	var oldSubmit earlierSubmit
	transcode(t, Submit{Job: work.Job{ID: "a"}, StartOnly: true}, &oldSubmit)
	is.Equal(oldSubmit.Job.ID, work.JobID("a"))
	var oldAnswer earlierAnswer
	transcode(t, Answer{Job: "a", Load: &load}, &oldAnswer)
	is.Equal(oldAnswer.Job, work.JobID("a"))
	var answer Answer
	transcode(t, oldAnswer, &answer)
	is.Equal(answer.Load, nil)
}

// transcode encodes a value as one version and decodes it as another.
func transcode(t *testing.T, from, to any) {
	t.Helper()
	raw, err := msgpack.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(raw, to); err != nil {
		t.Fatal(err)
	}
}
