//go:build review

// Command stand-2 plays one case of the review: stand-ins of the platform, the runners and the clients, and savorypass as separate
// processes. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// play is one case while it runs.
type play struct {
	*load
	site    *site
	trouble bool
	rule    string
	wg      sync.WaitGroup
}

// cases holds the function of each case. It returns an error if the case cannot run.
var cases = map[string]func(p *play) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	p := &play{load: newLoad(r), trouble: os.Getenv("TROUBLE") != "0"}
	err = cases[os.Args[1]](p)
	if p.site != nil {
		defer p.site.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		p.exit(2)
	}
	broken := judge(p.load, p.log)
	accepted := 0
	for _, j := range p.all() {
		if !j.ackedAt.IsZero() {
			accepted++
		}
	}
	fmt.Printf("jobs accepted: %d of %d; breaches: %v\n", accepted, len(p.all()), broken)
	p.log.add("jobs accepted: %d of %d; breaches: %v", accepted, len(p.all()), broken)
	n := broken[p.rule]
	if p.rule == "" {
		for _, k := range broken {
			n += k
		}
	}
	if accepted == 0 {
		p.exit(2)
	}
	if n > 0 {
		p.exit(1)
	}
	p.exit(0)
}

func (p *play) exit(code int) {
	if p.site != nil {
		p.site.close()
	}
	os.Exit(code)
}

// open starts the installation and waits until it serves.
func (p *play) open(o siteOptions) error {
	var err error
	p.site, err = newSite(o, func(t work.TaskID) time.Duration {
		if j := p.job(string(t.Job)); j != nil {
			return j.taskTime(t)
		}
		return 100 * time.Millisecond
	}, func(t work.TaskID) bool {
		j := p.job(string(t.Job))
		return j != nil && j.poison
	})
	if err != nil {
		return err
	}
	p.load.site = p.site
	p.log.add("started")
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	p.log.add("traffic starts")
	return nil
}

// submitEvery makes a client of a zone submit jobs until ctx ends, and follow each.
func (p *play) submitEvery(ctx context.Context, zone string, pause time.Duration, make func() *job, then func(c *client, j *job)) {
	p.wg.Go(func() {
		for ctx.Err() == nil {
			j := make()
			p.wg.Go(func() {
				c := p.newClient(zone)
				defer c.close()
				if c.submit(j) {
					then(c, j)
				}
			})
			time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
		}
	})
}

// settle waits for the clients and for finish_s, and then asks for the state of each accepted job that has not ended.
func (p *play) settle() {
	p.wg.Wait()
	p.log.add("traffic ended")
	end := time.Now().Add(finishS)
	for len(p.unended()) > 0 && time.Now().Before(end) {
		p.ask(p.unended())
		time.Sleep(500 * time.Millisecond)
	}
	left := p.unended()
	if len(left) == 0 {
		return
	}
	p.log.add("finish_s after the end of the traffic, %d accepted jobs have not ended", len(left))
	answers := p.ask(left)
	ran := map[work.JobID]bool{}
	free := true   // under half of the capacity was in use all the while, so that there was room for any of these jobs twice over
	for range 30 { // 3 s
		free = free && 2*taskCPU*p.site.runners.fleet.Running() < runnerSize.MilliCPU*p.site.runnerCount()
		for _, s := range p.site.runners.fleet.Starts() {
			if s.EndedAt.IsZero() || time.Since(s.EndedAt) < 200*time.Millisecond {
				ran[s.Task.Job] = true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, j := range left {
		j.mu.Lock()
		switch a := answers[j]; {
		case j.final != "":
		case a.status != 200:
			j.unknown = fmt.Sprintf("asked for at the end, it was answered %d %s", a.status, a.state)
		case free && !ran[work.JobID(j.id)]:
			j.unknown = fmt.Sprintf("at the end it is shown as %s, and none of its tasks was at work for 3 s, while under half of the capacity was in use", a.state)
		}
		j.mu.Unlock()
	}
}

// unended returns the accepted jobs that nobody has cancelled and that were not shown as ended.
func (p *play) unended() []*job {
	var open []*job
	for _, j := range p.all() {
		j.mu.Lock()
		if !j.ackedAt.IsZero() && j.cancelAt.IsZero() && j.final == "" {
			open = append(open, j)
		}
		j.mu.Unlock()
	}
	return open
}

type answer struct {
	status int
	state  string
}

// ask asks for the states of jobs, up to three times each until there is one, and returns the last answers.
func (p *play) ask(jobs []*job) map[*job]answer {
	answers := map[*job]answer{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			c := p.newClient(j.zone)
			defer c.close()
			var a answer
			for range 3 {
				if a.status, a.state = c.state(j); a.status == 200 {
					break
				}
				c.n++
				c.reconnect()
			}
			mu.Lock()
			defer mu.Unlock()
			answers[j] = a
		})
	}
	wg.Wait()
	return answers
}
