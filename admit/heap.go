package admit

import "container/heap"

// indexHeap is a heap whose elements know their places in it, so that any of them can be moved or removed.
type indexHeap[T any] struct {
	items []T
	// before orders the elements.
	before func(a, b T) bool
	// place is where an element keeps its place, -1 when it is not in the heap.
	place func(T) *int
}

func (h *indexHeap[T]) Len() int           { return len(h.items) }
func (h *indexHeap[T]) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

func (h *indexHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
}

// Push implements heap.Interface; add is for callers.
func (h *indexHeap[T]) Push(x any) {
	*h.place(x.(T)) = len(h.items)
	h.items = append(h.items, x.(T))
}

// Pop implements heap.Interface; remove is for callers.
func (h *indexHeap[T]) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.place(x) = -1
	return x
}

// first returns the element that goes before all others. The heap is not empty.
func (h *indexHeap[T]) first() T { return h.items[0] }

func (h *indexHeap[T]) add(x T)    { heap.Push(h, x) }
func (h *indexHeap[T]) remove(x T) { heap.Remove(h, *h.place(x)) }

// fix restores the order after an element has changed, and rebuild after any have.
func (h *indexHeap[T]) fix(x T)  { heap.Fix(h, *h.place(x)) }
func (h *indexHeap[T]) rebuild() { heap.Init(h) }
