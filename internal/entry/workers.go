package entry

import (
	"context"

	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/owner"
	"github.com/savorypass/savorypass/internal/platform"
)

// slots passes the decisions of ownership to the engine.
type slots struct{ e *Entry }

// SetSlots implements owner.Consumer.
func (s slots) SetSlots(worker platform.Instance, n int) { s.e.engine.SetWorker(worker, n) }

// Drop implements owner.Consumer.
func (s slots) Drop(worker string) { s.e.engine.DropWorker(worker) }

// slotUse passes the engine's use of slots to the ownership. The engine is made first, hence the indirection.
type slotUse struct{ e *Entry }

// SlotsApplied implements engine.Owner.
func (u slotUse) SlotsApplied(worker string, busy int) { u.e.owner.SlotsApplied(worker, busy) }

// TaskEnded implements engine.Owner.
func (u slotUse) TaskEnded(worker string, busy int) { u.e.owner.TaskEnded(worker, busy) }

// asker asks workers for tasks that this instance has not started.
type asker struct{ e *Entry }

// CountForeign implements owner.Asker. It uses a connection of its own, since the engine may not know the worker yet.
func (a asker) CountForeign(ctx context.Context, worker platform.Instance) (int, error) {
	endpoint := a.e.dialer.Dial(worker.Address, 1)
	defer endpoint.Close()
	return owner.CountForeign(ctx, endpoint, a.e.engine.TasksAt(worker.Name))
}

// newOwner returns the controller of worker ownership.
func (e *Entry) newOwner() *owner.Controller {
	return owner.New(owner.Options{
		Incarnation: e.incarnation, Clock: e.clock, Transport: e.node, Slots: slots{e}, TaskCounter: asker{e},
		View: func() owner.View { return owner.ViewFromMembers(e.members.View()) },
	})
}

// ownershipChanges are the events that may move workers between instances.
var ownershipChanges = map[member.EventKind]bool{
	member.Joined: true, member.Restarted: true, member.Died: true, member.Returned: true, member.Changed: true,
	member.ListChanged: true, member.Settled: true, member.Superseded: true,
	member.Paused: true, member.Fenced: true,
}
