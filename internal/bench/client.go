package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/api"
)

const (
	identityBlock = 64 // identities that a caller fetches with one request
	// otherConnectionShare is the share of the identities that are used over another connection than the one that they came
	// from, as with callers whose processes share a block of identities.
	otherConnectionShare = 0.1
	dialTimeout          = 2 * time.Second
	// answerTimeout is longer than the longest deadline of a job, so that only a dispatcher that does not answer exceeds it.
	answerTimeout = 3 * time.Minute
)

// conn is a connection to an entry instance, for one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	resp       fasthttp.Response
	buf        []byte   // buffer for requests
	identities []string // unused identities that came over this connection
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, 4<<10)}, nil
}

// exchange sends a request in one write, reads the response and returns its status and body. header holds complete header
// lines. The returned body is valid until the next call.
func (c *conn) exchange(method, path, header string, body ...[]byte) (int, []byte, error) {
	n := 0
	for _, part := range body {
		n += len(part)
	}
	b := append(c.buf[:0], method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: savory\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, "\r\n"...)
	b = append(b, header...)
	b = append(b, "\r\n"...)
	for _, part := range body {
		b = append(b, part...)
	}
	c.buf = b
	c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.Write(b); err != nil {
		return 0, nil, err
	}
	if err := c.resp.Read(c.reader); err != nil {
		return 0, nil, err
	}
	return c.resp.StatusCode(), c.resp.Body(), nil
}

// caller is one client of a team with its connections. Each new connection goes to a random entry instance, as through a
// load balancer.
type caller struct {
	header  string // header lines with the token
	entries []Entry

	mu     sync.Mutex
	random *rand.Rand
	idle   []*conn
	shared []string // identities for use over any connection
}

func newCaller(token string, entries []Entry, seed uint64) *caller {
	return &caller{
		header:  "Authorization: Bearer " + token + "\r\nContent-Type: application/json\r\n",
		entries: entries,
		random:  rand.New(rand.NewPCG(seed, 3)),
	}
}

// acquire returns an idle connection or opens one.
func (c *caller) acquire() (*conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		cn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return cn, nil
	}
	e := c.entries[c.random.IntN(len(c.entries))]
	c.mu.Unlock()
	return dial(e.Callers)
}

// release makes a connection idle again. If it has no identities left, it gets a new block first; if that fails, it is closed.
func (c *caller) release(cn *conn) {
	if len(cn.identities) == 0 && c.fetchIdentities(cn) != nil {
		cn.Close()
		return
	}
	c.mu.Lock()
	c.idle = append(c.idle, cn)
	c.mu.Unlock()
}

// fetchIdentities fetches a block of identities over the connection and keeps a share of them for any connection. An identity
// names a job to be submitted; the entry instance that issued it is the job's home.
func (c *caller) fetchIdentities(cn *conn) error {
	status, body, err := cn.exchange("POST", "/v1/identities", c.header, []byte(`{"count":`+strconv.Itoa(identityBlock)+`}`))
	if err != nil {
		return err
	}
	var got api.Identities
	if err := json.Unmarshal(body, &got); err != nil || len(got.Identities) == 0 {
		return fmt.Errorf("expected identities, got status %d: %.200s", status, body)
	}
	sharedCount := int(otherConnectionShare * float64(len(got.Identities)))
	cn.identities = got.Identities[sharedCount:]
	c.mu.Lock()
	c.shared = append(c.shared, got.Identities[:sharedCount]...)
	c.mu.Unlock()
	return nil
}

// identity returns an identity for a submission over the connection.
func (c *caller) identity(cn *conn) (string, error) {
	c.mu.Lock()
	if n := len(c.shared); n > 0 && c.random.Float64() < otherConnectionShare {
		id := c.shared[n-1]
		c.shared = c.shared[:n-1]
		c.mu.Unlock()
		return id, nil
	}
	c.mu.Unlock()
	if len(cn.identities) == 0 {
		if err := c.fetchIdentities(cn); err != nil {
			return "", err
		}
	}
	id := cn.identities[len(cn.identities)-1]
	cn.identities = cn.identities[:len(cn.identities)-1]
	return id, nil
}

// openIdle opens connections until n are idle, each with identities, so that a run does not begin with a burst of new
// connections.
func (c *caller) openIdle(n int) error {
	c.mu.Lock()
	n -= len(c.idle)
	c.mu.Unlock()
	conns := make([]*conn, 0, max(0, n))
	for range n {
		c.mu.Lock()
		e := c.entries[c.random.IntN(len(c.entries))]
		c.mu.Unlock()
		cn, err := dial(e.Callers)
		if err != nil {
			return err
		}
		conns = append(conns, cn)
	}
	for _, cn := range conns {
		c.release(cn)
	}
	return nil
}

func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}

// answer holds the fields of an api.Answer that the measurements use.
type answer struct {
	Identity     string               `json:"identity"`
	Code         int                  `json:"code"`
	Final        bool                 `json:"final"`
	Execution    string               `json:"execution"`
	Message      string               `json:"message"`
	RetryAfterMS int64                `json:"retry_after_ms"`
	Tasks        *api.ExecutionCounts `json:"tasks"`
	Outputs      []string             `json:"outputs"`
}

// request sends one request over any connection of the caller and returns the answer.
func (c *caller) request(method, path string, body ...[]byte) (*answer, error) {
	cn, err := c.acquire()
	if err != nil {
		return nil, err
	}
	return c.requestOn(cn, method, path, body...)
}

func (c *caller) requestOn(cn *conn, method, path string, body ...[]byte) (*answer, error) {
	status, text, err := cn.exchange(method, path, c.header, body...)
	if err != nil {
		cn.Close()
		return nil, err
	}
	a := &answer{}
	err = json.Unmarshal(text, a)
	if err != nil {
		err = fmt.Errorf("status %d with an unreadable answer: %w: %.200s", status, err, text)
	}
	closing := cn.resp.ConnectionClose()
	if closing {
		cn.Close()
		return a, err
	}
	c.release(cn)
	return a, err
}
