package entry

import (
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// newOps returns the operators' listener.
func (e *Entry) newOps() *ops.Server {
	return ops.New(ops.Options{
		Zone: e.opts.Zone, Instance: e.opts.Name, Incarnation: e.incarnation,
		Tokens: e.tokens, Config: configBackend{e.config}, Engine: engineBackend{e}, Members: members{e},
		Drainer: drainer{e}, Ready: e.notReady, Vars: e.metrics, Dumps: e.dumps, Log: e.log,
	})
}

// members shows the membership to operators.
type members struct{ e *Entry }

// Members implements ops.Members.
func (m members) Members() []opsapi.Member {
	return []opsapi.Member{{
		Zone: m.e.opts.Zone, Instance: m.e.opts.Name, Incarnation: m.e.incarnation, State: opsapi.MemberLive, Self: true,
		Operators: m.e.opts.Operators, Callers: m.e.opts.Callers, ConfigVersion: int64(m.e.config.Version()),
	}}
}
