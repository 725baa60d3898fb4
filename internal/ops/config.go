package ops

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

const (
	defaultHistory = 20
	maxHistory     = 1000
)

func (s *Server) config(c *call) error {
	current, err := s.o.Config.Current()
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, current)
	return nil
}

func (s *Server) history(c *call) error {
	count, err := intArg(c, opsapi.ArgMax, defaultHistory, 1, maxHistory)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	versions, err := s.o.Config.History(ctx, int(count))
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.History{Versions: versions})
	return nil
}

func (s *Server) validate(c *call) error {
	problems := s.o.Config.Validate(c.http.PostBody())
	if len(problems) > 0 {
		return &InvalidError{problems}
	}
	writeJSON(c.http, http.StatusOK, opsapi.Validation{Valid: true})
	return nil
}

// publish validates the document and hands it to the controller together with the version that it replaces.
func (s *Server) publish(c *call) error {
	p, err := publication(c)
	if err != nil {
		return err
	}
	if problems := s.o.Config.Validate(p.Document); len(problems) > 0 {
		return &InvalidError{problems}
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	version, err := s.o.Config.Publish(ctx, p)
	if errors.Is(err, context.DeadlineExceeded) {
		err = ErrUnresolved
	}
	if errors.Is(err, ErrConflict) {
		return s.conflict(p.Replaces)
	}
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.PublishResult{Version: version, Nonce: p.Nonce})
	return nil
}

// restore hands a document to the controller as the new base of the log.
func (s *Server) restore(c *call) error {
	document := append([]byte(nil), c.http.PostBody()...)
	if problems := s.o.Config.Validate(document); len(problems) > 0 {
		return &InvalidError{problems}
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	version, err := s.o.Config.Restore(ctx, c.who.Name, document)
	if errors.Is(err, context.DeadlineExceeded) {
		err = ErrUnresolved
	}
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.PublishResult{Version: version})
	return nil
}

func (s *Server) conflict(replaces int64) error {
	e := opsapi.NewError(result.ConfigConflict, fmt.Sprintf("version %d is not the current version any more", replaces))
	if current, err := s.o.Config.Current(); err == nil {
		e.Current = current.Version
	}
	return e
}

// publication reads the request. The body is copied, because fasthttp reuses it after the request.
func publication(c *call) (Publication, error) {
	replaces, err := intArg(c, opsapi.ArgReplaces, -1, 0, 1<<62)
	if err != nil {
		return Publication{}, err
	}
	if replaces < 0 {
		return Publication{}, opsapi.NewError(result.OutOfRange, "replaces is missing: the version that the document replaces, 0 for the first")
	}
	nonce := string(c.http.QueryArgs().Peek(opsapi.ArgNonce))
	if len(nonce) > opsapi.MaxNonceBytes {
		return Publication{}, opsapi.NewError(result.OutOfRange, fmt.Sprintf("nonce has %d bytes, at most %d", len(nonce), opsapi.MaxNonceBytes))
	}
	if nonce == "" {
		nonce = rand.Text()
	}
	document := append([]byte(nil), c.http.PostBody()...)
	return Publication{Document: document, Replaces: replaces, Nonce: nonce, Author: c.who.Name}, nil
}

// intArg reads a whole number from the query. It returns missing when the argument is absent.
func intArg(c *call, name string, missing, low, high int64) (int64, error) {
	text := c.http.QueryArgs().Peek(name)
	if len(text) == 0 {
		return missing, nil
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || n < low || n > high {
		return 0, opsapi.NewError(result.OutOfRange, fmt.Sprintf("%s is %q, must be a whole number from %d to %d", name, text, low, high))
	}
	return n, nil
}
