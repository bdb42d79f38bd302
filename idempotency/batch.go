package idempotency

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

const (
	// maxBatchProposals bounds the number of proposals that one write decides.
	maxBatchProposals = 1024
	// maxBatchBytes bounds the encoded size of those proposals.
	maxBatchBytes = 256 << 10
)

// proposalWaiter is a queued proposal whose sender waits for the resulting claim.
type proposalWaiter struct {
	proposal *api.ClaimProposal
	done     chan struct{}
	// claim and err are set before done is closed and not changed afterwards.
	claim *api.Claim
	err   error
}

func (w *proposalWaiter) complete(c *api.Claim, err error) {
	w.claim, w.err = c, err
	close(w.done)
}

// batcher collects proposals into batches. Proposals that arrive while a batch is being decided are queued for a later one.
type batcher struct {
	// flush decides a batch and completes every proposal in it.
	flush func(ctx context.Context, batch []*proposalWaiter)
	// throttle waits until the next batch may be decided. It may be nil.
	throttle func(ctx context.Context)
	// baseCtx ends the background work when it is canceled.
	baseCtx context.Context
	// wg counts the background goroutine.
	wg *sync.WaitGroup

	mu    sync.Mutex
	queue []*proposalWaiter
	// busy is set while a goroutine works on the queue.
	busy bool
}

// submit queues proposals and waits for their claims until ctx ends. It returns errAmbiguous if ctx ends first, because
// the proposals may still take effect.
func (b *batcher) submit(ctx context.Context, proposals ...*api.ClaimProposal) ([]*api.Claim, error) {
	waiters := make([]*proposalWaiter, len(proposals))
	for i, p := range proposals {
		waiters[i] = &proposalWaiter{proposal: p, done: make(chan struct{})}
	}
	b.enqueue(waiters)
	out := make([]*api.Claim, len(waiters))
	for i, w := range waiters {
		select {
		case <-w.done:
		case <-ctx.Done():
			return nil, wrapAmbiguous(ctx.Err())
		}
		if w.err != nil {
			return nil, w.err
		}
		out[i] = w.claim
	}
	return out, nil
}

func (b *batcher) enqueue(waiters []*proposalWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, waiters...)
	if b.busy {
		return
	}
	b.busy = true
	b.wg.Go(b.run)
}

func (b *batcher) run() {
	for b.hasNext() {
		if b.throttle != nil {
			b.throttle(b.baseCtx)
		}
		b.flush(b.baseCtx, b.nextBatch())
	}
}

// hasNext reports whether proposals are queued. If none are, it marks the batcher as idle, so that the next proposal
// starts a new goroutine.
func (b *batcher) hasNext() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = len(b.queue) > 0
	return b.busy
}

// nextBatch removes the next batch from the queue, within the limits of count and size. It has at least one proposal.
func (b *batcher) nextBatch() []*proposalWaiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < maxBatchProposals {
		size += proto.Size(b.queue[n].proposal)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	return batch
}

// completeAll completes every proposal of a batch with its claim, or with err if it is not nil.
func completeAll(batch []*proposalWaiter, claims []*api.Claim, err error) {
	for i, w := range batch {
		if err != nil {
			w.complete(nil, err)
			continue
		}
		w.complete(claims[i], nil)
	}
}

func proposalsOf(batch []*proposalWaiter) []*api.ClaimProposal {
	out := make([]*api.ClaimProposal, len(batch))
	for i, w := range batch {
		out[i] = w.proposal
	}
	return out
}
