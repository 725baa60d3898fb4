// Package config holds the configuration: its typed schema, the decoder, the fold of the log's records into one state
// and the controller that keeps every instance at the same version.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// Schema versions. The keys, bounds and defaults of a schema version never change once it is released, because every
// instance validates each record again and all of them must come to the same verdict.
const (
	SchemaVersion    = 1 // the newest schema that this program reads
	MinSchemaVersion = 1 // the oldest one
)

// MaxDocumentBytes bounds a document. The target's 43 teams with 5 callers each take 31 KB.
const MaxDocumentBytes = 128 * 1024

// Roles of tokens.
const (
	RoleCaller   = "caller"
	RoleOperator = "operator"
	RoleViewer   = "viewer"
)

// Config is one configuration of the whole system.
type Config struct {
	Schema    int        `yaml:"schema" json:"schema" validate:"min=1,max=1" doc:"schema version of the document; required"`
	Services  []Service  `yaml:"services" json:"services" validate:"min=1,max=256,dive" doc:"kinds of tasks"`
	Teams     []Team     `yaml:"teams" json:"teams" validate:"min=1,max=256,dive" doc:"customers that own a quota"`
	Operators []Operator `yaml:"operators" json:"operators" validate:"max=256,dive" doc:"people and programs that use the operators' port"`
	Limits    Limits     `yaml:"limits" json:"limits" doc:"bounds of requests, connections and queues of each entry instance"`
	Order     Order      `yaml:"order" json:"order" doc:"order of service"`
	Admission Admission  `yaml:"admission" json:"admission" doc:"when a job is refused on arrival"`
	Spill     Spill      `yaml:"spill" json:"spill" doc:"delegation of tasks to another availability zone"`
	Retention Retention  `yaml:"retention" json:"retention" doc:"how long the home keeps what it knows of a submission"`
}

// Service is a kind of task.
type Service struct {
	Name            string        `yaml:"name" json:"name" validate:"name" doc:"name of the service in submissions; unique"`
	Idempotent      bool          `yaml:"idempotent" json:"idempotent" doc:"a second run does no harm; used for the advice in an answer that says may have run"`
	MaxRunTime      time.Duration `yaml:"max_run_time" json:"max_run_time" validate:"min=1ms,max=10m" doc:"longest run time that a task may declare"`
	DefaultDeadline time.Duration `yaml:"default_deadline" json:"default_deadline" validate:"min=1ms,max=10m" doc:"deadline of a job that states none; not below expected_run_time"`
	MaxDeadline     time.Duration `yaml:"max_deadline" json:"max_deadline" validate:"min=1ms,max=10m" doc:"longest deadline that a caller may state; not below default_deadline"`
	ExpectedRunTime time.Duration `yaml:"expected_run_time" json:"expected_run_time" validate:"min=1ms,max=10m" doc:"run time that is assumed until it is learned; not above max_run_time"`
	DefaultSize     Size          `yaml:"default_size" json:"default_size" doc:"size of a task that declares none"`
}

// Size is an amount of resources.
type Size struct {
	Cores        float64 `yaml:"cores" json:"cores" validate:"min=0,max=1048576" doc:"processor cores"`
	MemoryMB     int64   `yaml:"memory_mb" json:"memory_mb" validate:"min=0,max=4294967296" doc:"memory in MB"`
	Accelerators int     `yaml:"accelerators" json:"accelerators" validate:"min=0,max=65536" doc:"accelerators"`
}

// Platform converts the size to the platform's type.
func (s Size) Platform() platform.Size {
	return platform.Size{Cores: s.Cores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// Team is a customer that owns a quota.
type Team struct {
	Name      string     `yaml:"name" json:"name" validate:"name" doc:"name of the team; unique"`
	Weight    float64    `yaml:"weight" json:"weight" validate:"min=0.001,max=1000000" doc:"weight in the fair sharing of slots"`
	Quota     Size       `yaml:"quota" json:"quota" doc:"guaranteed share per availability zone; lent to others while unused"`
	HardLimit *Size      `yaml:"hard_limit" json:"hard_limit,omitempty" doc:"most that the team may use per availability zone, even of idle resources; not below quota; no limit when absent"`
	RateLimit *RateLimit `yaml:"rate_limit" json:"rate_limit,omitempty" doc:"bound of the team's requests at each entry instance; no limit when absent"`
	Callers   []Caller   `yaml:"callers" json:"callers" validate:"min=1,max=256,dive" doc:"clients of the team"`
}

// RateLimit is a token bucket.
type RateLimit struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" validate:"min=0.001,max=1000000" doc:"sustained rate"`
	Burst             int     `yaml:"burst" json:"burst" validate:"min=1,max=1000000" doc:"requests that may come at once"`
}

// Caller is a client of a team. Only the digest of its token is kept.
type Caller struct {
	Name        string `yaml:"name" json:"name" validate:"name" doc:"name of the caller; unique within the team"`
	TokenDigest string `yaml:"token_digest" json:"token_digest" validate:"digest" doc:"SHA-256 of the token as 64 lower-case hexadecimal digits; unique in the document"`
	Role        string `yaml:"role" json:"role" validate:"oneof=caller" doc:"role of the token"`
}

// Operator has access to the operators' port. Only the digest of the token is kept.
type Operator struct {
	Name        string `yaml:"name" json:"name" validate:"name" doc:"name of the operator; unique"`
	TokenDigest string `yaml:"token_digest" json:"token_digest" validate:"digest" doc:"SHA-256 of the token as 64 lower-case hexadecimal digits; unique in the document"`
	Role        string `yaml:"role" json:"role" validate:"oneof=operator viewer" doc:"operator may change things, viewer may only look"`
}

// Limits bounds what callers may send and hold.
type Limits struct {
	BodyBytes                  int     `yaml:"body_bytes" json:"body_bytes" validate:"min=1024,max=67108864" doc:"largest body of a request, in bytes"`
	HeaderBytes                int     `yaml:"header_bytes" json:"header_bytes" validate:"min=256,max=65536" doc:"largest header of a request, in bytes"`
	TasksPerJob                int     `yaml:"tasks_per_job" json:"tasks_per_job" validate:"min=1,max=160" doc:"most tasks of a job"`
	QueuedTasks                int     `yaml:"queued_tasks" json:"queued_tasks" validate:"min=1,max=10000000" doc:"most tasks queued at an entry instance; not below tasks_per_job"`
	ConnectionsPerCaller       int     `yaml:"connections_per_caller" json:"connections_per_caller" validate:"min=1,max=1000000" doc:"most open connections of a caller to an entry instance, each of which waits for one job at a time"`
	RequestsPerSecondPerCaller float64 `yaml:"requests_per_second_per_caller" json:"requests_per_second_per_caller" validate:"min=0.001,max=1000000" doc:"most requests per second of a caller at an entry instance"`
}

// Order tunes the order of service.
type Order struct {
	ShortReserve   float64       `yaml:"short_reserve" json:"short_reserve" validate:"min=0,max=0.9" doc:"fraction of an entry instance's slots that long tasks never take"`
	ShortThreshold time.Duration `yaml:"short_threshold" json:"short_threshold" validate:"min=1ms,max=10m" doc:"a task that is expected to run longer than this is long"`
	AgeingRate     float64       `yaml:"ageing_rate" json:"ageing_rate" validate:"min=0,max=1000" doc:"seconds of expected work by which a job's rank improves for each second that it waits"`
}

// Admission tunes the refusal of jobs on arrival.
type Admission struct {
	SafetyFactor float64       `yaml:"safety_factor" json:"safety_factor" validate:"min=0.1,max=10" doc:"factor on the expected wait and run time before they are compared with the deadline"`
	MaxWait      time.Duration `yaml:"max_wait" json:"max_wait" validate:"min=1ms,max=10m" doc:"a job that is expected to wait longer than this is refused, whatever its deadline"`
	MaxDrain     time.Duration `yaml:"max_drain" json:"max_drain" validate:"min=1ms,max=10m" doc:"jobs that would wait longer than this are refused while the queued work would take longer than this to start; bounds how long a burst is felt after its end"`
}

// Spill tunes the delegation of tasks to another availability zone.
type Spill struct {
	Enabled        bool          `yaml:"enabled" json:"enabled" doc:"delegate tasks to other availability zones"`
	WaitDifference time.Duration `yaml:"wait_difference" json:"wait_difference" validate:"min=1ms,max=10m" doc:"delegate only where the expected wait is shorter by more than this"`
}

// Retention tunes how long the home keeps what it knows of a submission.
type Retention struct {
	IdentityValidity time.Duration `yaml:"identity_validity" json:"identity_validity" validate:"min=1s,max=1h" doc:"how long an identity can be used after it was issued"`
	AnswerRetention  time.Duration `yaml:"answer_retention" json:"answer_retention" validate:"min=1s,max=1h" doc:"how long an answer is kept after the job has ended; not above identity_validity"`
}

// Default returns a configuration without services and teams, with the default of everything optional.
func Default() *Config {
	return &Config{
		Limits: Limits{
			BodyBytes:   4 << 20,
			HeaderBytes: 8 << 10,
			TasksPerJob: 160,
			QueuedTasks: 50_000,
			// A connection carries one waiting job, so a limit below a burst's open jobs of one caller would refuse them.
			ConnectionsPerCaller:       2000,
			RequestsPerSecondPerCaller: 1000,
		},
		Order:     Order{ShortReserve: 0.1, ShortThreshold: 2 * time.Second, AgeingRate: 0.05},
		Admission: Admission{SafetyFactor: 1, MaxWait: time.Minute, MaxDrain: time.Minute},
		// 50 ms is far more than the 3 ms round trip between availability zones.
		Spill:     Spill{Enabled: true, WaitDifference: 50 * time.Millisecond},
		Retention: Retention{IdentityValidity: 10 * time.Minute, AnswerRetention: time.Minute},
	}
}

// defaulter is implemented by list elements and optional objects whose zero value is not the default.
type defaulter interface{ setDefaults() }

func (s *Service) setDefaults() {
	s.MaxRunTime = time.Minute
	s.DefaultDeadline = 30 * time.Second
	s.MaxDeadline = 10 * time.Minute
	s.ExpectedRunTime = 250 * time.Millisecond
	s.DefaultSize = Size{Cores: 1, MemoryMB: 512}
}

func (t *Team) setDefaults()      { t.Weight = 1 }
func (r *RateLimit) setDefaults() { r.RequestsPerSecond, r.Burst = 1000, 1000 }
func (c *Caller) setDefaults()    { c.Role = RoleCaller }
func (o *Operator) setDefaults()  { o.Role = RoleViewer }

// Service returns the service of a name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Digest returns the SHA-256 of the configuration's meaning, defaults included: two documents that differ only in
// comments, order of keys or spelled-out defaults have the same digest.
func (c *Config) Digest() string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a Config holds no type that JSON refuses; not-a-number is refused on decoding
	}
	return hexSum(data)
}

// DocumentDigest returns the SHA-256 of a document's bytes. Records carry it, because it stays the same when a later
// program adds keys to the schema.
func DocumentDigest(doc []byte) string { return hexSum(doc) }

// TokenDigest returns the digest of a token in the form that the configuration keeps.
func TokenDigest(token string) string { return hexSum([]byte(token)) }

func hexSum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
