package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
)

// MessageSizes are the bytes of one message of each kind, without the transport's headers. An exchange is a request with its
// response.
type MessageSizes struct {
	Heartbeat     float64 // to a peer in the same zone
	Usage         float64 // report of the resource usage of all teams, to a peer in the same zone
	Claim         float64 // claim to own all workers of an instance that failed, with the handover that answers it
	LogPoll       float64 // exchange without a new record
	ConfigRecord  float64 // exchange with one new record
	ListUnchanged float64 // exchange that finds the instance list unchanged
	ListFull      float64 // exchange with the whole instance list
	RenewIdle     float64 // lease renewal, an exchange, without tasks
	RenewTask     float64 // what one task adds to a lease renewal
	Run           float64 // exchange that starts a task, with payload and output
	SubmitTask    float64 // what one task adds to a submission, with payload
	AnswerTask    float64 // what one task adds to an answer, with output
	CopyJob       float64 // one copy of a job's answer, without its outputs
	Delegate      float64 // one delegated task with its result
}

// StateSizes are the heap bytes of one item of each kind of state.
type StateSizes struct {
	Record    float64 // record of an identity whose answer was dropped
	Class     float64 // estimates for one service of a team
	Config    float64 // a decoded configuration
	Instances float64 // one entry of the decoded instance list
}

const (
	sampleTeams        = 43
	sampleServices     = 7
	sampleRecords      = 20000
	sampleClasses      = 300
	sampleTasks        = 160
	sampleRenewedTasks = 8
)

func sampleIdentity() string {
	home := identity.Home{Zone: "zone-middlesex", Instance: "entry-12", Incarnation: 1_796_367_000_000_000_000}
	return identity.NewIssuer(home, 10*time.Minute, func() time.Duration { return time.Hour }).Issue("team-42")
}

// CountMessages returns the sizes of messages as a system of the given size sends them. The messages are encoded by the
// product's own encoders and adapters to the platform.
func CountMessages(s System) (MessageSizes, error) {
	m := MessageSizes{
		Heartbeat:  encodedLength(sampleHeartbeat(s)),
		Usage:      encodedLength(sampleUsage(s.Teams)),
		Claim:      claimBytes(s),
		SubmitTask: jsonLength(api.Task{Payload: filler(s.Payload), RunTimeMS: 300, Cores: 1.5, MemoryMB: 2048, Accelerators: 1}) + 1,
		AnswerTask: jsonLength(filler(s.Output)) + 1,
		CopyJob:    encodedLength(&message.CopyBatch{Copies: []message.Copy{{Identity: sampleIdentity(), Team: "team-42", Answer: make([]byte, 60)}}}),
		Delegate:   delegateBytes(s),
	}
	return m, m.countExchanges(s)
}

func encodedLength(m message.Message) float64 { return float64(len(message.Encode(m))) }

func filler(n int) string { return strings.Repeat("x", n) }

func jsonLength(v any) float64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: the values are plain structs and strings
	}
	return float64(len(b))
}

func sampleHeartbeat(s System) *message.Heartbeat {
	h := &message.Heartbeat{
		Incarnation: 1_796_367_000_000_000_000, Seq: 3_000_000, Version: 600_000, Schema: 1, FreeSlots: 300, Backlog: 5000,
		ExpectedWait: 150 * time.Millisecond, Settled: true, Slots: 500,
	}
	for i := 0; float64(i) < s.ZonePeers(); i++ {
		h.Acks = append(h.Acks, message.Ack{Instance: fmt.Sprintf("entry-%d", 10+i), Incarnation: h.Incarnation, Seq: h.Seq})
	}
	return h
}

func sampleUsage(teams int) *message.TeamUsage {
	m := &message.TeamUsage{}
	for i := range teams {
		size := platform.Size{Cores: 37.5, MemoryMB: 120_000, Accelerators: 4}
		m.Teams = append(m.Teams, message.TeamUsageEntry{Team: fmt.Sprintf("team-%d", i), Size: size, Queued: 100})
	}
	return m
}

func claimBytes(s System) float64 {
	claim := &message.Claim{Incarnation: 1_796_367_000_000_000_000, Term: 9}
	handover := &message.Handover{Incarnation: claim.Incarnation, ClaimantIncarnation: claim.Incarnation}
	for i := 0; float64(i) < s.OwnedWorkers(); i++ {
		name := fmt.Sprintf("worker-%d", 1000+i)
		claim.Workers = append(claim.Workers, name)
		handover.Workers = append(handover.Workers, message.HeldSlots{Worker: name, Term: 9, Released: true, Held: 8})
	}
	return encodedLength(claim) + encodedLength(handover)
}

func delegateBytes(s System) float64 {
	size := platform.Size{Cores: 1.5, MemoryMB: 2048, Accelerators: 1}
	task := message.DelegatedTask{
		Task: sampleIdentity() + "/159", Team: "team-42", Service: "washout", Size: size, Payload: filler(s.Payload),
		Expected: 300 * time.Millisecond, Deadline: 30 * time.Second,
	}
	end := message.TaskResult{Task: task.Task, Output: filler(s.Output), RunTime: 300 * time.Millisecond, Usage: size}
	return encodedLength(&message.Delegate{Grant: 70_000, Tasks: []message.DelegatedTask{task}}) +
		encodedLength(&message.DelegateResults{Results: []message.TaskResult{end}})
}

// countingServer serves fixed responses on loopback and counts the bytes of both directions.
type countingServer struct {
	net.Listener
	bytes atomic.Int64
	reply atomic.Pointer[func(*fasthttp.RequestCtx)] // writes the response
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes that the client has sent.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes that the client receives. It counts before it writes, so that the count is complete when the client
// has its response.
func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Accept returns connections that count their bytes.
func (c *countingServer) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, &c.bytes}, err
}

func newCountingServer() (*countingServer, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	c := &countingServer{Listener: l}
	go fasthttp.Serve(c, func(ctx *fasthttp.RequestCtx) { (*c.reply.Load())(ctx) })
	return c, nil
}

// exchange makes one call, to which the server sends the reply, and returns the bytes of both directions.
func (c *countingServer) exchange(reply func(*fasthttp.RequestCtx), call func() error) (float64, error) {
	c.reply.Store(&reply)
	before := c.bytes.Load()
	err := call()
	return float64(c.bytes.Load() - before), err
}

// jsonReply returns a handler that sends a value as JSON.
func jsonReply(v any) func(*fasthttp.RequestCtx) {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		if err := json.NewEncoder(ctx).Encode(v); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	}
}

// countExchanges makes each call of the platform's adapters against a counting server and sets the sizes of the exchanges.
func (m *MessageSizes) countExchanges(s System) error {
	c, err := newCountingServer()
	if err != nil {
		return err
	}
	defer c.Close()
	opts := httpx.Options{Zone: "zone-middlesex"}
	log, list := httpx.NewLog(c.Addr().String(), opts), httpx.NewInstanceList(c.Addr().String(), opts)
	endpoint := httpx.NewDialer(opts).Dial(c.Addr().String(), 1)
	defer log.Close()
	defer list.Close()
	defer endpoint.Close()
	for _, step := range []func() error{
		func() error { return m.countLog(c, log, s) },
		func() error { return m.countList(c, list, s) },
		func() error { return m.countEndpoint(c, endpoint, s) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (m *MessageSizes) countLog(c *countingServer, log *httpx.Log, s System) (err error) {
	read := func() error {
		_, err := log.Read(context.Background(), config.Stream, 600_000, 64)
		return err
	}
	if m.LogPoll, err = c.exchange(jsonReply(platform.Batch{First: 1, Next: 600_000}), read); err != nil {
		return err
	}
	record, err := sampleRecord(s)
	if err != nil {
		return err
	}
	batch := platform.Batch{First: 1, Next: 600_001, Records: []platform.Record{{Offset: 600_000, Time: time.Now(), Data: record}}}
	m.ConfigRecord, err = c.exchange(jsonReply(batch), read)
	return err
}

func sampleDocument(teams int) []byte {
	c := &Cluster{}
	for t := range teams {
		c.Teams = append(c.Teams, Team{Name: fmt.Sprintf("team-%d", t), Tokens: []string{fmt.Sprint("a", t), fmt.Sprint("b", t)}})
	}
	return configDocument(c, 0)
}

func sampleRecord(s System) ([]byte, error) {
	doc := string(sampleDocument(s.Teams))
	return config.Record{
		Kind: config.KindPublish, Schema: 1, Version: 600_000, Replaces: 599_999, Nonce: filler(22), Author: "operator",
		Document: doc, Digest: filler(64),
	}.Encode()
}

func sampleInstances(s System) []platform.Instance {
	var all []platform.Instance
	for i := range s.Workers {
		all = append(all, platform.Instance{
			Name: fmt.Sprintf("worker-%04d", i), Kind: platform.KindEndpoint, Zone: "zone-middlesex", Rack: fmt.Sprintf("rack-%03d", i/workersPerRack),
			State: platform.StateLive, Incarnation: 1_796_367_000_000_000_000, Address: "10.20.130.140:8080", Slots: s.Slots,
			Connections: 60, Size: platform.Size{Cores: 16, MemoryMB: 65536, Accelerators: 2},
		})
	}
	for i := range s.Instances {
		all = append(all, platform.Instance{
			Name: fmt.Sprintf("entry-%02d", i), Kind: platform.KindEntry, Zone: "zone-middlesex", State: platform.StateLive,
			Incarnation: 1_796_367_000_000_000_000, Address: "10.20.130.140:7000", Operators: "10.20.130.140:7001", Callers: "10.20.130.140:80",
		})
	}
	return all
}

func (m *MessageSizes) countList(c *countingServer, list *httpx.InstanceList, s System) (err error) {
	read := func() error {
		_, err := list.Instances(context.Background())
		return err
	}
	all := jsonReply(sampleInstances(s))
	full := func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(fasthttp.HeaderETag, `"1234567890abcdef"`)
		all(ctx)
	}
	if m.ListFull, err = c.exchange(full, read); err != nil {
		return err
	}
	m.ListUnchanged, err = c.exchange(func(ctx *fasthttp.RequestCtx) { ctx.NotModified() }, read)
	return err
}

func (m *MessageSizes) countEndpoint(c *countingServer, e platform.Endpoint, s System) (err error) {
	size := platform.Size{Cores: 1.5, MemoryMB: 2048, Accelerators: 1}
	status := platform.EndpointStatus{Incarnation: 1_796_367_000_000_000_000, Slots: s.Slots, Size: size, Usage: size}
	renew := func(tasks []string) func() error {
		return func() error {
			_, err := e.Renew(context.Background(), tasks)
			return err
		}
	}
	if m.RenewIdle, err = c.exchange(jsonReply(status), renew(nil)); err != nil {
		return err
	}
	var tasks []string
	for i := range sampleRenewedTasks {
		tasks = append(tasks, fmt.Sprintf("%s/%d", sampleIdentity(), 100+i))
		status.Tasks = append(status.Tasks, platform.TaskStatus{Task: tasks[i], State: platform.TaskRunning})
	}
	busy, err := c.exchange(jsonReply(status), renew(tasks))
	if err != nil {
		return err
	}
	m.RenewTask = (busy - m.RenewIdle) / sampleRenewedTasks
	output := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(filler(s.Output)) }
	m.Run, err = c.exchange(output, func() error {
		r := e.Run(0, &platform.RunRequest{Task: tasks[0], Service: "washout", Size: size, Lease: 5 * time.Second, Payload: filler(s.Payload)})
		if r.Outcome != platform.Succeeded {
			return fmt.Errorf("run on the counting server: expected success, got %s: %s", r.Outcome, r.Output)
		}
		return nil
	})
	return err
}

// MeasureState measures the heap bytes of the product's own data structures for a system of the given size.
func MeasureState(s System) (z StateSizes, err error) {
	z.Record = heapPerItem(sampleRecords, func() any { return sampleRegistry() })
	z.Class = heapPerItem(sampleClasses, func() any { return sampleEstimates() })
	doc := sampleDocument(s.Teams)
	z.Config = heapPerItem(1, func() any {
		var c *config.Config
		c, err = config.Decode(doc)
		return c
	})
	if err != nil {
		return z, err
	}
	all, err := json.Marshal(sampleInstances(s))
	if err != nil {
		return z, err
	}
	z.Instances = heapPerItem(s.Workers+s.Instances, func() any {
		var list []platform.Instance
		err = json.Unmarshal(all, &list)
		return list
	})
	runtime.KeepAlive(all) // otherwise it might be freed during the measurement, and the list would seem smaller
	return z, err
}

// heapPerItem returns the heap bytes of a structure divided by the number of its items.
func heapPerItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / float64(n)
}

// sampleRegistry returns a registry with sampleRecords records whose answers have been dropped.
func sampleRegistry() *registry.Registry {
	r := registry.New(registry.Options{RecordTTL: 10 * time.Minute, AnswerTTL: time.Minute})
	now := time.Now()
	home := identity.NewIssuer(identity.Home{Zone: "z", Instance: "e", Incarnation: 1}, time.Hour, func() time.Duration { return 0 })
	for i := range sampleRecords {
		seq := uint64(i + 1)
		r.Open(now, seq, registry.Digest{1}, nil)
		a := api.NewAnswer(result.Complete, "")
		a.Identity, a.Outputs, a.Tasks = home.Issue("team"), []string{"x"}, &api.ExecutionCounts{Ran: 1}
		r.Finish(now, seq, a)
	}
	r.Expire(now.Add(2 * time.Minute))
	return r
}

func sampleEstimates() *estimate.Estimator {
	e := estimate.New()
	for i := range sampleClasses {
		c := e.Class(fmt.Sprintf("team-%d", i%sampleTeams), fmt.Sprintf("service-%d", i/sampleTeams))
		for k := range 500 {
			e.Observe(float64(k), c, 300*time.Millisecond, time.Duration(50+k)*time.Millisecond, nil)
			c.ObserveUsage(float64(k), platform.Size{Cores: float64(k%7) + 0.5, MemoryMB: int64(500 + k)})
		}
	}
	return e
}
