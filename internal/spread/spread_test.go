package spread

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against an order that sends all keys to the target with the greatest weight, or the same number to each.
func TestSharesFollowTheWeights(t *testing.T) {
	is := is.New(t)
	targets := []Target{{"a/0", 10}, {"a/1", 30}, {"b/0", 60}}
	const keys = 20000
	first := make([]int, len(targets))
	for n := range keys {
		order := Order(fmt.Sprintf("%016x", n), targets)
		is.Equal(len(order), len(targets))
		first[order[0]]++
	}
	for i, target := range targets {
		share := float64(first[i]) / keys
		is.True(math.Abs(share-target.Weight/100) < 0.02)
	}
}

// Guards against a job that is submitted again at another instance and takes another way there.
func TestSameKeySameOrder(t *testing.T) {
	is := is.New(t)
	targets := []Target{{"a", 1}, {"b", 1}, {"c", 1}}
	is.Equal(Order("k", targets), Order("k", targets))
	is.Equal(len(Order("k", nil)), 0)
}
