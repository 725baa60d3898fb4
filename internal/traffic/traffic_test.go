package traffic

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes that are counted under another kind or not at all, so that operators look for the wrong cause of a full
// link.
func TestMeter(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Add(Start, Counts{Calls: 1, Failed: 1, Sent: 10})
	m.Add(Start, Counts{Calls: 1, Sent: 20, Received: 5})
	m.Add(Read.Of("topic"), Counts{Calls: 1})
	is.Equal(m.Snapshot()[Start], Counts{Calls: 2, Failed: 1, Sent: 30, Received: 5})
	is.Equal(m.Snapshot()[Start].String(), "2/1/30/5")
	is.Equal(m.Snapshot()["read.topic"].Calls, int64(1))
	is.Equal(New().String(), "{}")
	var none *Meter
	none.Add(Start, Counts{Calls: 1})
	is.Equal(len(none.Snapshot()), 0)
}

// Guards against a connection whose bytes are not counted.
func TestMeteredConnection(t *testing.T) {
	is := is.New(t)
	m := New()
	a, b := net.Pipe()
	metered := m.Conn(a, Uplink)
	go b.Write([]byte("answer"))
	n, err := metered.Read(make([]byte, 100))
	is.NoErr(err)
	go b.Read(make([]byte, 100))
	_, err = metered.Write([]byte("job"))
	is.NoErr(err)
	is.Equal(m.Snapshot()[Uplink], Counts{Calls: 1, Sent: 3, Received: int64(n)})
}
