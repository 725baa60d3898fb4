package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// BenchmarkResumedSubmissions measures the submission of a job to the successor of its dispatcher while others wait there, in a deployment
// of 3,000 endpoints whose registrations each dispatcher reads.
func BenchmarkResumedSubmissions(b *testing.B) {
	const endpoints, waiting = 3000, 400
	f := fleet.New(time.Second)
	var all []work.Endpoint
	for n := range endpoints {
		e := work.Endpoint{
			ID: work.EndpointID(fmt.Sprint("e", n)), Service: "survey", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250),
			Zone: "north", Size: work.Size{MilliCPU: 16000, MemoryMB: 32768},
		}
		all = append(all, e)
	}
	d := newShardWith(f, func(o *shard.Options) { o.Dialer = newPaths(f) })
	d.directory.Apply(shard.Registrations{Snapshot: true, Changed: all}, 0)
	d.skip(time.Minute)
	d.Begin(shard.Term{Fence: 1, Partitions: 64})
	b.Cleanup(d.End)
	c := newClient()
	submit := func(n int) {
		d.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("j", n), 1, time.Second), Resumed: true, Partitions: 64, GivenBack: true})
	}
	for n := range waiting {
		submit(n)
	}
	for n := 0; b.Loop(); n++ {
		submit(n % waiting)
	}
}
