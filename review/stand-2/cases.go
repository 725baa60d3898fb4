//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/savorypass/savorypass/platform/standin"
)

func init() {
	cases["zone"] = zoneLost
	cases["division"] = division
	cases["cancel"] = promptCancels
	cases["budget"] = budget
	cases["status"] = status
	cases["pending"] = pendingCount
	cases["unread"] = unread
}

var zones = []string{"amman-bench", "zarqa-annex", "salt-store"}

// small returns the machines and runners of petra-clasp.
func small() siteOptions {
	return siteOptions{
		zones: zones, statusS: 120, machines: map[string]int{zones[0]: 3, zones[1]: 2, zones[2]: 1},
		runners: map[string]int{zones[0]: 16, zones[1]: 16, zones[2]: 16},
	}
}

// Jobs of the kinds of petra-clasp.
func (p *play) quote(zone string) *job {
	return p.newJob(zone, false, step{4 + rand.IntN(9), 51 * time.Millisecond})
}

func (p *play) match(zone string) *job {
	return p.newJob(zone, false, step{2 + rand.IntN(5), time.Duration(500+rand.IntN(500)) * time.Millisecond})
}

func (p *play) notice(zone string, poison bool) *job {
	return p.newJob(zone, poison, step{2, time.Duration(120+rand.IntN(100)) * time.Millisecond})
}

func (p *play) anyJob(zone string) *job {
	switch n := rand.IntN(140); {
	case n < 34:
		return p.quote(zone)
	case n < 40:
		return p.match(zone)
	}
	return p.notice(zone, false)
}

// follow makes a client ask for the state of its job for a time.
func follow(d time.Duration) func(c *client, j *job) {
	return func(c *client, j *job) {
		ctx, cancel := during(d)
		defer cancel()
		c.follow(ctx, j)
	}
}

// freezeHolder freezes the process that dispatches for a zone for a time.
func (p *play) freezeHolder(zone string, length time.Duration) {
	m := p.site.holder(zone)
	if m == nil || !p.trouble {
		time.Sleep(length)
		return
	}
	end := p.disrupted("%s, which dispatches for %s, stands still", m.name, zone)
	m.signal(syscall.SIGSTOP)
	time.Sleep(length)
	m.signal(syscall.SIGCONT)
	end()
}

// zoneLost: the only machine of a zone is lost for good.
func zoneLost(p *play) error {
	p.rule = "LOST"
	if err := p.open(small()); err != nil {
		return err
	}
	ctx, cancel := during(20 * time.Second)
	defer cancel()
	for _, zone := range zones {
		p.submitEvery(ctx, zone, 100*time.Millisecond, func() *job { return p.anyJob(zone) }, follow(8*time.Second))
	}
	time.Sleep(8 * time.Second)
	for _, m := range p.site.machines {
		if m.zone == zones[2] && p.trouble {
			p.disrupted("%s, the only machine of %s, is lost for good", m.name, m.zone)
			m.kill()
		}
	}
	p.settle()
	return nil
}

// division: a quarter more runners come to a zone with 36.
func division(p *play) error {
	p.rule = "TWICE"
	o := small()
	for _, zone := range zones {
		o.runners[zone] = 36
	}
	if err := p.open(o); err != nil {
		return err
	}
	ctx, cancel := during(30 * time.Second)
	defer cancel()
	for _, zone := range zones {
		p.submitEvery(ctx, zone, 24*time.Millisecond, func() *job {
			if rand.IntN(4) == 0 {
				return p.match(zone)
			}
			return p.notice(zone, false)
		}, follow(10*time.Second))
	}
	time.Sleep(6 * time.Second)
	for n := range 9 {
		if p.trouble {
			p.disrupted("runner %d of 9 is added to %s", n+1, zones[0])()
			if err := p.site.addRunner(zones[0]); err != nil {
				return err
			}
		}
		time.Sleep(2 * time.Second)
	}
	p.settle()
	return nil
}

// promptCancels: some jobs are cancelled just after they were accepted, while the process that dispatches for a zone stands still.
func promptCancels(p *play) error {
	p.rule = "UNASKED"
	if err := p.open(small()); err != nil {
		return err
	}
	ctx, cancel := during(36 * time.Second)
	defer cancel()
	var cancelling atomic.Bool
	for _, zone := range zones {
		p.submitEvery(ctx, zone, 30*time.Millisecond, func() *job {
			if !cancelling.Load() || rand.IntN(4) > 0 {
				return p.notice(zone, false)
			}
			var steps []step
			for range 12 {
				steps = append(steps, step{1, 760 * time.Millisecond})
			}
			return p.newJob(zone, false, steps...)
		}, func(c *client, j *job) {
			if len(j.steps) == 1 {
				follow(8*time.Second)(c, j)
				return
			}
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			c.cancel(j)
		})
	}
	for range 3 {
		time.Sleep(3 * time.Second)
		cancelling.Store(true)
		time.Sleep(time.Second)
		p.freezeHolder(zones[0], 2*time.Second)
		time.Sleep(time.Second)
		cancelling.Store(false)
		time.Sleep(5 * time.Second)
	}
	p.settle()
	return nil
}

// budget: some jobs can never be done, while the process that dispatches for a zone stands still.
func budget(p *play) error {
	p.rule = "BUDGET"
	if err := p.open(small()); err != nil {
		return err
	}
	ctx, cancel := during(68 * time.Second)
	defer cancel()
	var poison atomic.Bool
	for _, zone := range zones {
		p.submitEvery(ctx, zone, 34*time.Millisecond, func() *job { return p.notice(zone, poison.Load() && rand.IntN(20) == 0) }, follow(8*time.Second))
	}
	for range 7 {
		time.Sleep(2500 * time.Millisecond)
		poison.Store(true)
		time.Sleep(1500 * time.Millisecond)
		time.AfterFunc(1500*time.Millisecond, func() { poison.Store(false) })
		p.freezeHolder(zones[0], 4*time.Second)
		time.Sleep(1500 * time.Millisecond)
	}
	p.settle()
	return nil
}

// status: the process that dispatches for a zone is killed while jobs run, and their states are asked for until status_s after their
// ends.
func status(p *play) error {
	p.rule = "LOST"
	o := small()
	o.statusS = 30
	if err := p.open(o); err != nil {
		return err
	}
	ctx, cancel := during(8 * time.Second)
	defer cancel()
	for _, zone := range zones {
		p.submitEvery(ctx, zone, 300*time.Millisecond, func() *job {
			var steps []step
			for range 8 + rand.IntN(8) {
				steps = append(steps, step{1, 760 * time.Millisecond})
			}
			return p.newJob(zone, false, steps...)
		}, func(c *client, j *job) {
			follow(40*time.Second)(c, j)
			for j.final != "" && time.Since(j.finalAt) < 28*time.Second {
				time.Sleep(2 * time.Second)
				c.state(j)
			}
		})
	}
	time.Sleep(7 * time.Second)
	if m := p.site.holder(zones[0]); m != nil && p.trouble {
		end := p.disrupted("the process on %s, which dispatches for %s, is killed", m.name, zones[0])
		m.kill()
		time.Sleep(time.Second)
		if err := m.start(); err != nil {
			return err
		}
		end()
	}
	p.settle()
	return nil
}

func during(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// pendingCount: all processes are killed at once while large jobs wait, and clients ask how many wait.
func pendingCount(p *play) error {
	p.rule = "MIXED"
	if err := p.open(small()); err != nil {
		return err
	}
	for _, zone := range zones {
		for range 30 {
			j := p.newJob(zone, false, step{16, 2 * time.Second})
			p.wg.Go(func() {
				c := p.newClient(zone)
				defer c.close()
				if c.submit(j) {
					follow(50*time.Second)(c, j)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		end := p.disrupted("all processes are killed at once")
		for _, m := range p.site.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range p.site.machines {
			m.kill()
		}
		time.Sleep(time.Second)
		for _, m := range p.site.machines {
			if err := m.start(); err != nil {
				return err
			}
		}
		end()
	}
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		p.checkPending()
	}
	p.settle()
	return nil
}

// checkPending asks a machine of each zone how many jobs wait, and compares the answer with what has begun.
func (p *play) checkPending() {
	for _, zone := range zones {
		c := p.newClient(zone)
		asked := time.Now()
		status, pending := c.pending()
		c.close()
		begun := map[string]bool{}
		for _, s := range p.site.runners.fleet.Starts() {
			begun[string(s.Task.Job)] = true
		}
		waiting := 0
		for _, j := range p.all() {
			j.mu.Lock()
			if !j.ackedAt.IsZero() && asked.Sub(j.ackedAt) > visibleMS+2*time.Second && !begun[j.id] {
				waiting++
			}
			j.mu.Unlock()
		}
		p.log.add("GET %s at %s: %d, %d pending; %d jobs were accepted over 5 s before and have not begun", prefix, c.at.name, status, pending, waiting)
		if status == 200 && 2*pending < waiting && p.calm(asked) {
			p.mu.Lock()
			p.mixed = append(p.mixed, fmt.Sprintf("asked at %.3f, %s gave %d as pending, and %d jobs that were accepted over 5 s before had not begun", asked.Sub(p.log.began).Seconds(), c.at.name, pending, waiting))
			p.mu.Unlock()
		}
	}
}

// unread: processes are killed and started again while the store is down, and those that dispatch afterwards are stopped in turn.
func unread(p *play) error {
	p.rule = "TWICE"
	if err := p.open(small()); err != nil {
		return err
	}
	ctx, cancel := during(72 * time.Second)
	defer cancel()
	for _, zone := range zones {
		p.submitEvery(ctx, zone, 130*time.Millisecond, func() *job {
			var steps []step
			for range 10 {
				steps = append(steps, step{1, time.Duration(150+rand.IntN(600)) * time.Millisecond})
			}
			return p.newJob(zone, false, steps...)
		}, follow(10*time.Second))
	}
	for range 6 {
		time.Sleep(3 * time.Second)
		p.outage()
	}
	p.settle()
	return nil
}

// outage takes the store down for 4.2 s. In the two zones with several machines, the processes that do not dispatch are killed and started
// again meanwhile. 1 s after the outage the processes that dispatch for the two zones are stopped in turn, and started again.
func (p *play) outage() {
	if !p.trouble {
		time.Sleep(8700 * time.Millisecond)
		return
	}
	end := p.disrupted("the store is down")
	for _, m := range p.site.machines {
		m.store.set(standin.Fault{Refuse: true})
	}
	for _, zone := range zones[:2] {
		h := p.site.holder(zone)
		for _, m := range p.site.machines {
			if m.zone == zone && m != h {
				killed := p.disrupted("the process on %s is killed", m.name)
				m.kill()
				time.AfterFunc(500*time.Millisecond, func() {
					m.start()
					killed()
				})
			}
		}
	}
	time.Sleep(4200 * time.Millisecond)
	for _, m := range p.site.machines {
		m.store.set(standin.Fault{})
	}
	end()
	time.Sleep(time.Second)
	for _, zone := range zones[:2] {
		if h := p.site.holder(zone); h != nil {
			stopped := p.disrupted("SIGTERM of %s, which dispatches for %s", h.name, zone)
			p.wg.Go(func() {
				h.stop()
				time.Sleep(200 * time.Millisecond)
				h.start()
				stopped()
			})
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
}
