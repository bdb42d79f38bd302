package prepaid

import (
	"context"
	"errors"

	"github.com/apex/log"

	"pumiceshelf/objectstore"
)

// resizeLeases sets the leases in the ledger to their next sizes and refuses the waiters that they cannot serve.
func (m *Manager) resizeLeases(ctx context.Context) {
	customers := m.config.Customers()
	if len(customers) == 0 {
		return
	}
	for _, c := range customers {
		m.account(c)
	}
	if m.canSkipUpdate() {
		m.returnIdle()
		return
	}
	err := m.updateLedger(ctx)
	if errors.Is(err, objectstore.ErrConflict) {
		// The store is available, but other instances updated the ledger first. Waiters stay for the next attempt.
		m.config.Log.WithField("ledger_version", uint64(m.version)).Info("prepaid: ledger not updated: too many conflicts")
		m.recordStoreResult(nil)
		return
	}
	m.recordStoreResult(err)
	if err != nil && m.config.Borrow != nil {
		notify(m.borrowSignal)
		return
	}
	for _, a := range m.snapshotAccounts() {
		a.refuseWaiters(err == nil && m.ledger.settled())
	}
}

// canSkipUpdate reports whether this instance needs no update of the ledger: another one is the token holder of the
// domain, no request waits, there is no surplus to release, and no update of unknown outcome is pending.
func (m *Manager) canSkipUpdate() bool {
	if m.actsAsTokenHolder() || !m.ledgerKnown || m.fencePending || m.restated || m.known != nil || m.newEra() || m.needsWitnesses(m.ledger) || m.closesWitnessed() {
		return false
	}
	for customer, a := range m.snapshotAccounts() {
		d := a.demand()
		if d.waiting > 0 || m.ledger.lease(customer, m.config.Incarnation) > 0 && d.limit-d.used > minLease/3 {
			return false
		}
	}
	return true
}

// updateLedger reads the ledger if necessary and writes the next leases. It retries after conflicts.
func (m *Manager) updateLedger(ctx context.Context) error {
	if m.ledgerStale() || m.newEra() {
		m.ledgerKnown = false
	}
	for range maxConflicts {
		if !m.ledgerKnown {
			if err := m.readLedger(ctx); err != nil {
				return err
			}
		}
		next, changed := m.planUpdate()
		if !changed {
			m.updateAccounts()
			return nil
		}
		err := m.writeLedger(ctx, next)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		m.conflicts.Inc(1)
	}
	return objectstore.ErrConflict
}

// ledgerStale reports whether the ledger must be read again: it is older than maxLedgerAge, or it is older than
// maxExhaustedAge and does not cover a waiter.
func (m *Manager) ledgerStale() bool {
	age := m.config.Clock.Since(m.readAt)
	if age > maxLedgerAge || age > unsettledAge && !m.ledger.settled() {
		return true
	}
	if age <= maxExhaustedAge {
		return false
	}
	for _, a := range m.snapshotAccounts() {
		if a.hasUncoveredWaiter() {
			return true
		}
	}
	return false
}

// planUpdate returns the ledger with this instance's leases at their next sizes, and whether it changed. The limit of a
// shrinking lease is lowered before the ledger is written.
func (m *Manager) planUpdate() (ledger, bool) {
	next := m.ledger.clone()
	next.message.Updates++
	m.closing, m.settling = nil, nil
	changed := m.fencePending || m.restated || m.known != nil || m.needsWitnesses(next)
	if m.restated || next.listsHolder(string(m.config.Incarnation)) {
		next.confirm(m.config.Incarnation)
	}
	if m.settle(next) && (m.actsAsTokenHolder() || m.hasWaiters()) {
		changed = true
	}
	// A lease that its holder has not confirmed may be smaller than what was spent.
	m.closesPredecessors = !m.predecessorsClosed && next.settled() && !m.awaitsSeals(next)
	if m.closesPredecessors {
		m.closingUnspent = next.predecessorsUnspent(m.config.Incarnation)
		m.closingUnknown = len(next.witnessedPredecessors(m.config.Incarnation))
		used := m.usedByPredecessors(next)
		m.closingUnknown -= len(used)
		m.closing, m.closingSaved = next.closePredecessors(m.config.Incarnation, used)
		m.closingUnspent = max(m.closingUnspent-m.closingSaved, 0)
		// Closing at the whole size changes what nobody can spend, so it waits for another reason to write unless this instance writes often.
		changed = changed || len(m.closing) > 0 && (m.closingSaved > 0 || m.actsAsTokenHolder())
	}
	fillThreshold := refillFraction
	if !changed && m.config.Clock.Since(m.writtenAt) < minUpdateInterval && !m.needsResize(urgentFraction) {
		return next, false
	}
	if changed || m.needsResize(refillFraction) {
		// An update is due, so it fills up all leases.
		fillThreshold = 1
	}
	for customer, a := range m.snapshotAccounts() {
		if m.planLease(next, customer, a, fillThreshold) {
			next.confirm(m.config.Incarnation)
			changed = true
		}
	}
	if changed && m.config.ReportParked {
		m.writeUnspent(next)
	}
	if changed {
		m.planWitnesses(next)
	}
	return next, changed
}

// hasWaiters reports whether a request waits for tokens.
func (m *Manager) hasWaiters() bool {
	for _, a := range m.snapshotAccounts() {
		if a.demand().waiting > 0 {
			return true
		}
	}
	return false
}

// needsResize reports whether a lease is below the fraction fillThreshold of its target size, or far above it.
func (m *Manager) needsResize(fillThreshold float64) bool {
	for customer, a := range m.snapshotAccounts() {
		if d, limit, ok := m.wantedLimit(customer, a, fillThreshold); ok && limit != d.limit {
			return true
		}
	}
	return false
}

// wantedLimit returns the state of an account and its next limit. It returns false for a customer without a prepaid
// total and for a lease that a later incarnation of this instance has closed.
func (m *Manager) wantedLimit(customer string, a *account, fillThreshold float64) (demand, int64, bool) {
	prepaid, limited := m.config.PrepaidTotal(customer)
	d := a.demand()
	if !limited || d.limit != d.borrowed && !m.ledger.hasLease(customer, m.config.Incarnation) {
		return d, 0, false
	}
	ahead := m.aheadMode()
	if ahead == aheadNone && d.waiting == 0 && m.ledger.lease(customer, m.config.Incarnation) <= 0 {
		return d, d.limit, true
	}
	committed := m.ledger.committed(customer)
	holders := m.config.TokenHolderCount()
	if m.config.ReduceParked && ahead != aheadWithIdle {
		holders *= standInShares
	}
	leasedShare := trafficShare(d.limit, committed, holders)
	a.setShare(leasedShare)
	b := budget{
		prepaid: prepaid, remaining: max(prepaid-committed, 0), share: leasedShare, leasedShare: leasedShare,
		allocates: m.allocates(), rations: m.rations(),
	}
	if sinceStart := a.committedSinceStart(committed); b.allocates {
		b.share = useShare(d, sinceStart, int64(crashShare*float64(prepaid)), holders)
	}
	limit := nextLimit(d, b, fillThreshold, ahead)
	if !m.ledger.settled() {
		limit = min(limit, d.limit)
	}
	return d, limit, true
}

// aheadMode returns how much this instance leases in advance.
func (m *Manager) aheadMode() aheadMode {
	switch {
	case !m.actsAsTokenHolder():
		return aheadNone
	case m.config.IsFirstHolder == nil || m.config.IsFirstHolder():
		return aheadWithIdle
	default:
		return aheadByRate
	}
}

// planLease sets one lease to its next size in the ledger next, and reports whether it changed. The limit of a shrinking
// lease is lowered at once.
func (m *Manager) planLease(next ledger, customer string, a *account, fillThreshold float64) bool {
	d, limit, ok := m.wantedLimit(customer, a, fillThreshold)
	if !ok {
		return false
	}
	lease := limit - d.borrowed
	if limit < d.limit {
		lease = a.lowerLimit(limit)
	}
	if lease == m.ledger.lease(customer, m.config.Incarnation) {
		return false
	}
	prepaid, _ := m.config.PrepaidTotal(customer)
	next.setLease(customer, m.config.Incarnation, lease, prepaid)
	return true
}

// readLedger reads the ledger from the store without changing the accounts.
func (m *Manager) readLedger(ctx context.Context) error {
	ended := m.startCall()
	obj, err := m.config.Store.Get(ctx, LedgerKey)
	ended()
	if errors.Is(err, objectstore.ErrNotFound) {
		era, err := m.storeEra()
		if err != nil {
			return err
		}
		m.setLedger(newLedger(), 0, era)
		return nil
	}
	if err != nil {
		return err
	}
	return m.applyObject(obj)
}

// applyObject decodes a stored object and sets it as the current ledger.
func (m *Manager) applyObject(obj objectstore.Object) error {
	l, err := decodeLedger(obj.Value)
	if err != nil {
		return err
	}
	m.setLedger(l, obj.Version, ledgerEra(objectstore.Era(obj.Version)))
	return nil
}

// setLedger sets the current ledger, which was read or written in an era. A version past ambiguousVersion ends a pending fence. If the store came
// back from a copy, what this instance knows is kept and written with the next update.
func (m *Manager) setLedger(l ledger, version objectstore.Version, era uint64) {
	l = m.enterEra(l, era)
	m.ledger, m.version, m.ledgerKnown, m.ledgerRead, m.readAt = l, version, true, true, m.config.Clock.Now()
	m.fencePending = m.fencePending && version <= m.ambiguousVersion
	m.holdsLeases.Store(l.listsHolder(string(m.config.Incarnation)))
}

// writeLedger replaces the ledger if it is still at the version that was read. An update without a response may still
// take effect, but only while the ledger is at the version that the update expected. Therefore the ledger is read again,
// and no lease grows from a read alone until another update has moved the ledger past that version.
func (m *Manager) writeLedger(ctx context.Context, next ledger) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	ended := m.startCall()
	version, err := m.config.Store.Put(ctx, LedgerKey, value, m.version)
	ended()
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		m.known = nil
		before := m.ledger
		m.setLedger(next, version, ledgerEra(objectstore.Era(version)))
		m.predecessorsClosed, m.writtenAt = m.predecessorsClosed || m.closesPredecessors, m.readAt
		m.updates.Inc(1)
		m.recordSettled()
		m.recordClosed()
		m.updateAccounts()
		m.recordWitnesses(before, next)
	case errors.As(err, &conflict):
		if applyErr := m.applyObject(conflict.Current); applyErr != nil {
			m.ledgerKnown = false
			return applyErr
		}
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrUnavailable):
		m.ledgerKnown = false
	default:
		m.ledgerKnown, m.fencePending, m.ambiguousVersion = false, true, m.version
	}
	return err
}

// recordClosed logs and counts the leases of earlier incarnations that the last update closed.
func (m *Manager) recordClosed() {
	for customer, tokens := range m.closing {
		m.parked.Inc(tokens)
		m.config.Log.WithFields(log.Fields{"customer": customer, "tokens": tokens}).Info("prepaid: lease of an earlier incarnation closed")
	}
	if len(m.closing) > 0 {
		m.marksSaved.Inc(m.closingSaved)
		m.marksUnknown.Inc(int64(m.closingUnknown))
		m.config.Log.WithFields(log.Fields{"saved": m.closingSaved, "without_mark": m.closingUnknown}).Info("prepaid: leases of earlier incarnations closed")
		m.parkedReport = parkedReport{pending: m.config.ReportParked, closedAt: m.config.Clock.Now(), closed: sumOf(m.closing), unspent: m.closingUnspent}
	}
	m.closing = nil
}

// updateAccounts applies the current ledger to the accounts. It is called only after a successful update or when none is
// needed, so a limit that was lowered for an update in progress stays low.
func (m *Manager) updateAccounts() {
	for customer, a := range m.snapshotAccounts() {
		prepaid, _ := m.config.PrepaidTotal(customer)
		remaining := max(prepaid-m.ledger.committed(customer), 0)
		if !m.ledger.settled() {
			// Leases may be counted twice, so nothing is certainly exhausted.
			remaining = prepaid
		}
		m.logLeaseChange(customer, a, remaining, prepaid)
		if !m.ledger.hasLease(customer, m.config.Incarnation) {
			// No lease was ever acquired, or a later incarnation of this instance has closed it.
			a.dropLease(remaining, m.readAt)
			continue
		}
		a.applyLease(m.ledger.lease(customer, m.config.Incarnation), remaining, m.readAt)
	}
	m.recordStoreAvailable()
}

// recordStoreAvailable records that the store responded.
func (m *Manager) recordStoreAvailable() {
	m.outageBeganAt.Store(0)
	if m.storeFailedAt.Swap(0) != 0 {
		m.storeReturnedAt.Store(m.config.Clock.Now().UnixNano())
	}
}

// logLeaseChange logs a lease that is about to change.
func (m *Manager) logLeaseChange(customer string, a *account, remaining, prepaid int64) {
	d := a.demand()
	limit := m.ledger.lease(customer, m.config.Incarnation) + d.borrowed
	if limit == d.limit {
		return
	}
	m.config.Log.WithFields(log.Fields{
		"customer": customer, "limit": limit, "before": d.limit, "used": d.used, "remaining": remaining, "prepaid": prepaid,
		"tokens_per_s": int64(d.ratePerSecond), "ledger_version": uint64(m.version),
	}).Info("prepaid: lease changed")
}

// recordStoreResult records the result of the last call to the store, and logs the start and the end of an outage.
func (m *Manager) recordStoreResult(err error) {
	if err != nil {
		m.recordStoreFailed(m.config.Clock.Now())
	} else {
		m.recordStoreAvailable()
	}
	if (err != nil) == m.outageLogged {
		return
	}
	m.outageLogged = err != nil
	entry := m.config.Log.WithField("ledger_version", uint64(m.version))
	if m.outageLogged {
		entry.WithError(err).Warn("prepaid: ledger unavailable")
	} else {
		entry.Info("prepaid: ledger available again")
	}
}
