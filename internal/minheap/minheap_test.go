package minheap

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

type item struct{ key, index int }

// Guards against an item that leaves too early or too late, and against an index that does not name its item, through which
// another item would be removed. Items are added and removed at random and compared with a sorted list.
func TestHeapAgreesWithSorting(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	h := NewIndexed(func(a, b *item) bool { return a.key < b.key }, func(x *item, index int) { x.index = index })
	var all []*item
	for range 2000 {
		switch n := random.IntN(4); {
		case n < 2 || len(all) == 0:
			x := &item{key: random.IntN(100)}
			h.Push(x)
			all = append(all, x)
		case n == 2:
			x := all[random.IntN(len(all))]
			h.Remove(x.index)
			is.Equal(x.index, -1)
			all = slices.DeleteFunc(all, func(y *item) bool { return y == x })
		default:
			least := slices.MinFunc(all, func(a, b *item) int { return a.key - b.key })
			is.Equal(h.First().key, least.key)
			x := h.Pop()
			is.Equal(x.key, least.key)
			is.Equal(x.index, -1)
			all = slices.DeleteFunc(all, func(y *item) bool { return y == x })
		}
		is.Equal(h.Len(), len(all))
		for i, x := range h.Items() {
			is.Equal(x.index, i)
		}
	}
}
