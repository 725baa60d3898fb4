// Package worker is a stand-in for the platform's workers, which the platform's interfaces call endpoints. It simulates
// running tasks with timers, starts every task that it receives even if it has too few free resources, and records every
// start of the latest Options.KeepStarts tasks.
//
// Each task has a lease: the worker stops the task if its dispatcher does not renew the lease in time.
package worker

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/standin"
)

// Options are the settings of the stand-in.
type Options struct {
	Listen        string        `long:"listen" env:"SAVORY_WORKER_LISTEN" description:"address host:port of the first worker, the others take the ports after it; port 0 takes free ports"`
	Count         int           `long:"count" env:"SAVORY_WORKER_COUNT" description:"number of workers"`
	Name          string        `long:"name" env:"SAVORY_WORKER_NAME" description:"prefix of the workers' names"`
	Zones         []string      `long:"zone" env:"SAVORY_WORKER_ZONES" env-delim:"," description:"availability zones, assigned to workers in turn"`
	RackSize      int           `long:"rack-size" env:"SAVORY_WORKER_RACK_SIZE" description:"workers per rack"`
	Slots         int           `long:"slots" env:"SAVORY_WORKER_SLOTS" description:"slots per worker"`
	Connections   int           `long:"connections" env:"SAVORY_WORKER_CONNECTIONS" description:"connection limit per worker; 0 for none"`
	Cores         float64       `long:"cores" env:"SAVORY_WORKER_CORES" description:"cores per worker"`
	MemoryMB      int64         `long:"memory-mb" env:"SAVORY_WORKER_MEMORY_MB" description:"memory per worker in MB"`
	Accelerators  int           `long:"accelerators" env:"SAVORY_WORKER_ACCELERATORS" description:"accelerators per worker"`
	RunTime       time.Duration `long:"run-time" env:"SAVORY_WORKER_RUN_TIME" description:"run time of tasks whose payload does not set it"`
	Lease         time.Duration `long:"lease" env:"SAVORY_WORKER_LEASE" description:"lease of tasks whose request does not set it"`
	UsageLag      time.Duration `long:"usage-lag" env:"SAVORY_WORKER_USAGE_LAG" description:"lag of the reported usage"`
	Retention     time.Duration `long:"retention" env:"SAVORY_WORKER_RETENTION" description:"time for which the states of ended tasks are kept"`
	KeepStarts    int           `long:"keep-starts" env:"SAVORY_WORKER_KEEP_STARTS" description:"number of tasks per worker whose start records are kept"`
	Instances     string        `long:"instances" env:"SAVORY_WORKER_INSTANCES" description:"address host:port of the instance list; empty for none"`
	RenewInterval time.Duration `long:"renew" env:"SAVORY_WORKER_RENEW" description:"interval of renewals at the instance list"`
	DrainTimeout  time.Duration `long:"drain" env:"SAVORY_WORKER_DRAIN" description:"maximum time that a planned stop waits for running tasks"`

	Clock clockwork.Clock `no-flag:"true"`
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Listen:        "127.0.0.1:0",
		Count:         1,
		Name:          "worker",
		Zones:         []string{"zone-a"},
		RackSize:      8,
		Slots:         8,
		Connections:   60,
		Cores:         16,
		MemoryMB:      64 << 10,
		RunTime:       100 * time.Millisecond,
		Lease:         5 * time.Second,
		UsageLag:      2 * time.Second,
		Retention:     time.Minute,
		KeepStarts:    200_000,
		RenewInterval: time.Second,
		DrainTimeout:  10 * time.Second,
		Clock:         clockwork.NewRealClock(),
	}
}

// Check returns an error that lists all invalid settings, or nil.
func (o *Options) Check() error {
	var p standin.Problems
	p.CheckAddress("listen", o.Listen)
	if o.Instances != "" {
		p.CheckAddress("instances", o.Instances)
	}
	p.AddIf(o.Name == "", "name must not be empty")
	p.AddIf(len(o.Zones) == 0, "zone is empty, must have at least 1 value")
	o.checkNumbers(&p)
	o.checkDurations(&p)
	return p.Err()
}

func (o *Options) checkNumbers(p *standin.Problems) {
	p.AddIf(o.Count < 1, "count is %d, must be at least 1", o.Count)
	p.AddIf(o.RackSize < 1, "rack-size is %d, must be at least 1", o.RackSize)
	p.AddIf(o.Slots < 1, "slots is %d, must be at least 1", o.Slots)
	p.AddIf(o.Connections < 0, "connections is %d, must be at least 0 (0: no limit)", o.Connections)
	p.AddIf(o.Cores <= 0, "cores is %g, must be above 0", o.Cores)
	p.AddIf(o.MemoryMB <= 0, "memory-mb is %d, must be above 0", o.MemoryMB)
	p.AddIf(o.Accelerators < 0, "accelerators is %d, must be at least 0", o.Accelerators)
	p.AddIf(o.KeepStarts < 1, "keep-starts is %d, must be at least 1", o.KeepStarts)
}

func (o *Options) checkDurations(p *standin.Problems) {
	p.AddIf(o.RunTime < 0, "run-time is %s, must be at least 0", o.RunTime)
	p.AddIf(o.Lease <= 0, "lease is %s, must be above 0", o.Lease)
	p.AddIf(o.UsageLag < 0, "usage-lag is %s, must be at least 0", o.UsageLag)
	p.AddIf(o.Retention < 0, "retention is %s, must be at least 0", o.Retention)
	p.AddIf(o.RenewInterval <= 0, "renew is %s, must be above 0", o.RenewInterval)
	p.AddIf(o.DrainTimeout < 0, "drain is %s, must be at least 0", o.DrainTimeout)
}

func (o *Options) size() platform.Size {
	return platform.Size{Cores: o.Cores, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators}
}

// address returns the listen address of worker i.
func (o *Options) address(i int) (string, error) {
	host, port, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return "", err
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("listen: port %q is not a number", port)
	}
	if first == 0 {
		return o.Listen, nil
	}
	return net.JoinHostPort(host, strconv.Itoa(first+i)), nil
}

// zone returns the availability zone of worker i.
func (o *Options) zone(i int) string { return o.Zones[i%len(o.Zones)] }

// rack returns the rack of worker i. The workers of a zone fill one rack after the other.
func (o *Options) rack(i int) string {
	return o.zone(i) + "-rack" + strconv.Itoa(i/len(o.Zones)/o.RackSize)
}
