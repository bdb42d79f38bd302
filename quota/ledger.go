package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/objectstore"
)

const (
	// LedgerPrefix is the key prefix of customers' ledgers.
	LedgerPrefix = "ledgers/"
	// ledgerMaxAge is the age at which a cached ledger in use is read again even if it is not known to be stale.
	ledgerMaxAge = time.Minute
	// initialConflictPause bounds the random pause after the first conflict. The bound doubles with each further conflict.
	initialConflictPause = 10 * time.Millisecond
)

// ledgerCache caches a customer's ledger and writes this instance's accounts to it. Locks are acquired in the order
// writing, account.mu, mu.
type ledgerCache struct {
	m        *Manager
	customer string
	writing  sync.Mutex

	mu        sync.Mutex
	accounts  []*account
	ledger    *api.CustomerLedger
	version   budget.Version
	readAt    time.Time
	lastFlush time.Time
	stale     bool
	// viewChanged is closed when the view has changed since the last flush.
	viewChanged <-chan struct{}
	// lastSucceeded and lastFailed are the event numbers of the last successful and the last failed call to the object store.
	lastSucceeded, lastFailed uint64
}

func newLedgerCache(m *Manager, customer string) *ledgerCache {
	return &ledgerCache{m: m, customer: customer, stale: true}
}

func (c *ledgerCache) add(a *account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accounts = append(c.accounts, a)
}

func (c *ledgerCache) snapshot() (accounts []*account, ledger *api.CustomerLedger, version budget.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*account(nil), c.accounts...), c.ledger, c.version
}

// markStale has the next flush read the ledger again.
func (c *ledgerCache) markStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = true
}

// activity reports whether this instance has or needs a lease in the ledger, and whether a flush is urgent because a
// request waits or a write is needed.
func (c *ledgerCache) activity() (inUse, urgent bool) {
	accounts, _, _ := c.snapshot()
	for _, a := range accounts {
		a.mu.Lock()
		inUse = inUse || a.lease != nil || len(a.waiters) > 0
		urgent = urgent || a.needsWrite || len(a.waiters) > 0
		a.mu.Unlock()
	}
	return inUse, urgent
}

// isDue reports whether a ledger in use should be flushed now.
func (c *ledgerCache) isDue(now time.Time, urgent bool, routineInterval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := now.Sub(c.lastFlush)
	if urgent || c.stale || c.hasNewView() || c.m.holder.draining.Load() {
		return passed >= c.m.cfg.flushInterval()/ticksPerFlush
	}
	return passed >= routineInterval
}

// hasNewView reports whether the view has changed since the last flush, so that witnesses may have to be replaced. The
// caller holds mu.
func (c *ledgerCache) hasNewView() bool {
	select {
	case <-c.viewChanged:
		return true
	default:
		return c.viewChanged == nil
	}
}

// flush writes the changes of this instance's accounts to the ledger in one conditional update, if there are any.
func (c *ledgerCache) flush(ctx context.Context) {
	if !c.writing.TryLock() {
		return
	}
	defer c.writing.Unlock()
	c.mu.Lock()
	c.lastFlush, c.viewChanged = c.m.cfg.Clock.Now(), c.m.cfg.View.Changed()
	c.mu.Unlock()
	for attempt := range maxUpdateAttempts {
		if c.needsRead() && !c.load(ctx) {
			return
		}
		if c.update(ctx) {
			return
		}
		sleepRandom(ctx, initialConflictPause<<attempt)
	}
}

// sleepRandom waits for a random time up to maxPause, so that holders with conflicting updates do not conflict again.
func sleepRandom(ctx context.Context, maxPause time.Duration) {
	timer := time.NewTimer(rand.N(maxPause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *ledgerCache) needsRead() bool {
	now := c.m.cfg.Clock.Now()
	accounts, _, _ := c.snapshot()
	waiting := false
	for _, a := range accounts {
		a.mu.Lock()
		waiting = waiting || len(a.waiters) > 0
		a.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.readAt)
	return c.stale || age >= ledgerMaxAge || waiting && age >= c.m.cfg.flushInterval()/ticksPerFlush
}

// load reads the ledger. It returns false if the read failed.
func (c *ledgerCache) load(ctx context.Context) bool {
	started, eventNumber := c.m.cfg.Clock.Now(), c.m.holder.eventNumber.Add(1)
	if err := c.m.breaker.allow(started); err != nil {
		c.handleStoreFailure(err, eventNumber)
		return false
	}
	ledger, version, err := readLedger(ctx, c.m.cfg.Store, c.customer)
	c.m.counters.ledgerReads.Inc(1)
	if err != nil {
		c.m.breaker.recordFailure(c.m.cfg.Clock.Now())
		c.handleStoreFailure(err, eventNumber)
		return false
	}
	c.m.breaker.recordSuccess()
	c.apply(ledger, version, started, eventNumber)
	return true
}

func readLedger(ctx context.Context, store objectstore.Store, customer string) (*api.CustomerLedger, budget.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := store.Get(ctx, LedgerPrefix+customer)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	ledger := &api.CustomerLedger{}
	if err := proto.Unmarshal(obj.Value, ledger); err != nil {
		return nil, 0, errors.Join(objectstore.ErrMalformed, err)
	}
	return ledger, budget.Version(obj.Version), nil
}

func (c *ledgerCache) handleStoreFailure(err error, eventNumber uint64) {
	c.m.counters.storeUnavailable.Inc(1)
	c.m.cfg.Log.Debugf("quota: access to ledger %s failed: %v", c.customer, err)
	now := c.m.cfg.Clock.Now()
	c.mu.Lock()
	c.lastFailed = max(c.lastFailed, eventNumber)
	c.mu.Unlock()
	accounts, _, _ := c.snapshot()
	for _, a := range accounts {
		a.mu.Lock()
		a.grantWaiters(now, c.m.self)
		c.refuseWaiters(a, now)
		a.mu.Unlock()
	}
}

// apply applies a version of the ledger that was requested at requestedAt in the call numbered eventNumber.
func (c *ledgerCache) apply(ledger *api.CustomerLedger, version budget.Version, requestedAt time.Time, eventNumber uint64) {
	c.mu.Lock()
	if version < c.version {
		c.mu.Unlock()
		return
	}
	c.ledger, c.version, c.readAt, c.stale = ledger, version, requestedAt, false
	c.lastSucceeded = max(c.lastSucceeded, eventNumber)
	accounts := append([]*account(nil), c.accounts...)
	c.mu.Unlock()
	now := c.m.cfg.Clock.Now()
	for _, a := range accounts {
		a.mu.Lock()
		c.applyToAccount(a, budget.Budget(ledger, a.id.Budget), version, now)
		a.mu.Unlock()
	}
}

// applyToAccount applies a ledger entry to an account and its lease. The caller holds a.mu.
func (c *ledgerCache) applyToAccount(a *account, entry *api.BudgetLedger, version budget.Version, now time.Time) {
	if l := a.lease; l != nil {
		listed := l.Listed()
		l.Observe(version, budget.FindLease(entry, l.ID()))
		if l.Listed() && !listed {
			c.m.counters.leaseAcquired.Inc(1)
		}
		if l.Closed() {
			c.handleClosedLease(a, l)
		}
	}
	a.pruneOldLeases()
	a.grantWaiters(now, c.m.self)
}

func (c *ledgerCache) handleClosedLease(a *account, l *heldLease) {
	if !l.closedByHolder {
		c.m.counters.leaseLost.Inc(1)
		c.m.cfg.Log.Warnf("quota: lease %s of %s/%s was closed by a reclaimer", l.ID(), a.id.Customer, a.id.Budget)
	}
	a.retireLease()
}

// update plans and writes the next version. It returns false after a conflict or an ambiguous outcome, after which the
// caller retries.
func (c *ledgerCache) update(ctx context.Context) bool {
	accounts, ledger, version := c.snapshot()
	edit := budget.Begin(c.customer, ledger)
	var sent []*heldLease
	now := c.m.cfg.Clock.Now()
	for _, a := range accounts {
		a.mu.Lock()
		if l := c.planAccount(edit, a, version, now); l != nil {
			sent = append(sent, l)
		}
		a.mu.Unlock()
	}
	next, changed := edit.Finish()
	if !changed {
		c.reportOutcome(accounts, sent, (*budget.Lease).UpdateNotWritten)
		c.finishUpdate(accounts, false)
		return true
	}
	return c.write(ctx, accounts, next, version, sent)
}

func (c *ledgerCache) write(ctx context.Context, accounts []*account, next *api.CustomerLedger, base budget.Version, sent []*heldLease) bool {
	started, eventNumber := c.m.cfg.Clock.Now(), c.m.holder.eventNumber.Add(1)
	if err := c.m.breaker.allow(started); err != nil {
		c.reportOutcome(accounts, sent, (*budget.Lease).UpdateNotWritten)
		c.handleStoreFailure(err, eventNumber)
		return true
	}
	version, err := writeLedger(ctx, c.m.cfg.Store, next, base)
	c.m.counters.ledgerWrites.Inc(1)
	switch {
	case err == nil:
		c.apply(next, version, started, eventNumber)
		c.finishUpdate(accounts, true)
		return true
	case errors.Is(err, objectstore.ErrConflict):
		c.m.counters.ledgerConflict.Inc(1)
		c.reportOutcome(accounts, sent, (*budget.Lease).UpdateNotWritten)
		c.markStale()
		return false
	case errors.Is(err, objectstore.ErrAmbiguous):
		c.m.counters.ledgerAmbiguous.Inc(1)
		c.reportOutcome(accounts, sent, (*budget.Lease).UpdateOutcomeUnknown)
		c.markStale()
		return false
	default:
		c.m.breaker.recordFailure(c.m.cfg.Clock.Now())
		c.reportOutcome(accounts, sent, (*budget.Lease).UpdateNotWritten)
		c.handleStoreFailure(err, eventNumber)
		return true
	}
}

func writeLedger(ctx context.Context, store objectstore.Store, next *api.CustomerLedger, base budget.Version) (budget.Version, error) {
	value, err := proto.Marshal(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := store.Put(ctx, LedgerPrefix+next.Customer, value, objectstore.Version(base))
	return budget.Version(v), err
}

// reportOutcome reports the outcome of an update to the leases in it.
func (c *ledgerCache) reportOutcome(accounts []*account, sent []*heldLease, outcome func(*budget.Lease)) {
	for _, a := range accounts {
		a.mu.Lock()
		for _, l := range sent {
			if l == a.lease {
				outcome(l.Lease)
			}
		}
		a.mu.Unlock()
	}
}

// finishUpdate clears needsWrite of all accounts after an update, refuses waiting requests that cannot be granted, and
// has other holders return tokens if requests still wait.
func (c *ledgerCache) finishUpdate(accounts []*account, wrote bool) {
	now := c.m.cfg.Clock.Now()
	tokensMissing := false
	for _, a := range accounts {
		a.mu.Lock()
		a.needsWrite = false
		c.refuseWaiters(a, now)
		tokensMissing = tokensMissing || len(a.waiters) > 0
		if len(a.waiters) > 0 {
			c.m.holder.ensureHeadroom(a)
		}
		a.mu.Unlock()
	}
	if tokensMissing {
		c.refreshOtherHolders()
	}
}

// refreshOtherHolders has the other holders of the customer's leases read the ledger again.
func (c *ledgerCache) refreshOtherHolders() {
	_, ledger, _ := c.snapshot()
	seen := map[string]bool{c.m.self: true}
	for _, entry := range ledger.GetBudgets() {
		for _, l := range entry.Leases {
			if !l.Closed && !seen[l.Holder] {
				seen[l.Holder] = true
				c.m.link(l.Holder).refreshes.add(c.customer)
			}
		}
	}
}

// refuseWaiters refuses waiting requests that cannot be granted or have waited long enough. The caller holds a.mu.
func (c *ledgerCache) refuseWaiters(a *account, now time.Time) {
	for _, w := range append([]*waiter(nil), a.waiters...) {
		if r, refused := c.refusal(a, w, now); refused {
			a.refuse(w, r)
		}
	}
}

// refusal returns the result with which a waiting request is refused now, and false if it continues to wait. The caller
// holds a.mu.
func (c *ledgerCache) refusal(a *account, w *waiter, now time.Time) (Reservation, bool) {
	c.mu.Lock()
	entry, readAt, lastSucceeded, lastFailed := budget.Budget(c.ledger, a.id.Budget), c.readAt, c.lastSucceeded, c.lastFailed
	c.mu.Unlock()
	fresh := now.Sub(readAt) < c.m.cfg.flushInterval()
	storeUnavailable := lastFailed > lastSucceeded
	if fresh && entry != nil && a.granted <= budget.Tokens(entry.Granted) && a.maxUnspent(entry) < w.bound {
		return Reservation{Outcome: Exhausted}, true
	}
	if storeUnavailable && (lastFailed > w.eventNumber || c.m.breaker.isOpen(now)) {
		if !a.canFreeLocally(w.bound) {
			return Reservation{Outcome: Unavailable, RetryAfter: storeRetryAfter}, true
		}
		w.markInsufficient(now)
	}
	if lastSucceeded > w.eventNumber {
		w.markInsufficient(now)
	}
	if !w.insufficientSince.IsZero() && now.Sub(w.insufficientSince) >= c.m.cfg.settleWait() {
		return c.finalRefusal(storeUnavailable), true
	}
	return Reservation{}, false
}

func (c *ledgerCache) finalRefusal(storeUnavailable bool) Reservation {
	if storeUnavailable {
		return Reservation{Outcome: Unavailable, RetryAfter: storeRetryAfter}
	}
	return Reservation{Outcome: Exhausted}
}

// refuseExpired refuses a request whose wait has ended without a result. The caller holds a.mu.
func (c *ledgerCache) refuseExpired(a *account, w *waiter) {
	c.mu.Lock()
	storeUnavailable := c.lastFailed > c.lastSucceeded || c.lastSucceeded < w.eventNumber
	c.mu.Unlock()
	a.refuse(w, c.finalRefusal(storeUnavailable))
}

// markInsufficient records when tokens were first known to be insufficient.
func (w *waiter) markInsufficient(since time.Time) {
	if w.insufficientSince.IsZero() {
		w.insufficientSince = since
	}
}

// maxUnspent returns the most that could be reserved from the budget if every holder returned all unused tokens. The
// caller holds mu.
func (a *account) maxUnspent(entry *api.BudgetLedger) budget.Tokens {
	unspent := budget.Unspent(entry)
	if a.lease == nil {
		return unspent
	}
	rec := budget.FindLease(entry, a.lease.ID())
	if rec == nil {
		return unspent
	}
	unreported := a.lease.Settled() - min(a.lease.Settled(), budget.Tokens(rec.Settled))
	return unspent - min(unspent, unreported)
}

// canFreeLocally reports whether settlements or acknowledgements may free enough tokens for a request with the given bound
// while the object store is unavailable. The caller holds mu.
func (a *account) canFreeLocally(bound budget.Tokens) bool {
	l := a.lease
	if l == nil || !l.Usable() || l.Settled()+bound > l.Acquired() {
		return false
	}
	return l.Settled()+bound <= l.Limit() || len(l.ActiveWitnesses()) > 0
}
