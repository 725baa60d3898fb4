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
	defaultHistoryVersions = 20   // versions in an answer if the request has no opsapi.ArgMax
	maxHistoryVersions     = 1000 // highest value of opsapi.ArgMax
)

func (s *Server) config(c *call) error {
	current, err := s.opts.Config.Current()
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, current)
	return nil
}

func (s *Server) history(c *call) error {
	count, err := intArg(c, opsapi.ArgMax, defaultHistoryVersions, 1, maxHistoryVersions)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), backendTimeout)
	defer cancel()
	versions, err := s.opts.Config.History(ctx, int(count))
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.History{Versions: versions})
	return nil
}

func (s *Server) validate(c *call) error {
	problems := s.opts.Config.Validate(c.http.PostBody())
	if len(problems) > 0 {
		return &InvalidError{problems}
	}
	writeJSON(c.http, http.StatusOK, opsapi.Validation{Valid: true})
	return nil
}

// publish validates the document and passes it to the controller. A time-out leaves the outcome unknown, because the
// document may have reached the log.
func (s *Server) publish(c *call) error {
	p, err := readPublication(c)
	if err != nil {
		return err
	}
	if problems := s.opts.Config.Validate(p.Document); len(problems) > 0 {
		return &InvalidError{problems}
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	version, err := s.opts.Config.Publish(ctx, p)
	if errors.Is(err, context.DeadlineExceeded) {
		err = ErrUnresolved
	}
	if errors.Is(err, ErrConflict) {
		return s.conflictError(p.Replaces)
	}
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.PublishResult{Version: version, Nonce: p.Nonce})
	return nil
}

// restore validates the document and passes it to the controller, see Config.Restore.
func (s *Server) restore(c *call) error {
	document := append([]byte(nil), c.http.PostBody()...)
	if problems := s.opts.Config.Validate(document); len(problems) > 0 {
		return &InvalidError{problems}
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	version, err := s.opts.Config.Restore(ctx, c.principal.Name, document)
	if errors.Is(err, context.DeadlineExceeded) {
		err = ErrUnresolved
	}
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.PublishResult{Version: version})
	return nil
}

// conflictError returns the refusal of a publication that does not replace the current version, with that version.
func (s *Server) conflictError(replaces int64) error {
	e := opsapi.NewError(result.ConfigConflict, fmt.Sprintf("version %d is no longer the current version", replaces))
	if current, err := s.opts.Config.Current(); err == nil {
		e.Current = current.Version
	}
	return e
}

// readPublication reads a publication from the request and chooses a nonce if the request has none. It copies the body,
// because fasthttp reuses the buffer after the request.
func readPublication(c *call) (Publication, error) {
	replaces, err := intArg(c, opsapi.ArgReplaces, -1, 0, 1<<62)
	if err != nil {
		return Publication{}, err
	}
	if replaces < 0 {
		return Publication{}, opsapi.NewError(result.OutOfRange, "replaces is missing: give the version that the document replaces, 0 for the first publication")
	}
	nonce := string(c.http.QueryArgs().Peek(opsapi.ArgNonce))
	if len(nonce) > opsapi.MaxNonceBytes {
		return Publication{}, opsapi.NewError(result.OutOfRange, fmt.Sprintf("nonce has %d bytes, at most %d", len(nonce), opsapi.MaxNonceBytes))
	}
	if nonce == "" {
		nonce = rand.Text()
	}
	document := append([]byte(nil), c.http.PostBody()...)
	return Publication{Document: document, Replaces: replaces, Nonce: nonce, Author: c.principal.Name}, nil
}

// intArg returns the whole number from low to high that the query gives for a name, or absent if it gives none.
func intArg(c *call, name string, absent, low, high int64) (int64, error) {
	text := c.http.QueryArgs().Peek(name)
	if len(text) == 0 {
		return absent, nil
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || n < low || n > high {
		return 0, opsapi.NewError(result.OutOfRange, fmt.Sprintf("%s is %q, must be a whole number from %d to %d", name, text, low, high))
	}
	return n, nil
}
