package idempotency

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

const (
	// batchLimit bounds the proposals decided by one write.
	batchLimit = 1024
	// batchBytes bounds their size.
	batchBytes = 256 << 10
)

// waiting is a proposal that waits for its claim.
type waiting struct {
	proposal *api.ClaimProposal
	done     chan struct{}
	// claim and err are set before done is closed.
	claim *api.Claim
	err   error
}

func (w *waiting) end(c *api.Claim, err error) {
	w.claim, w.err = c, err
	close(w.done)
}

// batcher groups proposals: while one group is under way, all that come wait for the next.
type batcher struct {
	// flush ends every proposal of a group.
	flush func(ctx context.Context, group []*waiting)
	// pace waits until a group may be taken, if set.
	pace func(ctx context.Context)
	// base ends the work of groups.
	base context.Context
	work *sync.WaitGroup

	mu    sync.Mutex
	queue []*waiting
	busy  bool
}

// submit hands in proposals and waits for their claims until ctx ends. A proposal whose wait ended may still take effect.
func (b *batcher) submit(ctx context.Context, proposals ...*api.ClaimProposal) ([]*api.Claim, error) {
	list := make([]*waiting, len(proposals))
	for i, p := range proposals {
		list[i] = &waiting{proposal: p, done: make(chan struct{})}
	}
	b.add(list)
	out := make([]*api.Claim, len(list))
	for i, w := range list {
		select {
		case <-w.done:
		case <-ctx.Done():
			return nil, ambiguous(ctx.Err())
		}
		if w.err != nil {
			return nil, w.err
		}
		out[i] = w.claim
	}
	return out, nil
}

func (b *batcher) add(list []*waiting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, list...)
	if b.busy {
		return
	}
	b.busy = true
	b.work.Go(b.run)
}

func (b *batcher) run() {
	for b.more() {
		if b.pace != nil {
			b.pace(b.base)
		}
		b.flush(b.base, b.take())
	}
}

// more says whether proposals wait. If none do, the next one starts the work again.
func (b *batcher) more() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = len(b.queue) > 0
	return b.busy
}

// take returns the next group.
func (b *batcher) take() []*waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < batchLimit {
		size += proto.Size(b.queue[n].proposal)
		if n > 0 && size > batchBytes {
			break
		}
		n++
	}
	group := b.queue[:n:n]
	b.queue = b.queue[n:]
	return group
}

func endAll(group []*waiting, claims []*api.Claim, err error) {
	for i, w := range group {
		if err != nil {
			w.end(nil, err)
			continue
		}
		w.end(claims[i], nil)
	}
}

func proposalsOf(group []*waiting) []*api.ClaimProposal {
	out := make([]*api.ClaimProposal, len(group))
	for i, w := range group {
		out[i] = w.proposal
	}
	return out
}
