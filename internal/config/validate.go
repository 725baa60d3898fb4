package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/savorypass/savorypass/internal/result"
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)
	digestPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	structValidator = newChecker()
)

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	mustRegister(v, "name", namePattern)
	mustRegister(v, "digest", digestPattern)
	return v
}

func mustRegister(v *validator.Validate, tag string, p *regexp.Regexp) {
	err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return p.MatchString(f.Field().String()) })
	if err != nil {
		panic(err) // happens only for an empty tag or a nil function
	}
}

// Validate checks the bounds of every field and the relations between fields. The error is of type Problems and lists
// every fault.
func (c *Config) Validate() error {
	problems := CheckBounds(c)
	problems = append(problems, c.relations()...)
	return problems.asError()
}

// CheckBounds checks a struct against its validate tags and returns all violations.
func CheckBounds(s any) Problems {
	var list validator.ValidationErrors
	if !errors.As(structValidator.Struct(s), &list) {
		return nil
	}
	var problems Problems
	for _, e := range list {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		value := ""
		if e.Kind() != reflect.Slice {
			value = displayValue(path, e.Value())
		}
		problems = append(problems, Problem{Code: result.OutOfRange, Path: path, Value: value, Bound: boundText(e)})
	}
	return problems
}

// CheckValue checks a value against the rules of a validate tag. It returns the text of the first rule that the value
// violates, or "" if there is none.
func CheckValue(v any, rules string) string {
	var list validator.ValidationErrors
	if rules == "" || !errors.As(structValidator.Var(v, rules), &list) {
		return ""
	}
	return boundText(list[0])
}

func boundText(e validator.FieldError) string {
	unit := ""
	if e.Kind() == reflect.Slice {
		unit = fmt.Sprintf(" entries, has %d", reflect.ValueOf(e.Value()).Len())
	}
	return ruleText(e.Tag(), e.Param()) + unit
}

func ruleText(rule, param string) string {
	switch rule {
	case "min":
		return "must be at least " + param
	case "max":
		return "must be at most " + param
	case "oneof":
		return "must be one of: " + strings.ReplaceAll(param, " ", ", ")
	case "name":
		return "must be 1 to 64 lower-case letters, digits, - or _, and start with a letter or a digit"
	case "digest":
		return "must be 64 lower-case hexadecimal digits"
	}
	return strings.TrimSpace("must meet " + rule + " " + param)
}

// relations checks the rules that involve more than one field.
func (c *Config) relations() Problems {
	r := relationChecker{names: map[string]bool{}, digests: map[string]string{}}
	for i := range c.Services {
		r.service(fmt.Sprintf("services[%d]", i), &c.Services[i])
	}
	for i := range c.Teams {
		r.team(fmt.Sprintf("teams[%d]", i), &c.Teams[i])
	}
	for i := range c.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		r.unique(path, "operator", c.Operators[i].Name)
		r.token(path, c.Operators[i].TokenDigest)
	}
	if c.Limits.QueuedTasks < c.Limits.TasksPerJob {
		r.add("limits.queued_tasks", c.Limits.QueuedTasks, fmt.Sprintf("must be at least tasks_per_job, which is %d", c.Limits.TasksPerJob))
	}
	if c.Retention.AnswerRetention > c.Retention.IdentityValidity {
		r.add("retention.answer_retention", c.Retention.AnswerRetention, fmt.Sprintf("must be at most identity_validity, which is %s", c.Retention.IdentityValidity))
	}
	return r.problems
}

type relationChecker struct {
	problems Problems
	names    map[string]bool   // names in use, as "kind name"
	digests  map[string]string // path of the first use, by token digest
}

func (r *relationChecker) add(path string, value any, bound string) {
	r.problems = append(r.problems, Problem{Code: result.OutOfRange, Path: path, Value: displayValue(path, value), Bound: bound})
}

func (r *relationChecker) unique(path, kind, name string) {
	key := kind + " " + name
	if r.names[key] {
		r.add(path+".name", name, "must be unique")
	}
	r.names[key] = true
}

func (r *relationChecker) token(path, digest string) {
	if first, used := r.digests[digest]; used {
		r.add(path+".token_digest", digest, "must be unique, but is also used at "+first+".token_digest")
		return
	}
	r.digests[digest] = path
}

func (r *relationChecker) service(path string, s *Service) {
	r.unique(path, "service", s.Name)
	if s.ExpectedRunTime > s.MaxRunTime {
		r.add(path+".expected_run_time", s.ExpectedRunTime, fmt.Sprintf("must be at most max_run_time, which is %s", s.MaxRunTime))
	}
	if s.DefaultDeadline < s.ExpectedRunTime {
		r.add(path+".default_deadline", s.DefaultDeadline, fmt.Sprintf("must be at least expected_run_time, which is %s", s.ExpectedRunTime))
	}
	if s.MaxDeadline < s.DefaultDeadline {
		r.add(path+".max_deadline", s.MaxDeadline, fmt.Sprintf("must be at least default_deadline, which is %s", s.DefaultDeadline))
	}
}

func (r *relationChecker) team(path string, t *Team) {
	r.unique(path, "team", t.Name)
	for i := range t.Callers {
		at := fmt.Sprintf("%s.callers[%d]", path, i)
		r.unique(at, "caller of "+t.Name, t.Callers[i].Name)
		r.token(at, t.Callers[i].TokenDigest)
	}
	if t.HardLimit == nil {
		return
	}
	r.atLeast(path+".hard_limit.cores", t.HardLimit.Cores, t.Quota.Cores)
	r.atLeast(path+".hard_limit.memory_mb", float64(t.HardLimit.MemoryMB), float64(t.Quota.MemoryMB))
	r.atLeast(path+".hard_limit.accelerators", float64(t.HardLimit.Accelerators), float64(t.Quota.Accelerators))
}

func (r *relationChecker) atLeast(path string, v, low float64) {
	if v < low {
		r.add(path, v, fmt.Sprintf("must be at least the team's quota, which is %g", low))
	}
}
