package fair

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/naive"
)

// model drives one scheduler, records the state of every task and checks the scheduler's invariants.
type model struct {
	t       *rapid.T
	s       sched.Scheduler
	fair    *Scheduler // nil for the baseline
	now     time.Time
	jobs    map[sched.JobID]*sched.Job
	state   map[taskKey]string // "queued", "started", "ended" or "dropped"; "cancelled" for task -1 of a cancelled job
	workers map[string]sched.Worker
	busy    []sched.Assignment // started tasks that have not ended
	peers   []sched.Assignment // slots reserved for peers
}

func newModel(t *rapid.T, s sched.Scheduler) *model {
	f, _ := s.(*Scheduler)
	return &model{
		t: t, s: s, fair: f, now: time.Unix(0, 0),
		jobs:    map[sched.JobID]*sched.Job{},
		state:   map[taskKey]string{},
		workers: map[string]sched.Worker{},
	}
}

func (m *model) move(k taskKey, from, to string) {
	if m.state[k] != from {
		m.t.Fatalf("task %v moves from %q to %q but is %q", k, from, to, m.state[k])
	}
	m.state[k] = to
}

func (m *model) setWorker(w sched.Worker) {
	m.workers[w.Name] = w
	m.s.SetWorker(m.now, w)
}

func (m *model) submit(j *sched.Job) {
	m.jobs[j.ID] = j
	for i := range j.Tasks {
		m.state[taskKey{j.ID, i}] = "queued"
	}
	m.s.Submit(m.now, j)
}

func (m *model) running(name string) int {
	n := 0
	for _, a := range slices.Concat(m.busy, m.peers) {
		if a.Worker == name {
			n++
		}
	}
	return n
}

func (m *model) dispatch(limit int) {
	for range limit {
		a, ok := m.s.Next(m.now)
		m.expire()
		if !ok {
			m.checkIdle()
			return
		}
		m.move(taskKey{a.Job, a.Task}, "queued", "started")
		w := m.workers[a.Worker]
		if w.State != sched.WorkerReady || m.running(w.Name) >= w.Slots {
			m.t.Fatalf("%v assigned to %+v, which runs %d", a, w, m.running(w.Name))
		}
		if !sched.Fits(m.jobs[a.Job].Tasks[a.Task].Size, w.Size) {
			m.t.Fatalf("%v does not fit %+v", a, w)
		}
		if slices.ContainsFunc(slices.Concat(m.busy, m.peers), func(b sched.Assignment) bool {
			return a.Worker == b.Worker && a.Slot == b.Slot
		}) || a.Slot >= w.Slots && m.fair != nil {
			m.t.Fatalf("%v uses a slot that is in use or absent", a)
		}
		if d := m.jobs[a.Job].Deadline; !d.IsZero() && !m.now.Before(d) && m.fair != nil {
			m.t.Fatalf("%v starts at or after its deadline", a)
		}
		m.busy = append(m.busy, a)
		m.checkRoom(w)
	}
}

// load returns the declared resources of the tasks that run on a worker.
func (m *model) load(name string) sched.Size {
	var used sched.Size
	for _, a := range m.busy {
		if a.Worker == name {
			used = addSize(used, m.jobs[a.Job].Tasks[a.Task].Size, 1)
		}
	}
	return used
}

func (m *model) checkRoom(w sched.Worker) {
	if m.fair != nil && !sched.Fits(m.load(w.Name), w.Size) {
		m.t.Fatalf("worker %s runs tasks of %+v in total but has %+v", w.Name, m.load(w.Name), w.Size)
	}
}

// checkIdle fails if a queued task could have started. The short reserve and limits are not in use in this model.
func (m *model) checkIdle() {
	if m.fair == nil {
		return
	}
	for name, w := range m.workers {
		if m.running(name) >= m.fair.workers[name].usableSlots() || m.fair.workers[name].heldFor != nil {
			continue
		}
		free := addSize(w.Size, m.load(name), -1)
		for k, state := range m.state {
			if state == "queued" && sched.Fits(m.jobs[k.job].Tasks[k.task].Size, free) {
				m.t.Fatalf("%v is queued although %s has %+v and a slot free", k, name, free)
			}
		}
	}
}

func (m *model) finish(i int, kind platform.Outcome) {
	a := m.busy[i]
	m.busy = slices.Delete(m.busy, i, i+1)
	k := taskKey{a.Job, a.Task}
	if kind == platform.Refused || kind == platform.Unreached {
		m.move(k, "started", "queued")
		if m.fair != nil && m.state[taskKey{a.Job, -1}] == "cancelled" {
			m.move(k, "queued", "dropped")
		}
		m.s.Requeue(m.now, a)
		return
	}
	m.move(k, "started", "ended")
	m.s.Finish(m.now, a, sched.Outcome{Kind: kind, RunTime: 100 * time.Millisecond})
}

// remove removes a worker. The tasks that run on it end as lost.
func (m *model) remove(name string) {
	m.s.RemoveWorker(name)
	for i := len(m.busy) - 1; i >= 0; i-- {
		if m.busy[i].Worker == name {
			m.finish(i, platform.Lost)
		}
	}
	m.peers = slices.DeleteFunc(m.peers, func(a sched.Assignment) bool { return a.Worker == name })
	delete(m.workers, name)
}

func (m *model) cancel(id sched.JobID) {
	m.expire() // expired tasks that are not reported yet are not returned by Cancel
	for _, i := range m.s.Cancel(m.now, id) {
		m.move(taskKey{id, i}, "queued", "dropped")
	}
	m.state[taskKey{id, -1}] = "cancelled"
	for i := range m.jobs[id].Tasks {
		if m.state[taskKey{id, i}] == "queued" {
			m.t.Fatalf("job %d has queued tasks after its cancellation", id)
		}
	}
}

func (m *model) expire() {
	if m.fair == nil {
		return
	}
	for _, x := range m.fair.Expire(m.now) {
		if d := m.jobs[x.Job].Deadline; m.now.Before(d) {
			m.t.Fatalf("job %d expired early", x.Job)
		}
		for _, i := range x.Tasks {
			m.move(taskKey{x.Job, i}, "queued", "dropped")
		}
	}
}

func (m *model) reserve(n int) {
	size := sched.Size{}
	for _, a := range m.fair.Reserve(m.now, n, size) {
		w := m.workers[a.Worker]
		if w.State != sched.WorkerReady || m.running(w.Name) >= w.Slots {
			m.t.Fatalf("reserved a slot on %+v, which runs %d", w, m.running(w.Name))
		}
		m.peers = append(m.peers, a)
	}
}

func (m *model) takeQueued(n int) {
	for _, a := range m.fair.TakeQueued(m.now, n, anySize) {
		m.move(taskKey{a.Job, a.Task}, "queued", "started")
		m.busy = append(m.busy, a)
	}
	m.expire()
}

// drain runs all tasks to their end and checks that none remains.
func (m *model) drain() {
	for len(m.peers) > 0 {
		m.fair.Release(m.now, m.peers[0])
		m.peers = m.peers[1:]
	}
	for _, w := range m.workers {
		w.State, w.Slots = sched.WorkerReady, max(1, w.Slots)
		m.setWorker(w)
	}
	for range 100_000 {
		m.dispatch(1000)
		if len(m.busy) > 0 {
			m.finish(0, platform.Succeeded)
			continue
		}
		if m.s.Stats().Queued == 0 {
			break
		}
		m.now = m.now.Add(100 * time.Millisecond) // lets quarantines end
		m.expire()
	}
	for k, state := range m.state {
		if state == "queued" || state == "started" {
			m.t.Fatalf("%v is %s after everything has ended", k, state)
		}
	}
	if st := m.s.Stats(); st.Queued != 0 || st.Running != 0 {
		m.t.Fatalf("%+v after everything has ended", st)
	}
}

var modelSizes = []sched.Size{{}, {Cores: 1, MemoryMB: 100}, {Cores: 3}, {MemoryMB: 700}, {Cores: 1, Accelerators: 1}}

func drawWorker(t *rapid.T) sched.Worker {
	i := rapid.IntRange(0, 5).Draw(t, "worker")
	return sched.Worker{
		Name:  fmt.Sprintf("w%d", i),
		Rack:  fmt.Sprintf("r%d", i/2),
		Slots: rapid.IntRange(0, 4).Draw(t, "slots"),
		Size:  sched.Size{Cores: 4, MemoryMB: 1000, Accelerators: i % 3},
		State: rapid.SampledFrom([]sched.WorkerState{0, 0, 0, sched.WorkerLeaving, sched.WorkerSuspect}).Draw(t, "state"),
	}
}

func drawJob(t *rapid.T, now time.Time, id int, deadlines bool) *sched.Job {
	j := &sched.Job{
		ID:      sched.JobID(id),
		Team:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
	}
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		j.Tasks = append(j.Tasks, sched.Task{
			Size:     rapid.SampledFrom(modelSizes).Draw(t, "size"),
			Declared: time.Duration(rapid.IntRange(0, 5000).Draw(t, "declared")) * time.Millisecond,
		})
	}
	if deadlines && rapid.Bool().Draw(t, "has deadline") {
		j.Deadline = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond)
	}
	return j
}

// TestAgainstBaseline guards against tasks that are lost, started twice or started where they do not fit, and against
// idle slots, under any order of calls. The same calls go to the baseline, so that a check that a plain queue would not
// pass is noticed.
func TestAgainstBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		product := newModel(t, New(Options{ShortReserve: -1, Teams: []sched.Team{{Name: "a", Weight: 3}}}))
		baseline := newModel(t, naive.New())
		both := []*model{product, baseline}
		for i := range 6 {
			for _, m := range both {
				m.setWorker(sched.Worker{
					Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Slots: 2,
					Size: sched.Size{Cores: 4, MemoryMB: 1000, Accelerators: i % 3},
				})
			}
		}
		steps := rapid.IntRange(5, 150).Draw(t, "steps")
		for id := 1; id <= steps; id++ {
			step(t, both, id)
		}
		for _, m := range both {
			m.drain()
		}
		for k, state := range product.state {
			if k.task >= 0 && (state != "ended" && state != "dropped") || baseline.state[k] == "" {
				t.Fatalf("task %v is %q, in the baseline %q; want ended or dropped, and known to the baseline", k, state, baseline.state[k])
			}
		}
	})
}

func step(t *rapid.T, both []*model, id int) {
	product, baseline := both[0], both[1]
	switch rapid.IntRange(0, 9).Draw(t, "op") {
	case 0, 1, 2:
		j := drawJob(t, product.now, id, true)
		if a, b := product.s.Estimate(product.now, j).Feasible, baseline.s.Estimate(baseline.now, j).Feasible; a != b {
			t.Fatalf("feasible: %v, baseline %v", a, b)
		}
		for _, m := range both {
			m.submit(j)
		}
	case 3:
		w := drawWorker(t)
		for _, m := range both {
			if w.Slots == 4 && m.workers[w.Name].Slots > 0 && len(m.workers) > 5 {
				m.remove(w.Name)
			} else {
				m.setWorker(w)
			}
		}
	case 4:
		target := sched.JobID(rapid.IntRange(1, id).Draw(t, "cancelled"))
		if product.jobs[target] != nil {
			for _, m := range both {
				m.cancel(target)
			}
		}
	case 5:
		product.reserve(rapid.IntRange(1, 4).Draw(t, "reserved"))
	case 6:
		if len(product.peers) > 0 {
			product.fair.Attach(product.now, product.peers[0], sched.PeerTask{Team: "b", Service: "x"})
			product.s.Finish(product.now, product.peers[0], sched.Outcome{})
			product.peers = product.peers[1:]
		}
	case 7:
		product.takeQueued(rapid.IntRange(1, 3).Draw(t, "taken"))
	default:
		pause := rapid.SampledFrom([]int{0, 1, 10, 10, 10, 500, 1500}).Draw(t, "ms")
		product.now = product.now.Add(time.Duration(pause) * time.Millisecond)
		product.expire()
		kind := platform.Outcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
		for _, m := range both {
			m.dispatch(rapid.IntRange(0, 20).Draw(t, "starts"))
			for range rapid.IntRange(0, 5).Draw(t, "ends") {
				if n := len(m.busy); n > 0 {
					m.finish(rapid.IntRange(0, n-1).Draw(t, "finished"), kind)
				}
			}
		}
	}
}

// anySize is at least the size of every task of the model.
var anySize = sched.Size{Cores: 1 << 20, MemoryMB: 1 << 40, Accelerators: 1 << 20}

// TestQueueOrder guards against queues that are not in the order of ranks after jobs were added, changed or removed.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		var in []*group
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			rank := float64(rapid.IntRange(0, 20).Draw(t, "key"))
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op < 2 || len(in) == 0:
				g := &group{job: &job{rank: rank, seq: uint64(len(in))}}
				q.add(g)
				in = append(in, g)
			case op == 2:
				g := in[rapid.IntRange(0, len(in)-1).Draw(t, "changed")]
				g.job.rank = rank
				q.fix(g)
			default:
				i := rapid.IntRange(0, len(in)-1).Draw(t, "removed")
				q.remove(in[i])
				in = slices.Delete(in, i, i+1)
			}
			for i, it := range q.heap {
				if it.g.pos != i || it.rank != it.g.job.rank || i > 0 && it.less(q.heap[(i-1)/2]) {
					t.Fatalf("item %d of %d is out of place", i, len(q.heap))
				}
			}
			if len(q.heap) != len(in) {
				t.Fatalf("%d items, want %d", len(q.heap), len(in))
			}
		}
	})
}
