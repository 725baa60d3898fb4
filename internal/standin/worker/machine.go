package worker

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/minheap"
	"github.com/savorypass/savorypass/internal/platform"
)

// failFastRunTime is the run time of tasks that start while the fault fail_fast is in force.
const failFastRunTime = time.Millisecond

// task is one start of a task.
type task struct {
	id          string
	work        work
	lease       time.Duration // length of the lease, which starts anew with each renewal
	leaseEnd    time.Time
	endProgress float64 // progress of the machine in ns at which the task ends
	index       int     // position in the heap of running tasks
	state       platform.TaskState
	output      string
	endedAt     time.Time
	done        chan struct{} // closed when the task has ended
}

// machine simulates running tasks with timers. All running tasks progress at the same speed: 1 if they fit the worker's
// slots and cores and no slow factor is set, and proportionally less otherwise. progress is the run time in ns that a task
// would have completed if it had run since the machine's start, so a task ends when progress has grown by its run time.
type machine struct {
	opts  *Options
	clock clockwork.Clock

	mu         sync.Mutex
	tasks      map[string]*task // latest start of each task, until Options.Retention after its end
	running    *minheap.Heap[*task]
	ended      []*task       // oldest first
	used       platform.Size // sum of the sizes of the running tasks
	progress   float64       // in ns
	updatedAt  time.Time     // when progress was last brought up to date
	speed      float64       // growth of progress per ns; 0 during a pause
	slowFactor float64       // factor on the run time of tasks
	failFast   bool
	paused     bool
	timer      clockwork.Timer
	closed     bool
	usage      history
	peak       Peak
}

// Peak holds the highest number of running tasks and the highest usage of each resource since the start.
type Peak struct {
	Running      int     `json:"running"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
}

func newMachine(o *Options) *machine {
	m := &machine{opts: o, clock: o.Clock, tasks: map[string]*task{}, running: newTaskHeap(), speed: 1, slowFactor: 1, updatedAt: o.Clock.Now()}
	m.usage.lag = o.UsageLag
	return m
}

// start starts a task, even if the worker has too few free resources for it.
func (m *machine) start(id string, w work, lease time.Duration) *task {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	if m.failFast {
		w.runTime, w.output, w.fail = failFastRunTime, "worker fails everything", true
	}
	t := &task{
		id:          id,
		work:        w,
		lease:       lease,
		leaseEnd:    now.Add(lease),
		endProgress: m.progress + float64(w.runTime),
		state:       platform.TaskRunning,
		done:        make(chan struct{}),
	}
	m.tasks[id] = t
	m.running.Push(t)
	m.addUsage(w.size, 1)
	m.update(now)
	return t
}

// renew renews the leases of running tasks and returns the states of all tasks in ids.
func (m *machine) renew(ids []string) []platform.TaskStatus {
	return m.forEach(ids, func(now time.Time, t *task) { t.leaseEnd = now.Add(t.lease) })
}

// stop stops running tasks and returns the states of all tasks in ids.
func (m *machine) stop(ids []string) []platform.TaskStatus {
	return m.forEach(ids, func(now time.Time, t *task) { m.finish(now, t, platform.TaskStopped, "stopped") })
}

// forEach applies a change to the running tasks among ids and returns the states of all.
func (m *machine) forEach(ids []string, apply func(time.Time, *task)) []platform.TaskStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	m.update(now)
	list := make([]platform.TaskStatus, 0, len(ids))
	for _, id := range ids {
		if t := m.tasks[id]; t != nil && t.state == platform.TaskRunning {
			apply(now, t)
		}
		list = append(list, m.status(id, false))
	}
	m.update(now)
	return list
}

// fetch returns the state of a task with its output.
func (m *machine) fetch(id string) platform.TaskStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(m.advance())
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

// load returns the number of running tasks, and the usage as it was before the lag.
func (m *machine) load() (running int, usage platform.Size) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	m.update(now)
	return m.running.Len(), m.usage.at(now)
}

// setFaults sets the faults that affect tasks.
func (m *machine) setFaults(slowFactor float64, failFast, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.advance()
	m.slowFactor, m.failFast, m.paused = slowFactor, failFast, paused
	m.update(now)
}

// close stops the timer. Tasks that still run never end.
func (m *machine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if m.timer != nil {
		m.timer.Stop()
	}
}

// advance brings progress up to date and returns the present time. The caller holds mu, as for all methods below except
// tick.
func (m *machine) advance() time.Time {
	now := m.clock.Now()
	m.progress += m.speed * float64(now.Sub(m.updatedAt))
	m.updatedAt = now
	return now
}

// update ends the tasks that are due, drops those past the retention, and sets the speed and the timer anew.
func (m *machine) update(now time.Time) {
	if !m.paused {
		m.endDue(now)
		m.expireLeases(now)
	}
	m.dropEnded(now)
	m.setSpeed()
	m.setTimer(now)
}

func (m *machine) endDue(now time.Time) {
	for m.running.Len() > 0 && m.running.First().endProgress <= m.progress {
		t := m.running.First()
		if t.work.fail {
			m.finish(now, t, platform.TaskFailed, t.work.output)
			continue
		}
		m.finish(now, t, platform.TaskDone, t.work.output)
	}
}

func (m *machine) expireLeases(now time.Time) {
	var expired []*task
	for _, t := range m.running.Items() {
		if !t.leaseEnd.After(now) {
			expired = append(expired, t)
		}
	}
	for _, t := range expired {
		m.finish(now, t, platform.TaskStopped, "lease ran out")
	}
}

func (m *machine) finish(now time.Time, t *task, state platform.TaskState, output string) {
	m.running.Remove(t.index)
	m.addUsage(t.work.size, -1)
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

// addUsage adds a size to the usage, or subtracts it if sign is -1.
func (m *machine) addUsage(s platform.Size, sign int) {
	m.used.Cores += float64(sign) * s.Cores
	m.used.MemoryMB += int64(sign) * s.MemoryMB
	m.used.Accelerators += sign * s.Accelerators
	if m.running.Len() == 0 {
		m.used.Cores = 0 // remove the rounding error of the sum
	}
	m.peak.Running = max(m.peak.Running, m.running.Len())
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
	overload := max(1, float64(m.running.Len())/float64(m.opts.Slots), m.used.Cores/m.opts.Cores)
	m.speed = 1 / (m.slowFactor * overload)
}

// setTimer sets the timer to the next end of a task or lease.
func (m *machine) setTimer(now time.Time) {
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
	if m.closed || m.paused || m.running.Len() == 0 {
		return
	}
	wait := time.Duration(math.Ceil((m.running.First().endProgress - m.progress) / m.speed))
	for _, t := range m.running.Items() {
		wait = min(wait, t.leaseEnd.Sub(now))
	}
	m.timer = m.clock.AfterFunc(max(wait, 0), m.tick)
}

func (m *machine) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.update(m.advance())
	}
}

// newTaskHeap returns the empty heap of running tasks, the one that ends next first.
func newTaskHeap() *minheap.Heap[*task] {
	return minheap.NewIndexed(func(a, b *task) bool { return a.endProgress < b.endProgress }, func(t *task, index int) { t.index = index })
}
