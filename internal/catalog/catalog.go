// Package catalog holds the operators' configuration of queues: which requests belong to a queue, which service runs
// its tasks, and its objective for response times.
package catalog

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/delaycost"
	"github.com/savorypass/savorypass/internal/work"
)

// Queue is one queue of the configuration.
type Queue struct {
	Name      string
	Host      string // host of the requests, without a port
	Prefix    string // prefix of the path of the requests
	Service   string
	Timeout   time.Duration // longest time to a response; 0 for no limit
	Objective work.Objective
	// NeedsAdvice is true if an advice service of the platform must issue a ticket for a task of the queue before the task
	// may start. Such queues are not supported yet.
	NeedsAdvice bool
}

// Limits holds the bounds on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version int64
	Limits  Limits
	byHost  map[string][]Queue // queues by lower-case host, longest prefix first
	weighed map[string]bool    // see Weighs
	invalid []Queue            // see InvalidPriorities
}

// New returns a configuration of the given queues.
func New(version int64, queues []Queue, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, byHost: map[string][]Queue{}}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, hostQueues := range c.byHost {
		sort.SliceStable(hostQueues, func(i, j int) bool { return len(hostQueues[i].Prefix) > len(hostQueues[j].Prefix) })
	}
	c.comparePriorities(queues)
	return c
}

// comparePriorities determines the services whose queues have different priorities. A service with a priority that is out of range is not
// among them, so that it is served as without priorities.
func (c *Config) comparePriorities(queues []Queue) {
	first := map[string]int{}
	invalid := map[string]bool{}
	c.weighed = map[string]bool{}
	for _, q := range queues {
		p := q.Objective.Priority
		if !delaycost.ValidPriority(p) {
			invalid[q.Service] = true
			c.invalid = append(c.invalid, q)
			continue
		}
		known, ok := first[q.Service]
		if !ok {
			first[q.Service] = p
		} else if p != known {
			c.weighed[q.Service] = true
		}
	}
	for service := range invalid {
		delete(c.weighed, service)
	}
}

// Weighs reports whether the queues of a service have different priorities, so that what delays of their jobs cost callers is weighed.
func (c *Config) Weighs(service string) bool { return c.weighed[service] }

// InvalidPriorities returns the queues whose priority is out of range.
func (c *Config) InvalidPriorities() []Queue { return c.invalid }

// Match returns the queue of the host whose prefix is the longest that the path begins with, or nil if there is none.
// The port of the host and its case are ignored.
func (c *Config) Match(host, path string) *Queue {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	hostQueues := c.byHost[strings.ToLower(host)]
	for i := range hostQueues {
		if strings.HasPrefix(path, hostQueues[i].Prefix) {
			return &hostQueues[i]
		}
	}
	return nil
}

// QueueCount returns the number of queues.
func (c *Config) QueueCount() int {
	n := 0
	for _, hostQueues := range c.byHost {
		n += len(hostQueues)
	}
	return n
}

// Current holds the configuration in force. The zero value holds none.
type Current struct{ config atomic.Pointer[Config] }

// Load returns the configuration in force, or nil if there is none.
func (c *Current) Load() *Config { return c.config.Load() }

// Weighs is Config.Weighs for the configuration in force; false without one.
func (c *Current) Weighs(service string) bool {
	config := c.Load()
	return config != nil && config.Weighs(service)
}

// StoreIfNewer puts a configuration in force if its version is higher than that of the current one, or if there is none.
// Otherwise it returns false.
func (c *Current) StoreIfNewer(next *Config) bool {
	for {
		old := c.config.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if c.config.CompareAndSwap(old, next) {
			return true
		}
	}
}
