package prepaid

import (
	"context"
	"errors"

	"github.com/apex/log"

	"pumiceshelf/objectstore"
)

// round brings the leases in the ledger to their next sizes and ends waiters that cannot be served.
func (k *Keeper) round(ctx context.Context) {
	customers := k.config.Customers()
	if len(customers) == 0 {
		return
	}
	for _, c := range customers {
		k.account(c)
	}
	if k.rests() {
		return
	}
	err := k.update(ctx)
	if errors.Is(err, objectstore.ErrConflict) {
		// The store answers, other instances were faster. Waiters wait for the next round.
		k.config.Log.WithField("ledger_version", uint64(k.version)).Info("prepaid: ledger not updated, others were faster")
		k.note(nil)
		return
	}
	k.note(err)
	if err != nil && k.config.Borrow != nil {
		wake(k.borrow)
		return
	}
	for _, a := range k.snapshot() {
		a.refuse(err == nil)
	}
}

// rests says whether the ledger is none of this instance's business: another one holds the domain's tokens, no request
// waits, and there is nothing to give back or to make good.
func (k *Keeper) rests() bool {
	if k.holds() || !k.known || k.fenced {
		return false
	}
	for customer, a := range k.snapshot() {
		d := a.demand()
		if d.waiting > 0 || k.ledger.lease(customer, k.config.Incarnation) > 0 && d.limit-d.used > smallestLease/3 {
			return false
		}
	}
	return true
}

func (k *Keeper) update(ctx context.Context) error {
	if k.outdated() {
		k.known = false
	}
	for range conflictLimit {
		if !k.known {
			if err := k.read(ctx); err != nil {
				return err
			}
		}
		next, changed := k.plan()
		if !changed {
			k.adopt()
			return nil
		}
		err := k.write(ctx, next)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		k.conflicts.Inc(1)
	}
	return objectstore.ErrConflict
}

// outdated says whether the ledger must be read again: it is old, or it would refuse a waiter and is not fresh.
func (k *Keeper) outdated() bool {
	age := k.config.Clock.Since(k.readAt)
	if age > rereadAfter {
		return true
	}
	if age <= freshFor {
		return false
	}
	for _, a := range k.snapshot() {
		if a.short() {
			return true
		}
	}
	return false
}

// plan returns the ledger with this instance's leases at their next sizes. A lease that shrinks is lowered at once.
func (k *Keeper) plan() (ledger, bool) {
	next := k.ledger.clone()
	next.message.Updates++
	changed := k.fenced
	if !k.started {
		for customer, tokens := range next.closePredecessors(k.config.Incarnation) {
			changed = true
			k.parked.Inc(tokens)
			k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": tokens}).Info("prepaid: lease of an earlier start closed")
		}
	}
	fill := refillAt
	if !changed && k.config.Clock.Since(k.writtenAt) < updateInterval && !k.needed(urgentAt) {
		return next, false
	}
	if changed || k.needed(refillAt) {
		// An update is due, so that all leases are filled up with it.
		fill = 1
	}
	for customer, a := range k.snapshot() {
		if k.resize(next, customer, a, fill) {
			changed = true
		}
	}
	return next, changed
}

// needed says whether a lease is below the part fill of its wanted size, or far above it.
func (k *Keeper) needed(fill float64) bool {
	for customer, a := range k.snapshot() {
		if d, limit, ok := k.size(customer, a, fill); ok && limit != d.limit {
			return true
		}
	}
	return false
}

// size returns what an account's limit should be. It is not ok for customers without a budget and for leases that a later
// start of this instance has closed.
func (k *Keeper) size(customer string, a *account, fill float64) (demand, int64, bool) {
	prepaid, limited := k.config.Prepaid(customer)
	d := a.demand()
	if !limited || d.limit != d.borrowed && !k.ledger.holds(customer, k.config.Incarnation) {
		return d, 0, false
	}
	ahead := k.holds()
	if !ahead && d.waiting == 0 && k.ledger.lease(customer, k.config.Incarnation) <= 0 {
		return d, d.limit, true
	}
	handedOut := k.ledger.handedOut(customer)
	share := trafficShare(d.limit, handedOut, k.config.Holders())
	return d, nextLimit(d, max(prepaid-handedOut, 0), share, fill, ahead), true
}

// resize brings one lease to its next size in a ledger. A lease that shrinks is lowered at once.
func (k *Keeper) resize(next ledger, customer string, a *account, fill float64) bool {
	d, limit, ok := k.size(customer, a, fill)
	if !ok {
		return false
	}
	lease := limit - d.borrowed
	if limit < d.limit {
		lease = a.lower(limit)
	}
	if lease == k.ledger.lease(customer, k.config.Incarnation) {
		return false
	}
	prepaid, _ := k.config.Prepaid(customer)
	next.setLease(customer, k.config.Incarnation, lease, prepaid)
	return true
}

// read takes in the ledger as it is.
func (k *Keeper) read(ctx context.Context) error {
	obj, err := k.config.Store.Get(ctx, LedgerKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		k.set(newLedger(), 0)
		return nil
	}
	if err != nil {
		return err
	}
	return k.take(obj)
}

func (k *Keeper) take(obj objectstore.Object) error {
	l, err := decodeLedger(obj.Value)
	if err != nil {
		return err
	}
	k.set(l, obj.Version)
	return nil
}

func (k *Keeper) set(l ledger, version objectstore.Version) {
	k.ledger, k.version, k.known, k.readAt = l, version, true, k.config.Clock.Now()
	k.fenced = k.fenced && version <= k.unsettled
}

// write replaces the ledger if it is still at the version read. After a lost answer the update may still be under way. It
// can take effect only while the ledger is at the version that it expected, so the ledger is read, and no lease grows
// by reading alone until another update has moved it past that version.
func (k *Keeper) write(ctx context.Context, next ledger) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	version, err := k.config.Store.Put(ctx, LedgerKey, value, k.version)
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		k.set(next, version)
		k.started, k.writtenAt = true, k.readAt
		k.updates.Inc(1)
		k.adopt()
	case errors.As(err, &conflict):
		if takeErr := k.take(conflict.Current); takeErr != nil {
			k.known = false
			return takeErr
		}
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrUnavailable):
		k.known = false
	default:
		k.known, k.fenced, k.unsettled = false, true, k.version
	}
	return err
}

// adopt passes the ledger on to the accounts. A lease that is being lowered stays low until the ledger says so too.
func (k *Keeper) adopt() {
	for customer, a := range k.snapshot() {
		prepaid, _ := k.config.Prepaid(customer)
		remaining := max(prepaid-k.ledger.handedOut(customer), 0)
		k.logLease(customer, a, remaining, prepaid)
		if !k.ledger.holds(customer, k.config.Incarnation) {
			// Nothing was ever taken, or a later start of this instance has closed the lease.
			a.freeze(remaining, k.readAt)
			continue
		}
		a.adopt(k.ledger.lease(customer, k.config.Incarnation), remaining, k.readAt)
	}
	k.failing.Store(0)
}

// logLease writes a line when a lease is about to change.
func (k *Keeper) logLease(customer string, a *account, remaining, prepaid int64) {
	d := a.demand()
	limit := k.ledger.lease(customer, k.config.Incarnation) + d.borrowed
	if limit == d.limit {
		return
	}
	k.config.Log.WithFields(log.Fields{
		"customer": customer, "limit": limit, "before": d.limit, "used": d.used, "remaining": remaining, "prepaid": prepaid,
		"tokens_per_s": int64(d.ratePerSecond), "ledger_version": uint64(k.version),
	}).Info("prepaid: lease changed")
}

func (k *Keeper) note(err error) {
	if err != nil {
		k.failing.Store(k.config.Clock.Now().UnixNano())
	} else {
		k.failing.Store(0)
	}
	if (err != nil) == k.away {
		return
	}
	k.away = err != nil
	entry := k.config.Log.WithField("ledger_version", uint64(k.version))
	if k.away {
		entry.WithError(err).Warn("prepaid: ledger lost")
	} else {
		entry.Info("prepaid: ledger regained")
	}
}
