package node

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// records decodes every registration except the value "unreadable".
type records struct{}

func (records) ConfigTopic() (topic, key string)             { return "", "" }
func (records) EndpointsTopic() string                       { return "" }
func (records) LeadersTopic(string) string                   { return "" }
func (records) JobsTopic(string) string                      { return "" }
func (records) DivisionsTopic() string                       { return "" }
func (records) DecodeConfig([]byte) (*catalog.Config, error) { return nil, nil }
func (records) EvacuationZone(key string) (string, bool)     { return strings.CutPrefix(key, "evacuate/") }

func (records) DecodeEvacuation(_ string, raw []byte) error {
	if string(raw) == "unreadable" {
		return errors.New("unreadable")
	}
	return nil
}

func (records) DecodeEndpoint(key string, raw []byte) (work.Endpoint, error) {
	if string(raw) == "unreadable" {
		return work.Endpoint{}, errors.New("unreadable")
	}
	return work.Endpoint{ID: work.EndpointID(key)}, nil
}

// Guards against a takeover that does not wait for an endpoint because it was registered and removed between two reads of
// the registrations.
func TestRegistrationsOfOneUpdate(t *testing.T) {
	log := silentLog()
	n := &Node{opts: Options{Records: records{}}, log: log}
	record := func(key, value string) store.Record { return store.Record{Key: key, Value: []byte(value)} }
	for _, c := range []struct {
		name             string
		records          []store.Record
		changed, removed int
	}{
		{"registered", []store.Record{record("a", "x")}, 1, 0},
		{"registered and removed", []store.Record{record("a", "x"), record("a", "")}, 1, 1},
		{"removed and registered", []store.Record{record("a", ""), record("a", "x")}, 1, 0},
		{"unreadable", []store.Record{record("a", "unreadable")}, 0, 1},
		{"registered and unreadable", []store.Record{record("a", "x"), record("a", "unreadable")}, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := n.registrations(follow.Update{Records: c.records})
			is.Equal(len(r.Changed), c.changed)
			is.Equal(len(r.Removed), c.removed)
		})
	}
}
