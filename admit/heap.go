package admit

import "container/heap"

// indexHeap is a heap whose elements store their index, so that any element can be moved or removed.
type indexHeap[T any] struct {
	items []T
	// before reports whether a sorts before b.
	before func(a, b T) bool
	// indexOf returns a pointer to the index of an element. The index is -1 when the element is not in the heap.
	indexOf func(T) *int
}

func (h *indexHeap[T]) Len() int           { return len(h.items) }
func (h *indexHeap[T]) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

func (h *indexHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]) = i
	*h.indexOf(h.items[j]) = j
}

// Push implements heap.Interface. Callers use add.
func (h *indexHeap[T]) Push(x any) {
	*h.indexOf(x.(T)) = len(h.items)
	h.items = append(h.items, x.(T))
}

// Pop implements heap.Interface. Callers use remove.
func (h *indexHeap[T]) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.indexOf(x) = -1
	return x
}

// first returns the first element. The heap must not be empty.
func (h *indexHeap[T]) first() T { return h.items[0] }

func (h *indexHeap[T]) add(x T)    { heap.Push(h, x) }
func (h *indexHeap[T]) remove(x T) { heap.Remove(h, *h.indexOf(x)) }

// fix restores the heap order after one element has changed; rebuild does so after any number of changes.
func (h *indexHeap[T]) fix(x T)  { heap.Fix(h, *h.indexOf(x)) }
func (h *indexHeap[T]) rebuild() { heap.Init(h) }
