// Package replica copies finished answers to peers, so that a resubmission still gets its answer after its home, the
// instance that ran the job, has died. Copies are best effort and no decision depends on them: without a copy, the answer
// to the resubmission is "may have run".
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
	DefaultRetention = 60 * time.Second     // equals the default retention of answers at their home
	DefaultMaxBytes  = 64 << 20             // bound on the copies received from peers
	BatchInterval    = 5 * time.Millisecond // time from the first pending answer to the sending of the batch
	LookupTimeout    = time.Second
	// MaxBatchBytes bounds the answers in a batch, so that it stays well below the transport's message limit.
	MaxBatchBytes = 1 << 20
	// MaxPendingBytes bounds the answers that wait to be sent. Answers beyond it are not copied.
	MaxPendingBytes = 16 << 20
)

// Transport sends copies and lookups. peer.Node implements it.
type Transport interface {
	Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error)
	Notify(addr string, m peer.Method, body []byte) error
}

// Options configures a Replicator. Zero values of Retention, MaxBytes and Clock select the defaults.
type Options struct {
	View      func() member.View
	Transport Transport
	Retention time.Duration
	MaxBytes  int
	Clock     clockwork.Clock
	Received  func(copies int) // called with the number of copies in each received batch; may be nil
}

// Replicator sends copies of this instance's answers to peers and stores copies of theirs. Its methods are safe for
// concurrent use.
type Replicator struct {
	opts  Options
	store *store
	wake  chan struct{}

	mu      sync.Mutex
	pending []message.Copy
	bytes   int
	stats   Stats
}

// Stats holds counters of copied and stored answers, for operators.
type Stats struct {
	Added   uint64 `json:"added"`   // answers accepted for copying
	Dropped uint64 `json:"dropped"` // answers not copied because too many were pending
	Unsent  uint64 `json:"unsent"`  // batches that reached no peer of this instance's zone, or no peer of another zone
	Batches uint64 `json:"batches"` // batches sent
	Stored  int    `json:"kept"`    // copies of peers' answers stored now
	Bytes   int    `json:"bytes"`   // size of these copies
	Evicted uint64 `json:"evicted"` // copies of peers' answers dropped before they expired, for lack of space
}

// New returns a replicator. It sends answers while Run is running.
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

// Add schedules a finished answer for copying. It does not block. It keeps a reference to answer, which must not be
// modified.
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

// Run sends batches until the context ends. Then it sends the pending answers and returns.
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

// Flush sends all pending answers at once.
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

// batchLength returns how many of the pending copies fit into a batch, at least one.
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

// send sends a batch to one peer of this instance's zone and to one of another zone.
func (r *Replicator) send(v member.View, batch []byte) {
	sentInZone := r.sendToOne(v, batch, func(m member.Member) bool { return m.Zone == v.Self.Zone })
	sentToOtherZone := r.sendToOne(v, batch, func(m member.Member) bool { return m.Zone != v.Self.Zone })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Batches++
	if !sentInZone || !sentToOtherZone {
		r.stats.Unsent++
	}
}

// sendToOne sends a batch to one of the peers that in accepts, and reports whether one could be reached. It tries them
// in the order of rendezvous hashing on this instance's name, so that copies go to the same peer while the set of
// peers is stable.
func (r *Replicator) sendToOne(v member.View, batch []byte, in func(member.Member) bool) bool {
	addrs := candidates(v, in)
	self := v.Self.Zone + "/" + v.Self.Instance
	for len(addrs) > 0 {
		// The table is built anew each time, because the library's Remove panics on the entry that was added last.
		addr := rendezvous.New(addrs, xxhash.Sum64String).Lookup(self)
		if r.opts.Transport.Notify(addr, peer.Copies, batch) == nil {
			return true
		}
		addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == addr })
	}
	return false
}

// candidates returns the addresses of the live peers that in accepts. Draining peers are returned only if there are no
// others.
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

// Lookup returns the copy of an answer that this instance or any live peer has stored. It waits for the peers up to
// LookupTimeout.
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
		go func() { found <- r.lookupAt(ctx, m.Addr, body) }()
	}
	for range live {
		if f := <-found; f.Found {
			return f.Answer, true
		}
	}
	return nil, false
}

// lookupAt requests a copy from a peer. An error counts as not found.
func (r *Replicator) lookupAt(ctx context.Context, addr string, body []byte) *message.CopyFound {
	var f message.CopyFound
	out, err := r.opts.Transport.Call(ctx, addr, peer.CopyLookup, body)
	if err != nil || message.Decode(out, &f) != nil {
		return &message.CopyFound{}
	}
	return &f
}

// HandleCopies is the handler of peer.Copies. It does not block.
func (r *Replicator) HandleCopies(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
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

// HandleLookup is the handler of peer.CopyLookup. It does not block and looks only at the copies of this instance.
func (r *Replicator) HandleLookup(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var l message.CopyLookup
	if err := message.Decode(body, &l); err != nil {
		return nil, err
	}
	answer, ok := r.store.get(r.opts.Clock.Now(), l.Identity, l.Team)
	return message.Encode(&message.CopyFound{Found: ok, Answer: answer}), nil
}

// Dump returns Stats, for the operators' state dump.
func (r *Replicator) Dump() any {
	r.mu.Lock()
	s := r.stats
	r.mu.Unlock()
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	s.Stored, s.Bytes, s.Evicted = len(r.store.queue), r.store.bytes, r.store.evicted
	return s
}
