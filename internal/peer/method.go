package peer

import "fmt"

// Method names what a message between entry instances asks for. Numbers are part of the wire format and are never
// reused, since instances of two versions run side by side during an upgrade.
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
	Claim          Method = 13 // call: message.Claim, answered by message.Handover

	methodBound = 32 // table size; a number at or above it is refused
)

var methodNames = map[Method]string{
	Heartbeat: "heartbeat", Forward: "forward", Backlog: "backlog", Grant: "grant", GrantReturn: "grant_return",
	Delegate: "delegate", DelegateResult: "delegate_result", Copies: "copies", CopyLookup: "copy_lookup",
	Handover: "handover", ConfigFetch: "config_fetch", TeamUsage: "team_usage", Claim: "claim",
}

// String returns the method's name.
func (m Method) String() string {
	if s, ok := methodNames[m]; ok {
		return s
	}
	return fmt.Sprintf("method_%d", uint8(m))
}
