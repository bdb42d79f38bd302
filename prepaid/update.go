package prepaid

import (
	"context"
	"errors"

	"github.com/apex/log"

	"pumiceshelf/objectstore"
)

// resizeLeases sets the leases in the ledger to their next sizes and refuses the waiters that they cannot serve.
func (k *Keeper) resizeLeases(ctx context.Context) {
	customers := k.config.Customers()
	if len(customers) == 0 {
		return
	}
	for _, c := range customers {
		k.account(c)
	}
	if k.canSkipUpdate() {
		return
	}
	err := k.updateLedger(ctx)
	if errors.Is(err, objectstore.ErrConflict) {
		// The store is available, but other instances updated the ledger first. Waiters stay for the next attempt.
		k.config.Log.WithField("ledger_version", uint64(k.version)).Info("prepaid: ledger not updated: too many conflicts")
		k.recordStoreResult(nil)
		return
	}
	k.recordStoreResult(err)
	if err != nil && k.config.Borrow != nil {
		notify(k.borrowSignal)
		return
	}
	for _, a := range k.snapshotAccounts() {
		a.refuseWaiters(err == nil)
	}
}

// canSkipUpdate reports whether this instance needs no update of the ledger: another one is the token holder of the
// domain, no request waits, there is no surplus to release, and no update of unknown outcome is pending.
func (k *Keeper) canSkipUpdate() bool {
	if k.actsAsTokenHolder() || !k.ledgerKnown || k.fencePending {
		return false
	}
	for customer, a := range k.snapshotAccounts() {
		d := a.demand()
		if d.waiting > 0 || k.ledger.lease(customer, k.config.Incarnation) > 0 && d.limit-d.used > minLease/3 {
			return false
		}
	}
	return true
}

// updateLedger reads the ledger if necessary and writes the next leases. It retries after conflicts.
func (k *Keeper) updateLedger(ctx context.Context) error {
	if k.ledgerStale() {
		k.ledgerKnown = false
	}
	for range maxConflicts {
		if !k.ledgerKnown {
			if err := k.readLedger(ctx); err != nil {
				return err
			}
		}
		next, changed := k.planUpdate()
		if !changed {
			k.updateAccounts()
			return nil
		}
		err := k.writeLedger(ctx, next)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		k.conflicts.Inc(1)
	}
	return objectstore.ErrConflict
}

// ledgerStale reports whether the ledger must be read again: it is older than maxLedgerAge, or it is older than
// maxExhaustedAge and does not cover a waiter.
func (k *Keeper) ledgerStale() bool {
	age := k.config.Clock.Since(k.readAt)
	if age > maxLedgerAge {
		return true
	}
	if age <= maxExhaustedAge {
		return false
	}
	for _, a := range k.snapshotAccounts() {
		if a.hasUncoveredWaiter() {
			return true
		}
	}
	return false
}

// planUpdate returns the ledger with this instance's leases at their next sizes, and whether it changed. The limit of a
// shrinking lease is lowered before the ledger is written.
func (k *Keeper) planUpdate() (ledger, bool) {
	next := k.ledger.clone()
	next.message.Updates++
	changed := k.fencePending
	if !k.hasWritten {
		for customer, tokens := range next.closePredecessors(k.config.Incarnation) {
			changed = true
			k.parked.Inc(tokens)
			k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": tokens}).Info("prepaid: lease of an earlier incarnation closed")
		}
	}
	fillThreshold := refillFraction
	if !changed && k.config.Clock.Since(k.writtenAt) < minUpdateInterval && !k.needsResize(urgentFraction) {
		return next, false
	}
	if changed || k.needsResize(refillFraction) {
		// An update is due, so it fills up all leases.
		fillThreshold = 1
	}
	for customer, a := range k.snapshotAccounts() {
		if k.planLease(next, customer, a, fillThreshold) {
			changed = true
		}
	}
	return next, changed
}

// needsResize reports whether a lease is below the fraction fillThreshold of its target size, or far above it.
func (k *Keeper) needsResize(fillThreshold float64) bool {
	for customer, a := range k.snapshotAccounts() {
		if d, limit, ok := k.wantedLimit(customer, a, fillThreshold); ok && limit != d.limit {
			return true
		}
	}
	return false
}

// wantedLimit returns the state of an account and its next limit. It returns false for a customer without a prepaid
// total and for a lease that a later incarnation of this instance has closed.
func (k *Keeper) wantedLimit(customer string, a *account, fillThreshold float64) (demand, int64, bool) {
	prepaid, limited := k.config.PrepaidTotal(customer)
	d := a.demand()
	if !limited || d.limit != d.borrowed && !k.ledger.hasLease(customer, k.config.Incarnation) {
		return d, 0, false
	}
	keepAhead := k.actsAsTokenHolder()
	if !keepAhead && d.waiting == 0 && k.ledger.lease(customer, k.config.Incarnation) <= 0 {
		return d, d.limit, true
	}
	committed := k.ledger.committed(customer)
	share := trafficShare(d.limit, committed, k.config.TokenHolderCount())
	return d, nextLimit(d, max(prepaid-committed, 0), share, fillThreshold, keepAhead), true
}

// planLease sets one lease to its next size in the ledger next, and reports whether it changed. The limit of a shrinking
// lease is lowered at once.
func (k *Keeper) planLease(next ledger, customer string, a *account, fillThreshold float64) bool {
	d, limit, ok := k.wantedLimit(customer, a, fillThreshold)
	if !ok {
		return false
	}
	lease := limit - d.borrowed
	if limit < d.limit {
		lease = a.lowerLimit(limit)
	}
	if lease == k.ledger.lease(customer, k.config.Incarnation) {
		return false
	}
	prepaid, _ := k.config.PrepaidTotal(customer)
	next.setLease(customer, k.config.Incarnation, lease, prepaid)
	return true
}

// readLedger reads the ledger from the store without changing the accounts.
func (k *Keeper) readLedger(ctx context.Context) error {
	obj, err := k.config.Store.Get(ctx, LedgerKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		k.setLedger(newLedger(), 0)
		return nil
	}
	if err != nil {
		return err
	}
	return k.applyObject(obj)
}

// applyObject decodes a stored object and sets it as the current ledger.
func (k *Keeper) applyObject(obj objectstore.Object) error {
	l, err := decodeLedger(obj.Value)
	if err != nil {
		return err
	}
	k.setLedger(l, obj.Version)
	return nil
}

// setLedger sets the current ledger. A version past ambiguousVersion ends a pending fence.
func (k *Keeper) setLedger(l ledger, version objectstore.Version) {
	k.ledger, k.version, k.ledgerKnown, k.readAt = l, version, true, k.config.Clock.Now()
	k.fencePending = k.fencePending && version <= k.ambiguousVersion
}

// writeLedger replaces the ledger if it is still at the version that was read. An update without a response may still
// take effect, but only while the ledger is at the version that the update expected. Therefore the ledger is read again,
// and no lease grows from a read alone until another update has moved the ledger past that version.
func (k *Keeper) writeLedger(ctx context.Context, next ledger) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	version, err := k.config.Store.Put(ctx, LedgerKey, value, k.version)
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		k.setLedger(next, version)
		k.hasWritten, k.writtenAt = true, k.readAt
		k.updates.Inc(1)
		k.updateAccounts()
	case errors.As(err, &conflict):
		if applyErr := k.applyObject(conflict.Current); applyErr != nil {
			k.ledgerKnown = false
			return applyErr
		}
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrUnavailable):
		k.ledgerKnown = false
	default:
		k.ledgerKnown, k.fencePending, k.ambiguousVersion = false, true, k.version
	}
	return err
}

// updateAccounts applies the current ledger to the accounts. It is called only after a successful update or when none is
// needed, so a limit that was lowered for an update in progress stays low.
func (k *Keeper) updateAccounts() {
	for customer, a := range k.snapshotAccounts() {
		prepaid, _ := k.config.PrepaidTotal(customer)
		remaining := max(prepaid-k.ledger.committed(customer), 0)
		k.logLeaseChange(customer, a, remaining, prepaid)
		if !k.ledger.hasLease(customer, k.config.Incarnation) {
			// No lease was ever acquired, or a later incarnation of this instance has closed it.
			a.dropLease(remaining, k.readAt)
			continue
		}
		a.applyLease(k.ledger.lease(customer, k.config.Incarnation), remaining, k.readAt)
	}
	k.storeFailedAt.Store(0)
}

// logLeaseChange logs a lease that is about to change.
func (k *Keeper) logLeaseChange(customer string, a *account, remaining, prepaid int64) {
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

// recordStoreResult records the result of the last call to the store, and logs the start and the end of an outage.
func (k *Keeper) recordStoreResult(err error) {
	if err != nil {
		k.storeFailedAt.Store(k.config.Clock.Now().UnixNano())
	} else {
		k.storeFailedAt.Store(0)
	}
	if (err != nil) == k.outageLogged {
		return
	}
	k.outageLogged = err != nil
	entry := k.config.Log.WithField("ledger_version", uint64(k.version))
	if k.outageLogged {
		entry.WithError(err).Warn("prepaid: ledger unavailable")
	} else {
		entry.Info("prepaid: ledger available again")
	}
}
