package catalogcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/work"
)

var bounds = Bounds{SpecBytes: 4000, JobBytes: 512 << 10}

func document() *Document {
	return &Document{
		Version: 7,
		Queues: []catalog.Queue{
			{Name: "stock", Host: "h.example", Prefix: "/a/", Service: "s", Timeout: 1500 * time.Millisecond, Objective: objective(0)},
			{Name: "quote", Host: "h.example", Prefix: "/b/", Service: "s", Timeout: 1500 * time.Millisecond, Objective: objective(2)},
		},
		Services: []Service{{Name: "s"}},
		Limits:   catalog.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func objective(priority int) work.Objective {
	return work.Objective{Stretch: 1.6, Extra: 60 * time.Millisecond, Priority: priority, Attempts: 2}
}

// Guards against findings in a configuration without problems.
func TestSoundDocument(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(document(), bounds)), 0)
}

// Guards against problems that are not found, and against one that hides the others.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*Document)
		severity Severity
		text     string
	}{
		{"host with a port", func(d *Document) { d.Queues[1].Host = "h.example:80" }, Error, "names a port"},
		{"no host", func(d *Document) { d.Queues[1].Host = "" }, Error, "has no host"},
		{"host with a path", func(d *Document) { d.Queues[1].Host = "h.example/b" }, Error, "no host has"},
		{"relative prefix", func(d *Document) { d.Queues[1].Prefix = "b/" }, Error, "does not begin with /"},
		{"prefix with a query", func(d *Document) { d.Queues[1].Prefix = "/b?x=" }, Error, "no path has"},
		{"same host and prefix", func(d *Document) { d.Queues[1].Prefix, d.Queues[1].Host = "/a/", "H.example" }, Error, `queue "stock" comes first`},
		{"same name", func(d *Document) { d.Queues[1].Name = "stock" }, Error, "name of an earlier queue"},
		{"no name", func(d *Document) { d.Queues[1].Name = "" }, Error, "has no name"},
		{"unknown service", func(d *Document) { d.Queues[1].Service = "t" }, Error, "not listed"},
		{"no service", func(d *Document) { d.Queues[1].Service = "" }, Error, "names no service"},
		{"service twice", func(d *Document) { d.Services = append(d.Services, Service{Name: "s"}) }, Error, "listed twice"},
		{"service that is off", func(d *Document) { d.Services[0].Standby = true }, Warning, "endpoints are off"},
		{"stretch below 1", func(d *Document) { d.Queues[1].Objective.Stretch = 0.9 }, Error, "stretch is 0.9"},
		{"negative priority", func(d *Document) { d.Queues[1].Objective.Priority = -1 }, Error, "priority is -1"},
		{"no attempts", func(d *Document) { d.Queues[1].Objective.Attempts = 0 }, Warning, "counts as 1"},
		{"negative timeout", func(d *Document) { d.Queues[1].Timeout = -1 }, Error, "must not be negative"},
		{"timeout before the objective", func(d *Document) { d.Queues[1].Timeout = 50 * time.Millisecond }, Error, "time out before"},
		{"advice", func(d *Document) { d.Queues[1].NeedsAdvice = true }, Warning, "does not support"},
		{"no header bytes", func(d *Document) { d.Limits.HeaderBytes = 0 }, Warning, "default of the program"},
		{"small bodies", func(d *Document) { d.Limits.BodyBytes = 4000 }, Warning, "longest specification"},
		{"large bodies", func(d *Document) { d.Limits.BodyBytes = 1 << 20 }, Warning, "refused all the same"},
		{"header timeout", func(d *Document) { d.Limits.HeaderTimeout = time.Minute }, Warning, "idle timeout"},
		{"unknown field", func(d *Document) { d.UnknownFields = []string{"routes[0].prioo"} }, Warning, "ignored"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := document()
			c.change(d)
			found := Check(d, bounds)
			is.True(len(found) > 0)
			is.True(strings.Contains(found[0].Text, c.text))
			is.Equal(found[0].Severity, c.severity)
			is.Equal(HasErrors(found), c.severity == Error)
		})
	}
}

// Guards against a version that instances would ignore without telling anyone.
func TestSuccessorNeedsAHigherVersion(t *testing.T) {
	is := is.New(t)
	inForce, next := document(), document()
	is.True(HasErrors(CheckSuccessor(inForce, next)))
	next.Version++
	is.Equal(len(CheckSuccessor(inForce, next)), 0)
}

// Guards against differences that are not shown.
func TestChanges(t *testing.T) {
	is := is.New(t)
	inForce, next := document(), document()
	is.Equal(len(Changes(inForce, next)), 0)
	next.Queues[0].Objective.Priority = 1
	next.Queues[1].Name = "bulk"
	next.Services = append(next.Services, Service{Name: "t"})
	next.Limits.BodyBytes = 1000
	is.Equal(Changes(inForce, next), []string{
		`queue "stock": priority 0 -> 1`,
		`queue "bulk" is added: h.example/b/, service s`,
		`queue "quote" is removed: its requests are answered with 404`,
		`service "t" is added`,
		`limits: body bytes 262144 -> 1000`,
	})
	is.Equal(Changes(next, inForce)[3], `service "t" is removed`)
}
