// Package node assembles one instance that serves a deployment on the users' platform.
//
// The endpoints of each zone are divided into partitions by the hash of their IDs; the division is the number of partitions.
// A job belongs to no fixed partition: its ID selects the partitions that are tried first, and the dispatcher that accepts
// it runs all of its tasks on the endpoints of its own partition. The instances of a zone hold the partitions among them, as
// members of a group of the store. An instance dispatches for the partitions that it holds, with one shard for each; its
// term for a partition is its right to do so. The group's generation rises with each change of the group. Generation and
// division determine the fence, a number in each request to an endpoint: an endpoint refuses requests with a lower fence
// than the highest one that it has seen, so that an instance that has lost a partition without detecting it cannot start
// runs.
//
// An instance submits the jobs of its callers to the dispatchers of its zone, over relay connections to the instances that
// hold the partitions. If they have no capacity left, the job goes to a dispatcher of another zone; this is the overflow. A
// dispatcher's pressure is the capacity that its running and waiting tasks request, in percent of the total.
package node

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/savorypass/savorypass/internal/shard"
)

// Settings are the start-up settings of an instance.
type Settings struct {
	Instance        string
	Zone            string
	Zones           []string // all zones of the deployment
	IP              string   // address of this instance, for its listeners
	Callers         string   // host:port of the callers' listener
	Health          string   // host:port of the listener for the load balancer's health checks
	Store           string   // host:port of the store
	FirstPort       int      // first port that is free for connections between instances
	LastPort        int      // last port that is free for connections between instances
	GroupPartitions int      // number of partitions of a group in the store; 0 if unknown
	Descriptors     int      // limit of the process's open files and connections
	MemoryMB        int
	Cores           float64       // processors that the instance may use; 0 if unknown
	LinkMbps        float64       // speed of the instance's link in Mbit/s; 0 if unknown
	Grace           time.Duration // time between the request to stop and the kill of the process
	Lease           time.Duration // longest lease of a run on an endpoint
	Retransmit      time.Duration // time after which a caller without a response submits its job again; 0 if unknown
	ReadWait        time.Duration // longest wait of a read of the store for a new record; 0 for the default
	DrainTime       time.Duration // time after which an endpoint that has announced that it leaves gets no new runs; 0 if unknown
	EvacuationTime  time.Duration // time after which the endpoints of an evacuated zone get no new runs; 0 in deployments without evacuations
	StoreWrites     float64       // number of writes a second that the store takes from all instances; 0 if unknown
	StatusTime      time.Duration // for how long the state of an ended stored job is shown; 0 for the default
	// FarFactor is the factor by which a task takes longer on a rack other than that of its data; 0 if unknown.
	FarFactor float64
	// Ignored describes the settings that cannot be used and for which the defaults hold.
	Ignored   []string
	MemberTTL time.Duration // shortest time to live of a membership in a group of the store
}

// Validate returns every problem of the settings in one error.
func (s *Settings) Validate() error {
	var problems []error
	for _, f := range []struct{ name, value string }{
		{"the instance's name", s.Instance}, {"the zone", s.Zone}, {"the instance's IP address", s.IP},
	} {
		if f.value == "" {
			problems = append(problems, fmt.Errorf("%s is missing", f.name))
		}
	}
	for _, f := range []struct{ name, value string }{
		{"the callers' address", s.Callers}, {"the health checks' address", s.Health}, {"the store's address", s.Store},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			problems = append(problems, fmt.Errorf("%s is %q, must be HOST:PORT", f.name, f.value))
		}
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort || s.LastPort > 65535 {
		problems = append(problems, fmt.Errorf("the ports between instances are %d to %d, must be a range within 1 to 65535", s.FirstPort, s.LastPort))
	}
	for _, f := range []struct {
		name  string
		value time.Duration
	}{{"the time to stop", s.Grace}, {"the lease", s.Lease}, {"the members' time to live", s.MemberTTL}} {
		if f.value <= 0 {
			problems = append(problems, fmt.Errorf("%s is %v, must be above 0", f.name, f.value))
		}
	}
	return errors.Join(problems...)
}

// RelayAddress returns the host:port of the listener for other instances.
func (s *Settings) RelayAddress() string { return fmt.Sprintf("%s:%d", s.IP, s.FirstPort) }

// RunLease returns the lease of runs. It is so short that runs that no caller waits for end before their job is submitted again.
func (s *Settings) RunLease() time.Duration {
	if s.Retransmit <= 0 {
		return s.Lease
	}
	lease, _ := shard.LeaseWithin(s.Retransmit)
	return min(lease, s.Lease)
}

// RegistrationAge returns the greatest age of the registrations on which runs start.
func (s *Settings) RegistrationAge() time.Duration { return shard.RegistrationAgeWithin(s.DrainTime) }

// defaultReadWait is the longest wait of a read for a new record where the deployment does not determine it.
const defaultReadWait = 2 * time.Second

// readWait returns the longest wait of a read of the store for a new record.
func (s *Settings) readWait() time.Duration {
	if s.ReadWait <= 0 {
		return defaultReadWait
	}
	return s.ReadWait
}

const (
	// coresPerPartition is the processor share that a dispatcher of one partition needs at the crest.
	coresPerPartition = 0.2
	// maxCapacity keeps the partitions of a zone from lying with few instances.
	maxCapacity = 2
)

// Capacity returns the number of partitions that the instance should dispatch for at most.
func (s *Settings) Capacity() int {
	if s.Cores <= 0 {
		return maxCapacity
	}
	return min(max(int(s.Cores/coresPerPartition), 1), maxCapacity)
}
