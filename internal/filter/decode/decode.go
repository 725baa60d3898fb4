// Package decode determines the action of a request from its method and path, and decodes its body and query.
package decode

import (
	"crypto/sha256"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/result"
)

// PathIdentities is the path at which callers request submission identities.
const PathIdentities = "/v1/identities"

const (
	pathJobs    = "/v1/jobs"
	prefixJob   = "/v1/jobs/"
	defaultWait = 60 * time.Second // for submissions and cancellations; a fetch does not wait by default
)

// Filter implements filter.Filter.
type Filter struct{}

// Name returns the filter's name.
func (Filter) Name() string { return "decode" }

// Handle sets the request's action and the fields that come from its path, body and query.
func (Filter) Handle(r *filter.Request, next filter.Handler) {
	path, query, _ := strings.Cut(r.Path, "?")
	if err := route(r, path); err != nil {
		r.Refuse(err)
		return
	}
	if err := decodeBody(r); err != nil {
		r.Refuse(err)
		return
	}
	if err := decodeWait(r, query); err != nil {
		r.Refuse(err)
		return
	}
	next.Handle(r)
}

func route(r *filter.Request, path string) *api.Error {
	switch {
	case path == PathIdentities:
		r.Action = filter.Issue
		return requireMethod(r, "POST")
	case path == pathJobs:
		r.Action = filter.Submit
		return requireMethod(r, "POST")
	case strings.HasPrefix(path, prefixJob):
		r.Identity = path[len(prefixJob):]
		r.Action = filter.Fetch
		if r.Method == "DELETE" {
			r.Action = filter.Cancel
		}
		return requireMethod(r, "GET", "DELETE")
	}
	return api.Errorf(result.UnknownPath, "path", "there is no resource %q", path)
}

// requireMethod returns an error unless the request's method is one of methods.
func requireMethod(r *filter.Request, methods ...string) *api.Error {
	for _, m := range methods {
		if r.Method == m {
			return nil
		}
	}
	return api.Errorf(result.MethodNotAllowed, "method", "the resource accepts %s, not %q", strings.Join(methods, " or "), r.Method)
}

func decodeBody(r *filter.Request) *api.Error {
	switch r.Action {
	case filter.Issue:
		req, err := api.DecodeIdentityRequest(r.Body)
		if err != nil {
			return err
		}
		r.Count = req.Count
	case filter.Submit:
		sub, err := api.DecodeSubmit(r.Body)
		if err != nil {
			return err
		}
		r.Submit, r.Identity = sub, sub.Identity
		sum := sha256.Sum256(r.Body)
		copy(r.Digest[:], sum[:])
	}
	return nil
}

// decodeWait sets how long the caller waits, from the query parameter wait_ms. With 0 the caller gets the state at once.
func decodeWait(r *filter.Request, query string) *api.Error {
	r.Wait = defaultWait
	if r.Action == filter.Fetch {
		r.Wait = 0
	}
	if query == "" {
		return nil
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return api.Errorf(result.MalformedHTTP, "query", "the query cannot be parsed")
	}
	for name := range values {
		if name != "wait_ms" {
			return api.Errorf(result.UnknownField, name, "query parameter %q is not known", name)
		}
	}
	ms, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil {
		return api.Errorf(result.WrongType, "wait_ms", "wait_ms must be a whole number of milliseconds")
	}
	if ms < 0 || ms > api.MaxDeadlineMS {
		return api.Errorf(result.OutOfRange, "wait_ms", "wait_ms is %d, must be 0 to %d", ms, api.MaxDeadlineMS)
	}
	r.Wait = time.Duration(ms) * time.Millisecond
	return nil
}
