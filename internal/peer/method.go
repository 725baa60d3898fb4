package peer

import "fmt"

// Method identifies the purpose of a message between entry instances. The numbers are part of the wire format and are
// never reused, because instances of two versions run side by side during an upgrade.
type Method uint8

// The methods between entry instances.
const (
	Heartbeat      Method = 1  // notify: message.Heartbeat
	Forward        Method = 2  // call: message.Forward, answered by message.Answer
	Backlog        Method = 3  // notify: message.Backlog
	Grant          Method = 4  // notify: message.Grant
	GrantReturn    Method = 5  // notify: message.GrantReturn
	Delegate       Method = 6  // call: message.Delegate, answered by message.DelegateAccepted
	DelegateResult Method = 7  // notify or call: message.DelegateResults
	Copies         Method = 8  // notify: message.CopyBatch
	CopyLookup     Method = 9  // call: message.CopyLookup, answered by message.CopyFound
	Handover       Method = 10 // notify: message.Handover
	ConfigFetch    Method = 11 // call: message.ConfigFetch, answered by message.ConfigDocument
	TeamUsage      Method = 12 // notify: message.TeamUsage
	DelegateStatus Method = 14 // call: message.DelegateStatus, answered by message.DelegateStates
	DelegateStop   Method = 15 // notify: message.DelegateStop
	Claim          Method = 13 // call: message.Claim, answered by message.Handover

	methodBound = 32 // size of the handler table; messages with this number or a higher one are refused
)

var methodNames = map[Method]string{
	Heartbeat: "heartbeat", Forward: "forward", Backlog: "backlog", Grant: "grant", GrantReturn: "grant_return",
	Delegate: "delegate", DelegateResult: "delegate_result", Copies: "copies", CopyLookup: "copy_lookup",
	Handover: "handover", ConfigFetch: "config_fetch", TeamUsage: "team_usage",
	DelegateStatus: "delegate_status", DelegateStop: "delegate_stop", Claim: "claim",
}

// String returns the method's name as metrics show it, or "method_N" for an unknown number N.
func (m Method) String() string {
	if s, ok := methodNames[m]; ok {
		return s
	}
	return fmt.Sprintf("method_%d", uint8(m))
}
