//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

// runKey names one run of a task on one process of a runner.
type runKey struct {
	runner work.EndpointID
	task   work.TaskID
	run    int
}

// life is what the runner's side has seen of one process of a runner.
type life struct {
	ends       map[int64]runKey // ends that were listed, by number
	leaseUntil time.Time        // at least; from the requests that were answered
	gaps       [][2]time.Time   // times in which the lease may have been over
}

// note is the first seen_upto that reached an end.
type note struct {
	at     time.Time
	leased bool // the lease of the runner had certainly not lapsed by then, unless in a gap of the life
	life   *life
}

// runners serves all runners of the fleet and observes what is sent to them.
type runners struct {
	fleet  *fleet.Fleet
	orders standin.Endpoints

	mu    sync.Mutex
	lives map[string]*life // by address and start of the process
	noted map[runKey]note
}

func newRunners(f *fleet.Fleet) *runners {
	return &runners{
		fleet: f, orders: standin.Endpoints{Fleet: f, Observe: func(standin.Order) {}},
		lives: map[string]*life{}, noted: map[runKey]note{},
	}
}

// handle serves one call to a runner.
func (r *runners) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	var body struct {
		DeadlineMS int64 `json:"deadline_ms"`
		SeenUpTo   int64 `json:"seen_upto"`
	}
	json.Unmarshal(ctx.PostBody(), &body)
	r.orders.Handle(ctx)
	var answer struct {
		ClockMS int64               `json:"clock_ms"`
		Born    int64               `json:"born"`
		Ended   [][]json.RawMessage `json:"ended"`
	}
	if json.Unmarshal(ctx.Response.Body(), &answer) != nil {
		return
	}
	status := ctx.Response.StatusCode()
	registration := r.fleet.Registration(ctx.LocalAddr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprint(registration.Address, "/", registration.StartedUnixMS)
	l := r.lives[key]
	if l == nil {
		l = &life{ends: map[int64]runKey{}}
		r.lives[key] = l
	}
	if status != 200 {
		return
	}
	for n, k := range l.ends {
		if n <= body.SeenUpTo && r.noted[k].at.IsZero() {
			r.noted[k] = note{arrived, !arrived.After(l.leaseUntil), l}
		}
	}
	if body.DeadlineMS > 0 {
		l.extend(arrived, time.Duration(body.DeadlineMS-answer.ClockMS)*time.Millisecond)
	}
	for _, row := range answer.Ended {
		var n int64
		var name, how string
		var run int
		if len(row) < 4 || json.Unmarshal(row[0], &n) != nil || json.Unmarshal(row[1], &name) != nil ||
			json.Unmarshal(row[2], &run) != nil || json.Unmarshal(row[3], &how) != nil {
			continue
		}
		task, _ := work.ParseTaskID(name)
		l.ends[n] = runKey{registration.ID, task, run}
	}
}

// extend applies the lease of a request that was answered now.
func (l *life) extend(arrived time.Time, lease time.Duration) {
	if !l.leaseUntil.IsZero() && arrived.After(l.leaseUntil) {
		l.gaps = append(l.gaps, [2]time.Time{l.leaseUntil, arrived})
	}
	until := time.Now().Add(lease)
	if longest := arrived.Add(holdMax); until.After(longest) {
		until = longest
	}
	if until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// notedAt returns when the end of a run was taken note of; zero if it was not. It does not count if the lease of the runner may have
// lapsed between the two.
func (r *runners) notedAt(s fleet.Start) (at time.Time, counts bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.noted[runKey{s.Endpoint, s.Task, s.Run}]
	if n.at.IsZero() {
		return n.at, false
	}
	for _, gap := range n.life.gaps {
		if gap[0].Before(n.at) && gap[1].After(s.EndedAt) {
			return n.at, false
		}
	}
	return n.at, n.leased
}

// storeServer serves the platform's store for one machine, so that calls of this machine can meet faults of their own.
type storeServer struct {
	address string
	mu      sync.Mutex
	fault   standin.Fault
}

func (s *storeServer) set(f standin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *storeServer) get(string) standin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// direct is a network without proxies.
type direct struct{}

func (direct) Route(_, address string) string { return address }
func (direct) Target(address string) string   { return address }

func serveStore(ctx context.Context, k *keyed.Store) (*storeServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeServer{address: l.Addr().String()}
	handler := &standin.Store{Context: ctx, Keyed: k, Network: direct{}, Fault: s.get}
	go (&fasthttp.Server{Handler: handler.Handle, NoDefaultServerHeader: true}).Serve(l)
	return s, nil
}
