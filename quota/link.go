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
	refresh     batcher[string]
	mirrors     batcher[mirrorCall]
	// mirrored numbers the mirror calls; only the mirrors batcher uses it.
	mirrored uint64
	// mirrorAfter is when the instance may be asked to mirror requests again, in Unix nanoseconds.
	mirrorAfter atomic.Int64
	// avoidUntil is when the instance may be asked for reservations again, in Unix nanoseconds.
	avoidUntil atomic.Int64
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
	l.refresh.send = l.sendRefresh
	l.mirrors.send = l.sendMirrors
	return l
}

// client returns a client with a context that bounds one call.
func (l *link) client(limit time.Duration) (api.DRPCBudgetPeerClient, context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(l.m.life, limit)
	conn, err := l.m.cfg.Conns.Conn(ctx, instance.Incarnation(l.incarnation))
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	return api.NewDRPCBudgetPeerClient(conn), ctx, cancel, nil
}

// avoided says whether the instance did not answer a moment ago.
func (l *link) avoided() bool { return l.m.cfg.Clock.Now().UnixNano() < l.avoidUntil.Load() }

func (l *link) avoid() { l.avoidUntil.Store(l.m.cfg.Clock.Now().Add(avoidFor).UnixNano()) }

// reserve sends an item with the next batch. It returns nil if the holder did not answer.
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
	results := l.callReserve(l.m.life, batch, callTimeout)
	for i, c := range calls {
		if results == nil {
			c.result <- nil
		} else {
			c.result <- results[i]
		}
	}
}

// reserveWaiting asks again for an item that has to wait at the holder.
func (l *link) reserveWaiting(ctx context.Context, item *api.ReserveItem, wait time.Duration) *api.ReserveItemResult {
	results := l.callReserve(ctx, &api.ReserveBatch{From: l.m.self, Items: []*api.ReserveItem{item}, Wait: true}, wait+callTimeout)
	if results == nil {
		return nil
	}
	return results[0]
}

func (l *link) callReserve(ctx context.Context, batch *api.ReserveBatch, limit time.Duration) []*api.ReserveItemResult {
	client, bounded, cancel, err := l.client(limit)
	if err != nil {
		l.avoid()
		return nil
	}
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	res, err := client.Reserve(bounded, batch)
	if err != nil || len(res.Results) != len(batch.Items) {
		if ctx.Err() == nil {
			l.avoid()
		}
		return nil
	}
	return res.Results
}

// sendSettles sends settlements; nil ones only ask how far records are durable.
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
		l.m.entry.failed(sent)
		return
	}
	l.m.entry.kept(sent, res)
	l.m.entry.durable(l.incarnation, res.DurableBelow)
}

func (l *link) callSettle(batch *api.SettleBatch) *api.SettleBatchResult {
	client, ctx, cancel, err := l.client(callTimeout)
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
	client, ctx, cancel, err := l.client(callTimeout)
	if err != nil {
		return
	}
	defer cancel()
	if _, err := client.Refresh(ctx, &api.RefreshRequest{Customers: customers}); err != nil {
		l.m.cfg.Log.Debugf("quota: refresh at %s: %v", l.incarnation, err)
	}
}
