package idempotency

import (
	"context"
	"sync"
	"time"

	"pumiceshelf/api"
)

const (
	// maxPendingOutcomes bounds the outcomes that wait to be made durable.
	maxPendingOutcomes = 4096
	// maxPendingBatch bounds the outcomes that are written concurrently.
	maxPendingBatch = 256
	// minPendingBackoff and maxPendingBackoff bound the wait between attempts.
	minPendingBackoff = 100 * time.Millisecond
	maxPendingBackoff = 5 * time.Second
)

// pendingOutcomes writes outcomes in the background that are not durable yet.
type pendingOutcomes struct {
	manager *Manager
	// addedSignal receives a value when an outcome was added.
	addedSignal chan struct{}

	mu    sync.Mutex
	queue []*api.ClaimProposal
	// drained is closed while no outcome is pending.
	drained chan struct{}
	// inFlight counts outcomes that are being written and are not in queue.
	inFlight int
}

func newPendingOutcomes(m *Manager) *pendingOutcomes {
	drained := make(chan struct{})
	close(drained)
	return &pendingOutcomes{manager: m, addedSignal: make(chan struct{}, 1), drained: drained}
}

// add queues an outcome. If the queue is full, the oldest outcome is dropped; the claim of its key then does not change.
func (p *pendingOutcomes) add(proposal *api.ClaimProposal) {
	p.mu.Lock()
	if len(p.queue)+p.inFlight == 0 {
		p.drained = make(chan struct{})
	}
	p.queue = append(p.queue, proposal)
	p.dropOldest()
	p.mu.Unlock()
	p.updateGauge()
	select {
	case p.addedSignal <- struct{}{}:
	default:
	}
}

// dropOldest drops the outcomes beyond the limit. p.mu must be held.
func (p *pendingOutcomes) dropOldest() {
	if excess := len(p.queue) - maxPendingOutcomes; excess > 0 {
		p.queue = p.queue[excess:]
		p.manager.counters.pendingDropped.Inc(int64(excess))
	}
}

func (p *pendingOutcomes) updateGauge() { p.manager.counters.pending.Update(int64(p.size())) }

func (p *pendingOutcomes) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) + p.inFlight
}

// drain waits until no outcome is pending or ctx ends.
func (p *pendingOutcomes) drain(ctx context.Context) error {
	p.mu.Lock()
	drained := p.drained
	p.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run writes queued outcomes until ctx ends.
func (p *pendingOutcomes) run(ctx context.Context) {
	backoff := minPendingBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.addedSignal:
		}
		for p.size() > 0 {
			if p.writeBatch(ctx) {
				backoff = minPendingBackoff
				continue
			}
			if !p.manager.sleep(ctx, jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, maxPendingBackoff)
		}
	}
}

// writeBatch writes the oldest outcomes concurrently and reports whether all are durable now.
func (p *pendingOutcomes) writeBatch(ctx context.Context) bool {
	batch := p.takeBatch()
	failed := make([]bool, len(batch))
	var attempts sync.WaitGroup
	for i, proposal := range batch {
		attempts.Go(func() { failed[i] = p.manager.writeOutcome(ctx, proposal) != nil })
	}
	attempts.Wait()
	return p.requeueFailed(batch, failed)
}

// takeBatch removes the oldest outcomes from the queue and counts them as in flight.
func (p *pendingOutcomes) takeBatch() []*api.ClaimProposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(maxPendingBatch, len(p.queue))
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	p.inFlight = n
	return out
}

// requeueFailed puts the outcomes that failed back at the front of the queue and reports whether there were none.
func (p *pendingOutcomes) requeueFailed(batch []*api.ClaimProposal, failed []bool) bool {
	defer p.updateGauge()
	p.mu.Lock()
	defer p.mu.Unlock()
	var retries []*api.ClaimProposal
	for i, proposal := range batch {
		if failed[i] {
			retries = append(retries, proposal)
		}
	}
	p.queue = append(retries, p.queue...)
	p.dropOldest()
	p.inFlight = 0
	if len(p.queue) == 0 {
		close(p.drained)
	}
	return len(retries) == 0
}

// writeOutcome records one outcome: with the issuer for an issued key, otherwise in the object store. An outcome whose
// issuer is not live is discarded, because no other instance decides the key.
func (m *Manager) writeOutcome(ctx context.Context, p *api.ClaimProposal) error {
	ctx, cancel := m.withTimeout(ctx, m.claimWait())
	defer cancel()
	if p.GetIssued() == nil {
		_, err := m.proposeDurable(ctx, p)
		return err
	}
	_, err := m.proposeIssued(ctx, p)
	if err != nil && !m.isLive(issuerOf(p)) {
		return nil
	}
	return err
}
