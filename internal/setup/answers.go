// Package setup implements savory-setup. It asks questions about the deployment, such as its services, teams and workers and
// the harm that late or lost results do, and derives a configuration from the answers. It also creates tokens and development
// certificates.
package setup

import (
	"fmt"
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/result"
)

// Answers holds the answers to all questions. The ask tag is the question in the interactive mode, the yaml tag the key in
// an answers file, and the validate tag the rule for valid answers.
type Answers struct {
	Deployment      string     `yaml:"deployment" ask:"Name of the deployment" validate:"min=1,max=100"`
	Zones           []string   `yaml:"zones" ask:"Availability zones" validate:"min=1,max=16,unique,dive,name"`
	EntryInstances  int        `yaml:"entry_instances" ask:"Entry instances in all availability zones" validate:"min=1,max=1000"`
	Workers         Workers    `yaml:"workers" ask:"Workers"`
	TopPriority     string     `yaml:"top_priority" ask:"What matters most: crest (service at the peak of a burst), short_work (short tasks do not wait for long ones) or balanced" validate:"oneof=crest short_work balanced"`
	LongWorkPercent int        `yaml:"long_work_percent" ask:"Percentage of tasks that run far longer than the rest" validate:"min=0,max=100"`
	Bursts          Bursts     `yaml:"bursts" ask:"Bursts"`
	Closing         Closing    `yaml:"closing" ask:"Closing hours"`
	Services        []Service  `yaml:"services" ask:"Services" validate:"min=1,max=256,dive"`
	Teams           []Team     `yaml:"teams" ask:"Teams" validate:"min=1,max=256,dive"`
	Operators       []Operator `yaml:"operators" ask:"Operators" validate:"max=256,dive"`
}

// Workers describes the workers of all availability zones together. They are assumed to be equal.
type Workers struct {
	Count        int     `yaml:"count" ask:"Workers in all availability zones" validate:"min=1,max=100000"`
	Slots        int     `yaml:"slots" ask:"Slots of a worker" validate:"min=1,max=1024"`
	Cores        float64 `yaml:"cores" ask:"Cores of a worker" validate:"min=0.1,max=1024"`
	MemoryMB     int64   `yaml:"memory_mb" ask:"Memory of a worker in MB" validate:"min=1,max=4194304"`
	Accelerators int     `yaml:"accelerators" ask:"Accelerators of a worker" validate:"min=0,max=64"`
}

// Bursts describes the peaks of the demand.
type Bursts struct {
	Factor       float64       `yaml:"factor" ask:"Peak demand as a multiple of the ordinary demand" validate:"min=1,max=100"`
	PeakDuration time.Duration `yaml:"lasts" ask:"How long a peak lasts" validate:"min=1s,max=10m"`
}

// Closing describes the closing hours. With a night shift, they bound no deadline or run time.
type Closing struct {
	NightShift  bool          `yaml:"night_shift" ask:"Is there a night shift, so that there are no closing hours"`
	LastRequest time.Duration `yaml:"last_request" ask:"Time between the last request and closing (only without a night shift)" validate:"min=1s,max=10m"`
}

// Levels of harm, from none to the worst.
const (
	HarmNone      = "none"
	HarmNuisance  = "nuisance"
	HarmCostly    = "costly"
	HarmDangerous = "dangerous"
)

// Levels of urgency, the most urgent first.
const (
	UrgencyNow     = "now"
	UrgencyWaiting = "waiting"
	UrgencyToday   = "today"
)

// Service describes a service, a kind of task.
type Service struct {
	Name         string        `yaml:"name" ask:"Name of the service" validate:"name"`
	Urgency      string        `yaml:"urgency" ask:"Urgency: now (an emergency), waiting (a customer is waiting) or today" validate:"oneof=now waiting today"`
	Late         string        `yaml:"late" ask:"Harm of a late answer: none, nuisance, costly or dangerous" validate:"oneof=none nuisance costly dangerous"`
	Lost         string        `yaml:"lost" ask:"Harm of a lost answer: none, nuisance, costly or dangerous" validate:"oneof=none nuisance costly dangerous"`
	Doubled      string        `yaml:"doubled" ask:"Harm when a request is carried out twice: none, nuisance, costly or dangerous" validate:"oneof=none nuisance costly dangerous"`
	RunTime      time.Duration `yaml:"run_time" ask:"Typical run time of a task" validate:"min=1ms,max=10m"`
	Longest      time.Duration `yaml:"longest_run_time" ask:"Longest run time of a task" validate:"min=1ms,max=10m"`
	Cores        float64       `yaml:"cores" ask:"Cores of a task" validate:"min=0,max=1024"`
	MemoryMB     int64         `yaml:"memory_mb" ask:"Memory of a task in MB" validate:"min=0,max=4194304"`
	Accelerators int           `yaml:"accelerators" ask:"Accelerators of a task" validate:"min=0,max=64"`
}

// Team describes a team and its callers.
type Team struct {
	Name     string   `yaml:"name" ask:"Name of the team" validate:"name"`
	Share    int      `yaml:"share_percent" ask:"Guaranteed percentage of the workers" validate:"min=1,max=100"`
	Borrow   bool     `yaml:"may_borrow" ask:"May the team use what other teams leave idle"`
	PeakRate float64  `yaml:"peak_requests_per_second" ask:"Requests per second on an ordinary busy day" validate:"min=0.1,max=100000"`
	Callers  []Caller `yaml:"callers" ask:"Callers" validate:"min=1,max=256,dive"`
}

// Caller describes a client program of a team.
type Caller struct {
	Name        string `yaml:"name" ask:"Name of the caller" validate:"name"`
	TokenDigest string `yaml:"token_digest" ask:"Digest of its token (from savory-setup tokens)" validate:"digest"`
}

// Operator describes a user of the operators' port.
type Operator struct {
	Name        string `yaml:"name" ask:"Name of the operator" validate:"name"`
	Role        string `yaml:"role" ask:"Role: operator or viewer" validate:"oneof=operator viewer"`
	TokenDigest string `yaml:"token_digest" ask:"Digest of the token (from savory-setup tokens)" validate:"digest"`
}

// defaultAnswers returns the answers that the interactive mode offers and that apply to keys missing in an answers file.
func defaultAnswers() *Answers {
	return &Answers{
		EntryInstances:  6,
		Workers:         Workers{Count: 50, Slots: 8, Cores: 16, MemoryMB: 65536},
		TopPriority:     priorityBalanced,
		LongWorkPercent: 5,
		Bursts:          Bursts{Factor: 3, PeakDuration: 10 * time.Second},
		Closing:         Closing{NightShift: true, LastRequest: 2 * time.Minute},
	}
}

// elementDefaults holds the defaults of list elements' fields, by the name of the field. Only the interactive mode offers
// them: fields missing from list elements in an answers file are zero.
var elementDefaults = map[string]any{
	"Urgency": UrgencyWaiting, "Late": HarmNuisance, "Lost": HarmNuisance, "Doubled": HarmCostly,
	"RunTime": 250 * time.Millisecond, "Longest": 30 * time.Second, "Cores": 1.0, "MemoryMB": int64(512),
	"Share": 10, "Borrow": true, "PeakRate": 100.0, "Role": config.RoleViewer,
}

// DecodeAnswers decodes and checks an answers file. The error is config.Problems and lists all problems.
func DecodeAnswers(doc []byte) (*Answers, error) {
	a := defaultAnswers()
	if problems := config.DecodeYAML(doc, a); len(problems) > 0 {
		return nil, problems
	}
	if problems := a.check(); len(problems) > 0 {
		return nil, problems
	}
	return a, nil
}

// check returns all problems of the answers, except names and digests that occur twice, which the check of the derived
// configuration finds.
func (a *Answers) check() config.Problems {
	problems := config.CheckBounds(a)
	add := func(path string, value any, bound string) {
		problems = append(problems, config.Problem{Code: result.OutOfRange, Path: path, Value: fmt.Sprint(value), Bound: bound})
	}
	total := 0
	for _, t := range a.Teams {
		total += t.Share
	}
	if total > 100 {
		add("teams", fmt.Sprintf("%d%% in all", total), "share_percent of all teams must add up to at most 100")
	}
	for i, s := range a.Services {
		path := fmt.Sprintf("services[%d]", i)
		if s.RunTime > s.Longest {
			add(path+".run_time", s.RunTime, fmt.Sprintf("must be at most longest_run_time, which is %s", s.Longest))
		}
		if limit := a.deadlineLimit(); s.RunTime > limit {
			add(path+".run_time", s.RunTime, fmt.Sprintf("must be at most closing.last_request, which is %s, so that tasks end before closing time", limit))
		}
		if s.Cores > a.Workers.Cores || s.MemoryMB > a.Workers.MemoryMB || s.Accelerators > a.Workers.Accelerators {
			add(path, "larger than a worker", "cores, memory_mb and accelerators must fit a worker")
		}
	}
	return problems
}

const maxDeadline = 10 * time.Minute // upper bound in the configuration's schema

// deadlineLimit returns the longest deadline for which the last request of the day ends before closing time.
func (a *Answers) deadlineLimit() time.Duration {
	if a.Closing.NightShift {
		return maxDeadline
	}
	return a.Closing.LastRequest
}
