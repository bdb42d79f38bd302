package quota

import "sync"

// batcher sends items to one place. While a send is under way it collects the items that come, and sends them together
// next; an idle batcher sends at once. It is safe for concurrent use.
type batcher[T any] struct {
	send func([]T)

	mu    sync.Mutex
	queue []T
	busy  bool
}

// add queues an item and returns at once.
func (b *batcher[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, item)
	if !b.busy {
		b.busy = true
		go b.run()
	}
}

func (b *batcher[T]) run() {
	for {
		items := b.take()
		if items == nil {
			return
		}
		b.send(items)
	}
}

func (b *batcher[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.busy = false
		return nil
	}
	n := min(len(b.queue), batchLimit)
	items := b.queue[:n:n]
	b.queue = b.queue[n:]
	return items
}
