package entry

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/replica"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched/fair"
)

// instant is an endpoint whose tasks succeed at once. It is also the dialer that returns it.
type instant struct{}

func (instant) Run(int, *platform.RunRequest) platform.RunResult {
	return platform.RunResult{Outcome: platform.Succeeded, Output: "ok"}
}
func (instant) Abandon(int) {}
func (instant) Renew(context.Context, []string) (platform.EndpointStatus, error) {
	return platform.EndpointStatus{}, nil
}
func (instant) Fetch(context.Context, string) (platform.TaskStatus, error) {
	return platform.TaskStatus{}, nil
}
func (instant) Stop(context.Context, []string) (platform.EndpointStatus, error) {
	return platform.EndpointStatus{}, nil
}
func (instant) Close()                             {}
func (instant) Dial(string, int) platform.Endpoint { return instant{} }

// BenchmarkJob measures one job of 160 tasks from the decoded HTTP body to its encoded answer, without sockets.
func BenchmarkJob(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	e := &Entry{clock: clock, started: clock.Now(), log: log, metrics: metric.New()}
	e.replicas = replica.New(replica.Options{View: func() member.View { return member.View{} }, Clock: clock})
	e.issuer = identity.NewIssuer(identity.Home{Zone: "z", Instance: "e"}, time.Hour, func() time.Duration { return clock.Since(e.started) })
	e.registry = newRegistry()
	e.engine = engine.New(engine.Options{Scheduler: fair.New(fair.Options{}), Dialer: instant{}, Clock: clock, Log: log, Observe: observer{e.metrics}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.engine.Run(ctx)
	go e.replicas.Run(ctx)
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"} {
		e.engine.SetWorker(platform.Instance{Name: name, Address: name, Slots: 8, Size: platform.Size{Cores: 64, MemoryMB: 1 << 20}}, 8)
	}
	view := &filter.View{Services: map[string]filter.Service{"washout": {Deadline: time.Minute, RunTime: time.Millisecond}}, Limits: filter.Limits{TasksPerJob: 160}}
	chain := e.requestChain(filter.ViewFunc(func() *filter.View { return view }), allowAll{}, openGate{})
	b.ReportAllocs()
	for b.Loop() {
		body, _ := json.Marshal(job(e.issuer.Issue("survey"), 160, 0))
		done := make(chan *api.Answer, 1)
		r := filter.NewRequest(func(a *api.Answer) { done <- a }, nil)
		r.Forwarded, r.Principal, r.Arrived = true, filter.Principal{Team: "survey"}, clock.Now()
		r.Method, r.Path, r.Body = "POST", "/v1/jobs", body
		chain.Handle(r)
		a := <-done
		if a.Code != result.Complete {
			b.Fatal(a)
		}
		encode(a)
	}
}

type allowAll struct{}

func (allowAll) Allow(filter.Principal, time.Time) (time.Duration, bool) { return 0, true }

type openGate struct{}

func (openGate) Check() (result.Code, string) { return result.Complete, "" }
