// Package entry assembles one entry instance of the dispatcher from its parts and runs it.
//
// Terms of this package:
//   - The incarnation of an instance is one process of it, numbered by the time of its start. A process that was paused for
//     too long is fenced, and one that a newer process of the same name replaces is superseded; both must end.
//   - The home of a request is the incarnation that issued the identity under which the job is submitted. It alone runs
//     the job; other instances forward the request to it.
//   - Each worker has an owner, the instance of its zone that starts tasks on it. A home without free slots delegates tasks
//     to owners that have granted it slots for a short time; at the owner these tasks are foreign. Delegation to another
//     zone is spilling.
package entry

import (
	"time"

	"github.com/savorypass/savorypass/internal/daemon"
)

// Options are the settings of savoryd.
type Options struct {
	daemon.LogOptions

	Name string `long:"name" env:"SAVORY_NAME" description:"name of this entry instance, unique in its availability zone"`
	Zone string `long:"zone" env:"SAVORY_ZONE" description:"availability zone of this entry instance"`

	Callers   string `long:"callers" env:"SAVORY_CALLERS" default:"127.0.0.1:8080" description:"address for callers (HTTP over TCP)"`
	Peers     string `long:"peers" env:"SAVORY_PEERS" default:"127.0.0.1:8081" description:"address for other entry instances (QUIC over UDP)"`
	Operators string `long:"operators" env:"SAVORY_OPERATORS" default:"127.0.0.1:8082" description:"address for operators (HTTP over TCP)"`

	LogURL       string   `long:"log-url" env:"SAVORY_LOG_URL" default:"http://127.0.0.1:8090" description:"the platform's log service"`
	InstancesURL string   `long:"instances-url" env:"SAVORY_INSTANCES_URL" default:"http://127.0.0.1:8091" description:"the platform's instance list"`
	Seeds        []string `long:"seed" env:"SAVORY_SEEDS" env-delim:"," description:"peer to contact while the instance list is not available: ZONE/INSTANCE@ADDRESS"`

	Cert         string `long:"tls-cert" env:"SAVORY_TLS_CERT" description:"PEM file with the certificate that names zone and instance"`
	Key          string `long:"tls-key" env:"SAVORY_TLS_KEY" description:"PEM file with the certificate's private key"`
	CA           string `long:"tls-ca" env:"SAVORY_TLS_CA" description:"PEM file with the authority of all entry instances"`
	OperatorsTLS bool   `long:"operators-tls" env:"SAVORY_OPERATORS_TLS" description:"serve operators over TLS with the certificate of the instance"`
	StaffTokens  string `long:"staff-tokens" env:"SAVORY_STAFF_TOKENS" description:"file with digests of operators' and viewers' tokens"`

	DrainTimeout time.Duration `long:"drain-timeout" env:"SAVORY_DRAIN_TIMEOUT" default:"30s" description:"longest time that a planned stop may take"`
	LogRetention time.Duration `long:"log-retention" env:"SAVORY_LOG_RETENTION" default:"1h" description:"how long the log service keeps records"`
	EventLoops   int           `long:"event-loops" env:"SAVORY_EVENT_LOOPS" default:"0" description:"event loops for callers; 0 takes one for each processor"`
	Scheduler    string        `long:"scheduler" env:"SAVORY_SCHEDULER" default:"fair" description:"fair, or naive as the baseline of measurements"`
	EnableFaults bool          `long:"enable-faults" env:"SAVORY_ENABLE_FAULTS" description:"let operators inject faults; for tests only"`
}

const (
	minDrainTimeout = time.Second
	maxDrainTimeout = 10 * time.Minute
	minLogRetention = time.Second
	maxLogRetention = 30 * 24 * time.Hour
	maxEventLoops   = 256
)

// Validate returns an error for each invalid setting, or none.
func (o *Options) Validate() []error {
	var c daemon.Checks
	c.Add(o.LogOptions.Validate()...)
	c.Name("name", o.Name)
	c.Name("zone", o.Zone)
	c.Address("callers", o.Callers)
	c.Address("peers", o.Peers)
	c.Address("operators", o.Operators)
	for _, s := range o.Seeds {
		if _, err := parseSeed(s); err != nil {
			c.Addf("seed", "%v", err)
		}
	}
	c.File("tls-cert", o.Cert)
	c.File("tls-key", o.Key)
	c.File("tls-ca", o.CA)
	if o.StaffTokens != "" {
		c.File("staff-tokens", o.StaffTokens)
	}
	c.Duration("drain-timeout", o.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	c.Duration("log-retention", o.LogRetention, minLogRetention, maxLogRetention)
	c.Int("event-loops", o.EventLoops, 0, maxEventLoops)
	if o.Scheduler != schedulerFair && o.Scheduler != schedulerNaive {
		c.Addf("scheduler", "is %q, must be %s or %s", o.Scheduler, schedulerFair, schedulerNaive)
	}
	return c.Problems()
}
