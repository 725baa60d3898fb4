package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/dump"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/shard"
)

// serveDump serves the state of an instance on the users' platform and returns the address.
func serveDump(t *testing.T, d dump.Instance) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != dump.Path {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(d)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// leadingDump returns the state of an instance that dispatches for one of two partitions. One of the partition's
// endpoints is usable, and one of its jobs waits.
func leadingDump(instance string, part int) dump.Instance {
	return dump.Instance{
		Instance: instance, Zone: "north", Ready: true, ConfigVersion: 7, Partitions: map[string]int{"north": 2},
		Term: lead.Term{Generation: 5, Partitions: []int{part}},
		Shards: []shard.Dump{{Partition: part, Leading: true, Fence: 162, Settled: true, Pool: pool.Dump{
			Endpoints: []pool.EndpointDump{
				{ID: "a", Usable: true, MilliCPU: 16000, UsedMilliCPU: 4000}, {ID: "b", MilliCPU: 16000, UsedMilliCPU: 16000},
			},
			Jobs: []pool.JobDump{{ID: "x", Started: true}, {ID: "y"}},
			Runs: []pool.RunDump{{Task: "x.0.0.0"}},
		}}},
	}
}

// Guards against a command "dispatchers" that needs a token, hides that an instance does not answer, or does not report
// that a partition has no dispatcher or two dispatchers, or that the configuration versions differ.
func TestDispatchers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "e1")
	t.Setenv("SAVORY_TOKEN", "")
	first, second := serveDump(t, leadingDump("n1", 0)), serveDump(t, leadingDump("n2", 1))
	out, notes := c.run(ExitOK, "", "-e", second, "-e", first, "dispatchers")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Fields(lines[1]),
		[]string{"north", "n1", "yes", "7", "0", "5", "0", "of", "2", "162", "yes", "2", "1", "2", "1", "1", "25%"})
	is.Equal(notes, "")
	_, notes = c.run(ExitPartial, "", "-e", first, "-e", closedAddress(t), "dispatchers")
	c.contains(notes, "no named instance dispatches for partition 1 of north", "1 of 2 instances did not answer")
	older := leadingDump("n3", 0)
	older.ConfigVersion = 6
	_, notes = c.run(ExitOK, "", "-e", first, "-e", second, "-e", serveDump(t, older), "dispatchers")
	c.contains(notes, "2 configuration versions are in force", "2 instances dispatch for partition 0 of north: [n1 n3]")
	c.run(ExitUnreachable, "", "-e", closedAddress(t), "dispatchers")
	out, _ = c.run(ExitOK, "", "-o", "json", "-e", first, "dispatchers")
	var all []dump.Instance
	is.NoErr(json.Unmarshal([]byte(out), &all))
	is.Equal(all[0].Shards[0].Fence, int64(162))
}
