// Package minheap is container/heap with types: a heap of items, the smallest first.
package minheap

import "container/heap"

// Heap is a heap of items. The zero value is not usable; see New and NewIndexed.
type Heap[T any] struct{ s storage[T] }

// New returns an empty heap. before reports whether a comes before b.
func New[T any](before func(a, b T) bool) *Heap[T] {
	return NewIndexed(before, func(T, int) {})
}

// NewIndexed returns an empty heap that calls moved when the index of an item changes, with -1 when the item leaves the heap.
func NewIndexed[T any](before func(a, b T) bool, moved func(x T, index int)) *Heap[T] {
	return &Heap[T]{storage[T]{before: before, moved: moved}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.s.items) }

// First returns the smallest item of a heap that is not empty.
func (h *Heap[T]) First() T { return h.s.items[0] }

// Items returns the items in the order of their indexes. Callers must not change them.
func (h *Heap[T]) Items() []T { return h.s.items }

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.s, x) }

// Pop removes and returns the smallest item of a heap that is not empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.s).(T) }

// Remove removes the item at an index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.s, index) }

// storage implements heap.Interface.
type storage[T any] struct {
	items  []T
	before func(a, b T) bool
	moved  func(x T, index int)
}

// Len implements heap.Interface.
func (s *storage[T]) Len() int { return len(s.items) }

// Less implements heap.Interface.
func (s *storage[T]) Less(a, b int) bool { return s.before(s.items[a], s.items[b]) }

// Swap implements heap.Interface.
func (s *storage[T]) Swap(a, b int) {
	s.items[a], s.items[b] = s.items[b], s.items[a]
	s.moved(s.items[a], a)
	s.moved(s.items[b], b)
}

// Push implements heap.Interface.
func (s *storage[T]) Push(x any) {
	s.items = append(s.items, x.(T))
	s.moved(x.(T), len(s.items)-1)
}

// Pop implements heap.Interface.
func (s *storage[T]) Pop() any {
	last := len(s.items) - 1
	x := s.items[last]
	var none T
	s.items[last] = none // so that the item can be freed
	s.items = s.items[:last]
	s.moved(x, -1)
	return x
}
