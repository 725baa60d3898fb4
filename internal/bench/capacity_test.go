package bench

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sampleModel has round figures, so that results can be calculated by hand: 100 workers, 10 instances in 5 zones, 1,000
// starts per second.
func sampleModel() *Model {
	return &Model{
		System: System{Workers: 100, Slots: 8, Instances: 10, Zones: 5, Teams: 10, Services: 2, Starts: 1000, TasksPerJob: 10,
			RunTime: 500 * time.Millisecond, ConfigChanges: 864 - checkpointsPerDay, InstanceEvents: 11, Payload: 100, Output: 84},
		Sizes: MessageSizes{Heartbeat: 100, Usage: 350, LogPoll: 200, ListUnchanged: 190, RenewIdle: 400, RenewTask: 200, ConfigRecord: 10_000,
			Run: 800, SubmitTask: 300, AnswerTask: 100, CopyJob: 140, Delegate: 600},
		State: StateSizes{Record: 400, Class: 7000, Config: 20_000, Instances: 500},
		Slopes: SlopeTable{
			{"workers", roleEntry, "idle CPU"}:    {Slope: 100, Intercept: 30_000},
			{"workers", roleEntry, "idle memory"}: {Slope: 0.3, Intercept: 75},
			{"spread", roleEntry, "idle CPU"}:     {Slope: 20_000, Intercept: 16_000},
			{"spread", roleEntry, "idle memory"}:  {Slope: 60, Intercept: 24},
			{"tasks", roleEntry, "load CPU"}:      {Slope: 100},
		},
		Benchmarks: Benchmarks{
			controlBenchmark: {"%core/instance": 0.95, "sent-B/s": 4000, "received-B/s": 4000},
			startBenchmark:   {"ns/op": 5000},
		},
	}
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(1, math.Abs(b)) }

func flowNamed(t *testing.T, flows []Flow, name string) Flow {
	for _, f := range flows {
		if strings.HasPrefix(f.Name, name) {
			return f
		}
	}
	t.Fatalf("no flow %q", name)
	return Flow{}
}

// Guards against a wrong factor in the extrapolation, such as a forgotten direction or a total in place of one instance's
// part. The expected values are calculated by hand.
func TestCapacityByHand(t *testing.T) {
	is := is.New(t)
	m := sampleModel()
	is.True(near(m.HeartbeatRate(), 1*4+8*1)) // one peer in the zone, eight elsewhere
	is.True(near(m.InFlight(), 500))          // 800 slots
	is.True(near(m.MaxMeanRunTime(), 0.8))
	is.True(near(m.Appends(), 0.01)) // 864 per day
	c := m.ControlFlows()
	is.True(near(flowNamed(t, c, "heartbeats").Bytes(), 2*12*100))
	is.True(near(flowNamed(t, c, "usage").Bytes(), 350))
	is.True(near(flowNamed(t, c, "lease renewals, workers").Bytes(), 10*400))
	is.True(near(flowNamed(t, c, "lease renewals, tasks").Bytes(), 10*5*200*namedTaskShare)) // 5 tasks on a worker
	is.True(near(m.ControlPerWorker(), 400+5*200*namedTaskShare))
	d := m.DataFlows()
	is.True(near(flowNamed(t, d, "task starts").Bytes(), 100*800))
	is.True(near(flowNamed(t, d, "copies of answers, by job").Bytes(), 4*10*140)) // two out, two in
	is.True(near(flowNamed(t, d, "copies of answers, by task").Bytes(), 4*100*100))
	is.True(near(m.CopyBytes(), 2*10*60*(160+140)+2*100*60*100))
	is.True(near(m.StateItems()[1].Bytes(), 10*600*400))
	is.True(near(m.ControlCPU(), 0.01+20e-6*100+40e-6*10+0.0095*7/19))   // 16,000/400 owned, (100-40)/3 listed
	is.True(near(m.ControlMemory(), 25+0.08*100+0.06*10))                // 24/400 owned, (0.3-0.06)/3 listed
	is.True(near(m.idleUseZoneLocal("idle memory"), 25+0.08*40+0.06*10)) // 100 workers in 5 zones are 20 per zone, like 40 in 2 zones
	is.True(near(m.LoopUtilization(), 0.0005))
	is.True(near(TransportOverhead(8000, 28, 100, 19), 2400.0/19))
	is.True(near(StartsPerInstance(4, 0.6, 100), 24_000))
	is.Equal(InstancesNeeded(66_000, 10_000, 5), 10)  // 4 zones with 2 instances each handle 80,000
	is.Equal(InstancesNeeded(100_000, 10_000, 5), 15) // 25,000 per zone
	is.Equal(InstancesNeeded(10, 10_000, 3), 6)       // two per zone
	is.True(near(RackLoss(m.System).Tasks, 40))
	is.True(near(ZoneLoss(m.System).Load, 1.25))
}

// Guards against message sizes that do not come from the product's own encoders and adapters: a message with more content
// must be larger by at least that content, and reading an unchanged list must take less than 300 bytes.
func TestCountMessages(t *testing.T) {
	is := is.New(t)
	small, err := CountMessages(systems[0])
	is.NoErr(err)
	large, err := CountMessages(systems[1])
	is.NoErr(err)
	is.True(large.ListFull > 15*small.ListFull) // 1,220 entries against 56
	is.True(large.ListUnchanged > 100 && large.ListUnchanged < 300)
	is.True(large.Usage > 4*small.Usage)
	is.True(large.Run > 256+128 && large.RenewTask > 2*40) // payload and output; the task's identity in both directions
	is.True(large.ConfigRecord > 43*2*64)                  // one token digest per caller
}

// Guards against an extrapolation that takes a missing slope or benchmark as 0: reading the input must fail.
func TestReadCapacityInputs(t *testing.T) {
	is := is.New(t)
	head := "dimension,role,quantity,unit,slope,intercept,worst,sizes,values\n"
	lines := []string{}
	for _, k := range requiredLines {
		lines = append(lines, strings.Join(k[:], ",")+",us/s,2.5,10,1,[1],[2]")
	}
	table, err := ReadSlopes(strings.NewReader(head + strings.Join(lines, "\n")))
	is.NoErr(err)
	is.Equal(table.of("tasks", roleEntry, "load CPU"), Fit{Slope: 2.5, Intercept: 10, MaxResidual: 1})
	_, err = ReadSlopes(strings.NewReader(head + strings.Join(lines[1:], "\n")))
	is.True(err != nil)

	control := controlBenchmark + "-10  10  1000 ns/op  0.7 %core/instance  19.0 connections  3500 received-B/s  3600 sent-B/s\n"
	b, err := ReadBenchmarks(strings.NewReader("goos: linux\n" + control + startBenchmark + "-10 20000 3328 ns/op 528 B/op 0 allocs/op\nPASS\n"))
	is.NoErr(err)
	is.Equal(b.of(controlBenchmark, "sent-B/s"), 3600.0)
	is.Equal(b.of(startBenchmark, "ns/op"), 3328.0)
	_, err = ReadBenchmarks(strings.NewReader(control))
	is.True(err != nil)
}

// Guards against the loss of the text around the tables of a page, and against writing to a page without the end marker.
func TestReplaceTables(t *testing.T) {
	is := is.New(t)
	page, err := replaceTables([]byte("a\n"+tablesBegin+"old\n"+tablesEnd+"b\n"), []byte("new\n"))
	is.NoErr(err)
	is.Equal(string(page), "a\n"+tablesBegin+"new\n\n"+tablesEnd+"b\n")
	_, err = replaceTables([]byte("a\n"+tablesBegin), nil)
	is.True(err != nil)
}
