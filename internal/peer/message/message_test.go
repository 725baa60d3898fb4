package message

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
)

var samples = []Message{
	&Heartbeat{Incarnation: 1 << 60, Seq: 3, Version: 41, Schema: 1, FreeSlots: 9, Backlog: 160, ExpectedWait: 70 * time.Millisecond, Draining: true, Settled: true, Slots: 56, Acks: []Ack{{"e2", 1 << 60, 7}, {"e3", 1 << 60, 1 << 30}}},
	&Forward{Kind: ForwardSubmit, Team: "survey", Identity: "1.blackstone.e1.z.AAAA", Body: []byte(`{"service":"washout"}`), Wait: 5 * time.Second, Caller: "inspectors"},
	&Answer{Body: []byte{0, 1, 2}},
	&Backlog{Count: 160, BestRank: -0.25, Size: platform.Size{Cores: 2}},
	&DelegateStatus{Tasks: []string{"i/0"}},
	&DelegateStates{Tasks: []TaskState{{Task: "i/0", State: platform.TaskDone, Output: "o"}}},
	&DelegateStop{Tasks: []string{"i/0", "i/1"}},
	&Grant{ID: 7, Slots: 8, TTL: 50 * time.Millisecond},
	&GrantReturn{ID: 7, Slots: 3},
	&Delegate{Grant: 7, Tasks: []DelegatedTask{{Task: "i/0", Team: "survey", Service: "washout", Size: platform.Size{Cores: .5, MemoryMB: 100, Accelerators: 1}, Payload: "p", Expected: time.Second, Deadline: time.Minute}, {Task: "i/1"}}},
	&DelegateAccepted{Accepted: 2},
	&DelegateResults{Results: []TaskResult{{Task: "i/0", Outcome: platform.Lost, Output: "o", RunTime: time.Second, Usage: platform.Size{MemoryMB: 5}, Grant: 3}}},
	&CopyBatch{Copies: []Copy{{Identity: "i", Team: "survey", Answer: []byte("a")}, {Identity: "j"}}},
	&CopyLookup{Identity: "i", Team: "survey"},
	&CopyFound{Found: true, Answer: []byte("a")},
	&Claim{Incarnation: 3, Term: 2, Workers: []string{"w1", "w2"}},
	&Handover{Incarnation: 4, ClaimantIncarnation: 3, Workers: []HeldSlots{{Worker: "w1", Term: 2, Released: true, Held: 5, RemainderFree: true}}},
	&ConfigFetch{NewerThan: 12},
	&ConfigDocument{Version: 13, Offset: -1, Document: []byte("schema: 1"), Schema: 1, Author: "a", Nonce: "n", Digest: "d"},
	&TeamUsage{Teams: []TeamUsageEntry{{Team: "survey", Size: platform.Size{Cores: 3}, Queued: 4}}},
}

func newOfSameType(m Message) Message {
	return reflect.New(reflect.TypeOf(m).Elem()).Interface().(Message)
}

// Guards against a field that encoding and decoding omit or change, and against a heartbeat that exceeds the 120 bytes that
// the design allows for.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range samples {
		got := newOfSameType(m)
		is.NoErr(Decode(Encode(m), got))
		is.Equal(got, m)
	}
	is.True(len(Encode(samples[0])) <= 120)
}

// Guards against a usage report that omits teams: with 43 teams it must have more than four times the bytes that it has with 8.
func TestUsageReportGrowsWithTheTeams(t *testing.T) {
	is := is.New(t)
	report := func(teams int) int {
		m := &TeamUsage{}
		for i := range teams {
			size := platform.Size{Cores: 37.5, MemoryMB: 120_000, Accelerators: 4}
			m.Teams = append(m.Teams, TeamUsageEntry{Team: fmt.Sprintf("team-%d", i), Size: size, Queued: 100})
		}
		return len(Encode(m))
	}
	is.True(report(43) > 4*report(8))
}

type older struct{ Version uint64 }

func (m *older) visit(c *codec) { c.uint(&m.Version) }

// Guards against instances of two versions that do not understand each other during an upgrade.
func TestVersionsWithMoreAndFewerFields(t *testing.T) {
	is := is.New(t)
	var old older
	is.NoErr(Decode(Encode(&ConfigDocument{Version: 13, Document: []byte("schema: 1")}), &old))
	is.Equal(old.Version, uint64(13))
	var doc ConfigDocument
	is.NoErr(Decode(Encode(&old), &doc))
	is.Equal(doc, ConfigDocument{Version: 13})
}

// Guards against a panic, or an allocation much larger than the input, when decoding bytes that are not a message.
func FuzzDecode(f *testing.F) {
	for i, m := range samples {
		f.Add(uint8(i), Encode(m))
	}
	f.Add(uint8(6), []byte{0x92, 0x07, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add(uint8(2), []byte{0x91, 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, i uint8, data []byte) {
		m := newOfSameType(samples[int(i)%len(samples)])
		if Decode(data, m) != nil {
			return
		}
		again := newOfSameType(m)
		if err := Decode(Encode(m), again); err != nil {
			t.Fatalf("%+v does not decode again: %v", m, err)
		}
	})
}

func BenchmarkDelegate(b *testing.B) {
	m := &Delegate{Tasks: make([]DelegatedTask, 16)}
	b.ReportAllocs()
	for b.Loop() {
		var got Delegate
		if err := Decode(Encode(m), &got); err != nil {
			b.Fatal(err)
		}
	}
}
