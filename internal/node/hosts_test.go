package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against callers of an evacuated zone that is cut off, too, who wait for the whole placement timeout before each refusal, and against
// refusals at once in the moments of a restart.
func TestHostsOutOfReach(t *testing.T) {
	is := is.New(t)
	var h hostReach
	begun := time.Now()
	is.True(!h.lost(begun.Add(time.Hour)))
	h.note(false, begun)
	h.note(false, begun.Add(maxHostSearch))
	is.True(!h.lost(begun.Add(maxHostSearch)))
	is.True(h.lost(begun.Add(maxHostSearch + 1)))
	h.note(true, begun.Add(2*maxHostSearch))
	is.True(!h.lost(begun.Add(2 * maxHostSearch)))
}

// Guards against refusals in a zone that is not evacuated, and against waits in one that is and has nobody to serve it.
func TestTargetsWithoutAHost(t *testing.T) {
	is := is.New(t)
	r := routerOf(lead.New(lead.Options{Log: silentLog()}))
	r.evacuations = evacuation.New(evacuation.Options{Zones: []string{"north", "south"}, Now: func() time.Duration { return 0 }})
	r.hosts.note(false, time.Now().Add(-2*maxHostSearch))
	is.True(len(r.Targets(&work.Job{ID: "j"})) > 0)
	r.checkHosts()
	r.evacuations.Apply(evacuation.Read{Records: []evacuation.Record{{Zone: "north", Present: true}}})
	is.True(len(r.Targets(&work.Job{ID: "j"})) > 0)
	r.checkHosts()
	is.True(len(r.Targets(&work.Job{ID: "j"})) > 0)
	r.hosts.note(true, time.Now())
	r.hosts.note(false, time.Now().Add(-2*maxHostSearch))
	is.Equal(len(r.Targets(&work.Job{ID: "j"})), 0)
}
