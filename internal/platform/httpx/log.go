package httpx

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
)

// Log is the log service over HTTP/1.1. It implements platform.Log.
type Log struct {
	client *client
}

// NewLog returns a client of the log service at an address of the form host:port.
func NewLog(address string, opts Options) *Log {
	return &Log{client: newClient(address, opts.withDefaults())}
}

// Close releases all connections.
func (l *Log) Close() { l.client.close() }

type appendReply struct {
	Offset *int64 `json:"offset"`
}

// Append adds a record and returns its offset. Errors wrap platform.ErrUnavailable when the record was certainly not
// added, and platform.ErrUnknown when it may have been added. The error for a record that the service rejects as
// invalid wraps neither.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	r, err := l.client.do(ctx, call{method: fasthttp.MethodPost, path: streamPath(stream), body: data})
	if err != nil {
		return 0, appendError(err)
	}
	switch {
	case r.status == fasthttp.StatusOK:
		return appendOffset(r.body)
	case refused(r.status):
		return 0, statusError(platform.ErrUnavailable, r)
	case r.status >= 400 && r.status < 500:
		return 0, fmt.Errorf("log: append rejected with status %d: %s", r.status, r.body)
	}
	return 0, statusError(platform.ErrUnknown, r)
}

func appendError(err error) error {
	var ce *callError
	if errors.As(err, &ce) && !ce.wrote {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnknown, err)
}

func appendOffset(body []byte) (int64, error) {
	var a appendReply
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	}
	if a.Offset == nil {
		return 0, fmt.Errorf("%w: response has no offset", platform.ErrUnknown)
	}
	return *a.Offset, nil
}

// Read returns at most max records from an offset on. Errors wrap platform.ErrTruncated or platform.ErrUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from int64, max int) (platform.Batch, error) {
	q := "?from=" + strconv.FormatInt(from, 10) + "&max=" + strconv.Itoa(max)
	r, err := l.client.do(ctx, call{method: fasthttp.MethodGet, path: streamPath(stream) + q})
	if err != nil {
		return platform.Batch{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	var b platform.Batch
	if r.status != fasthttp.StatusOK && r.status != fasthttp.StatusGone {
		return b, statusError(platform.ErrUnavailable, r)
	}
	if err := json.Unmarshal(r.body, &b); err != nil {
		return platform.Batch{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if r.status == fasthttp.StatusGone {
		return b, platform.ErrTruncated
	}
	return b, nil
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream)
}

func refused(status int) bool {
	return status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
}

func statusError(kind error, r reply) error {
	return fmt.Errorf("%w: status %d: %s", kind, r.status, r.body)
}
