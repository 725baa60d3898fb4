package instances

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/standin"
)

// Fault is a set of faults. Each POST /fault replaces the whole set in force.
type Fault struct {
	standin.GateFault
	Clear  bool `json:"clear,omitempty"`  // ends all faults; the other fields are ignored
	Freeze bool `json:"freeze,omitempty"` // readers keep getting the list that they get now
}

// Ref names one incarnation of an instance.
type Ref struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Dump is the state of the stand-in, the response to GET /dump.
type Dump struct {
	Address      string              `json:"address"`
	Fault        Fault               `json:"fault"`
	HangingCalls int                 `json:"held"`      // number of calls that hang now
	Seen         []platform.Instance `json:"seen"`      // list that readers get
	Instances    []platform.Instance `json:"instances"` // current list
}

// Server is a running stand-in for the instance list.
type Server struct {
	opts  Options
	state *state
	gate  *standin.Gate
	http  *standin.Server
	stop  context.CancelFunc
}

// Start starts the stand-in and the watches of the entry instances in the options.
func Start(o Options) (*Server, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	s := &Server{opts: o, state: newState(o.Lag, o.Expiry), gate: standin.NewGate(o.Clock)}
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
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	for _, text := range o.Entries {
		e, _ := ParseEntry(text) // checked above
		go s.watch(ctx, e)
	}
	logrus.WithField("address", h.Address()).Info("instance list listening")
	return s, nil
}

// Address returns the bound address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the stand-in without waiting for responses.
func (s *Server) Close() {
	s.stop()
	s.http.Close()
}

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
	s.state.freeze(s.opts.Clock.Now(), f.Freeze)
	s.gate.Set(f.GateFault)
	logrus.WithField("fault", fmt.Sprintf("%+v", f)).Info("faults set")
	return nil
}

// Dump returns the state of the stand-in.
func (s *Server) Dump() Dump {
	now := s.opts.Clock.Now()
	s.state.mu.Lock()
	frozen := s.state.frozen
	s.state.mu.Unlock()
	return Dump{
		Address:      s.Address(),
		Fault:        Fault{GateFault: s.gate.Fault(), Freeze: frozen},
		HangingCalls: s.gate.HangingCalls(),
		Seen:         s.state.list(now),
		Instances:    s.state.listNow(now),
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/dump":
		standin.WriteJSON(ctx, fasthttp.StatusOK, s.Dump())
	case "/fault":
		s.handleFault(ctx)
	case "/instances":
		if s.gate.Pass(ctx, s.http.Closed()) {
			s.writeList(ctx)
		}
	case "/register":
		s.handleRegister(ctx)
	case "/renew", "/leave", "/remove":
		s.handleChange(ctx, path)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// writeList responds with the list that readers get, or with status 304 if the request's ETag is that of the same list.
func (s *Server) writeList(ctx *fasthttp.RequestCtx) {
	standin.WriteJSON(ctx, fasthttp.StatusOK, s.state.list(s.opts.Clock.Now()))
	etag := fmt.Sprintf("\"%x\"", xxhash.Sum64(ctx.Response.Body()))
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == etag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

func (s *Server) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if !standin.ReadJSON(ctx, &f) {
		return
	}
	if err := s.SetFault(f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	standin.WriteJSON(ctx, fasthttp.StatusOK, f)
}

func (s *Server) handleRegister(ctx *fasthttp.RequestCtx) {
	var in platform.Instance
	if !s.gate.Pass(ctx, s.http.Closed()) || !standin.ReadJSON(ctx, &in) {
		return
	}
	if in.Name == "" || in.Zone == "" || in.Address == "" {
		ctx.Error("name, zone and address must not be empty", fasthttp.StatusBadRequest)
		return
	}
	if in.State == "" {
		in.State = platform.StateLive
	}
	s.state.register(s.opts.Clock.Now(), in)
	standin.WriteJSON(ctx, fasthttp.StatusOK, in)
}

func (s *Server) handleChange(ctx *fasthttp.RequestCtx, path string) {
	var r Ref
	if !s.gate.Pass(ctx, s.http.Closed()) || !standin.ReadJSON(ctx, &r) {
		return
	}
	now := s.opts.Clock.Now()
	var err error
	switch path {
	case "/renew":
		err = s.state.renew(now, r.Name, r.Incarnation)
	case "/leave":
		err = s.state.leave(now, r.Name, r.Incarnation)
	case "/remove":
		err = s.state.remove(now, r.Name, r.Incarnation)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
		return
	}
	standin.WriteJSON(ctx, fasthttp.StatusOK, r)
}
