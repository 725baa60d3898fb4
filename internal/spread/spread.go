// Package spread orders targets at random, with a chance in proportion to their weights. All processes that know the same weights choose the
// same order for a key, while the keys as a whole are divided among the targets by weight. Unlike an order by weight alone it sends no more
// to the best target than its share, although its weight is known late.
package spread

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Target is something to choose from.
type Target struct {
	Name   string
	Weight float64 // above 0
}

// Order returns the indices of targets in the order in which they are to be tried for a key. The chance of a target to be the first one is
// its share in the sum of the weights (weighted rendezvous hashing).
func Order(key string, targets []Target) []int {
	scores := make([]float64, len(targets))
	order := make([]int, len(targets))
	for i, t := range targets {
		scores[i], order[i] = -math.Log(uniform(key, t.Name))/t.Weight, i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	return order
}

// uniform maps a key and a name to a number above 0 and below 1.
func uniform(key, name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(name))
	return (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
}

// mix distributes the bits of a hash: those of FNV differ little between names that differ in their last byte. It is the finalizer of
// MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
