// Package ops is the HTTP server of the operators' interface: health, metrics, state dumps, configuration, drain, log
// level, fault injection, and the state of workers, teams and jobs.
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
	maxDocumentBytes = 1 << 20              // largest body that holds a configuration document
	maxBodyBytes     = 4 << 10              // largest other body
	maxReadBytes     = 2 * maxDocumentBytes // a larger body is not read, and its sender may see only a closed connection
	maxConnections   = 64                   // for operators and health checks; callers have a separate listener
	readTimeout      = 10 * time.Second
	idleTimeout      = 60 * time.Second
	backendTimeout   = 5 * time.Second
	publishTimeout   = 15 * time.Second // covers a slow log, and the search for the record in the log after a lost answer
	writeTimeout     = publishTimeout + backendTimeout
)

// Options identify the instance and name the components that the server shows and controls. Config, Engine, Members,
// Drainer, Tokens and Log are required.
type Options struct {
	Zone        string
	Instance    string
	Incarnation uint64 // number of this run of the instance; each start has a higher one

	Tokens          *secure.Tokens
	Config          Config
	Engine          Engine
	Members         Members
	Drainer         Drainer
	Faults          Faults          // nil disables opsapi.PathFaults
	NotReadyReasons func() []string // reasons why the instance is not ready; nil means always ready
	Vars            expvar.Var      // the instance's metrics, shown by opsapi.PathVars; nil shows none
	Dumps           *Dumps          // nil means no dumpers
	Log             *logrus.Logger
	Uptime          func() time.Duration // time since the start of the instance; nil means the time since New
}

// Server serves the operators' interface.
type Server struct {
	opts Options
	http *fasthttp.Server
}

// New returns a server. It answers requests once Serve is called.
func New(opts Options) *Server {
	if opts.Dumps == nil {
		opts.Dumps = new(Dumps)
	}
	if opts.NotReadyReasons == nil {
		opts.NotReadyReasons = func() []string { return nil }
	}
	if opts.Uptime == nil {
		start := time.Now()
		opts.Uptime = func() time.Duration { return time.Since(start) }
	}
	s := &Server{opts: opts}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleReadError,
		Name:                  "savoryd",
		Concurrency:           maxConnections,
		MaxRequestBodySize:    maxReadBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		Logger:                debugLogger{opts.Log},
	}
	return s
}

// Serve answers requests on a listener until Shutdown is called or the listener fails.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown closes the listener and waits until the requests in progress are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// debugLogger writes fasthttp's own messages to the log at level debug.
type debugLogger struct{ log *logrus.Logger }

func (l debugLogger) Printf(format string, args ...any) {
	l.log.WithField("event", "ops_http").Debugf(format, args...)
}

// call is one request with its authenticated sender and its argument.
type call struct {
	http      *fasthttp.RequestCtx
	principal secure.Principal // bearer of the token; zero if the route needs no token
	arg       string           // the rest of the path, for routes whose path ends in a slash
}

// handle authorizes a request, runs its handler and, on an error, writes the error as the answer. Requests that need
// the operator role are logged.
func (s *Server) handle(http *fasthttp.RequestCtx) {
	c := &call{http: http}
	start := time.Now()
	r, err := s.authorize(c)
	if err == nil {
		err = s.run(r, c)
	}
	code := result.Accepted
	if err != nil {
		code = s.writeError(http, err)
	}
	if r != nil && r.role == secure.RoleOperator {
		s.audit(c, code, time.Since(start))
	}
}

// authorize finds the route and checks the token, its role and the size of the body. It returns the route together with
// the error if only the checks failed.
func (s *Server) authorize(c *call) (*route, error) {
	r, arg, err := findRoute(string(c.http.Method()), string(c.http.Path()))
	if err != nil {
		return nil, err
	}
	c.arg = arg
	if r.role == secure.RoleNone {
		return r, nil
	}
	principal, ok := s.opts.Tokens.LookupHeader(c.http.Request.Header.Peek("Authorization"))
	if !ok {
		return r, opsapi.NewError(result.Unauthenticated, "a valid bearer token is required")
	}
	c.principal = principal
	if !principal.Role.Allows(r.role) {
		return r, opsapi.NewError(result.Forbidden, "role "+principal.Role.String()+" does not allow this request, it needs role "+r.role.String())
	}
	if size := len(c.http.PostBody()); size > r.maxBody {
		return r, bodyTooLarge(r.maxBody)
	}
	return r, nil
}

// run calls the route's handler. It turns a panic into an error, so that one request cannot end the process.
func (s *Server) run(r *route, c *call) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.opts.Log.WithFields(logrus.Fields{"event": "ops_panic", "path": r.path, "panic": p}).Error("request failed")
			err = errors.New("the handler panicked")
		}
	}()
	return r.handler(s, c)
}

// audit logs a request to change something, whether it was carried out or refused.
func (s *Server) audit(c *call, code result.Code, took time.Duration) {
	s.opts.Log.WithFields(logrus.Fields{
		"event":  "ops_change",
		"method": string(c.http.Method()),
		"path":   string(c.http.Path()),
		"name":   c.principal.Name,
		"role":   c.principal.Role.String(),
		"remote": c.http.RemoteAddr().String(),
		"code":   code.String(),
		"ms":     took.Milliseconds(),
	}).Info("operator request")
}

// writeError writes an error as the answer, without secrets, and returns its code.
func (s *Server) writeError(http *fasthttp.RequestCtx, err error) result.Code {
	e := toError(err)
	if e.Code == result.Internal {
		s.opts.Log.WithFields(logrus.Fields{"event": "ops_fault", "path": string(http.Path())}).WithError(err).Error("request failed")
	}
	clean := *e
	clean.Message = secure.RedactText(e.Message)
	clean.Problems = redactProblems(e.Problems)
	writeJSON(http, e.Code.Info().HTTPStatus, clean)
	return e.Code
}

// redactProblems returns the problems without secrets: a document may hold a token where it should hold its digest.
func redactProblems(problems []opsapi.Problem) []opsapi.Problem {
	clean := slices.Clone(problems)
	for i := range clean {
		clean[i].Value = secure.RedactText(clean[i].Value)
		clean[i].Message = secure.RedactText(clean[i].Message)
	}
	return clean
}

// toError returns the answer to a backend's error. The text of an unknown error is not shown, because it is not meant
// for operators and may disclose internals.
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
		return opsapi.NewError(result.NoSuchObject, "this instance has no such object")
	case errors.Is(err, ErrConflict):
		return opsapi.NewError(result.ConfigConflict, "another version was published")
	case errors.Is(err, ErrUnresolved):
		return opsapi.NewError(result.ConfigUnresolved, "the outcome of the publication is unknown")
	case errors.Is(err, ErrRestoreNotNeeded):
		return opsapi.NewError(result.RestoreNotNeeded, "this instance is missing no record of the log")
	case errors.Is(err, ErrUnavailable):
		if reason, ok := strings.CutPrefix(err.Error(), ErrUnavailable.Error()+": "); ok {
			return opsapi.NewError(result.ConfigUnavailable, reason)
		}
		return opsapi.NewError(result.ConfigUnavailable, "the instance has no configuration")
	case errors.Is(err, context.DeadlineExceeded):
		return opsapi.NewError(result.Timeout, "the instance did not complete the request in time")
	}
	return opsapi.NewError(result.Internal, "the request failed; the instance's log has the cause")
}

// handleReadError answers a request that fasthttp could not read, and closes the connection.
func (s *Server) handleReadError(http *fasthttp.RequestCtx, err error) {
	var header *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.writeError(http, bodyTooLarge(maxDocumentBytes))
	case errors.As(err, &header):
		s.writeError(http, opsapi.NewError(result.HeaderTooLarge, "the header exceeds 4096 bytes"))
	default:
		s.writeError(http, opsapi.NewError(result.MalformedHTTP, "the request is not HTTP/1.1"))
	}
	http.Response.SetConnectionClose()
}

// writeJSON answers with v as JSON.
func writeJSON(http *fasthttp.RequestCtx, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		text = []byte(`{"code":500,"name":"internal","message":"the answer cannot be encoded"}`)
	}
	writeText(http, status, text)
}

// writeText answers with a text that is already JSON.
func writeText(http *fasthttp.RequestCtx, status int, text []byte) {
	http.Response.Header.Set("Cache-Control", "no-store")
	http.SetContentType("application/json")
	http.SetStatusCode(status)
	http.SetBody(text)
}
