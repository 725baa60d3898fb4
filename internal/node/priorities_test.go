package node

import (
	"testing"

	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// mistakenRecords decodes each configuration to one in which a priority is out of range.
type mistakenRecords struct{ records }

func (mistakenRecords) DecodeConfig([]byte) (*catalog.Config, error) {
	queues := []catalog.Queue{
		{Name: "a", Host: "h.example", Prefix: "/a/", Service: "survey"},
		{Name: "b", Host: "h.example", Prefix: "/b/", Service: "survey", Objective: work.Objective{Priority: -3}},
	}
	return catalog.New(1, queues, catalog.Limits{}), nil
}

// Guards against a priority out of range that nobody learns of, or that takes a configuration or a queue out of service.
func TestPriorityOutOfRange(t *testing.T) {
	is := is.New(t)
	log, lines := logtest.NewNullLogger()
	n := &Node{opts: Options{Records: mistakenRecords{}}, log: log}
	n.applyConfig(store.Record{Value: []byte("{}")})
	is.Equal(n.invalidPriorities(), int64(1))
	is.Equal(n.config.Load().Match("h.example", "/b/x").Name, "b")
	is.True(!n.config.Weighs("survey"))
	is.Equal(lines.LastEntry().Data["event"], "priority_invalid")
	is.Equal(lines.LastEntry().Data["queue"], "b")
	n.applyConfig(store.Record{Value: []byte("{}")}) // not in force again
	reported := 0
	for _, e := range lines.AllEntries() {
		if e.Data["event"] == "priority_invalid" {
			reported++
		}
	}
	is.Equal(reported, 1)
}
