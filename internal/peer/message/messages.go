package message

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// Heartbeat reports that an instance is alive, and its state. It does not contain the zone and the name of the instance,
// which the receiver takes from the sender's certificate.
type Heartbeat struct {
	Incarnation  uint64
	Seq          uint64 // number of this incarnation's heartbeat round
	Version      uint64 // version of the configuration
	Schema       int    // highest configuration schema that the instance supports
	FreeSlots    int
	Backlog      int           // number of waiting tasks
	ExpectedWait time.Duration // expected wait of a task that is submitted now
	Draining     bool          // the instance refuses new work, because it is stopping
	Settled      bool          // the instance owns workers; false until its settling time has passed
	Slots        int           // number of slots that the instance assigns
	Acks         []Ack         // acknowledgements of heartbeats from the live peers in the sender's zone
}

// Ack names the last heartbeat that the sender has received from a peer.
type Ack struct {
	Instance    string
	Incarnation uint64
	Seq         uint64
}

func (a *Ack) visit(c *codec) {
	c.text(&a.Instance)
	c.uint(&a.Incarnation)
	c.uint(&a.Seq)
}

func (m *Heartbeat) visit(c *codec) {
	c.uint(&m.Incarnation)
	c.uint(&m.Seq)
	c.uint(&m.Version)
	c.int(&m.Schema)
	c.int(&m.FreeSlots)
	c.int(&m.Backlog)
	c.duration(&m.ExpectedWait)
	c.bool(&m.Draining)
	c.bool(&m.Settled)
	c.int(&m.Slots)
	list(c, &m.Acks, (*Ack).visit)
}

// ForwardKind is the kind of a forwarded request.
type ForwardKind int

// The kinds of forwarded requests.
const (
	ForwardSubmit ForwardKind = 1
	ForwardFetch  ForwardKind = 2
	ForwardCancel ForwardKind = 3
)

// Forward passes a caller's request to the home of its identity, that is, the instance that issued the identity.
type Forward struct {
	Kind     ForwardKind
	Team     string
	Identity string
	Body     []byte        // body of a submission as received from the caller
	Wait     time.Duration // how long the caller waits for the final answer
	Caller   string        // name of the caller within the team
}

func (m *Forward) visit(c *codec) {
	c.int((*int)(&m.Kind))
	c.text(&m.Team)
	c.text(&m.Identity)
	c.bytes(&m.Body)
	c.duration(&m.Wait)
	c.text(&m.Caller)
}

// Answer is the home's answer to a Forward. Its body is encoded by package api.
type Answer struct {
	Body []byte
}

func (m *Answer) visit(c *codec) { c.bytes(&m.Body) }

// Backlog reports the waiting tasks that a home cannot place on the slots that it owns.
type Backlog struct {
	Count    int
	BestRank float64       // rank of the most urgent task; smaller is more urgent
	Size     platform.Size // resources of that task
}

func (m *Backlog) visit(c *codec) {
	c.int(&m.Count)
	c.float(&m.BestRank)
	c.float(&m.Size.Cores)
	c.long(&m.Size.MemoryMB)
	c.int(&m.Size.Accelerators)
}

// Grant offers free slots of an owner to a home until TTL has passed. The home counts the TTL from the arrival of the
// message and uses a shorter one than the owner, so that the owner never takes back slots that the home still counts on.
type Grant struct {
	ID    uint64
	Slots int
	TTL   time.Duration
}

func (m *Grant) visit(c *codec) {
	c.uint(&m.ID)
	c.int(&m.Slots)
	c.duration(&m.TTL)
}

// GrantReturn gives back unused slots of a grant.
type GrantReturn struct {
	ID    uint64
	Slots int
}

func (m *GrantReturn) visit(c *codec) {
	c.uint(&m.ID)
	c.int(&m.Slots)
}

// DelegatedTask is a task that an owner runs for a home.
type DelegatedTask struct {
	Task     string // "IDENTITY/INDEX"
	Team     string
	Service  string
	Size     platform.Size
	Payload  string
	Expected time.Duration // expected run time
	Deadline time.Duration // time from the arrival of the message to the deadline
}

func (t *DelegatedTask) visit(c *codec) {
	c.text(&t.Task)
	c.text(&t.Team)
	c.text(&t.Service)
	c.float(&t.Size.Cores)
	c.long(&t.Size.MemoryMB)
	c.int(&t.Size.Accelerators)
	c.text(&t.Payload)
	c.duration(&t.Expected)
	c.duration(&t.Deadline)
}

// Delegate asks an owner to run tasks on the slots of one of its grants.
type Delegate struct {
	Grant uint64
	Tasks []DelegatedTask
}

func (m *Delegate) visit(c *codec) {
	c.uint(&m.Grant)
	list(c, &m.Tasks, (*DelegatedTask).visit)
}

// DelegateAccepted answers a Delegate: the owner runs the first Accepted tasks and none of the others.
type DelegateAccepted struct {
	Accepted int
}

func (m *DelegateAccepted) visit(c *codec) { c.int(&m.Accepted) }

// TaskResult is the result of a delegated task.
type TaskResult struct {
	Task    string
	Outcome platform.Outcome
	Output  string
	RunTime time.Duration
	Usage   platform.Size
	Grant   uint64 // grant under which the task was delegated
}

func (t *TaskResult) visit(c *codec) {
	c.text(&t.Task)
	c.int((*int)(&t.Outcome))
	c.text(&t.Output)
	c.duration(&t.RunTime)
	c.float(&t.Usage.Cores)
	c.long(&t.Usage.MemoryMB)
	c.int(&t.Usage.Accelerators)
	c.uint(&t.Grant)
}

// DelegateResults reports the results of delegated tasks to their home.
type DelegateResults struct {
	Results []TaskResult
}

func (m *DelegateResults) visit(c *codec) { list(c, &m.Results, (*TaskResult).visit) }

// DelegateStatus requests the states of delegated tasks.
type DelegateStatus struct {
	Tasks []string
}

func (m *DelegateStatus) visit(c *codec) { list(c, &m.Tasks, visitText) }

// TaskState is the state of a delegated task at its owner.
type TaskState struct {
	Task   string
	State  platform.TaskState
	Output string
}

func (t *TaskState) visit(c *codec) {
	c.text(&t.Task)
	c.text((*string)(&t.State))
	c.text(&t.Output)
}

// DelegateStates answers a DelegateStatus with one state for each of its tasks, in the same order.
type DelegateStates struct {
	Tasks []TaskState
}

func (m *DelegateStates) visit(c *codec) { list(c, &m.Tasks, (*TaskState).visit) }

// DelegateStop asks an owner to stop delegated tasks.
type DelegateStop struct {
	Tasks []string
}

func (m *DelegateStop) visit(c *codec) { list(c, &m.Tasks, visitText) }

// Copy is a copy of a final answer.
type Copy struct {
	Identity string
	Team     string // only this team may read the answer
	Answer   []byte
}

func (m *Copy) visit(c *codec) {
	c.text(&m.Identity)
	c.text(&m.Team)
	c.bytes(&m.Answer)
}

// CopyBatch asks a peer to store copies of final answers.
type CopyBatch struct {
	Copies []Copy
}

func (m *CopyBatch) visit(c *codec) { list(c, &m.Copies, (*Copy).visit) }

// CopyLookup requests a peer's copy of an answer.
type CopyLookup struct {
	Identity string
	Team     string
}

func (m *CopyLookup) visit(c *codec) {
	c.text(&m.Identity)
	c.text(&m.Team)
}

// CopyFound answers a CopyLookup.
type CopyFound struct {
	Found  bool
	Answer []byte
}

func (m *CopyFound) visit(c *codec) {
	c.bool(&m.Found)
	c.bytes(&m.Answer)
}

// Claim asks an instance to give up the slots of workers that the sender owns according to its own view of the members.
type Claim struct {
	Incarnation uint64 // incarnation of the sender
	Term        uint64 // number of the sender's claim to ownership, which the answers repeat
	Workers     []string
}

func (m *Claim) visit(c *codec) {
	c.uint(&m.Incarnation)
	c.uint(&m.Term)
	list(c, &m.Workers, visitText)
}

func visitText(s *string, c *codec) { c.text(s) }

// HeldSlots reports how many slots of a worker the sender still holds after it has stopped starting tasks on them.
type HeldSlots struct {
	Worker        string
	Term          uint64 // term of the claim that this answers
	Released      bool   // false if the sender owns the worker according to its own view
	Held          int    // number of slots whose tasks have not ended; it only falls until the next claim
	RemainderFree bool   // all slots beyond Held are free, because the sender held all slots of the worker until it stopped
}

func (h *HeldSlots) visit(c *codec) {
	c.text(&h.Worker)
	c.uint(&h.Term)
	c.bool(&h.Released)
	c.int(&h.Held)
	c.bool(&h.RemainderFree)
}

// Handover answers a Claim. It is also sent later each time a slot has become free.
type Handover struct {
	Incarnation         uint64 // incarnation of the sender
	ClaimantIncarnation uint64 // incarnation of the receiver that made the claim
	Workers             []HeldSlots
}

func (m *Handover) visit(c *codec) {
	c.uint(&m.Incarnation)
	c.uint(&m.ClaimantIncarnation)
	list(c, &m.Workers, (*HeldSlots).visit)
}

// ConfigFetch requests a configuration with a version above NewerThan from a peer.
type ConfigFetch struct {
	NewerThan uint64
}

func (m *ConfigFetch) visit(c *codec) { c.uint(&m.NewerThan) }

// ConfigDocument answers a ConfigFetch. Version 0 means that the sender has no newer configuration.
type ConfigDocument struct {
	Version  uint64
	Offset   int64 // offset in the configuration log up to which the version is current
	Document []byte
	Schema   int
	Author   string
	Nonce    string // nonce of the publication
	Digest   string
}

func (m *ConfigDocument) visit(c *codec) {
	c.uint(&m.Version)
	c.long(&m.Offset)
	c.bytes(&m.Document)
	c.int(&m.Schema)
	c.text(&m.Author)
	c.text(&m.Nonce)
	c.text(&m.Digest)
}

// TeamUsageEntry is the usage of one team at the sender.
type TeamUsageEntry struct {
	Team   string
	Size   platform.Size // resources of the team's tasks
	Queued int           // number of queued tasks
}

func (t *TeamUsageEntry) visit(c *codec) {
	c.text(&t.Team)
	c.float(&t.Size.Cores)
	c.long(&t.Size.MemoryMB)
	c.int(&t.Size.Accelerators)
	c.int(&t.Queued)
}

// TeamUsage reports the usage of all teams with running or queued tasks at the sender. Teams that are not listed use
// nothing.
type TeamUsage struct {
	Teams []TeamUsageEntry
}

func (m *TeamUsage) visit(c *codec) { list(c, &m.Teams, (*TeamUsageEntry).visit) }
