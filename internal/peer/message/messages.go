package message

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// Heartbeat says that an instance is alive and what it has to offer. Zone and instance are those of the sender's
// certificate and are not repeated.
type Heartbeat struct {
	Incarnation  uint64
	Seq          uint64 // counts this incarnation's heartbeat rounds
	Version      uint64 // of the configuration
	Schema       int    // highest configuration schema that the instance supports
	FreeSlots    int
	Backlog      int           // tasks that wait
	ExpectedWait time.Duration // of a task submitted now
	Draining     bool
	Settled      bool  // the instance owns workers; false until its settling time has passed
	Slots        int   // slots that the instance assigns
	Acks         []Ack // for the live peers of the sender's zone
}

// Ack says which heartbeat of a peer the sender has heard last.
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

// ForwardKind tells what a forwarded request asks of the home.
type ForwardKind int

// The kinds of forwarded requests.
const (
	ForwardSubmit ForwardKind = 1
	ForwardFetch  ForwardKind = 2
	ForwardCancel ForwardKind = 3
)

// Forward passes a caller's request to the home of its identity.
type Forward struct {
	Kind     ForwardKind
	Team     string
	Identity string
	Body     []byte        // of a submission, as it came from the caller
	Wait     time.Duration // how long the caller waits for a final answer
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

// Answer is the home's answer to a Forward, encoded by the api package's types.
type Answer struct {
	Body []byte
}

func (m *Answer) visit(c *codec) { c.bytes(&m.Body) }

// Backlog reports tasks that a home cannot place on its own slots.
type Backlog struct {
	Count    int
	BestRank float64       // smaller is more urgent
	Size     platform.Size // of the best task
}

func (m *Backlog) visit(c *codec) {
	c.int(&m.Count)
	c.float(&m.BestRank)
	c.float(&m.Size.Cores)
	c.long(&m.Size.MemoryMB)
	c.int(&m.Size.Accelerators)
}

// Grant offers free slots to a home. The home reckons the expiry from its arrival, less than the owner's, so that an
// owner never takes back slots that the home still counts on.
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

// GrantReturn gives unused slots of a grant back.
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
	Task     string // identity and index
	Team     string
	Service  string
	Size     platform.Size
	Payload  string
	Expected time.Duration // expected run time
	Deadline time.Duration // from the message's arrival
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

// Delegate hands the start of tasks to an owner, under a grant of the owner.
type Delegate struct {
	Grant uint64
	Tasks []DelegatedTask
}

func (m *Delegate) visit(c *codec) {
	c.uint(&m.Grant)
	list(c, &m.Tasks, (*DelegatedTask).visit)
}

// DelegateAccepted answers a Delegate: the first Accepted tasks will be run, the rest will not.
type DelegateAccepted struct {
	Accepted int
}

func (m *DelegateAccepted) visit(c *codec) { c.int(&m.Accepted) }

// TaskResult is the end of a delegated task.
type TaskResult struct {
	Task    string
	Outcome platform.Outcome
	Output  string
	RunTime time.Duration
	Usage   platform.Size
	Grant   uint64 // under which the task was delegated
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

// DelegateResults returns the ends of delegated tasks to their home.
type DelegateResults struct {
	Results []TaskResult
}

func (m *DelegateResults) visit(c *codec) { list(c, &m.Results, (*TaskResult).visit) }

// DelegateStatus asks for the states of delegated tasks.
type DelegateStatus struct {
	Tasks []string
}

func (m *DelegateStatus) visit(c *codec) { list(c, &m.Tasks, visitText) }

// TaskState is what an owner knows of a delegated task.
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

// DelegateStates answers a DelegateStatus, in the order of its tasks.
type DelegateStates struct {
	Tasks []TaskState
}

func (m *DelegateStates) visit(c *codec) { list(c, &m.Tasks, (*TaskState).visit) }

// DelegateStop stops delegated tasks.
type DelegateStop struct {
	Tasks []string
}

func (m *DelegateStop) visit(c *codec) { list(c, &m.Tasks, visitText) }

// Copy is a finished answer.
type Copy struct {
	Identity string
	Team     string // that alone may read the answer
	Answer   []byte
}

func (m *Copy) visit(c *codec) {
	c.text(&m.Identity)
	c.text(&m.Team)
	c.bytes(&m.Answer)
}

// CopyBatch stores finished answers at a peer.
type CopyBatch struct {
	Copies []Copy
}

func (m *CopyBatch) visit(c *codec) { list(c, &m.Copies, (*Copy).visit) }

// CopyLookup asks for the copy of an answer.
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

// Claim asks an instance to give up the slots of workers that the sender owns in its own view.
type Claim struct {
	Incarnation uint64 // of the sender
	Term        uint64 // counts the sender's claims to ownership; the answers name it
	Workers     []string
}

func (m *Claim) visit(c *codec) {
	c.uint(&m.Incarnation)
	c.uint(&m.Term)
	list(c, &m.Workers, visitText)
}

func visitText(s *string, c *codec) { c.text(s) }

// HeldSlots says how many slots of a worker an instance holds that has stopped filling them.
type HeldSlots struct {
	Worker        string
	Term          uint64 // of the claim that this answers
	Released      bool   // false: the sender owns the worker in its own view
	Held          int    // slots whose tasks have not ended; falls until the next claim
	RemainderFree bool   // every slot that is not held is free: the sender held them all until it stopped
}

func (h *HeldSlots) visit(c *codec) {
	c.text(&h.Worker)
	c.uint(&h.Term)
	c.bool(&h.Released)
	c.int(&h.Held)
	c.bool(&h.RemainderFree)
}

// Handover answers a Claim, and is sent again when a slot has become free.
type Handover struct {
	Incarnation         uint64 // of the sender
	ClaimantIncarnation uint64 // incarnation of the receiver that made the claim
	Workers             []HeldSlots
}

func (m *Handover) visit(c *codec) {
	c.uint(&m.Incarnation)
	c.uint(&m.ClaimantIncarnation)
	list(c, &m.Workers, (*HeldSlots).visit)
}

// ConfigFetch asks for a configuration newer than a version.
type ConfigFetch struct {
	NewerThan uint64
}

func (m *ConfigFetch) visit(c *codec) { c.uint(&m.NewerThan) }

// ConfigDocument answers a ConfigFetch. Version 0 means that the sender has nothing newer.
type ConfigDocument struct {
	Version  uint64
	Offset   int64 // log offset up to which the version holds
	Document []byte
	Schema   int
	Author   string
	Nonce    string // of the publication
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

// TeamUsageEntry is what a team uses at the sender.
type TeamUsageEntry struct {
	Team   string
	Size   platform.Size
	Queued int
}

func (t *TeamUsageEntry) visit(c *codec) {
	c.text(&t.Team)
	c.float(&t.Size.Cores)
	c.long(&t.Size.MemoryMB)
	c.int(&t.Size.Accelerators)
	c.int(&t.Queued)
}

// TeamUsage reports the teams with running or queued tasks at the sender. Teams left out use nothing.
type TeamUsage struct {
	Teams []TeamUsageEntry
}

func (m *TeamUsage) visit(c *codec) { list(c, &m.Teams, (*TeamUsageEntry).visit) }
