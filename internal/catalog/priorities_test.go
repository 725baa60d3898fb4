package catalog

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

func queueOf(name, service string, priority int) Queue {
	return Queue{Name: name, Service: service, Objective: work.Objective{Priority: priority}}
}

// Guards against costs that are weighed for a service whose queues have the same priority, which is to be served as before.
func TestWeighs(t *testing.T) {
	is := is.New(t)
	c := New(1, []Queue{queueOf("a", "alike", 1), queueOf("b", "alike", 1), queueOf("c", "different", 0), queueOf("d", "different", 2)}, Limits{})
	is.True(!c.Weighs("alike"))
	is.True(c.Weighs("different"))
	is.True(!c.Weighs("unknown"))
	is.Equal(len(c.InvalidPriorities()), 0)
}

// Guards against a priority out of range that changes how a service, or another one, is served.
func TestInvalidPriority(t *testing.T) {
	is := is.New(t)
	c := New(1, []Queue{
		queueOf("a", "mistaken", 0), queueOf("b", "mistaken", 1), queueOf("c", "mistaken", -1), queueOf("d", "mistaken", 1000),
		queueOf("e", "other", 0), queueOf("f", "other", 1),
	}, Limits{})
	is.True(!c.Weighs("mistaken"))
	is.True(c.Weighs("other"))
	is.Equal(len(c.InvalidPriorities()), 2)
	is.Equal(c.InvalidPriorities()[0].Name, "c")
}

// Guards against a dispatcher that fails before the first configuration.
func TestWeighsWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	var current Current
	is.True(!current.Weighs("survey"))
	current.StoreIfNewer(New(1, []Queue{queueOf("a", "survey", 0), queueOf("b", "survey", 1)}, Limits{}))
	is.True(current.Weighs("survey"))
	current.StoreIfNewer(New(2, []Queue{queueOf("a", "survey", 0), queueOf("b", "survey", 0)}, Limits{}))
	is.True(!current.Weighs("survey"))
}
