package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorypass/savorypass/internal/platform"
)

func publishRecord(replaces uint64, nonce string, doc []byte) Record {
	return Record{
		Kind: KindPublish, Schema: 1, Version: replaces + 1, Replaces: replaces, Nonce: nonce,
		Author: "author-" + nonce, Document: string(doc), Digest: DocumentDigest(doc),
	}
}

func encoded(r Record) []byte {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// naiveFold folds a whole log in the simplest way, as a reference. It returns the states by the number of records
// folded.
func naiveFold(log [][]byte) []State {
	states := []State{{}}
	s := State{}
	for i, data := range log {
		s.Next = int64(i) + 1
		r, err := DecodeRecord(data)
		if err == nil && r.Kind == KindPublish && r.Replaces == s.Version {
			if _, err := Decode([]byte(r.Document)); err == nil {
				s.Version, s.Schema, s.Author, s.Nonce = r.Version, r.Schema, r.Author, r.Nonce
				s.Document, s.Digest = r.Document, r.Digest
			}
		}
		states = append(states, s)
	}
	return states
}

// model is a log with retention, and instances that fold it independently of each other.
type model struct {
	log   [][]byte // all records ever appended, by offset
	first int      // offset of the oldest record that the log retains
	inst  []*Controller
}

func (m *model) publish(t *rapid.T) {
	c := m.inst[rapid.IntRange(0, len(m.inst)-1).Draw(t, "publisher")]
	if rapid.IntRange(0, 3).Draw(t, "stale") > 0 {
		m.poll(c, 5, 1000)
	}
	replaces := c.Version()
	nonce := fmt.Sprint("n", len(m.log))
	doc := validDoc(len(m.log))
	if rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
		doc = []byte("schema: 1\n")
	}
	m.log = append(m.log, encoded(publishRecord(replaces, nonce, doc)))
}

func (m *model) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.inst)-1).Draw(t, "instance")
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0, 1:
		m.publish(t)
	case 2:
		if len(m.log) > 0 { // a record is appended again, maybe much later, because the answer to its append was lost
			m.log = append(m.log, m.log[rapid.IntRange(0, len(m.log)-1).Draw(t, "copy")])
		}
	case 3:
		if s := m.inst[i].Snapshot(); s.Version > 0 {
			m.log = append(m.log, encoded(s.checkpointRecord()))
		}
	case 4:
		m.log = append(m.log, []byte("no record"))
	case 5:
		m.inst[i] = newQuietController(Options{Name: fmt.Sprint(i)})
	case 6:
		m.first = rapid.IntRange(m.first, len(m.log)).Draw(t, "first")
	case 7:
		m.inst[i].adopt("peer", m.inst[rapid.IntRange(0, len(m.inst)-1).Draw(t, "peer")].Snapshot())
	case 8:
		m.poll(m.inst[i], rapid.IntRange(1, 5).Draw(t, "batch"), rapid.IntRange(1, 3).Draw(t, "reads"))
	}
}

// poll reads at most the given number of batches, like a poll that is interrupted by an outage of the log.
func (m *model) poll(c *Controller, size, reads int) {
	for range reads {
		from := c.position()
		b := platform.Batch{First: int64(m.first), Next: int64(len(m.log))}
		truncated := from < b.First
		for o := from; !truncated && o < min(b.Next, from+int64(size)); o++ {
			b.Records = append(b.Records, platform.Record{Offset: o, Data: m.log[o]})
		}
		if c.foldBatch(from, b, truncated) {
			return
		}
	}
}

// Guards against instances that disagree. Whichever records an instance has missed, its state equals that of the naive
// fold of all records below its offset, its version never decreases, and instances that can reach each other end in the
// same state.
func TestFoldAgreesWithNaiveFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		for i := range 4 {
			m.inst = append(m.inst, newQuietController(Options{Name: fmt.Sprint(i)}))
		}
		versions := make([]uint64, len(m.inst))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := append([]*Controller(nil), m.inst...)
			m.step(t)
			states := naiveFold(m.log)
			for i, c := range m.inst {
				s := c.Snapshot()
				if s != states[s.Next] {
					t.Fatalf("instance %d: state %+v, naive %+v", i, s, states[s.Next])
				}
				if c == before[i] && s.Version < versions[i] {
					t.Fatalf("instance %d: version decreased from %d to %d", i, versions[i], s.Version)
				}
				versions[i] = s.Version
			}
		}
		m.settle(t)
	})
}

// settle lets every instance read the log and the states of all instances, and checks that they then agree.
func (m *model) settle(t *rapid.T) {
	for range 2 {
		for _, c := range m.inst {
			m.poll(c, 3, 1000)
			for _, p := range m.inst {
				c.adopt("peer", p.Snapshot())
			}
			m.poll(c, 3, 1000)
		}
	}
	all := naiveFold(m.log)[len(m.log)]
	follows := false
	for _, c := range m.inst {
		follows = follows || c.Snapshot().Next == int64(len(m.log))
	}
	for i, c := range m.inst {
		s := c.Snapshot()
		if s.Version != m.inst[0].Version() || s.Digest != m.inst[0].Snapshot().Digest {
			t.Fatalf("instances 0 and %d end in different states", i)
		}
		if follows && (s.Version != all.Version || s.Digest != all.Digest) {
			t.Fatalf("instance %d ends at %+v, naive %+v", i, s, all)
		}
	}
}

// Guards against an instance that folds past a record whose schema it cannot read, and then accepts a later record that
// newer instances refuse.
func TestNewerSchemaStopsTheFold(t *testing.T) {
	is := is.New(t)
	apply := func(s State, offset int64, r Record) (State, Verdict) {
		return s.Apply(platform.Record{Offset: offset, Data: encoded(r)})
	}
	s, v := apply(State{}, 0, publishRecord(0, "a", validDoc(0)))
	is.Equal(v, Accepted)
	newer := publishRecord(1, "b", []byte("schema: 2\n"))
	newer.Schema = 2
	s, v = apply(s, 1, newer)
	is.Equal(v, NewerSchema)
	s, v = apply(s, 2, publishRecord(1, "c", validDoc(1)))
	is.Equal(v, Gap) // whether it replaces version 1 depends on the unreadable record before it
	is.Equal(s.Version, uint64(1))
	later := State{Version: 3, Schema: 1, Document: string(validDoc(2)), Digest: DocumentDigest(validDoc(2)), Next: 4}
	s, v = apply(s, 4, later.checkpointRecord())
	is.Equal(v, Rebased) // the checkpoint holds a readable version
	is.Equal(s, later)
}
