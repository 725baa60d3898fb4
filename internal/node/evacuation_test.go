package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/store"
)

// Guards against records of the operators that change what is served although they are damaged or name no zone, without a count that operators
// see, and against the configuration's record counting as an evacuation.
func TestRecordsOfEvacuations(t *testing.T) {
	is := is.New(t)
	n := &Node{opts: Options{Records: records{}}, log: silentLog()}
	n.evacuations = evacuation.New(evacuation.Options{Zones: []string{"north", "south"}, Now: func() time.Duration { return 0 }})
	apply := func(snapshot bool, keysAndValues ...string) {
		u := follow.Update{Snapshot: snapshot}
		for i := 0; i < len(keysAndValues); i += 2 {
			u.Records = append(u.Records, store.Record{Key: keysAndValues[i], Value: []byte(keysAndValues[i+1])})
		}
		n.applyEvacuations(u)
	}
	apply(true, "config", "{}")
	is.Equal(n.evacuations.Status(), evacuation.Status{Known: true})
	apply(false, "evacuate/north", "{}")
	is.Equal(n.evacuations.Status().Zones, []string{"north"})
	apply(false, "evacuate/north", "unreadable", "evacuate/south", "unreadable", "evacuate/moon", "{}")
	is.Equal(n.evacuations.Status(), evacuation.Status{Known: true, Zones: []string{"north"}, Foreign: []string{"moon"}})
	is.Equal(n.evacuationCounts.Unreadable.Value(), int64(2))
	is.Equal(n.evacuationCounts.Foreign.Value(), int64(1))
	apply(false, "evacuate/north", "{}", "evacuate/north", "") // written and removed again
	is.Equal(len(n.evacuations.Status().Zones), 0)
	is.Equal(n.evacuationCounts.Begun.Value(), int64(1))
	is.Equal(n.evacuationCounts.Ended.Value(), int64(1))
}
