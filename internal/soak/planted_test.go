package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

var epoch = time.Unix(1_000_000, 0)

// at returns a time of a planted run, in milliseconds from its start.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func taskOf(step, index int) work.TaskID { return work.TaskID{Job: "j", Step: step, Index: index} }

func ranAt(endpoint work.EndpointID, task work.TaskID, from, to int, reason work.EndReason) fleet.Start {
	return fleet.Start{Task: task, Run: 1, Endpoint: endpoint, StartedAt: at(from), EndedAt: at(to), Reason: reason}
}

func orderAt(ms int, caller string, fence int64) standin.Order {
	return standin.Order{At: at(ms), Caller: caller, Address: "a:1", Endpoint: "e1", Start: true, Task: taskOf(0, 0), Run: 1, Fence: fence}
}

var storedTask = work.TaskID{Job: "stored"}

// notedRun returns a run of the stored job's task at an endpoint of its own whose end was noted.
func notedRun(from, to int, reason work.EndReason) fleet.Start {
	s := ranAt(work.EndpointID(fmt.Sprint("stored", from)), storedTask, from, to, reason)
	s.Noted = true
	return s
}

// soundView returns the view of a run in which all promises hold: a job of two steps, two stored jobs of which one is cancelled, three
// revisions of the configuration, a planned stop and an endpoint that leaves.
func soundView() *view {
	return &view{
		began: epoch, at: at(60_000),
		jobs: []job{{ID: "j", Steps: []int{2, 1}, Attempts: []attempt{
			{Instance: "i1", Sent: at(0), Ended: at(400), Status: 200, State: work.Completed},
		}}, {ID: "refused", Steps: []int{1}, Attempts: []attempt{{Instance: "i1", Sent: at(0), Ended: at(1), Status: 503}}}, {
			ID: "stored", Steps: []int{1}, Stored: &storedState{Accepted: at(50), Answers: []stateAnswer{
				{Instance: "i1", Sent: at(500), Ended: at(501), Status: 200, State: work.Completed},
			}},
		}, {ID: "cancelled", Steps: []int{1}, Stored: &storedState{Accepted: at(50), Cancel: at(60), Cancelled: at(70)}}},
		starts: []fleet.Start{
			ranAt("e1", taskOf(0, 0), 10, 100, work.EndSucceeded), ranAt("e2", taskOf(0, 1), 10, 200, work.EndSucceeded),
			ranAt("e1", taskOf(1, 0), 210, 300, work.EndSucceeded),
			notedRun(60, 80, work.EndFailed), notedRun(100, 200, work.EndSucceeded),
		},
		orders:    []standin.Order{orderAt(10, "1", 5), orderAt(20_000, "2", 6)},
		published: []time.Time{at(0), at(1000), at(2000)},
		probes: []probe{
			{Instance: "i1", Sent: at(5000), Answered: at(5001), Revision: 2, Known: true, Newest: 2},
			{Instance: "i1", Sent: at(6000), Answered: at(6001), Revision: 1, Known: true, Newest: 2},
		},
		stops:       []stop{{Instance: "i1", At: at(300), Ended: at(900)}},
		drains:      []drain{{"e1", at(10_000)}},
		evacuations: []zoneEvacuation{{Zone: "north", Acked: at(10_000), Removed: at(20_000)}},
		zones:       map[work.EndpointID]string{"e1": "north"},
		callers:     map[string]string{"1": "i1", "2": "i2"},
	}
}

// planted holds, for each rule, changes of a sound view that break it.
var planted = map[string][]func(v *view){
	"one run of a task at a time": {
		func(v *view) { v.starts = append(v.starts, ranAt("e2", taskOf(0, 0), 99, 150, work.EndStopped)) },
		func(v *view) { v.starts[2].EndedAt = time.Time{}; v.starts = append(v.starts, v.starts[2]) },
	},
	"refusals are true": {
		func(v *view) { v.jobs[0].Attempts[0] = attempt{Instance: "i1", Status: 429} },
		func(v *view) {
			v.starts = append(v.starts, ranAt("e1", work.TaskID{Job: "refused"}, 5000, 5100, work.EndSucceeded)) // it ran late
		},
	},
	"answers are whole": {
		func(v *view) { v.starts[1].Reason = work.EndStopped },
		func(v *view) { v.starts[1].EndedAt = at(401) },
		func(v *view) { v.jobs[0].Attempts[0].State = work.Failed },
		func(v *view) { // one crash is no reason
			v.jobs[0].Attempts[0].State = work.Failed
			v.starts = append(v.starts, ranAt("e3", taskOf(0, 0), 1, 5, work.EndGangBroken))
		},
		func(v *view) { v.jobs[0].Attempts[0].State = "" }, // the body is cut
		func(v *view) { v.jobs[0].Attempts[0].Status = 404 },
	},
	"only tasks of submitted jobs run": {
		func(v *view) {
			v.starts = append(v.starts, ranAt("e1", work.TaskID{Job: "other"}, 10, 20, work.EndSucceeded))
		},
		func(v *view) { v.starts = append(v.starts, ranAt("e1", taskOf(0, 2), 10, 20, work.EndSucceeded)) },
	},
	"steps run in order": {func(v *view) { v.starts[2].StartedAt = at(199) }},
	"capacity is never exceeded": {func(v *view) {
		for n := range endpointSlots {
			v.starts = append(v.starts, ranAt("e1", work.TaskID{Job: "j2", Index: n}, 50, 90, work.EndSucceeded))
		}
	}},
	"fences never fall":         {func(v *view) { v.orders[1].Fence = 4 }},
	"one holder for each fence": {func(v *view) { v.orders[1].Fence = 5 }},
	"leaving endpoints get no new runs": {func(v *view) {
		v.orders = append(v.orders, orderAt(12_001, "1", 7))
		v.orders[2].Run = 2
	}},
	"evacuated zones get no new runs": {func(v *view) {
		v.orders = append(v.orders, orderAt(13_001, "1", 7))
		v.orders[2].Run = 2
	}},
	"configuration is in force in time": {
		func(v *view) { v.probes[0].Known = false },
		func(v *view) { // a route is known that was dropped long ago
			v.published = append(v.published, at(3000), at(3500))
			v.probes = append(v.probes, probe{Instance: "i2", Sent: at(9000), Answered: at(9001), Revision: 1, Known: true, Newest: 4})
		},
	},
	"configuration never goes back": {
		func(v *view) { v.probes[1].Known = false },
		func(v *view) {
			v.published = append(v.published, at(3000))
			v.probes = append(v.probes, probe{Instance: "i1", Sent: at(5000), Answered: at(5001), Revision: 3, Known: true, Newest: 3},
				probe{Instance: "i1", Sent: at(5300), Answered: at(5301), Revision: 0, Known: true, Newest: 3})
		},
	},
	"planned stops cut no request": {
		func(v *view) { // tasks of the request ran
			v.jobs[0].Attempts[0] = attempt{Instance: "i1", Sent: at(0), Ended: at(350), Broken: true}
		},
		func(v *view) { // the request had not been passed on, but the instance had it for long
			v.starts = nil
			v.jobs[0].Attempts[0] = attempt{Instance: "i1", Sent: at(600), Ended: at(850), Broken: true}
		},
	},
}

// plantedStored holds the changes for the rules on stored jobs.
var plantedStored = map[string][]func(v *view){
	"no stored task starts after a noted success": {
		func(v *view) { v.starts = append(v.starts, notedRun(201, 300, work.EndStopped)) },
	},
	"no stored task starts after its attempts": {
		func(v *view) { v.starts = append(v.starts, notedRun(81, 90, work.EndFailed)) },
	},
	"stored jobs are not lost": {
		func(v *view) { v.jobs[2].Stored.Answers[0] = stateAnswer{Sent: at(3051), Ended: at(3052), Status: 410} },
		func(v *view) { v.jobs[2].Stored.Answers[0].State = work.Cancelled },
	},
	"stored states are true": {
		func(v *view) { v.jobs[2].Stored.Answers[0].Ended = at(199) },
		func(v *view) { v.jobs[2].Stored.Answers[0].State = work.Failed },
	},
	"cancelled jobs stop": {func(v *view) {
		late := orderAt(3071, "1", 5)
		late.Task = work.TaskID{Job: "cancelled"}
		v.orders = append(v.orders, late)
	}},
}

// Guards against a check that does not notice the fault that it is there for, and against one that finds a fault in a sound
// run.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, rule := range rules {
		t.Run(rule.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(rule.check(soundView())), 0)
			plants := slices.Concat(planted[rule.name], plantedStored[rule.name])
			is.True(len(plants) > 0)
			for _, plant := range plants {
				v := soundView()
				plant(v)
				is.True(len(rule.check(v)) > 0)
			}
		})
	}
}

// Guards against checks that blame instances for what the users' platform allows while it disturbs them, and against checks
// that a disturbance of another instance switches off.
func TestBoundsHoldOnlyWithoutDisturbances(t *testing.T) {
	is := is.New(t)
	v := soundView()
	v.probes[0].Known = false
	v.spans = []span{{"i2", at(2500), at(4900)}}
	is.Equal(len(lateConfigs(v)), 1)
	v.spans = append(v.spans, span{Who: "i1", From: at(2500), To: at(4900)})
	is.Equal(len(lateConfigs(v)), 0)
	v.spans[1] = span{Who: "i2"}
	v.pauses = []span{{From: at(4000), To: at(4300)}} // the stand-ins stood still
	is.Equal(len(lateConfigs(v)), 0)
	v.pauses[0].To = at(4200) // extends the bound, which was over long before
	is.Equal(len(lateConfigs(v)), 1)
	v.spans[1] = span{Who: "i1", From: at(2500), To: at(4900)}
	v.spans[1].To = at(-1) // contact before the publication would have been due
	v.spans[1].From = at(-2)
	is.Equal(len(lateConfigs(v)), 1)
}

// Guards against link faults without an effect, which would let every run pass: data that flows through a cut, a reset that the
// user does not see, and silence that also takes new connections.
func TestLinkFaults(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	defer n.close()
	target := echo(t)
	open := func() net.Conn {
		c, err := net.Dial("tcp", n.Route("127.0.0.2", target))
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	first := open()
	is.NoErr(ask(first, time.Minute))
	l := n.between(func(string, string) bool { return true })[0]
	cut := &linkFault{cut: [2]bool{toUser: true}}
	l.begin(cut)
	is.True(errors.Is(ask(first, 50*time.Millisecond), os.ErrDeadlineExceeded))
	l.end(cut)
	first.SetReadDeadline(time.Time{})
	is.NoErr(read(first)) // the data that was held
	l.silence()
	is.True(errors.Is(ask(first, 50*time.Millisecond), os.ErrDeadlineExceeded))
	second := open()
	is.NoErr(ask(second, time.Minute))
	l.reset()
	is.True(errors.Is(ask(second, time.Minute), syscall.ECONNRESET))
}

// echo serves an address that sends back what it gets.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	return l.Addr().String()
}

// ask sends a byte and waits for the answer until a limit.
func ask(c net.Conn, limit time.Duration) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(limit))
	return read(c)
}

func read(c net.Conn) error {
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}
