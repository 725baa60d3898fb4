package httpx

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/platform"
)

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

func newCountingServer(t *testing.T) *countingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c := &countingServer{Listener: l}
	go fasthttp.Serve(c, func(ctx *fasthttp.RequestCtx) { (*c.reply.Load())(ctx) })
	return c
}

// exchange makes one call, to which the server sends the reply, and returns the bytes of both directions.
func (c *countingServer) exchange(t *testing.T, reply func(*fasthttp.RequestCtx), call func() error) int64 {
	c.reply.Store(&reply)
	before := c.bytes.Load()
	if err := call(); err != nil {
		t.Fatal(err)
	}
	return c.bytes.Load() - before
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

const sampleIncarnation = 1_796_367_000_000_000_000

func sampleIdentity() string {
	home := identity.Home{Zone: "zone-middlesex", Instance: "entry-12", Incarnation: sampleIncarnation}
	return identity.NewIssuer(home, 10*time.Minute, func() time.Duration { return time.Hour }).Issue("team-42")
}

func sampleInstances(workers, entries int) []platform.Instance {
	var all []platform.Instance
	for i := range workers {
		all = append(all, platform.Instance{
			Name: fmt.Sprintf("worker-%04d", i), Kind: platform.KindEndpoint, Zone: "zone-middlesex", Rack: fmt.Sprintf("rack-%03d", i/8),
			State: platform.StateLive, Incarnation: sampleIncarnation, Address: "10.20.130.140:8080", Slots: 8,
			Connections: 60, Size: platform.Size{Cores: 16, MemoryMB: 65536, Accelerators: 2},
		})
	}
	for i := range entries {
		all = append(all, platform.Instance{
			Name: fmt.Sprintf("entry-%02d", i), Kind: platform.KindEntry, Zone: "zone-middlesex", State: platform.StateLive,
			Incarnation: sampleIncarnation, Address: "10.20.130.140:7000", Operators: "10.20.130.140:7001", Callers: "10.20.130.140:80",
		})
	}
	return all
}

// Guards against reading the whole instance list again when it is unchanged: with 1,220 instances the whole list is more than
// 15 times as large as with 56, and an unchanged list takes less than 300 bytes at any size.
func TestBytesOfListReads(t *testing.T) {
	is := is.New(t)
	c := newCountingServer(t)
	read := func(workers, entries int) (whole, unchanged int64) {
		list := NewInstanceList(c.Addr().String(), Options{Zone: "zone-middlesex"})
		defer list.Close()
		call := func() error {
			_, err := list.Instances(context.Background())
			return err
		}
		send := jsonReply(sampleInstances(workers, entries))
		whole = c.exchange(t, func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set(fasthttp.HeaderETag, `"1234567890abcdef"`)
			send(ctx)
		}, call)
		unchanged = c.exchange(t, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) != `"1234567890abcdef"` {
				send(ctx)
				return
			}
			ctx.NotModified()
		}, call)
		return whole, unchanged
	}
	small, _ := read(50, 6)
	large, unchanged := read(1200, 20)
	is.True(large > 15*small)
	is.True(unchanged > 100 && unchanged < 300)
}

// Guards against a read of the log that loses part of a configuration: with 43 teams of two callers it carries more bytes than
// the digests of their tokens.
func TestBytesOfAConfigurationRecord(t *testing.T) {
	is := is.New(t)
	var doc strings.Builder
	for team := range 43 {
		fmt.Fprintf(&doc, "  - name: team-%d\n    callers:\n", team)
		for caller := range 2 {
			fmt.Fprintf(&doc, "      - {name: caller-%d, token_digest: %s}\n", caller, strings.Repeat("d", 64))
		}
	}
	record, err := config.Record{Kind: config.KindPublish, Schema: 1, Version: 600_000, Replaces: 599_999, Author: "operator",
		Nonce: strings.Repeat("n", 22), Document: doc.String(), Digest: strings.Repeat("d", 64)}.Encode()
	is.NoErr(err)
	c := newCountingServer(t)
	log := NewLog(c.Addr().String(), Options{Zone: "zone-middlesex"})
	defer log.Close()
	var read platform.Batch
	bytes := c.exchange(t, jsonReply(platform.Batch{First: 1, Next: 600_001, Records: []platform.Record{{Offset: 600_000, Data: record}}}), func() (err error) {
		read, err = log.Read(context.Background(), config.Stream, 600_000, 64)
		return err
	})
	is.True(bytes > 43*2*64)
	is.Equal(read.Records[0].Data, record)
}

// Guards against a start or a lease renewal whose bytes lack the payload, the output or the names of the tasks.
func TestBytesOfStartsAndRenewals(t *testing.T) {
	const payload, output, renewed = 256, 128, 8
	is := is.New(t)
	c := newCountingServer(t)
	e := open(t, c.Addr().String())
	size := platform.Size{Cores: 1.5, MemoryMB: 2048, Accelerators: 1}
	status := platform.EndpointStatus{Incarnation: sampleIncarnation, Slots: 8, Size: size, Usage: size}
	renew := func(tasks []string) func() error {
		return func() error {
			_, err := e.Renew(context.Background(), tasks)
			return err
		}
	}
	idle := c.exchange(t, jsonReply(status), renew(nil))
	var tasks []string
	for i := range renewed {
		tasks = append(tasks, fmt.Sprintf("%s/%d", sampleIdentity(), 100+i))
		status.Tasks = append(status.Tasks, platform.TaskStatus{Task: tasks[i], State: platform.TaskRunning})
	}
	busy := c.exchange(t, jsonReply(status), renew(tasks))
	is.True(busy-idle > int64(2*len(strings.Join(tasks, "")))) // the names of the tasks in both directions

	run := func(payload, output int) int64 {
		request := &platform.RunRequest{Task: tasks[0], Service: "washout", Size: size, Lease: 5 * time.Second, Payload: strings.Repeat("x", payload)}
		reply := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", output)) }
		return c.exchange(t, reply, func() error {
			if r := e.Run(0, request); r.Outcome != platform.Succeeded {
				return fmt.Errorf("run on the counting server: expected success, got %s: %s", r.Outcome, r.Output)
			}
			return nil
		})
	}
	is.True(run(payload, output) >= run(0, 0)+payload+output)
}
