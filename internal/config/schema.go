// Package config implements the system's configuration: the typed schema and its decoder, the fold of the log's records
// into one state, and the controller that brings every entry instance to the same version.
//
// An entry instance is a process of the dispatcher that accepts callers' requests. Operators publish documents through
// any entry instance, which appends them as records to a stream of the platform's log service. The log numbers its
// records by offset and drops old records after its retention, a time or a number of records. Each instance reads the
// log and folds the records in order, that is, applies one after the other to its state: a publish record is accepted if
// it replaces the current version. Checkpoints are records that repeat the state, so that an instance can start from one
// after earlier records have been dropped. Instances also copy the state from their peers, the other entry instances.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// Schema versions. The keys, bounds and defaults of a released schema version never change: every instance validates
// each record itself, and all instances must reach the same verdict.
const (
	SchemaVersion    = 1 // newest schema version that this program reads
	MinSchemaVersion = 1 // oldest schema version that this program reads
)

// MaxDocumentBytes is the largest size of a document. The system is designed for 43 teams; a document with 43 teams of
// 5 callers each takes 31 KB.
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
	Retention Retention  `yaml:"retention" json:"retention" doc:"how long the home instance of a submission keeps its identity and its answer"`
}

// Service describes one kind of task.
type Service struct {
	Name            string        `yaml:"name" json:"name" validate:"name" doc:"name of the service in submissions; unique"`
	Idempotent      bool          `yaml:"idempotent" json:"idempotent" doc:"running a task twice does no harm; decides the advice in an answer that says may have run"`
	MaxRunTime      time.Duration `yaml:"max_run_time" json:"max_run_time" validate:"min=1ms,max=10m" doc:"longest run time that a task may declare"`
	DefaultDeadline time.Duration `yaml:"default_deadline" json:"default_deadline" validate:"min=1ms,max=10m" doc:"deadline of a job that states none; at least expected_run_time"`
	MaxDeadline     time.Duration `yaml:"max_deadline" json:"max_deadline" validate:"min=1ms,max=10m" doc:"longest deadline that a caller may state; at least default_deadline"`
	ExpectedRunTime time.Duration `yaml:"expected_run_time" json:"expected_run_time" validate:"min=1ms,max=10m" doc:"run time that is assumed until tasks of the service have been measured; at most max_run_time"`
	DefaultSize     Size          `yaml:"default_size" json:"default_size" doc:"size of a task that declares none"`
}

// Size is an amount of resources.
type Size struct {
	Cores        float64 `yaml:"cores" json:"cores" validate:"min=0,max=1048576" doc:"processor cores"`
	MemoryMB     int64   `yaml:"memory_mb" json:"memory_mb" validate:"min=0,max=4294967296" doc:"memory in MB"`
	Accelerators int     `yaml:"accelerators" json:"accelerators" validate:"min=0,max=65536" doc:"accelerators"`
}

// Platform converts the size to platform.Size.
func (s Size) Platform() platform.Size {
	return platform.Size{Cores: s.Cores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// Team is a customer that owns a quota.
type Team struct {
	Name      string     `yaml:"name" json:"name" validate:"name" doc:"name of the team; unique"`
	Weight    float64    `yaml:"weight" json:"weight" validate:"min=0.001,max=1000000" doc:"weight in the fair sharing of slots"`
	Quota     Size       `yaml:"quota" json:"quota" doc:"guaranteed resources per availability zone; other teams may use them while they are idle"`
	HardLimit *Size      `yaml:"hard_limit" json:"hard_limit,omitempty" doc:"most resources that the team may use per availability zone, idle ones included; at least quota; no limit when absent"`
	RateLimit *RateLimit `yaml:"rate_limit" json:"rate_limit,omitempty" doc:"request rate limit of the team at each entry instance; no limit when absent"`
	Callers   []Caller   `yaml:"callers" json:"callers" validate:"min=1,max=256,dive" doc:"clients of the team"`
}

// RateLimit holds the parameters of a token bucket for requests.
type RateLimit struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" validate:"min=0.001,max=1000000" doc:"sustained rate"`
	Burst             int     `yaml:"burst" json:"burst" validate:"min=1,max=1000000" doc:"requests that may arrive at once"`
}

// Caller is a client of a team. The configuration holds only the digest of its token.
type Caller struct {
	Name        string `yaml:"name" json:"name" validate:"name" doc:"name of the caller; unique within the team"`
	TokenDigest string `yaml:"token_digest" json:"token_digest" validate:"digest" doc:"SHA-256 of the token as 64 lower-case hexadecimal digits; unique in the document"`
	Role        string `yaml:"role" json:"role" validate:"oneof=caller" doc:"role of the token"`
}

// Operator is a person or program with access to the operators' port. The configuration holds only the digest of its
// token.
type Operator struct {
	Name        string `yaml:"name" json:"name" validate:"name" doc:"name of the operator; unique"`
	TokenDigest string `yaml:"token_digest" json:"token_digest" validate:"digest" doc:"SHA-256 of the token as 64 lower-case hexadecimal digits; unique in the document"`
	Role        string `yaml:"role" json:"role" validate:"oneof=operator viewer" doc:"operator may read and change, viewer may only read"`
}

// Limits bounds the requests, connections and queued tasks of callers at each entry instance.
type Limits struct {
	BodyBytes                  int     `yaml:"body_bytes" json:"body_bytes" validate:"min=1024,max=67108864" doc:"largest body of a request, in bytes"`
	HeaderBytes                int     `yaml:"header_bytes" json:"header_bytes" validate:"min=256,max=65536" doc:"largest header of a request, in bytes"`
	TasksPerJob                int     `yaml:"tasks_per_job" json:"tasks_per_job" validate:"min=1,max=160" doc:"most tasks of a job"`
	QueuedTasks                int     `yaml:"queued_tasks" json:"queued_tasks" validate:"min=1,max=10000000" doc:"most tasks queued at an entry instance; at least tasks_per_job"`
	ConnectionsPerCaller       int     `yaml:"connections_per_caller" json:"connections_per_caller" validate:"min=1,max=1000000" doc:"most open connections of a caller to an entry instance; a connection waits for one job at a time"`
	RequestsPerSecondPerCaller float64 `yaml:"requests_per_second_per_caller" json:"requests_per_second_per_caller" validate:"min=0.001,max=1000000" doc:"most requests per second of a caller at an entry instance"`
}

// Order configures the order in which queued jobs are served.
type Order struct {
	ShortReserve   float64       `yaml:"short_reserve" json:"short_reserve" validate:"min=0,max=0.9" doc:"fraction of an entry instance's slots that long tasks never take"`
	ShortThreshold time.Duration `yaml:"short_threshold" json:"short_threshold" validate:"min=1ms,max=10m" doc:"a task that is expected to run longer than this counts as long"`
	AgeingRate     float64       `yaml:"ageing_rate" json:"ageing_rate" validate:"min=0,max=1000" doc:"seconds of expected work by which a job's rank improves for each second that it waits"`
}

// Admission configures when a job is refused on arrival.
type Admission struct {
	SafetyFactor float64       `yaml:"safety_factor" json:"safety_factor" validate:"min=0.1,max=10" doc:"factor on the expected wait and run time before they are compared with the deadline"`
	MaxWait      time.Duration `yaml:"max_wait" json:"max_wait" validate:"min=1ms,max=10m" doc:"a job that is expected to wait longer than this is refused, whatever its deadline"`
	MaxDrain     time.Duration `yaml:"max_drain" json:"max_drain" validate:"min=1ms,max=10m" doc:"jobs that would wait longer than this are refused while the queued work would take longer than this to start; limits how long a burst delays jobs after it has ended"`
}

// Spill configures the delegation of tasks to other availability zones.
type Spill struct {
	Enabled        bool          `yaml:"enabled" json:"enabled" doc:"delegate tasks to other availability zones"`
	WaitDifference time.Duration `yaml:"wait_difference" json:"wait_difference" validate:"min=1ms,max=10m" doc:"a task is delegated only if its expected wait there is shorter by more than this"`
}

// Retention configures how long the home instance of a submission keeps its identity and its answer.
type Retention struct {
	IdentityValidity time.Duration `yaml:"identity_validity" json:"identity_validity" validate:"min=1s,max=1h" doc:"how long an identity can be used after it was issued"`
	AnswerRetention  time.Duration `yaml:"answer_retention" json:"answer_retention" validate:"min=1s,max=1h" doc:"how long an answer is kept after the job has ended; at most identity_validity"`
}

// Default returns a configuration without services, teams and operators in which every optional value has its default.
func Default() *Config {
	return &Config{
		Limits: Limits{
			BodyBytes:   4 << 20,
			HeaderBytes: 8 << 10,
			TasksPerJob: 160,
			QueuedTasks: 50_000,
			// A connection carries one waiting job, so the limit must exceed the open jobs of one caller during a burst;
			// the jobs beyond it would be refused.
			ConnectionsPerCaller:       2000,
			RequestsPerSecondPerCaller: 1000,
		},
		Order:     Order{ShortReserve: 0.1, ShortThreshold: 2 * time.Second, AgeingRate: 0.05},
		Admission: Admission{SafetyFactor: 1, MaxWait: time.Minute, MaxDrain: time.Minute},
		// WaitDifference is far above the 3 ms round trip between availability zones.
		Spill:     Spill{Enabled: true, WaitDifference: 50 * time.Millisecond},
		Retention: Retention{IdentityValidity: 10 * time.Minute, AnswerRetention: time.Minute},
	}
}

// defaulter is implemented by list elements and optional objects whose defaults differ from their zero value.
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

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Digest returns the SHA-256 of the decoded configuration, defaults included, in hexadecimal. Documents that differ
// only in comments, order of keys or explicitly stated defaults have the same digest.
func (c *Config) Digest() string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a Config holds no type that JSON cannot encode, and decoding refuses not-a-number
	}
	return hexSum(data)
}

// DocumentDigest returns the SHA-256 of a document's bytes in hexadecimal. Records carry this digest rather than
// Config.Digest because it does not change when a later program adds keys to the schema.
func DocumentDigest(doc []byte) string { return hexSum(doc) }

// TokenDigest returns the SHA-256 of a token in hexadecimal, as token_digest holds it.
func TokenDigest(token string) string { return hexSum([]byte(token)) }

func hexSum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
