package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against small instances that dispatch for as much of a zone as large ones, and against a zone that lies with one
// instance.
func TestCapacity(t *testing.T) {
	is := is.New(t)
	for cores, capacity := range map[float64]int{0: 2, 0.05: 1, 0.192: 1, 0.39: 1, 0.4: 2, 0.8: 2, 64: 2} {
		s := Settings{Cores: cores}
		is.Equal(s.Capacity(), capacity)
	}
}

// Guards against leases that outlast the time after which callers submit a job again, and against longer ones than endpoints accept.
func TestRunLease(t *testing.T) {
	is := is.New(t)
	for retransmit, want := range map[time.Duration]time.Duration{
		0:                       time.Second, // not known
		5 * time.Second:         time.Second,
		1300 * time.Millisecond: time.Second,
	} {
		s := Settings{Lease: time.Second, Retransmit: retransmit}
		is.Equal(s.RunLease(), want)
	}
	for _, retransmit := range []time.Duration{465 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		s := Settings{Lease: time.Second, Retransmit: retransmit}
		slowest := time.Duration(float64(s.RunLease()) * 1.02) // endpoints' clocks may be 2 % slow
		is.True(slowest < retransmit)
	}
}
