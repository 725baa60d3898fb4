package delaycost

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against priorities that are taken as valid although no weight is meaningful for them.
func TestValidPriority(t *testing.T) {
	is := is.New(t)
	for priority, valid := range map[int]bool{-1: false, 0: true, 2: true, MaxPriority: true, MaxPriority + 1: false} {
		is.Equal(ValidPriority(priority), valid) // priority
	}
}

// Guards against a weight that prefers a lower priority, and against one that makes work of the next priority worth nothing: an order by
// priority alone makes long work late.
func TestWeight(t *testing.T) {
	is := is.New(t)
	is.Equal(Weight(0), 1.0)
	for priority := range 5 {
		ratio := Weight(priority) / Weight(priority+1)
		is.True(ratio > 1 && ratio <= 2)
	}
}

// Guards against a loss that counts what was accepted, or that ignores the weight.
func TestLoss(t *testing.T) {
	is := is.New(t)
	is.Equal(Loss(1, 1), 0.0)
	is.Equal(Loss(1, 0.25), 0.75)
	is.Equal(Loss(0.5, 0.25), 0.375)
}
