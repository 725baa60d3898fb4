package ops

import (
	"context"
	"errors"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// Errors that backends return. Any other error is answered as result.Internal, without its text.
var (
	// ErrNotFound says that there is no object of this name here.
	ErrNotFound = errors.New("ops: no such object")
	// ErrConflict says that another version was published since the one to replace.
	ErrConflict = errors.New("ops: another version was published")
	// ErrUnresolved says that a document may have been published.
	ErrUnresolved = errors.New("ops: the outcome of the publication is unknown")
	// ErrRestoreNotNeeded says that a document cannot be restored here, because the instance misses no record of the log.
	ErrRestoreNotNeeded = errors.New("ops: nothing to restore")
	// ErrUnavailable says that nothing was published, because the log refused or there is no configuration yet. A reason may
	// follow it in the text, after a colon.
	ErrUnavailable = errors.New("ops: the configuration is not available")
)

// InvalidError says that a document has errors.
type InvalidError struct{ Problems []opsapi.Problem }

// Error returns the number of problems.
func (e *InvalidError) Error() string { return "ops: the document has errors" }

// Publication asks for a new version of the configuration.
type Publication struct {
	Document []byte
	Replaces int64
	Nonce    string // unique to the request; the record in the log carries it
	Author   string
}

// Config is the configuration's controller.
type Config interface {
	// Current returns the configuration in force, or ErrUnavailable.
	Current() (opsapi.Config, error)
	// History returns at most max versions, newest first, without documents.
	History(ctx context.Context, max int) ([]opsapi.Config, error)
	// Validate returns every problem of a document.
	Validate(document []byte) []opsapi.Problem
	// Publish appends a record and returns the version that it got. It returns *InvalidError, ErrConflict,
	// ErrUnresolved or ErrUnavailable.
	Publish(ctx context.Context, p Publication) (int64, error)
	// Restore appends a document as the new base of a log whose records are lost and returns its version. Besides the
	// errors of Publish it returns ErrNotNeeded.
	Restore(ctx context.Context, author string, document []byte) (int64, error)
}

// Engine owns the jobs and the slots.
type Engine interface {
	Load(ctx context.Context) (opsapi.Load, error)
	Workers(ctx context.Context) ([]opsapi.Worker, error)
	Teams(ctx context.Context) ([]opsapi.Team, error)
	// Job returns a job of this home by its identity, or ErrNoSuch.
	Job(ctx context.Context, identity string) (opsapi.Job, error)
	// Cancel cancels a job of this home and returns its state, or ErrNoSuch. Cancelling an ended job changes nothing.
	Cancel(ctx context.Context, identity string) (opsapi.Job, error)
}

// Members is the membership.
type Members interface {
	// Members returns all known entry instances, this one included.
	Members() []opsapi.Member
}

// Drainer stops the instance as planned.
type Drainer interface {
	// Drain begins the planned stop and returns at once. A repeated call changes nothing.
	Drain() opsapi.Drain
	Draining() bool
}

// Faults injects faults in tests.
type Faults interface {
	Active() []opsapi.Fault
	Inject(f opsapi.Fault) error
	Clear()
}
