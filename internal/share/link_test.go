package share

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/secure"
)

// Guards against a second start: a peer repeats "refused" because the acknowledgement was lost, while the home has
// already delegated the task to another peer. The repetition must not end the second delegation, as its task would be
// queued and started again.
func TestRepeatedRefusalDoesNotEndTheNextDelegation(t *testing.T) {
	is := is.New(t)
	s := New(Options{Now: time.Now})
	ended := map[string]int{}
	add := func(p string) {
		s.pending.add(time.Now(), "id/0", "zone/"+p, 0, func(int, platform.RunResult) { ended[p]++ })
	}
	refuse := func(p string) {
		body := message.Encode(&message.DelegateResults{Results: []message.TaskResult{{Task: "id/0", Outcome: platform.Refused}}})
		_, err := s.results(context.Background(), peer.From{Name: secure.Name{Zone: "zone", Instance: p}}, body)
		is.NoErr(err)
	}
	add("first")
	refuse("first")
	add("second")
	refuse("first") // the repetition
	is.Equal(ended, map[string]int{"first": 1})
	refuse("second")
	is.Equal(ended, map[string]int{"first": 1, "second": 1})
}
