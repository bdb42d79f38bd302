package quota

import "sync"

// batcher sends items to one destination. Items added during a send are collected and sent together afterwards; an idle
// batcher sends immediately. It is safe for concurrent use.
type batcher[T any] struct {
	send func([]T)

	mu      sync.Mutex
	queue   []T
	sending bool
}

// add queues an item without waiting for it to be sent.
func (b *batcher[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, item)
	if !b.sending {
		b.sending = true
		go b.run()
	}
}

func (b *batcher[T]) run() {
	for {
		items := b.nextBatch()
		if items == nil {
			return
		}
		b.send(items)
	}
}

func (b *batcher[T]) nextBatch() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.sending = false
		return nil
	}
	n := min(len(b.queue), maxBatchItems)
	items := b.queue[:n:n]
	b.queue = b.queue[n:]
	return items
}
