package keyed

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/store"
)

const topic = "keyed.t"

// write returns an append of one record by a producer.
func write(epoch, sequence int64, key string) store.Append {
	return store.Append{
		Topic: topic, Partition: 2, Records: []store.Record{{Key: key, Value: []byte{1}}},
		Producer: &store.Producer{Name: "p", Epoch: epoch, Sequence: sequence},
	}
}

func keys(t *testing.T, s *Store) (list []string) {
	b, err := s.Read(t.Context(), topic, 2, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range b.Records {
		list = append(list, r.Key)
	}
	return list
}

// Guards against a stand-in that appends a repeated group twice, lets an old writer in, or accepts a gap: tests of writers
// would then pass although the store would refuse them.
func TestProducers(t *testing.T) {
	is := is.New(t)
	s := New()
	do := func(epoch, sequence int64, key string) (store.Appended, error) {
		return s.Append(t.Context(), write(epoch, sequence, key))
	}
	var first store.Appended
	for sequence := range int64(6) {
		appended, err := do(1, 40+sequence, "k")
		is.NoErr(err)
		if sequence == 1 {
			first = appended
		}
	}
	again, err := do(1, 41, "k")
	is.NoErr(err)
	is.Equal(again, first) // the fifth last
	_, err = do(1, 40, "k")
	var sequence *store.SequenceError
	is.True(errors.As(err, &sequence)) // the sixth last
	is.Equal(sequence.Expected, int64(46))
	_, err = do(1, 47, "k")
	is.True(errors.As(err, &sequence)) // a gap
	is.Equal(len(keys(t, s)), 6)

	_, err = s.Append(t.Context(), store.Append{Topic: topic, Partition: 2, Producer: &store.Producer{Name: "p", Epoch: 2}})
	is.NoErr(err)
	_, err = do(1, 46, "k")
	is.True(errors.Is(err, store.ErrFenced))
	_, err = do(2, 9, "k")
	is.NoErr(err) // a higher epoch may start at any number
	_, err = s.Append(t.Context(), store.Append{Topic: topic, Partition: 3, Producer: &store.Producer{Name: "p", Epoch: 1}})
	is.NoErr(err) // epochs apply to one partition
}

// Guards against faults of the stand-in that carry out what they should not, or the reverse.
func TestFaults(t *testing.T) {
	is := is.New(t)
	s := New()
	s.FailAppends(Refuse, LoseCall, LoseAnswer, Delay, Delay)
	_, err := s.Append(t.Context(), write(1, 0, "refused"))
	is.True(errors.Is(err, store.ErrUnavailable))
	_, err = s.Append(t.Context(), write(1, 0, "lost"))
	is.True(errors.Is(err, store.ErrUnknown))
	_, err = s.Append(t.Context(), write(1, 0, "done"))
	is.True(errors.Is(err, store.ErrUnknown))
	_, err = s.Append(t.Context(), write(1, 1, "late"))
	is.True(errors.Is(err, store.ErrUnknown))
	_, err = s.Append(t.Context(), write(1, 2, "too late"))
	is.True(errors.Is(err, store.ErrUnknown))
	is.Equal(keys(t, s), []string{"done"})
	_, err = s.Append(t.Context(), write(1, 1, "late"))
	is.NoErr(err)
	_, err = s.Append(t.Context(), write(2, 0, "next writer"))
	is.NoErr(err)
	s.Deliver()
	is.Equal(keys(t, s), []string{"done", "late", "next writer"})

	at := int64(2)
	_, err = s.Append(t.Context(), store.Append{Topic: topic, Partition: 2, At: &at})
	var offset *store.OffsetError
	is.True(errors.As(err, &offset))
	is.Equal(offset.End, int64(3))
	s.SetMaxBytes(1)
	_, err = s.Append(t.Context(), write(2, 1, "k"))
	is.True(errors.Is(err, store.ErrFull))
}

// Guards against records that outlast their trimming, and against newest records that do not.
func TestTrim(t *testing.T) {
	is := is.New(t)
	s := New()
	for sequence := range int64(3) {
		_, err := s.Append(t.Context(), write(1, sequence, "k"))
		is.NoErr(err)
	}
	is.NoErr(s.Trim(t.Context(), topic, 2, 2))
	_, err := s.Read(t.Context(), topic, 2, 1, 0)
	var truncated *store.TruncatedError
	is.True(errors.As(err, &truncated))
	is.Equal(truncated.First, int64(2))
	s.DropHistory(topic)
	b, err := s.Newest(t.Context(), topic, 2)
	is.NoErr(err)
	is.Equal(len(b.Records), 1)
	is.Equal(b.Next, int64(3))
}
