package quota

import (
	"context"
	"sync/atomic"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// link batches this instance's calls to another one.
type link struct {
	m           *Manager
	incarnation string
	reserves    batcher[*reserveCall]
	settles     batcher[*delivery]
	acks        batcher[*ackCall]
	refreshes   batcher[string]
	mirrors     batcher[mirrorCall]
	// mirrorSequence numbers the mirror calls; only the mirrors batcher uses it.
	mirrorSequence uint64
	// mirrorAfter is the time before which no request is mirrored at the instance, in Unix nanoseconds.
	mirrorAfter atomic.Int64
	// reserveAfter is the time before which no reservation is sent to the instance, in Unix nanoseconds.
	reserveAfter atomic.Int64
}

type reserveCall struct {
	item   *api.ReserveItem
	result chan *api.ReserveItemResult
}

func newLink(m *Manager, incarnation string) *link {
	l := &link{m: m, incarnation: incarnation}
	l.reserves.send = l.sendReserves
	l.settles.send = l.sendSettles
	l.acks.send = l.sendAcks
	l.refreshes.send = l.sendRefresh
	l.mirrors.send = l.sendMirrors
	return l
}

// client returns a client and a context that bounds one call.
func (l *link) client(timeout time.Duration) (api.DRPCBudgetPeerClient, context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(l.m.backgroundCtx, timeout)
	conn, err := l.m.cfg.Conns.Conn(ctx, instance.Incarnation(l.incarnation))
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	return api.NewDRPCBudgetPeerClient(conn), ctx, cancel, nil
}

// backingOff reports whether reservations at the instance are suspended after a failed call.
func (l *link) backingOff() bool { return l.m.cfg.Clock.Now().UnixNano() < l.reserveAfter.Load() }

func (l *link) backOff() { l.reserveAfter.Store(l.m.cfg.Clock.Now().Add(holderBackoff).UnixNano()) }

// reserve sends an item with the next batch. It returns nil if the holder did not respond.
func (l *link) reserve(ctx context.Context, item *api.ReserveItem) *api.ReserveItemResult {
	c := &reserveCall{item: item, result: make(chan *api.ReserveItemResult, 1)}
	l.reserves.add(c)
	select {
	case r := <-c.result:
		return r
	case <-ctx.Done():
		return nil
	}
}

func (l *link) sendReserves(calls []*reserveCall) {
	batch := &api.ReserveBatch{From: l.m.self}
	for _, c := range calls {
		batch.Items = append(batch.Items, c.item)
	}
	results := l.callReserve(l.m.backgroundCtx, batch, peerCallTimeout)
	for i, c := range calls {
		if results == nil {
			c.result <- nil
		} else {
			c.result <- results[i]
		}
	}
}

// reserveWaiting sends an item again on its own, so that it waits at the holder.
func (l *link) reserveWaiting(ctx context.Context, item *api.ReserveItem, wait time.Duration) *api.ReserveItemResult {
	results := l.callReserve(ctx, &api.ReserveBatch{From: l.m.self, Items: []*api.ReserveItem{item}, Wait: true}, wait+peerCallTimeout)
	if results == nil {
		return nil
	}
	return results[0]
}

func (l *link) callReserve(ctx context.Context, batch *api.ReserveBatch, timeout time.Duration) []*api.ReserveItemResult {
	client, bounded, cancel, err := l.client(timeout)
	if err != nil {
		l.backOff()
		return nil
	}
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	res, err := client.Reserve(bounded, batch)
	if err != nil || len(res.Results) != len(batch.Items) {
		if ctx.Err() == nil {
			l.backOff()
		}
		return nil
	}
	return res.Results
}

// sendSettles sends settlements. A nil item only requests the holder's durable sequence.
func (l *link) sendSettles(all []*delivery) {
	batch := &api.SettleBatch{From: l.m.self}
	sent := make([]*delivery, 0, len(all))
	for _, d := range all {
		if d != nil {
			sent = append(sent, d)
			batch.Items = append(batch.Items, d.item)
		}
	}
	res := l.callSettle(batch)
	if res == nil {
		l.m.requests.markFailed(sent)
		return
	}
	l.m.requests.handleAccepted(sent, res)
	l.m.requests.removeDurable(l.incarnation, res.DurableBelow)
}

func (l *link) callSettle(batch *api.SettleBatch) *api.SettleBatchResult {
	client, ctx, cancel, err := l.client(peerCallTimeout)
	if err != nil {
		return nil
	}
	defer cancel()
	res, err := client.Settle(ctx, batch)
	if err != nil || len(res.Outcomes) != len(batch.Items) {
		return nil
	}
	return res
}

func (l *link) sendRefresh(customers []string) {
	client, ctx, cancel, err := l.client(peerCallTimeout)
	if err != nil {
		return
	}
	defer cancel()
	if _, err := client.Refresh(ctx, &api.RefreshRequest{Customers: customers}); err != nil {
		l.m.cfg.Log.Debugf("quota: refresh at %s: %v", l.incarnation, err)
	}
}
