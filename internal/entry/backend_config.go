package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// configBackend implements ops.Config on the configuration controller.
type configBackend struct{ c *config.Controller }

// Current implements ops.Config.
func (b configBackend) Current() (opsapi.Config, error) {
	u := b.c.Current()
	if u.Config == nil {
		return opsapi.Config{}, ops.ErrUnavailable
	}
	return opsapi.Config{
		Version: int64(u.State.Version), Schema: u.State.Schema, Author: u.State.Author, Nonce: u.State.Nonce, Digest: u.State.Digest,
		Published: b.inForceSince(u.State.Version), Document: u.State.Document,
	}, nil
}

// inForceSince returns when a version came into force on this instance, or the zero time if it is no longer in the
// history.
func (b configBackend) inForceSince(version uint64) time.Time {
	for _, v := range b.c.History() {
		if v.Version == version {
			return v.InForceSince
		}
	}
	return time.Time{}
}

// History implements ops.Config. The newest version comes first.
func (b configBackend) History(_ context.Context, limit int) ([]opsapi.Config, error) {
	history := b.c.History()
	var out []opsapi.Config
	for i := len(history) - 1; i >= 0 && len(out) < limit; i-- {
		v := history[i]
		out = append(out, opsapi.Config{
			Version: int64(v.Version), Schema: v.Schema, Author: v.Author, Nonce: v.Nonce, Digest: v.Digest, Published: v.InForceSince,
		})
	}
	return out, nil
}

// Validate implements ops.Config. It returns nil for a valid document.
func (b configBackend) Validate(document []byte) []opsapi.Problem {
	_, err := config.Decode(document)
	if err == nil {
		return nil
	}
	var ps config.Problems
	if !errors.As(err, &ps) {
		return []opsapi.Problem{{Message: err.Error()}}
	}
	return problems(ps)
}

func problems(ps config.Problems) []opsapi.Problem {
	out := make([]opsapi.Problem, len(ps))
	for i, p := range ps {
		out[i] = opsapi.Problem{Path: p.Path, Value: p.Value, Bound: p.Bound, Message: p.String()}
	}
	return out
}

// Publish implements ops.Config.
func (b configBackend) Publish(ctx context.Context, p ops.Publication) (int64, error) {
	return publicationResult(b.c.Publish(ctx, config.Publication{
		Author: p.Author, Document: p.Document, Replaces: uint64(p.Replaces), Nonce: p.Nonce,
	}))
}

// Restore implements ops.Config.
func (b configBackend) Restore(ctx context.Context, author string, document []byte) (int64, error) {
	return publicationResult(b.c.Restore(ctx, author, document))
}

// publicationResult returns the version of a successful publication, or the error that describes its outcome.
func publicationResult(out config.Outcome) (int64, error) {
	switch out.Status {
	case config.OutcomePublished:
		return int64(out.Version), nil
	case config.OutcomeNotNeeded:
		return 0, ops.ErrRestoreNotNeeded
	case config.OutcomeConflict:
		return 0, ops.ErrConflict
	case config.OutcomeUnknown:
		return 0, ops.ErrUnresolved
	}
	if len(out.Problems) > 0 {
		return 0, &ops.InvalidError{Problems: problems(out.Problems)}
	}
	return 0, fmt.Errorf("%w: %s", ops.ErrUnavailable, out.Reason)
}
