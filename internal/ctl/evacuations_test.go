package ctl

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/dump"
	"github.com/savorypass/savorypass/internal/evacuation"
)

// Guards against an evacuation that operators cannot see, or that seems to be known everywhere although an instance does not know of it, and
// against a record of a zone that does not exist going unnoticed.
func TestEvacuations(t *testing.T) {
	is := is.New(t)
	know := func(name string, s evacuation.Status) dump.Instance {
		return dump.Instance{Instance: name, Evacuations: s}
	}
	is.Equal(len(evacuations([]dump.Instance{know("n1", evacuation.Status{Known: true})})), 0)
	is.Equal(evacuations([]dump.Instance{
		know("n1", evacuation.Status{Known: true, Zones: []string{"north", "south"}, Foreign: []string{"moon"}}),
		know("n2", evacuation.Status{Known: true, Zones: []string{"south"}}),
		know("n3", evacuation.Status{Zones: []string{"south"}}),
	}), []string{
		"north is evacuated; unknown to [n2 n3]", "south is evacuated", `a record evacuates "moon", which is no zone of the deployment`,
	})
}
