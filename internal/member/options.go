// Package member tracks the peers of an entry instance: which of them are alive, which incarnation of an instance is
// the newest, and whether this process itself was paused.
//
// An incarnation is one process of an instance; a later one has a higher number. The home of an identity is the incarnation
// that issued it. Membership follows from heartbeats between the instances and from the platform's list of the running
// instances, which lags behind. An incarnation that was paused for so long that its peers may have answered for it is
// fenced: it must not answer or dispatch any more.
package member

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
)

// Intervals and timeouts of membership.
const (
	TickInterval               = 50 * time.Millisecond
	ZoneHeartbeatInterval      = 250 * time.Millisecond // between heartbeats to peers of the zone
	OtherZoneHeartbeatInterval = time.Second            // between heartbeats to peers of other zones
	ListInterval               = time.Second            // between reads of the instance list
	ListTimeout                = 2 * time.Second
	ZoneSuspectAfter           = time.Second             // silence after which a peer of the zone is suspect
	ZoneDeadAfter              = 2 * time.Second         // silence after which a peer of the zone is dead
	OtherZoneSuspectAfter      = 2500 * time.Millisecond // silence before a peer of another zone is suspect: two lost heartbeats
	OtherZoneDeadAfter         = 4 * time.Second         // silence after which a peer of another zone is dead
	// AbsentAfter is how long the instance list must have lacked a home before the home counts as dead.
	AbsentAfter = 5 * time.Second
	// MaxListGap is the longest time between two successful reads of the list across which the list counts as
	// continuously readable.
	MaxListGap = ListInterval + ListTimeout
	// SilentZoneAbsentAfter replaces AbsentAfter while no instance of the home's zone is live. The whole zone may be cut
	// off and still answer its callers, so its homes are not declared dead before their identities have expired.
	SilentZoneAbsentAfter = 10 * time.Minute
	// FenceGap is the shortest pause after which this incarnation is fenced. Peers may have declared it dead after
	// AbsentAfter and answered for it, so it must not give answers that differ from theirs.
	FenceGap = AbsentAfter
	// PauseGap is the time without a tick above which the process counts as paused.
	PauseGap = time.Second
	// MaxResumeWait bounds the wait after a pause if peers or the platform do not answer. It exceeds ZoneDeadAfter, so
	// that silent peers have been declared dead by then.
	MaxResumeWait = 3 * time.Second
	// SettleTime is how long a new instance waits before it owns workers. In this time it receives heartbeats from all
	// live peers.
	SettleTime = ZoneDeadAfter
	// MaxSettleWait bounds the wait for the first read of the instance list before an instance owns workers.
	MaxSettleWait = 5 * time.Second
	// ForgetAfter is how long a silent member that the list does not contain is retained. It exceeds the validity of
	// identities, after which no request names the member as its home.
	ForgetAfter = 15 * time.Minute
)

// Transport sends heartbeats. peer.Node implements it.
type Transport interface {
	Notify(addr string, m peer.Method, body []byte) error
}

// Seed is a peer named in the settings.
type Seed struct {
	Zone     string
	Instance string
	Addr     string
}

// LocalState is the state of this instance that its heartbeats report.
type LocalState struct {
	Version      uint64 // version of the configuration in force
	Schema       int    // highest configuration schema that is supported
	FreeSlots    int
	Slots        int
	Backlog      int // queued tasks
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

// EventKind is the kind of an event. It is also the event name in the log.
type EventKind string

// The kinds of events.
const (
	Joined      EventKind = "joined"       // first heartbeat from the member
	Restarted   EventKind = "restarted"    // first heartbeat from a newer incarnation
	Suspected   EventKind = "suspected"    // silent for ZoneSuspectAfter or OtherZoneSuspectAfter
	Died        EventKind = "died"         // silent for ZoneDeadAfter or OtherZoneDeadAfter, or replaced; owns no workers
	Recovered   EventKind = "recovered"    // heartbeat after Suspected
	Returned    EventKind = "returned"     // heartbeat of the same incarnation after Died
	Changed     EventKind = "changed"      // a member's Draining, Settled or Version changed, or this instance's draining
	ListChanged EventKind = "list_changed" // the content of the instance list changed
	Paused      EventKind = "paused"       // this process was paused
	Resumed     EventKind = "resumed"      // this process may dispatch again
	Settled     EventKind = "settled"      // this instance may own workers from now on
	Superseded  EventKind = "superseded"   // a newer incarnation of this instance exists
	Fenced      EventKind = "fenced"       // this process was paused for FenceGap or longer; peers may have answered for it
)

// Event is a change of the membership or of this process's own state.
type Event struct {
	Kind   EventKind
	Member Member // zero for events of this process and of the instance list
}

// Status classifies a member by the time since its last heartbeat arrived.
type Status string

// The statuses of members.
const (
	Unheard Status = "unheard" // no heartbeat yet; known from the list or the settings only
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

// Member is the known state of a peer.
type Member struct {
	Zone        string        `json:"zone"`
	Instance    string        `json:"instance"`
	Addr        string        `json:"addr"`
	Incarnation uint64        `json:"incarnation"`
	Status      Status        `json:"status"`
	SilentFor   time.Duration `json:"silent_ns"` // time since its last heartbeat; 0 if there was none
	Draining    bool          `json:"draining"`
	Settled     bool          `json:"settled"`
	Version     uint64        `json:"version"`
	Schema      int           `json:"schema"`
	FreeSlots   int           `json:"free_slots"`
	Slots       int           `json:"slots"`
	Backlog     int           `json:"backlog"`
	Wait        time.Duration `json:"expected_wait_ns"`
}

// Live reports whether a heartbeat from the member arrived recently enough for it to be called.
func (m Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// HomeStatus is the status of the home of an identity.
type HomeStatus string

// The statuses of homes.
const (
	HomeSelf        HomeStatus = "self"
	HomeLive        HomeStatus = "live"
	HomeUnreachable HomeStatus = "unreachable" // not live and not known to be dead
	HomeDead        HomeStatus = "dead"        // replaced, or silent and absent from the list for long enough
)
