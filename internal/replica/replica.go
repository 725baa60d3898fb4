// Package replica copies finished answers to peers, so that a resubmission gets its answer after the home is gone.
// Copies are best effort and decide nothing: without one the answer is "may have run".
package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
)

// Defaults of Options and fixed bounds.
const (
	DefaultRetention = 60 * time.Second // the retention of answers at their home
	DefaultMaxBytes  = 64 << 20         // of copies kept for peers
	BatchInterval    = 5 * time.Millisecond
	LookupTimeout    = time.Second
	// MaxBatchBytes keeps a batch well below the transport's message bound.
	MaxBatchBytes = 1 << 20
	// MaxPendingBytes bounds the answers that wait to be sent; more are not copied.
	MaxPendingBytes = 16 << 20
)

// Transport carries copies and lookups; peer.Node is one.
type Transport interface {
	Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error)
	Notify(addr string, m peer.Method, body []byte) error
}

// Options configures a Replicator. Zero values take the defaults.
type Options struct {
	View      func() member.View
	Transport Transport
	Retention time.Duration
	MaxBytes  int
	Clock     clockwork.Clock
	Received  func(copies int) // counts the copies that peers send; may be nil
}

// Replicator sends this instance's answers to peers and keeps theirs. Its methods are safe for concurrent use.
type Replicator struct {
	opts  Options
	store *store
	wake  chan struct{}

	mu      sync.Mutex
	pending []message.Copy
	bytes   int
	stats   Stats
}

// Stats counts what happened to answers, for operators.
type Stats struct {
	Added   uint64 `json:"added"`
	Dropped uint64 `json:"dropped"` // not copied since too many were waiting
	Unsent  uint64 `json:"unsent"`  // batches for which a zone had no reachable peer
	Batches uint64 `json:"batches"`
	Stored  int    `json:"kept"` // copies of peers' answers
	Bytes   int    `json:"bytes"`
	Evicted uint64 `json:"evicted"` // copies that were dropped early for want of space
}

// New returns a replicator.
func New(opts Options) *Replicator {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.MaxBytes == 0 {
		opts.MaxBytes = DefaultMaxBytes
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Replicator{opts: opts, store: newStore(opts.Retention, opts.MaxBytes), wake: make(chan struct{}, 1)}
}

// Add copies a finished answer. It does not block and keeps the answer's bytes, which must not change.
func (r *Replicator) Add(identity, team string, answer []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes+len(answer) > MaxPendingBytes {
		r.stats.Dropped++
		return
	}
	r.stats.Added++
	r.pending = append(r.pending, message.Copy{Identity: identity, Team: team, Answer: answer})
	r.bytes += len(answer)
	if len(r.pending) == 1 {
		r.signal()
	}
}

func (r *Replicator) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends batches until the context ends, and then what is left.
func (r *Replicator) Run(ctx context.Context) error {
	defer r.Flush()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.opts.Clock.After(BatchInterval):
		}
		r.Flush()
	}
}

// Flush sends all answers that wait.
func (r *Replicator) Flush() {
	r.mu.Lock()
	pending := r.pending
	r.pending, r.bytes = nil, 0
	r.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	v := r.opts.View()
	for len(pending) > 0 {
		n := batchLength(pending)
		r.send(v, message.Encode(&message.CopyBatch{Copies: pending[:n]}))
		pending = pending[n:]
	}
}

// batchLength returns how many copies fit into a batch, at least one.
func batchLength(pending []message.Copy) int {
	bytes := 0
	for i := range pending {
		bytes += len(pending[i].Answer) + len(pending[i].Identity)
		if bytes > MaxBatchBytes && i > 0 {
			return i
		}
	}
	return len(pending)
}

// send passes a batch to one peer of the zone and one of another zone.
func (r *Replicator) send(v member.View, batch []byte) {
	near := r.sendToOne(v, batch, func(m member.Member) bool { return m.Zone == v.Self.Zone })
	far := r.sendToOne(v, batch, func(m member.Member) bool { return m.Zone != v.Self.Zone })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Batches++
	if !near || !far {
		r.stats.Unsent++
	}
}

// sendToOne tries the peers of a group in the order of rendezvous hashing on this instance's name, so that copies
// stay with one peer while the group is stable.
func (r *Replicator) sendToOne(v member.View, batch []byte, in func(member.Member) bool) bool {
	addrs := candidates(v, in)
	self := v.Self.Zone + "/" + v.Self.Instance
	for len(addrs) > 0 {
		// A new table each time: the library's Remove panics on the entry that was added last.
		addr := rendezvous.New(addrs, xxhash.Sum64String).Lookup(self)
		if r.opts.Transport.Notify(addr, peer.Copies, batch) == nil {
			return true
		}
		addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == addr })
	}
	return false
}

// candidates prefers peers that stay; a draining peer is better than none.
func candidates(v member.View, in func(member.Member) bool) []string {
	var staying, draining []string
	for _, m := range v.Live() {
		switch {
		case !in(m):
		case m.Draining:
			draining = append(draining, m.Addr)
		default:
			staying = append(staying, m.Addr)
		}
	}
	if len(staying) > 0 {
		return staying
	}
	return draining
}

// Lookup returns the copy of an answer from this instance or from any peer that can be reached.
func (r *Replicator) Lookup(ctx context.Context, identity, team string) (answer []byte, ok bool) {
	if answer, ok = r.store.get(r.opts.Clock.Now(), identity, team); ok {
		return answer, true
	}
	ctx, cancel := context.WithTimeout(ctx, LookupTimeout)
	defer cancel()
	live := r.opts.View().Live()
	body := message.Encode(&message.CopyLookup{Identity: identity, Team: team})
	found := make(chan *message.CopyFound, len(live))
	for _, m := range live {
		go func() { found <- r.ask(ctx, m.Addr, body) }()
	}
	for range live {
		if f := <-found; f.Found {
			return f.Answer, true
		}
	}
	return nil, false
}

func (r *Replicator) ask(ctx context.Context, addr string, body []byte) *message.CopyFound {
	var f message.CopyFound
	out, err := r.opts.Transport.Call(ctx, addr, peer.CopyLookup, body)
	if err != nil || message.Decode(out, &f) != nil {
		return &message.CopyFound{}
	}
	return &f
}

// HandleCopies is the handler of peer.Copies. It does not block.
func (r *Replicator) HandleCopies(_ context.Context, _ peer.From, body []byte) ([]byte, error) {
	var b message.CopyBatch
	if err := message.Decode(body, &b); err != nil {
		return nil, err
	}
	if r.opts.Received != nil {
		r.opts.Received(len(b.Copies))
	}
	now := r.opts.Clock.Now()
	for i := range b.Copies {
		r.store.put(now, &b.Copies[i])
	}
	return nil, nil
}

// HandleLookup is the handler of peer.CopyLookup. It does not block and asks no other peer.
func (r *Replicator) HandleLookup(_ context.Context, _ peer.From, body []byte) ([]byte, error) {
	var l message.CopyLookup
	if err := message.Decode(body, &l); err != nil {
		return nil, err
	}
	answer, ok := r.store.get(r.opts.Clock.Now(), l.Identity, l.Team)
	return message.Encode(&message.CopyFound{Found: ok, Answer: answer}), nil
}

// Dump returns the counters for operators.
func (r *Replicator) Dump() any {
	r.mu.Lock()
	s := r.stats
	r.mu.Unlock()
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	s.Stored, s.Bytes, s.Evicted = len(r.store.queue), r.store.bytes, r.store.evicted
	return s
}
