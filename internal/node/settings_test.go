package node

import (
	"testing"

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
