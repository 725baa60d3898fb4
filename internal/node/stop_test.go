package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/platform"
)

// Guards against a planned stop that closes the connection of a caller whose cancel is looking for its job, in place of answering: the
// instances of a zone cannot be asked.
func TestPlannedStopAnswersCancels(t *testing.T) {
	is := is.New(t)
	d := deployZones(t, 3, 20*time.Millisecond, "north", "south")
	a := d.start("a")
	d.eventually("the instance is ready", func() bool { status, _ := get(a.health + platform.HealthPath); return status == 200 })
	a.Drain()
	time.Sleep(2300 * time.Millisecond) // the stop ends 5 s after its start, sooner if no request is in progress after 2.5 s
	answers := make(chan string, 2)
	for n := range cap(answers) {
		go func() { answers <- a.call("DELETE", id(n), 0) }()
	}
	for range cap(answers) {
		is.Equal((<-answers)[:3], "503")
	}
	is.NoErr(<-a.ended)
}
