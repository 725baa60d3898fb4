// Package catalogcheck examines a configuration of queues before operators write it to the store: errors, queues that no
// request can ever match, limits that contradict each other, and the differences from the version in force. It does no I/O.
package catalogcheck

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/delaycost"
)

// Severity tells whether a finding should keep a configuration from being written.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // the configuration does not do what it says
	Warning Severity = "warning" // the configuration works, but a part of it has no effect or a surprising one
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity
	Subject  string // what the finding is about, such as: queue "stock-check"
	Text     string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Subject, f.Text) }

// Service is a service of a configuration, whose endpoints run the tasks of queues.
type Service struct {
	Name    string
	Standby bool // the service's endpoints are off
}

// Document is a configuration as it was written, with its queues in their order.
type Document struct {
	Version       int64
	Queues        []catalog.Queue
	Services      []Service
	Limits        catalog.Limits
	UnknownFields []string // fields that this version does not know, as paths; they are ignored
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Bounds are the limits of the callers' interface that no configuration changes.
type Bounds struct {
	SpecBytes int // longest specification of a job, in bytes
	JobBytes  int // longest body of a submission, in bytes
}

// Check returns the problems of a document by itself.
func Check(d *Document, b Bounds) []Finding {
	c := checker{services: map[string]Service{}}
	for _, s := range d.Services {
		c.service(s)
	}
	seen := newSeenQueues()
	for i := range d.Queues {
		c.queue(&d.Queues[i], len(d.Services) > 0)
		c.duplicates(&d.Queues[i], seen)
	}
	c.limits(&d.Limits, b)
	for _, path := range d.UnknownFields {
		c.add(Warning, path, "is not a known field and is ignored")
	}
	return c.findings
}

// CheckSuccessor returns the problems of a document as the successor of the one in force.
func CheckSuccessor(inForce, next *Document) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf(
		"is %d, but version %d is in force; instances ignore versions that are not higher", next.Version, inForce.Version)}}
}

type checker struct {
	services map[string]Service
	findings []Finding
}

func (c *checker) add(s Severity, subject, text string) {
	c.findings = append(c.findings, Finding{s, subject, text})
}

func (c *checker) addf(s Severity, subject, format string, args ...any) {
	c.add(s, subject, fmt.Sprintf(format, args...))
}

func subjectOf(q *catalog.Queue) string { return fmt.Sprintf("queue %q", q.Name) }

func (c *checker) service(s Service) {
	subject := fmt.Sprintf("service %q", s.Name)
	if s.Name == "" {
		c.add(Error, subject, "has no name")
	}
	if _, known := c.services[s.Name]; known {
		c.add(Error, subject, "is listed twice")
	}
	c.services[s.Name] = s
}

// queue checks the fields of one queue. listed is true if the document lists the services.
func (c *checker) queue(q *catalog.Queue, listed bool) {
	subject := subjectOf(q)
	if q.Name == "" {
		c.add(Error, subject, "has no name")
	}
	c.match(subject, q)
	c.objective(subject, q)
	service, known := c.services[q.Service]
	switch {
	case q.Service == "":
		c.add(Error, subject, "names no service, so its jobs cannot run")
	case listed && !known:
		c.addf(Error, subject, "names the service %q, which is not listed", q.Service)
	case service.Standby:
		c.addf(Warning, subject, "uses the service %q, whose endpoints are off", q.Service)
	}
	if q.NeedsAdvice {
		c.add(Warning, subject, "needs advice, which this version does not support: its jobs are refused")
	}
}

// match finds hosts and prefixes that no request can have.
func (c *checker) match(subject string, q *catalog.Queue) {
	switch {
	case q.Host == "":
		c.add(Error, subject, "can never match: it has no host")
	case strings.ContainsAny(q.Host, " /?#"):
		c.addf(Error, subject, "can never match: the host %q contains a character that no host has", q.Host)
	case hasPort(q.Host):
		c.addf(Error, subject, "can never match: the host %q names a port, and ports of requests are ignored", q.Host)
	}
	switch {
	case !strings.HasPrefix(q.Prefix, "/"):
		c.addf(Error, subject, "can never match: the prefix %q does not begin with /", q.Prefix)
	case strings.ContainsAny(q.Prefix, " ?#"):
		c.addf(Error, subject, "can never match: the prefix %q contains a character that no path has", q.Prefix)
	}
}

func hasPort(host string) bool {
	_, port, err := net.SplitHostPort(host)
	return err == nil && port != ""
}

func (c *checker) objective(subject string, q *catalog.Queue) {
	o := &q.Objective
	if o.Stretch < 1 {
		c.addf(Error, subject, "stretch is %g: jobs that run as fast as possible would miss their objective", o.Stretch)
	}
	if o.Extra < 0 {
		c.addf(Error, subject, "the time that is added to the objective is %s, must not be negative", o.Extra)
	}
	if !delaycost.ValidPriority(o.Priority) {
		c.addf(Error, subject, "priority is %d, must be 0 to %d: its service would be served as without priorities", o.Priority, delaycost.MaxPriority)
	}
	if o.Attempts < 1 {
		c.addf(Warning, subject, "attempts is %d and counts as 1", o.Attempts)
	}
	if q.Timeout < 0 {
		c.addf(Error, subject, "timeout is %s, must not be negative", q.Timeout)
	}
	if q.Timeout > 0 && q.Timeout <= o.Extra {
		c.addf(Error, subject, "timeout is %s, but the objective alone allows a wait of %s: callers time out before their objective", q.Timeout, o.Extra)
	}
}

// seenQueues holds the queues that come first with a name or with a host and prefix.
type seenQueues struct {
	names   map[string]bool
	matches map[string]string // name of the queue by host and prefix
}

func newSeenQueues() *seenQueues {
	return &seenQueues{names: map[string]bool{}, matches: map[string]string{}}
}

func (c *checker) duplicates(q *catalog.Queue, seen *seenQueues) {
	if seen.names[q.Name] {
		c.add(Error, subjectOf(q), "has the name of an earlier queue")
	}
	seen.names[q.Name] = true
	key := strings.ToLower(q.Host) + " " + q.Prefix
	if first, taken := seen.matches[key]; taken {
		c.addf(Error, subjectOf(q), "can never match: queue %q comes first with the same host and prefix", first)
		return
	}
	seen.matches[key] = q.Name
}

func (c *checker) limits(l *catalog.Limits, b Bounds) {
	c.positive("limit of header bytes", l.HeaderBytes > 0)
	c.positive("limit of body bytes", l.BodyBytes > 0)
	c.positive("timeout of headers", l.HeaderTimeout > 0)
	if l.BodyBytes > 0 && l.BodyBytes <= b.SpecBytes {
		c.addf(Warning, "limit of body bytes", "is %d: jobs with the longest specification, %d bytes, are refused", l.BodyBytes, b.SpecBytes)
	}
	if l.BodyBytes > b.JobBytes {
		c.addf(Warning, "limit of body bytes", "is %d, but submissions of over %d bytes are refused all the same", l.BodyBytes, b.JobBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.addf(Warning, "timeout of headers", "is %s, longer than the idle timeout of %s", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) positive(subject string, ok bool) {
	if !ok {
		c.add(Warning, subject, "is not positive: the default of the program applies")
	}
}
