package worker

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/platform"
)

// failFastRun is the run time of tasks while the worker fails everything.
const failFastRun = time.Millisecond

// task is one start of a task.
type task struct {
	id      string
	work    work
	lease   time.Duration
	expires time.Time
	end     float64 // progress of the machine, in ns, at which the task ends
	index   int     // in the heap of running tasks
	state   platform.TaskState
	output  string
	endedAt time.Time
	done    chan struct{}
}

// machine runs tasks by timers. All running tasks progress at the same speed: 1 while the worker has enough slots and
// cores, and less in proportion otherwise. progress is the work that a task would have done if it had run since the
// machine's start, so a task ends when progress has grown by its run time.
type machine struct {
	opts  *Options
	clock clockwork.Clock

	mu       sync.Mutex
	tasks    map[string]*task // latest start of each task, until the retention drops it
	running  taskHeap
	ended    []*task // oldest first
	used     platform.Size
	progress float64
	updated  time.Time
	speed    float64
	factor   float64 // tasks run that many times longer
	failFast bool
	paused   bool
	timer    clockwork.Timer
	closed   bool
	usage    history
	peak     Peak
}

// Peak holds the highest values that were in use at once.
type Peak struct {
	Running      int     `json:"running"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
}

func newMachine(o *Options) *machine {
	m := &machine{opts: o, clock: o.Clock, tasks: map[string]*task{}, speed: 1, factor: 1, updated: o.Clock.Now()}
	m.usage.lag = o.UsageLag
	return m
}

// start starts a task, whether or not it fits.
func (m *machine) start(id string, w work, lease time.Duration) *task {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	if m.failFast {
		w.run, w.output, w.fail = failFastRun, "worker fails everything", true
	}
	t := &task{
		id:      id,
		work:    w,
		lease:   lease,
		expires: now.Add(lease),
		end:     m.progress + float64(w.run),
		state:   platform.TaskRunning,
		done:    make(chan struct{}),
	}
	m.tasks[id] = t
	heap.Push(&m.running, t)
	m.charge(w.size, 1)
	m.settle(now)
	return t
}

// renew extends the leases of running tasks and returns their states.
func (m *machine) renew(ids []string) []platform.TaskStatus {
	return m.each(ids, func(now time.Time, t *task) { t.expires = now.Add(t.lease) })
}

// stop stops running tasks and returns their states.
func (m *machine) stop(ids []string) []platform.TaskStatus {
	return m.each(ids, func(now time.Time, t *task) { m.finish(now, t, platform.TaskStopped, "stopped") })
}

func (m *machine) each(ids []string, apply func(time.Time, *task)) []platform.TaskStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	m.settle(now)
	list := make([]platform.TaskStatus, 0, len(ids))
	for _, id := range ids {
		if t := m.tasks[id]; t != nil && t.state == platform.TaskRunning {
			apply(now, t)
		}
		list = append(list, m.status(id, false))
	}
	m.settle(now)
	return list
}

// fetch returns the state of a task with its output.
func (m *machine) fetch(id string) platform.TaskStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle(m.advance())
	return m.status(id, true)
}

func (m *machine) status(id string, output bool) platform.TaskStatus {
	s := platform.TaskStatus{Task: id, State: platform.TaskUnknown}
	t := m.tasks[id]
	if t == nil {
		return s
	}
	s.State = t.state
	if output {
		s.Output = t.output
	}
	return s
}

// load returns the number of running tasks and the lagging usage.
func (m *machine) load() (running int, usage platform.Size) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	m.settle(now)
	return len(m.running), m.usage.at(now)
}

// set changes the faults that bear on running tasks.
func (m *machine) set(factor float64, failFast, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	m.factor, m.failFast, m.paused = factor, failFast, paused
	m.settle(now)
}

// close stops the timers. Running tasks never end.
func (m *machine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if m.timer != nil {
		m.timer.Stop()
	}
}

// advance brings progress up to the present. The caller holds mu, as for all methods below.
func (m *machine) advance() time.Time {
	now := m.clock.Now()
	m.progress += m.speed * float64(now.Sub(m.updated))
	m.updated = now
	return now
}

// settle ends the tasks that are due, drops old ones, and sets speed and timer.
func (m *machine) settle(now time.Time) {
	if !m.paused {
		m.endDue(now)
		m.expireLeases(now)
	}
	m.dropEnded(now)
	m.setSpeed()
	m.setTimer(now)
}

func (m *machine) endDue(now time.Time) {
	for len(m.running) > 0 && m.running[0].end <= m.progress {
		t := m.running[0]
		if t.work.fail {
			m.finish(now, t, platform.TaskFailed, t.work.output)
			continue
		}
		m.finish(now, t, platform.TaskDone, t.work.output)
	}
}

func (m *machine) expireLeases(now time.Time) {
	var expired []*task
	for _, t := range m.running {
		if !t.expires.After(now) {
			expired = append(expired, t)
		}
	}
	for _, t := range expired {
		m.finish(now, t, platform.TaskStopped, "lease ran out")
	}
}

func (m *machine) finish(now time.Time, t *task, state platform.TaskState, output string) {
	heap.Remove(&m.running, t.index)
	m.charge(t.work.size, -1)
	t.state, t.output, t.endedAt = state, output, now
	m.ended = append(m.ended, t)
	close(t.done)
}

func (m *machine) dropEnded(now time.Time) {
	n := 0
	for n < len(m.ended) && now.Sub(m.ended[n].endedAt) >= m.opts.Retention {
		t := m.ended[n]
		if m.tasks[t.id] == t {
			delete(m.tasks, t.id)
		}
		m.ended[n] = nil
		n++
	}
	m.ended = m.ended[n:]
}

func (m *machine) charge(s platform.Size, sign int) {
	m.used.Cores += float64(sign) * s.Cores
	m.used.MemoryMB += int64(sign) * s.MemoryMB
	m.used.Accelerators += sign * s.Accelerators
	if len(m.running) == 0 {
		m.used.Cores = 0 // sums of fractions leave a remainder
	}
	m.peak.Running = max(m.peak.Running, len(m.running))
	m.peak.Cores = max(m.peak.Cores, m.used.Cores)
	m.peak.MemoryMB = max(m.peak.MemoryMB, m.used.MemoryMB)
	m.peak.Accelerators = max(m.peak.Accelerators, m.used.Accelerators)
	m.usage.add(m.clock.Now(), m.used)
}

func (m *machine) setSpeed() {
	if m.paused {
		m.speed = 0
		return
	}
	over := max(1, float64(len(m.running))/float64(m.opts.Slots), m.used.Cores/m.opts.Cores)
	m.speed = 1 / (m.factor * over)
}

func (m *machine) setTimer(now time.Time) {
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
	if m.closed || m.paused || len(m.running) == 0 {
		return
	}
	wait := time.Duration(math.Ceil((m.running[0].end - m.progress) / m.speed))
	for _, t := range m.running {
		wait = min(wait, t.expires.Sub(now))
	}
	m.timer = m.clock.AfterFunc(max(wait, 0), m.tick)
}

func (m *machine) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.settle(m.advance())
	}
}

// taskHeap orders running tasks by their end.
type taskHeap []*task

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].end < h[j].end }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for container/heap.
func (h *taskHeap) Push(x any) {
	t := x.(*task)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is for container/heap.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
