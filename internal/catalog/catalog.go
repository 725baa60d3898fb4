// Package catalog holds the operators' configuration of queues: which requests a queue takes, which service runs its
// tasks and what it promises.
package catalog

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Queue is one queue of the configuration.
type Queue struct {
	Name        string
	Host        string // of the requests, without a port
	Prefix      string // of the path
	Service     string
	Timeout     time.Duration // longest time to an answer; 0 for none
	Objective   work.Objective
	NeedsAdvice bool // the queue's tasks need tickets of an advice service
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is not changed after New.
type Config struct {
	Version int64
	Limits  Limits
	byHost  map[string][]Queue // longest prefix first
}

// New returns a configuration of queues.
func New(version int64, queues []Queue, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, byHost: map[string][]Queue{}}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, of := range c.byHost {
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
	}
	return c
}

// Match returns the queue of the longest prefix that the path begins with, or nil.
func (c *Config) Match(host, path string) *Queue {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	of := c.byHost[strings.ToLower(host)]
	for i := range of {
		if strings.HasPrefix(path, of[i].Prefix) {
			return &of[i]
		}
	}
	return nil
}

// QueueCount returns the number of queues.
func (c *Config) QueueCount() int {
	n := 0
	for _, of := range c.byHost {
		n += len(of)
	}
	return n
}

// Current holds the configuration in force. The zero value holds none.
type Current struct{ p atomic.Pointer[Config] }

// Load returns the configuration in force, or nil.
func (c *Current) Load() *Config { return c.p.Load() }

// StoreIfNewer puts a configuration in force if its version is higher. It returns false for an older or equal one.
func (c *Current) StoreIfNewer(next *Config) bool {
	for {
		old := c.p.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if c.p.CompareAndSwap(old, next) {
			return true
		}
	}
}
