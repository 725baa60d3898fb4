package ops

import (
	"context"
	"errors"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// Errors that backends return, besides *InvalidError and *opsapi.Error. context.DeadlineExceeded is answered with
// result.Timeout, and any other error with result.Internal and without its text.
var (
	// ErrNotFound means that this instance has no object of the given name.
	ErrNotFound = errors.New("ops: no such object")
	// ErrConflict means that another publication has already replaced Publication.Replaces.
	ErrConflict = errors.New("ops: another version was published")
	// ErrUnresolved means that it is unknown whether the document was published.
	ErrUnresolved = errors.New("ops: the outcome of the publication is unknown")
	// ErrRestoreNotNeeded means that the instance is missing no record of the log, so that a document can be published
	// instead of restored.
	ErrRestoreNotNeeded = errors.New("ops: nothing to restore")
	// ErrUnavailable means that there is no configuration yet, or that nothing was published because the controller or
	// the log did not accept the document. An error that wraps it may add a reason: "ErrUnavailable's text: reason".
	// The reason is shown to operators.
	ErrUnavailable = errors.New("ops: the configuration is not available")
)

// InvalidError is returned for an invalid configuration document and lists its problems.
type InvalidError struct{ Problems []opsapi.Problem }

// Error returns a fixed text; the problems are in Problems.
func (e *InvalidError) Error() string { return "ops: the document has errors" }

// Publication is a request to publish a new version of the configuration.
type Publication struct {
	Document []byte // YAML
	Replaces int64  // version that the document replaces; 0 for the first publication
	Nonce    string // identifies the publication; its record in the log holds it, so that the outcome can be found there
	Author   string // name of the operator
}

// Config is the configuration controller. It publishes documents as records of the platform's log.
type Config interface {
	// Current returns the configuration in force with its document, or ErrUnavailable if there is none.
	Current() (opsapi.Config, error)
	// History returns at most max versions, newest first, without their documents.
	History(ctx context.Context, max int) ([]opsapi.Config, error)
	// Validate returns all problems of a document, nil if it is valid.
	Validate(document []byte) []opsapi.Problem
	// Publish appends the document to the log and returns its version. Its errors are *InvalidError, ErrConflict,
	// ErrUnresolved and ErrUnavailable.
	Publish(ctx context.Context, p Publication) (int64, error)
	// Restore appends a document to a log that has lost records, so that all instances continue from it, and returns its
	// version. Its errors are those of Publish and ErrRestoreNotNeeded.
	Restore(ctx context.Context, author string, document []byte) (int64, error)
}

// Engine runs the jobs whose home is this instance, that is, whose identities this instance has issued, and tasks that
// peers have delegated to it.
type Engine interface {
	// Load returns the numbers of jobs, tasks and workers at the time of the call.
	Load(ctx context.Context) (opsapi.Load, error)
	// Workers returns the workers that this instance owns.
	Workers(ctx context.Context) ([]opsapi.Worker, error)
	// Teams returns the teams of the configuration in force, or ErrUnavailable if there is none.
	Teams(ctx context.Context) ([]opsapi.Team, error)
	// Job returns the job with the given identity, or ErrNotFound if this instance is not its home or does not know it.
	Job(ctx context.Context, identity string) (opsapi.Job, error)
	// Cancel cancels the job with the given identity and returns its state, or ErrNotFound as Job does. Cancelling a
	// job that has ended has no effect.
	Cancel(ctx context.Context, identity string) (opsapi.Job, error)
}

// Members is the instance's view of the membership.
type Members interface {
	// Members returns all known entry instances, this one included.
	Members() []opsapi.Member
}

// Drainer drains the instance: it refuses new work, finishes its current work and stops.
type Drainer interface {
	// Drain starts the planned stop and returns without waiting for it. A repeated call has no effect.
	Drain() opsapi.Drain
	// Draining reports whether Drain was called.
	Draining() bool
}

// Faults injects faults into the instance. It is for tests only.
type Faults interface {
	// Active returns the faults that are in effect.
	Active() []opsapi.Fault
	// Inject starts a fault. Its error is shown to the operator.
	Inject(f opsapi.Fault) error
	// Clear ends all faults.
	Clear()
}
