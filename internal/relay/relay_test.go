package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// attended is the answer of an instance that attends to its callers.
func attended() time.Duration { return 0 }

// cancellations passes on what it is given.
type cancellations struct {
	mu     sync.Mutex
	recent []Cancellation
	merged []Cancellation
}

func (c *cancellations) Recent() []Cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent
}

func (c *cancellations) set(recent ...Cancellation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = recent
}

func (c *cancellations) Merge(all []Cancellation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merged = append(c.merged, all...)
}

func (c *cancellations) hasMerged(x Cancellation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.merged, x)
}

// echo is a dispatcher that answers every job at once as completed, except those of the queue "kept".
type echo struct {
	cancelled     chan work.JobID
	gone          chan Client
	cancellations cancellations
	kept          chan Client // clients of the jobs that are not answered
}

func (e *echo) Submit(from Client, s *Submit) {
	if s.Job.Queue == "kept" {
		e.kept <- from
		return
	}
	from.Answer(&Answer{Job: s.Job.ID, State: work.Completed})
}
func (e *echo) Cancel(_ Client, c *Cancel) { e.cancelled <- c.Job }
func (e *echo) Claim(from Client, c *Claim) {
	from.Answer(&Answer{Job: c.Job, Number: c.Number, Claim: true, Placed: &c.At})
}
func (e *echo) ClientGone(from Client)       { e.gone <- from }
func (e *echo) Loads() []Load                { return []Load{{Partition: 3, Pressure: 77}} }
func (e *echo) Cancellations() Cancellations { return &e.cancellations }
func (e *echo) Attempts() []attempt.Attempt {
	return []attempt.Attempt{{
		Task: work.TaskID{Job: "a", Step: 1, Index: 2}, Run: 3, Process: attempt.Process{Endpoint: "i", StartedUnixMS: 7}, Outcome: attempt.Crashed,
	}}
}

func listen(t *testing.T) (*Server, *echo) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &echo{cancelled: make(chan work.JobID, 10), gone: make(chan Client, 10), kept: make(chan Client, 10)}
	s, err := Listen("127.0.0.1:0", e, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s, e
}

func receive[T any](t *testing.T, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing received within 20 s")
		panic("unreachable")
	}
}

// Guards against a dispatcher that takes the callers of an instance for present while that instance cannot notice that they leave: its
// heartbeats go on.
func TestUnattendedCallersCountAsSilence(t *testing.T) {
	is := is.New(t)
	s, e := listen(t)
	u := Dial(s.Address(), nil, Handler{
		Unattended: func() time.Duration { return time.Hour }, Cancellations: &cancellations{},
		Answer: func(*Answer) {}, Attempts: func([]attempt.Attempt) {}, End: func(*Uplink, bool, error) {},
	})
	defer u.Close()
	u.Submit(&Submit{Job: work.Job{ID: "b", Queue: "kept"}})
	client := receive(t, e.kept)
	for end := time.Now().Add(20 * time.Second); client.Silence() < time.Hour; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the silence does not contain what the heartbeat says")
		}
	}
	is.True(client.Silence() < 2*time.Hour)
}

// backlog is a dispatcher that handles the first job of a connection slowly. The messages behind it wait in the connection.
type backlog struct {
	echo
	silence chan time.Duration // of the client, before and after the wait
	submits chan *Submit
}

const backlogTime = 500 * time.Millisecond

func (b *backlog) Submit(from Client, s *Submit) {
	if s.Job.ID == "slow" {
		time.Sleep(backlogTime)
		return
	}
	b.silence <- from.Silence()
	b.submits <- s
}

// Guards against what was true when a message was sent and is not when it is handled: a caller's time that counts from the handling of
// its submission, and heartbeats that have waited in the connection and count as heard now.
func TestAgeOfMessagesThatWait(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &backlog{echo: echo{gone: make(chan Client, 1)}, silence: make(chan time.Duration, 1), submits: make(chan *Submit, 1)}
	s, err := Listen("127.0.0.1:0", b, nil, log)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	u := Dial(s.Address(), nil, Handler{
		Unattended: attended, Cancellations: &cancellations{},
		Answer: func(*Answer) {}, Attempts: func([]attempt.Attempt) {}, End: func(*Uplink, bool, error) {},
	})
	defer u.Close()
	u.Submit(&Submit{Job: work.Job{ID: "slow"}})
	u.Submit(&Submit{Job: work.Job{ID: "a"}, Remaining: 100 * time.Millisecond})
	silence, m := receive(t, b.silence), receive(t, b.submits)
	is.True(silence >= backlogTime-submitterInterval)
	is.True(silence < unknownSilence)
	is.True(m.Age() >= backlogTime-submitterInterval)
	is.True(m.Expired())
}

// Guards against jobs that wait in the connection to a stopped process, which would start them when it goes on: they are not sent before
// the process has sent a message.
func TestNoJobBeforeTheDispatcherResponds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	u := Dial(l.Addr().String(), nil, Handler{Unattended: attended, Cancellations: &cancellations{}, Attempts: func([]attempt.Attempt) {}, End: func(*Uplink, bool, error) {}})
	defer u.Close()
	u.Submit(&Submit{Job: work.Job{ID: "a"}})
	conn, err := l.Accept()
	is.NoErr(err)
	defer conn.Close()
	for {
		message, err := read(conn)
		if err != nil {
			return // the uplink has closed the silent connection
		}
		_, job := message.(*Submit)
		is.True(!job)
	}
}

// Guards against an instance of an earlier version, whose heartbeats do not say when they were composed, that counts as silent for ever.
func TestHeartbeatsOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	c := newRemoteClient(&link{})
	is.True(c.Silence() >= unknownSilence)
	c.heard(&heartbeat{Unattended: time.Second})
	is.True(c.Silence() >= time.Second)
	is.True(c.Silence() < unknownSilence)
}

// Guards against an age that is too low after the clocks of both ends have been compared over a slow path, and against one that stays too
// high once the path is fast again.
func TestClocksAreComparedByRoundTrips(t *testing.T) {
	is := is.New(t)
	var p peerClock
	_, known := p.own(time.Second)
	is.True(!known)
	const behind = time.Hour // of the peer's clock
	now := pause.Elapsed()
	p.observe(clockReading{Composed: now - behind, Echo: now - time.Second, Received: now - behind}) // a second on the way to the peer
	at, known := p.own(now - behind)
	is.True(known)
	is.Equal(at, now-time.Second)
	p.observe(clockReading{Composed: now - behind, Echo: now - time.Millisecond, Received: now - behind})
	at, _ = p.own(now - behind)
	is.Equal(at, now-time.Millisecond)
}

// Guards against an age that is too low for good after clocks have drifted apart, and against one that is lost when a window ends.
func TestOldComparisonsOfClocksAreForgotten(t *testing.T) {
	is := is.New(t)
	var p peerClock
	compare := func(way time.Duration) {
		now := pause.Elapsed()
		p.observe(clockReading{Composed: now, Echo: now - way, Received: now})
	}
	age := func() time.Duration {
		at, known := p.own(0)
		is.True(known)
		return -at
	}
	endWindow := func() { p.offsets[0].since -= 2 * offsetWindow }
	p.offsets[0].since = pause.Elapsed()
	compare(time.Millisecond)
	endWindow()
	compare(time.Second)
	is.Equal(age(), time.Millisecond)
	endWindow()
	compare(time.Second)
	is.Equal(age(), time.Second)
}

// Guards against a heartbeat that says when it was composed but tells of the callers as of an earlier time: the state is taken after that.
func TestHeartbeatIsNotNewerThanItsState(t *testing.T) {
	is := is.New(t)
	var asked time.Duration
	l := &link{state: func() heartbeat {
		asked = pause.Elapsed()
		return heartbeat{}
	}}
	message, err := read(bytes.NewReader(l.heartbeat()))
	is.NoErr(err)
	is.True(message.(*heartbeat).Composed <= asked)
}

// Guards against a heartbeat that overtakes the cancel of a caller that had left when it was composed.
func TestHeartbeatComesAfterQueuedMessages(t *testing.T) {
	is := is.New(t)
	l := &link{queue: make(chan []byte, 2)}
	l.queue <- []byte("b")
	l.queue <- []byte("c")
	var out bytes.Buffer
	is.NoErr(l.writeBatch(bufio.NewWriter(&out), []byte("a"), []byte("heartbeat")))
	is.Equal(out.String(), "abcheartbeat")
}

// Guards against cancellations that do not reach the instances on the other end of a connection.
func TestHeartbeatsCarryCancellations(t *testing.T) {
	s, e := listen(t)
	up, down := Cancellation{Job: "a"}, Cancellation{Job: "b", Found: true}
	e.cancellations.set(down)
	own := &cancellations{recent: []Cancellation{up}}
	u := Dial(s.Address(), nil, Handler{
		Unattended: attended, Cancellations: own,
		Answer: func(*Answer) {}, Attempts: func([]attempt.Attempt) {}, End: func(*Uplink, bool, error) {},
	})
	defer u.Close()
	wait.For(t, "both ends learn of the other's cancellation", func() bool { return own.hasMerged(down) && e.cancellations.hasMerged(up) })
}

// Guards against jobs, answers, cancellations, loads or unsuccessful runs that are lost on a working connection, also when they are sent
// before it is open.
func TestRelay(t *testing.T) {
	is := is.New(t)
	s, e := listen(t)
	answers := make(chan *Answer, 10)
	attempts := make(chan []attempt.Attempt, 100)
	ended := make(chan bool, 1)
	u := Dial(s.Address(), nil, Handler{
		Unattended: attended, Cancellations: &cancellations{},
		Answer: func(a *Answer) { answers <- a }, Attempts: func(a []attempt.Attempt) { attempts <- a },
		End: func(_ *Uplink, sent bool, _ error) { ended <- sent },
	})
	u.Submit(&Submit{Job: work.Job{ID: "a", Steps: []work.Step{{Count: 2}}}})
	is.Equal(receive(t, answers).Job, work.JobID("a"))
	u.Submit(&Submit{Job: work.Job{ID: "b", Queue: "kept"}})
	u.Cancel(&Cancel{Job: "b"})
	is.Equal(receive(t, e.cancelled), work.JobID("b"))
	pressure := func() int {
		load, _ := u.Load(3)
		return load.Pressure
	}
	for end := time.Now().Add(20 * time.Second); pressure() != 77; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no load received within 20 s")
		}
	}
	is.Equal(receive(t, attempts), e.Attempts())
	u.Close()
	receive(t, e.gone) // the dispatcher is informed that the client is gone
	is.True(receive(t, ended))
}

// Guards against jobs that wait for a dispatcher that cannot be reached, and against jobs that count as sent to such a
// dispatcher.
func TestUnreached(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	ended := make(chan bool, 1)
	Dial(address, nil, Handler{Unattended: attended, Cancellations: &cancellations{}, Attempts: func([]attempt.Attempt) {}, End: func(_ *Uplink, sent bool, _ error) { ended <- sent }})
	is.True(!receive(t, ended))
}

// Guards against connections that stay in use although the peer has stopped sending without closing them.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			if _, err := l.Accept(); err != nil { // the connection stays open, and nothing is sent over it
				return
			}
		}
	}()
	ended := make(chan bool, 1)
	Dial(l.Addr().String(), nil, Handler{Unattended: attended, Cancellations: &cancellations{}, Attempts: func([]attempt.Attempt) {}, End: func(_ *Uplink, sent bool, _ error) { ended <- sent }})
	is.True(!receive(t, ended))                             // jobs are sent only after the peer's first message
	is.True(!Probe(l.Addr().String(), 50*time.Millisecond)) // like a machine that accepts connections for a stopped process
	live, _ := listen(t)
	is.True(Probe(live.Address(), 20*time.Second))
}

// Guards against messages that are changed by encoding and decoding.
func TestCodec(t *testing.T) {
	is := is.New(t)
	in := &Submit{Number: 1 << 40, Resumed: true, Job: work.Job{
		ID: "x", Queue: "q", Service: "s", Spec: "text", Objective: work.Objective{Stretch: 1.5, Extra: time.Second, Attempts: 3},
		Steps: []work.Step{{Count: 3, Size: work.Size{MilliCPU: 5}, DependsOn: []int{0}, Label: "l", DataRack: "r", MaxPerEndpoint: 2}},
	}}
	frame, err := encode(in)
	is.NoErr(err)
	out, err := read(bytes.NewReader(frame))
	is.NoErr(err)
	is.Equal(out, in)
	answer := &Answer{Job: "x", Number: 1 << 40, Refused: pool.ReasonNoRoom, RetryAfter: time.Second, Started: true}
	frame, err = encode(answer)
	is.NoErr(err)
	out, err = read(bytes.NewReader(frame))
	is.NoErr(err)
	is.Equal(out, answer)
}

// Guards against instances that do not understand each other while an upgrade runs: those of earlier versions neither send the number of
// a submission nor know it.
func TestMessagesOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	type earlierCancel struct {
		Job       work.JobID `msgpack:"j"`
		Partition int        `msgpack:"p,omitempty"`
	}
	payload, err := msgpack.Marshal(&earlierCancel{"x", 2})
	is.NoErr(err)
	message, err := decode(kindCancel, payload)
	is.NoErr(err)
	is.Equal(message, &Cancel{Job: "x", Partition: 2})
	payload, err = msgpack.Marshal(&Cancel{Job: "x", Partition: 2, Number: 7})
	is.NoErr(err)
	var earlier earlierCancel
	is.NoErr(msgpack.Unmarshal(payload, &earlier))
	is.Equal(earlier, earlierCancel{"x", 2})
	for _, n := range []struct {
		a, b    SubmissionNumber
		matches bool
	}{{0, 7, true}, {7, 0, true}, {7, 7, true}, {6, 7, false}} {
		is.Equal(n.a.Matches(n.b), n.matches)
	}
}

// Guards against a job at the limits of callers' requests that fits into no message, so that it is lost on its way to the dispatcher.
func TestLargestJobFits(t *testing.T) {
	is := is.New(t)
	const tasks, dependencies, attempts = 4096, 256 << 10, 3
	in := &Submit{Job: work.Job{ID: "x", Spec: strings.Repeat("s", 4000)}}
	for i := range tasks {
		s := work.Step{Count: 1, Size: work.Size{MilliCPU: 1 << 20, MemoryMB: 1 << 20}, Estimate: time.Hour}
		for d := range min(i, dependencies/tasks) {
			s.DependsOn = append(s.DependsOn, i-d-1)
		}
		in.Job.Steps = append(in.Job.Steps, s)
		for run := range attempts {
			in.Attempts = append(in.Attempts, attempt.Attempt{Task: work.TaskID{Job: "0123456789abcdef", Step: i}, Run: run, Process: attempt.Process{Endpoint: "i-0123456789abcdef", StartedUnixMS: 1 << 50}})
		}
	}
	_, err := encode(in)
	is.NoErr(err)
}

// Guards against malformed frames that make the decoder panic or allocate a lot of memory.
func FuzzRead(f *testing.F) {
	frame, _ := encode(&Submit{Job: work.Job{ID: "x", Steps: []work.Step{{Count: 1}}}})
	f.Add(frame)
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(_ *testing.T, raw []byte) { read(bytes.NewReader(raw)) })
}

// Guards against jobs that a stopped process reads late and starts although their instance has submitted them elsewhere, and against
// connections that are closed because the time of day was set.
func TestStoppedProcess(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		monotonic, timeOfDay, suspended time.Duration
		stopped                         bool
	}{
		{200 * time.Millisecond, 200 * time.Millisecond, 0, false},
		{2 * time.Second, 2 * time.Second, 0, true},                                     // stopped by a signal
		{200 * time.Millisecond, 3 * time.Second, 2800 * time.Millisecond, true},        // suspended
		{200 * time.Millisecond, 3 * time.Second, 0, false},                             // the time of day was set
		{200 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond, false}, // suspended for a moment
	} {
		suspended := time.Hour
		l := &link{gaps: pause.NewGaps(func() time.Duration { return suspended })}
		suspended += c.suspended
		is.Equal(l.wasStopped(c.monotonic, c.timeOfDay), c.stopped)
	}
}
