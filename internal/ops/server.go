// Package ops serves the operators' interface: health, metrics, state dumps, configuration, drain and the state of
// workers, teams and jobs.
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

const (
	maxDocumentBytes = 1 << 20              // a configuration document
	maxSmallBytes    = 4 << 10              // every other body
	maxReadBytes     = 2 * maxDocumentBytes // a larger body is not read, and its sender may see a broken connection
	maxConnections   = 64                   // operators and health checks; callers have a listener of their own
	readTimeout      = 10 * time.Second
	idleTimeout      = 60 * time.Second
	callTimeout      = 5 * time.Second
	publishTimeout   = 15 * time.Second // a slow log answers late, and a lost answer is then looked up
	writeTimeout     = publishTimeout + callTimeout
)

// Options are the parts that the listener shows and controls. Config, Engine, Members, Drainer, Tokens and Log are
// required.
type Options struct {
	Zone        string
	Instance    string
	Incarnation uint64

	Tokens  *secure.Tokens
	Config  Config
	Engine  Engine
	Members Members
	Drainer Drainer
	Faults  Faults          // nil disables PathFaults
	Ready   func() []string // reasons why the instance is not ready; nil means always ready
	Vars    expvar.Var      // the dispatcher's metrics
	Dumps   *Dumps
	Log     *logrus.Logger
	Uptime  func() time.Duration // nil counts from New
}

// Server is the operators' listener.
type Server struct {
	o    Options
	http *fasthttp.Server
}

// New returns a listener that is not serving yet.
func New(o Options) *Server {
	if o.Dumps == nil {
		o.Dumps = new(Dumps)
	}
	if o.Ready == nil {
		o.Ready = func() []string { return nil }
	}
	if o.Uptime == nil {
		start := time.Now()
		o.Uptime = func() time.Duration { return time.Since(start) }
	}
	s := &Server{o: o}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.refuseUnreadable,
		Name:                  "savoryd",
		Concurrency:           maxConnections,
		MaxRequestBodySize:    maxReadBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		Logger:                quietLogger{o.Log},
	}
	return s
}

// Serve answers requests on a listener until Shutdown or an error.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown closes the listener and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// quietLogger sends fasthttp's own messages to the log.
type quietLogger struct{ log *logrus.Logger }

func (q quietLogger) Printf(format string, args ...any) {
	q.log.WithField("event", "ops_http").Debugf(format, args...)
}

// call is one request with what was found out about it.
type call struct {
	http *fasthttp.RequestCtx
	who  secure.Principal
	arg  string // the path below a route that takes one
}

// handle finds the route, checks the bearer's role and the body's size, and answers.
func (s *Server) handle(http *fasthttp.RequestCtx) {
	c := &call{http: http}
	start := time.Now()
	r, err := s.admit(c)
	if err == nil {
		err = s.run(r, c)
	}
	code := result.Accepted
	if err != nil {
		code = s.fail(http, err)
	}
	if r != nil && r.role == secure.RoleOperator {
		s.audit(c, code, time.Since(start))
	}
}

func (s *Server) admit(c *call) (*route, error) {
	r, arg, err := find(string(c.http.Method()), string(c.http.Path()))
	if err != nil {
		return nil, err
	}
	c.arg = arg
	if r.role == secure.RoleNone {
		return r, nil
	}
	who, ok := s.o.Tokens.LookupHeader(c.http.Request.Header.Peek("Authorization"))
	if !ok {
		return r, opsapi.NewError(result.Unauthenticated, "a valid bearer token is required")
	}
	c.who = who
	if !who.Role.Allows(r.role) {
		return r, opsapi.NewError(result.Forbidden, "role "+who.Role.String()+" does not allow this, needs "+r.role.String())
	}
	if size := len(c.http.PostBody()); size > r.maxBody {
		return r, tooLarge(r.maxBody)
	}
	return r, nil
}

// run calls the route's handler and turns a panic into an answer, since one request must not end the process.
func (s *Server) run(r *route, c *call) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.o.Log.WithFields(logrus.Fields{"event": "ops_panic", "path": r.path, "panic": p}).Error("request failed")
			err = errors.New("panic")
		}
	}()
	return r.handler(s, c)
}

// audit writes one line for each change and each attempt at one.
func (s *Server) audit(c *call, code result.Code, took time.Duration) {
	s.o.Log.WithFields(logrus.Fields{
		"event":  "ops_change",
		"method": string(c.http.Method()),
		"path":   string(c.http.Path()),
		"name":   c.who.Name,
		"role":   c.who.Role.String(),
		"remote": c.http.RemoteAddr().String(),
		"code":   code.String(),
		"ms":     took.Milliseconds(),
	}).Info("operator's request")
}

// fail answers with an error and returns its code.
func (s *Server) fail(http *fasthttp.RequestCtx, err error) result.Code {
	e := toError(err)
	if e.Code == result.Internal {
		s.o.Log.WithFields(logrus.Fields{"event": "ops_fault", "path": string(http.Path())}).WithError(err).Error("request failed")
	}
	clean := *e
	clean.Message = secure.RedactText(e.Message)
	clean.Problems = redactProblems(e.Problems)
	writeJSON(http, e.Code.Info().HTTPStatus, clean)
	return e.Code
}

// redactProblems guards against a document that has a token where a digest belongs.
func redactProblems(problems []opsapi.Problem) []opsapi.Problem {
	clean := slices.Clone(problems)
	for i := range clean {
		clean[i].Value = secure.RedactText(clean[i].Value)
		clean[i].Message = secure.RedactText(clean[i].Message)
	}
	return clean
}

// toError finds the code for a backend's error. Unknown errors are not shown, since their texts are not for operators.
func toError(err error) *opsapi.Error {
	var known *opsapi.Error
	var invalid *InvalidError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &invalid):
		e := opsapi.NewError(result.ConfigInvalid, "the document has errors")
		e.Problems = invalid.Problems
		return e
	case errors.Is(err, ErrNotFound):
		return opsapi.NewError(result.NoSuchObject, "there is no such object at this instance")
	case errors.Is(err, ErrConflict):
		return opsapi.NewError(result.ConfigConflict, "another version was published")
	case errors.Is(err, ErrUnresolved):
		return opsapi.NewError(result.ConfigUnresolved, "the outcome of the publication is unknown")
	case errors.Is(err, ErrRestoreNotNeeded):
		return opsapi.NewError(result.RestoreNotNeeded, "this instance misses no record of the log")
	case errors.Is(err, ErrUnavailable):
		if reason, ok := strings.CutPrefix(err.Error(), ErrUnavailable.Error()+": "); ok {
			return opsapi.NewError(result.ConfigUnavailable, reason)
		}
		return opsapi.NewError(result.ConfigUnavailable, "the instance has no configuration")
	case errors.Is(err, context.DeadlineExceeded):
		return opsapi.NewError(result.Timeout, "no answer in time")
	}
	return opsapi.NewError(result.Internal, "the request failed; the instance's log has the cause")
}

// refuseUnreadable answers what fasthttp could not read as a request.
func (s *Server) refuseUnreadable(http *fasthttp.RequestCtx, err error) {
	var header *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.fail(http, tooLarge(maxDocumentBytes))
	case errors.As(err, &header):
		s.fail(http, opsapi.NewError(result.HeaderTooLarge, "the header exceeds 4096 bytes"))
	default:
		s.fail(http, opsapi.NewError(result.MalformedHTTP, "the request is not HTTP/1.1"))
	}
	http.Response.SetConnectionClose()
}

func writeJSON(http *fasthttp.RequestCtx, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		text = []byte(`{"code":500,"name":"internal","message":"the answer cannot be encoded"}`)
	}
	writeText(http, status, text)
}

func writeText(http *fasthttp.RequestCtx, status int, text []byte) {
	http.Response.Header.Set("Cache-Control", "no-store")
	http.SetContentType("application/json")
	http.SetStatusCode(status)
	http.SetBody(text)
}
