// Package member keeps an entry instance's view of its peers: who is alive, which incarnation of an instance is the
// newest, and whether this process itself was paused.
package member

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
)

// Intervals and time-outs of membership.
const (
	TickInterval               = 50 * time.Millisecond
	ZoneHeartbeatInterval      = 250 * time.Millisecond // between heartbeats to peers of the zone
	OtherZoneHeartbeatInterval = time.Second            // between heartbeats to peers of other zones
	ListInterval               = time.Second            // between reads of the instance list
	ListTimeout                = 2 * time.Second
	ZoneSuspectAfter           = time.Second
	ZoneDeadAfter              = 2 * time.Second
	OtherZoneSuspectAfter      = 2500 * time.Millisecond // two heartbeats from another zone are missing
	OtherZoneDeadAfter         = 4 * time.Second
	// AbsentAfter is how long the instance list must not have contained a home before it counts as dead.
	AbsentAfter = 5 * time.Second
	// MaxListGap is the longest time between two reads of the list for which it counts as readable throughout.
	MaxListGap = ListInterval + ListTimeout
	// SilentZoneAbsentAfter takes the place of AbsentAfter while no instance of the home's zone is heard. The zone may be cut
	// off as a whole and go on answering its callers, so its homes are not declared dead before their identities have
	// lost their validity.
	SilentZoneAbsentAfter = 10 * time.Minute
	// FenceGap is the shortest pause that ends this incarnation. Others may have declared it dead after AbsentAfter
	// and answered for it, so that it must not give other answers.
	FenceGap = AbsentAfter
	// PauseGap is the shortest time without a tick that counts as a pause of the process.
	PauseGap = time.Second
	// MaxResumeWait ends the wait after a pause where peers or the platform do not answer. It exceeds ZoneDeadAfter,
	// so that silent peers have been given up by then.
	MaxResumeWait = 3 * time.Second
	// SettleTime is how long a new instance listens before it owns workers; within it, it hears all live peers.
	SettleTime = ZoneDeadAfter
	// MaxSettleWait ends the wait for the first read of the instance list.
	MaxSettleWait = 5 * time.Second
	// ForgetAfter is how long a dead member that the list no longer contains is remembered. It exceeds the
	// validity of identities, after which nobody asks for the member as a home.
	ForgetAfter = 15 * time.Minute
)

// Transport sends heartbeats; peer.Node is one.
type Transport interface {
	Notify(addr string, m peer.Method, body []byte) error
}

// Seed is a peer that is known from the settings.
type Seed struct {
	Zone     string
	Instance string
	Addr     string
}

// LocalState is what this instance reports of itself.
type LocalState struct {
	Version      uint64 // of the configuration
	Schema       int    // highest configuration schema that is supported
	FreeSlots    int
	Slots        int
	Backlog      int
	ExpectedWait time.Duration
}

// Options configures a Controller.
type Options struct {
	Self       identity.Home
	Seeds      []Seed
	List       platform.InstanceList
	Transport  Transport
	Clock      clockwork.Clock   // the real clock if nil
	LocalState func() LocalState // called for each heartbeat round; must not block or call the controller
	Log        logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.LocalState == nil {
		o.LocalState = func() LocalState { return LocalState{} }
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

// EventKind tells what has changed.
type EventKind string

// The kinds of events.
const (
	Joined      EventKind = "joined"       // first heard of
	Restarted   EventKind = "restarted"    // a newer incarnation was heard of
	Suspected   EventKind = "suspected"    // silent for a while
	Died        EventKind = "died"         // silent for too long; no longer an owner
	Recovered   EventKind = "recovered"    // heard again after Suspected
	Returned    EventKind = "returned"     // heard again after Died, same incarnation
	Changed     EventKind = "changed"      // draining, settled or configuration version changed
	ListChanged EventKind = "list_changed" // the instance list has other content
	Paused      EventKind = "paused"       // this process was paused
	Resumed     EventKind = "resumed"      // this process may dispatch again
	Settled     EventKind = "settled"      // this process begins to own workers
	Superseded  EventKind = "superseded"   // a newer incarnation of this instance exists
	Fenced      EventKind = "fenced"       // this process was paused for so long that others may have answered for it
)

// Event is a change of the view.
type Event struct {
	Kind   EventKind
	Member Member // zero for events of this process and of the list
}

// Status is how recently a member was heard.
type Status string

// The statuses of members.
const (
	Unheard Status = "unheard" // known from the list or the settings only
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

// Member is what is known of a peer.
type Member struct {
	Zone        string        `json:"zone"`
	Instance    string        `json:"instance"`
	Addr        string        `json:"addr"`
	Incarnation uint64        `json:"incarnation"`
	Status      Status        `json:"status"`
	SilentFor   time.Duration `json:"silent_ns"` // since it was last heard
	Draining    bool          `json:"draining"`
	Settled     bool          `json:"settled"`
	Version     uint64        `json:"version"`
	Schema      int           `json:"schema"`
	FreeSlots   int           `json:"free_slots"`
	Slots       int           `json:"slots"`
	Backlog     int           `json:"backlog"`
	Wait        time.Duration `json:"expected_wait_ns"`
}

// Live reports whether the member was heard recently enough to be called.
func (m Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// HomeStatus is what is known of the home of an identity.
type HomeStatus string

// The statuses of homes.
const (
	HomeSelf        HomeStatus = "self"
	HomeLive        HomeStatus = "live"
	HomeUnreachable HomeStatus = "unreachable" // not heard and not known to be dead
	HomeDead        HomeStatus = "dead"        // certainly dead
)
