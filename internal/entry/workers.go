package entry

import (
	"context"

	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/owner"
	"github.com/savorypass/savorypass/internal/platform"
)

// slotConsumer implements owner.Consumer: it passes the slots that this instance owns to the engine. The engine is
// created after the ownership controller, so it is looked up in Entry at each call.
type slotConsumer struct{ e *Entry }

// SetSlots implements owner.Consumer.
func (s slotConsumer) SetSlots(worker platform.Instance, n int) { s.e.engine.SetWorker(worker, n) }

// Drop implements owner.Consumer.
func (s slotConsumer) Drop(worker string) { s.e.engine.DropWorker(worker) }

// slotReporter implements engine.Owner: it reports the engine's use of slots to the ownership controller.
type slotReporter struct{ e *Entry }

// SlotsApplied implements engine.Owner.
func (u slotReporter) SlotsApplied(worker string, busy int) { u.e.owner.SlotsApplied(worker, busy) }

// TaskEnded implements engine.Owner.
func (u slotReporter) TaskEnded(worker string, busy int) { u.e.owner.TaskEnded(worker, busy) }

// foreignTaskCounter implements owner.TaskCounter.
type foreignTaskCounter struct{ e *Entry }

// CountForeign implements owner.TaskCounter. It opens a separate connection, because the engine may not know the worker
// yet.
func (a foreignTaskCounter) CountForeign(ctx context.Context, worker platform.Instance) (int, error) {
	endpoint := a.e.dialer.Dial(worker.Address, 1)
	defer endpoint.Close()
	return owner.CountForeign(ctx, endpoint, a.e.engine.TasksAt(worker.Name))
}

// newOwner returns the controller of worker ownership. It is not running yet.
func (e *Entry) newOwner() *owner.Controller {
	return owner.New(owner.Options{
		Incarnation: e.incarnation, Clock: e.clock, Transport: e.node, Slots: slotConsumer{e}, TaskCounter: foreignTaskCounter{e},
		View: func() owner.View { return owner.ViewFromMembers(e.members.View()) },
	})
}

// ownershipChanges are the membership events that may change which instance owns a worker.
var ownershipChanges = map[member.EventKind]bool{
	member.Joined: true, member.Restarted: true, member.Died: true, member.Returned: true, member.Changed: true,
	member.ListChanged: true, member.Settled: true, member.Superseded: true,
	member.Paused: true, member.Fenced: true,
}
