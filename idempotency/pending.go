package idempotency

import (
	"context"
	"sync"
	"time"

	"pumiceshelf/api"
)

const (
	// pendingLimit bounds the outcomes that wait to be made durable.
	pendingLimit = 4096
	// pendingRound bounds those tried at once.
	pendingRound = 256
	// pendingFirst and pendingLast bound the wait between tries.
	pendingFirst = 100 * time.Millisecond
	pendingLast  = 5 * time.Second
)

// pending holds outcomes that are made durable in the background.
type pending struct {
	keeper *Keeper
	wake   chan struct{}

	mu    sync.Mutex
	list  []*api.ClaimProposal
	idle  chan struct{}
	inUse int
}

func newPending(k *Keeper) *pending {
	idle := make(chan struct{})
	close(idle)
	return &pending{keeper: k, wake: make(chan struct{}, 1), idle: idle}
}

// add hands in an outcome. The oldest is dropped when too many wait; its key's claim then stays as it is.
func (p *pending) add(proposal *api.ClaimProposal) {
	p.mu.Lock()
	if len(p.list) == pendingLimit {
		p.list = p.list[1:]
		p.keeper.count.pendingLost.Inc(1)
	}
	if len(p.list)+p.inUse == 0 {
		p.idle = make(chan struct{})
	}
	p.list = append(p.list, proposal)
	p.mu.Unlock()
	p.report()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pending) report() { p.keeper.count.pending.Update(int64(p.size())) }

func (p *pending) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list) + p.inUse
}

// drain waits until nothing is pending.
func (p *pending) drain(ctx context.Context) error {
	p.mu.Lock()
	idle := p.idle
	p.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run works until ctx ends.
func (p *pending) run(ctx context.Context) {
	wait := pendingFirst
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.size() > 0 {
			if p.round(ctx) {
				wait = pendingFirst
				continue
			}
			if !p.keeper.sleep(ctx, jitter(wait)) {
				return
			}
			wait = min(2*wait, pendingLast)
		}
	}
}

// round tries the oldest outcomes side by side and returns whether all are durable.
func (p *pending) round(ctx context.Context) bool {
	list := p.take()
	failed := make([]bool, len(list))
	var tries sync.WaitGroup
	for i, proposal := range list {
		tries.Go(func() { failed[i] = p.keeper.settle(ctx, proposal) != nil })
	}
	tries.Wait()
	return p.giveBack(list, failed)
}

func (p *pending) take() []*api.ClaimProposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(pendingRound, len(p.list))
	out := p.list[:n:n]
	p.list = p.list[n:]
	p.inUse = n
	return out
}

// giveBack puts the outcomes that failed back in front and returns whether there are none.
func (p *pending) giveBack(list []*api.ClaimProposal, failed []bool) bool {
	defer p.report()
	p.mu.Lock()
	defer p.mu.Unlock()
	var again []*api.ClaimProposal
	for i, proposal := range list {
		if failed[i] {
			again = append(again, proposal)
		}
	}
	p.list = append(again, p.list...)
	p.inUse = 0
	if len(p.list) == 0 {
		close(p.idle)
	}
	return len(again) == 0
}

// settle makes one outcome durable, with the issuer for a key that was issued, else with the platform.
func (k *Keeper) settle(ctx context.Context, p *api.ClaimProposal) error {
	ctx, cancel := k.within(ctx, k.claimWait())
	defer cancel()
	if p.GetIssued() == nil {
		_, err := k.proposeDurable(ctx, p)
		return err
	}
	_, err := k.proposeIssued(ctx, p)
	if err != nil && !k.live(issuerOf(p)) {
		return nil
	}
	return err
}
