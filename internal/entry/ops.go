package entry

import (
	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/platform"
)

// newOps returns the operators' listener.
func (e *Entry) newOps() *ops.Server {
	return ops.New(ops.Options{
		Zone: e.opts.Zone, Instance: e.opts.Name, Incarnation: e.incarnation,
		Tokens: e.tokens, Config: configBackend{e.config}, Engine: engineBackend{e}, Members: members{e},
		Drainer: drainer{e}, Faults: e.faults.backend(e.opts.EnableFaults), NotReadyReasons: e.notReady, Vars: e.metrics, Dumps: e.dumps, Log: e.log,
	})
}

// members implements ops.Members on the membership controller.
type members struct{ e *Entry }

// Members implements ops.Members. This instance comes first.
func (m members) Members() []opsapi.Member {
	v := m.e.members.View()
	out := []opsapi.Member{{
		Zone: m.e.opts.Zone, Instance: m.e.opts.Name, Incarnation: m.e.incarnation, State: opsapi.MemberLive, Self: true,
		Operators: m.e.opts.Operators, Callers: m.e.opts.Callers, ConfigVersion: int64(m.e.config.Version()),
		MaxSchema: config.SchemaVersion, Draining: v.Draining,
	}}
	listed := map[string]platform.Instance{}
	for _, in := range v.Instances {
		listed[in.Zone+"/"+in.Name] = in
	}
	for _, p := range v.Members {
		in := listed[p.Zone+"/"+p.Instance]
		out = append(out, opsapi.Member{
			Zone: p.Zone, Instance: p.Instance, Incarnation: p.Incarnation, State: memberStates[p.Status],
			Operators: in.Operators, Callers: in.Callers, ConfigVersion: int64(p.Version), MaxSchema: p.Schema,
			Draining: p.Draining, FreeSlots: p.FreeSlots, Backlog: p.Backlog, SilentMS: p.SilentFor.Milliseconds(),
		})
	}
	return out
}

// memberStates maps the statuses of members to the states that operators see.
var memberStates = map[member.Status]opsapi.MemberState{
	member.Alive: opsapi.MemberLive, member.Suspect: opsapi.MemberSuspect, member.Dead: opsapi.MemberGone,
	member.Unheard: opsapi.MemberGone,
}
