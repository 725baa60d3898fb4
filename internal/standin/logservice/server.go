package logservice

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/standin"
)

// Maximum number of records that one read returns.
const (
	defaultReadMax = 100  // without the parameter max
	maxReadMax     = 1000 // with any value of the parameter max
)

// Fault is a set of faults. Each POST /fault replaces the whole set in force.
type Fault struct {
	standin.GateFault
	Clear       bool `json:"clear,omitempty"`        // ends all faults; the other fields are ignored
	LoseAnswers int  `json:"lose_answers,omitempty"` // number of next appends that are carried out without a response; -1 for all
}

// Counts are numbers of calls since the start.
type Counts struct {
	Appends     int64 `json:"appends"`      // appends that were carried out
	Limited     int64 `json:"limited"`      // appends refused by the rate limit
	LostAnswers int64 `json:"lost_answers"` // appends carried out without a response
	Reads       int64 `json:"reads"`
}

// Dump is the state of the stand-in, the response to GET /dump. The batches of Streams have First and Next of each stream
// and no records.
type Dump struct {
	Address      string                    `json:"address"`
	Fault        Fault                     `json:"fault"`
	HangingCalls int                       `json:"held"` // number of calls that hang now
	Counts       Counts                    `json:"counts"`
	Streams      map[string]platform.Batch `json:"streams"`
}

// Server is a running stand-in for the log service.
type Server struct {
	opts    Options
	streams *streams
	gate    *standin.Gate
	limiter *rate.Limiter
	http    *standin.Server

	mu          sync.Mutex
	loseAnswers int // as Fault.LoseAnswers, reduced by the responses lost since
	counts      Counts
}

// Start starts the stand-in.
func Start(o Options) (*Server, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	s := &Server{
		opts:    o,
		streams: newStreams(o.RetentionAge, o.RetentionCount),
		gate:    standin.NewGate(o.Clock),
		limiter: rate.NewLimiter(rate.Limit(o.Rate), o.Burst),
	}
	// The server may call the handler before Listen returns, so handlers wait for the assignment of s.http.
	ready := make(chan struct{})
	h, err := standin.Listen(standin.ServerOptions{Listen: o.Listen, Clock: o.Clock, Handler: func(ctx *fasthttp.RequestCtx) {
		<-ready
		s.handle(ctx)
	}})
	if err != nil {
		return nil, err
	}
	s.http = h
	close(ready)
	logrus.WithField("address", h.Address()).Info("log service listening")
	return s, nil
}

// Address returns the bound address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the stand-in without waiting for responses. Its records are lost.
func (s *Server) Close() { s.http.Close() }

// Stop implements standin.Process.
func (s *Server) Stop() { s.Close() }

// SetFault replaces the faults in force. It returns an error and changes nothing if a value is invalid.
func (s *Server) SetFault(f Fault) error {
	if f.Clear {
		f = Fault{}
	}
	if err := f.Check(); err != nil {
		return err
	}
	if f.LoseAnswers < -1 {
		return fmt.Errorf("lose_answers is %d, must be at least -1", f.LoseAnswers)
	}
	s.mu.Lock()
	s.loseAnswers = f.LoseAnswers
	s.mu.Unlock()
	s.gate.Set(f.GateFault)
	logrus.WithField("fault", fmt.Sprintf("%+v", f)).Info("faults set")
	return nil
}

// Dump returns the state of the stand-in.
func (s *Server) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{
		Address:      s.Address(),
		Fault:        Fault{GateFault: s.gate.Fault(), LoseAnswers: s.loseAnswers},
		HangingCalls: s.gate.HangingCalls(),
		Counts:       s.counts,
		Streams:      s.streams.bounds(s.opts.Clock.Now()),
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	name, isStream := strings.CutPrefix(path, "/streams/")
	switch {
	case path == "/dump":
		standin.WriteJSON(ctx, http.StatusOK, s.Dump())
	case path == "/fault":
		s.handleFault(ctx)
	case !isStream || name == "":
		ctx.Error("unknown path", http.StatusNotFound)
	case !s.gate.Pass(ctx, s.http.Closed()):
	case ctx.IsPost():
		s.handleAppend(ctx, name)
	case ctx.IsGet():
		s.handleRead(ctx, name)
	default:
		ctx.Error("method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if !standin.ReadJSON(ctx, &f) {
		return
	}
	if err := s.SetFault(f); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, f)
}

func (s *Server) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	now := s.opts.Clock.Now()
	data := slices.Clone(ctx.PostBody())
	if len(data) > s.opts.MaxRecord {
		ctx.Error(fmt.Sprintf("record has %d bytes, at most %d", len(data), s.opts.MaxRecord), http.StatusRequestEntityTooLarge)
		return
	}
	if !s.limiter.AllowN(now, 1) {
		s.count(func(c *Counts) { c.Limited++ })
		ctx.Error(fmt.Sprintf("more than %g appends per second", s.opts.Rate), http.StatusTooManyRequests)
		return
	}
	offset := s.streams.append(now, name, data)
	s.count(func(c *Counts) { c.Appends++ })
	if s.loseAnswer() {
		standin.Drop(ctx)
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, map[string]int64{"offset": offset})
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from := int64(args.GetUintOrZero("from"))
	limit := args.GetUintOrZero("max")
	if limit == 0 {
		limit = defaultReadMax
	}
	b, err := s.streams.read(s.opts.Clock.Now(), name, from, min(limit, maxReadMax))
	s.count(func(c *Counts) { c.Reads++ })
	status := http.StatusOK
	if err != nil {
		status = http.StatusGone
	}
	standin.WriteJSON(ctx, status, b)
}

// loseAnswer reports whether the response to the current append is to be lost, and counts it.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAnswers == 0 {
		return false
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
	}
	s.counts.LostAnswers++
	return true
}

// count changes the counts under the lock.
func (s *Server) count(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}
