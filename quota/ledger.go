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
	// LedgerPrefix starts the keys of customers' ledgers.
	LedgerPrefix = "ledgers/"
	// ledgerMaxAge is when a ledger with a lease of ours is read again even if nothing happened.
	ledgerMaxAge = time.Minute
	// conflictPause is the first longest pause after a conflict. It doubles with each further one.
	conflictPause = 10 * time.Millisecond
)

// ledgerBook is what this instance knows of a customer's ledger, and writes its accounts into it. Locks are taken in the
// order writing, account.mu, mu.
type ledgerBook struct {
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
	// viewChanged is closed when the view differs from the one of the last flush.
	viewChanged <-chan struct{}
	// read and failed are the numbers of the last call to the platform that was answered and that failed.
	read, failed uint64
}

func newLedgerBook(m *Manager, customer string) *ledgerBook {
	return &ledgerBook{m: m, customer: customer, stale: true}
}

func (b *ledgerBook) add(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts = append(b.accounts, a)
}

func (b *ledgerBook) snapshot() (accounts []*account, ledger *api.CustomerLedger, version budget.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*account(nil), b.accounts...), b.ledger, b.version
}

// refresh has the ledger read again soon.
func (b *ledgerBook) refresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stale = true
}

// use says whether the instance has a lease in the ledger or wants one, and whether a request waits for a look at it.
func (b *ledgerBook) use() (inUse, urgent bool) {
	accounts, _, _ := b.snapshot()
	for _, a := range accounts {
		a.mu.Lock()
		inUse = inUse || a.lease != nil || len(a.waiters) > 0
		urgent = urgent || a.short || len(a.waiters) > 0
		a.mu.Unlock()
	}
	return inUse, urgent
}

// due says whether a ledger in use should be looked at now. gap is the time between looks without a reason.
func (b *ledgerBook) due(now time.Time, urgent bool, gap time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	passed := now.Sub(b.lastFlush)
	if urgent || b.stale || b.newView() || b.m.holder.draining.Load() {
		return passed >= b.m.cfg.flushInterval()/tickDivisor
	}
	return passed >= gap
}

// newView says whether the fleet changed since the last flush: witnesses may have to be replaced. The caller holds mu.
func (b *ledgerBook) newView() bool {
	select {
	case <-b.viewChanged:
		return true
	default:
		return b.viewChanged == nil
	}
}

// flush brings the ledger up to date with this instance's accounts by one conditional update, if anything changed.
func (b *ledgerBook) flush(ctx context.Context) {
	if !b.writing.TryLock() {
		return
	}
	defer b.writing.Unlock()
	b.mu.Lock()
	b.lastFlush, b.viewChanged = b.m.cfg.Clock.Now(), b.m.cfg.View.Changed()
	b.mu.Unlock()
	for try := range conflictLimit {
		if b.needsRead() && !b.load(ctx) {
			return
		}
		if b.update(ctx) {
			return
		}
		pause(ctx, conflictPause<<try)
	}
}

// pause waits for a random time up to longest, so that holders in conflict do not meet again.
func pause(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(rand.N(longest))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (b *ledgerBook) needsRead() bool {
	now := b.m.cfg.Clock.Now()
	accounts, _, _ := b.snapshot()
	waiting := false
	for _, a := range accounts {
		a.mu.Lock()
		waiting = waiting || len(a.waiters) > 0
		a.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now.Sub(b.readAt)
	return b.stale || age >= ledgerMaxAge || waiting && age >= b.m.cfg.flushInterval()/tickDivisor
}

// load reads the ledger. It returns false when the platform did not answer.
func (b *ledgerBook) load(ctx context.Context) bool {
	started, call := b.m.cfg.Clock.Now(), b.m.holder.events.Add(1)
	if err := b.m.gate.enter(started); err != nil {
		b.fail(err, call)
		return false
	}
	ledger, version, err := readLedger(ctx, b.m.cfg.Store, b.customer)
	b.m.counters.reads.Inc(1)
	if err != nil {
		b.m.gate.failed(b.m.cfg.Clock.Now())
		b.fail(err, call)
		return false
	}
	b.m.gate.answered()
	b.learn(ledger, version, started, call)
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

func (b *ledgerBook) fail(err error, call uint64) {
	b.m.counters.unavailable.Inc(1)
	b.m.cfg.Log.Debugf("quota: ledger %s: %v", b.customer, err)
	now := b.m.cfg.Clock.Now()
	b.mu.Lock()
	b.failed = max(b.failed, call)
	b.mu.Unlock()
	accounts, _, _ := b.snapshot()
	for _, a := range accounts {
		a.mu.Lock()
		a.grantWaiters(now, b.m.self)
		b.judge(a, now)
		a.mu.Unlock()
	}
}

// learn takes a version of the ledger that the platform was asked for at asked, in the numbered call.
func (b *ledgerBook) learn(ledger *api.CustomerLedger, version budget.Version, asked time.Time, call uint64) {
	b.mu.Lock()
	if version < b.version {
		b.mu.Unlock()
		return
	}
	b.ledger, b.version, b.readAt, b.stale = ledger, version, asked, false
	b.read = max(b.read, call)
	accounts := append([]*account(nil), b.accounts...)
	b.mu.Unlock()
	now := b.m.cfg.Clock.Now()
	for _, a := range accounts {
		a.mu.Lock()
		b.observe(a, budget.Budget(ledger, a.id.Budget), version, now)
		a.mu.Unlock()
	}
}

// observe hands an account what the ledger says of its lease. The caller holds a.mu.
func (b *ledgerBook) observe(a *account, entry *api.BudgetLedger, version budget.Version, now time.Time) {
	if l := a.lease; l != nil {
		l.Observe(version, budget.FindLease(entry, l.ID()))
		if l.Closed() {
			b.lost(a, l)
		}
	}
	a.prune()
	a.grantWaiters(now, b.m.self)
}

func (b *ledgerBook) lost(a *account, l *heldLease) {
	if !l.returned {
		b.m.counters.lost.Inc(1)
		b.m.cfg.Log.Warnf("quota: lease %s of %s/%s was closed by a reclaimer", l.ID(), a.id.Customer, a.id.Budget)
	}
	a.retire()
}

// update plans and writes the next version. It returns false after a conflict or a lost answer, to be tried again.
func (b *ledgerBook) update(ctx context.Context) bool {
	accounts, ledger, version := b.snapshot()
	edit := budget.Begin(b.customer, ledger)
	var sent []*heldLease
	now := b.m.cfg.Clock.Now()
	for _, a := range accounts {
		a.mu.Lock()
		if l := b.plan(edit, a, version, now); l != nil {
			sent = append(sent, l)
		}
		a.mu.Unlock()
	}
	next, changed := edit.Finish()
	if !changed {
		b.resolve(accounts, sent, (*budget.Lease).UpdateNotWritten)
		b.settleDown(accounts, false)
		return true
	}
	return b.write(ctx, accounts, next, version, sent)
}

func (b *ledgerBook) write(ctx context.Context, accounts []*account, next *api.CustomerLedger, base budget.Version, sent []*heldLease) bool {
	started, call := b.m.cfg.Clock.Now(), b.m.holder.events.Add(1)
	if err := b.m.gate.enter(started); err != nil {
		b.resolve(accounts, sent, (*budget.Lease).UpdateNotWritten)
		b.fail(err, call)
		return true
	}
	version, err := writeLedger(ctx, b.m.cfg.Store, next, base)
	b.m.counters.writes.Inc(1)
	switch {
	case err == nil:
		b.learn(next, version, started, call)
		b.settleDown(accounts, true)
		return true
	case errors.Is(err, objectstore.ErrConflict):
		b.m.counters.conflict.Inc(1)
		b.resolve(accounts, sent, (*budget.Lease).UpdateNotWritten)
		b.refresh()
		return false
	case errors.Is(err, objectstore.ErrAmbiguous):
		b.m.counters.ambiguous.Inc(1)
		b.resolve(accounts, sent, (*budget.Lease).UpdateOutcomeUnknown)
		b.refresh()
		return false
	default:
		b.m.gate.failed(b.m.cfg.Clock.Now())
		b.resolve(accounts, sent, (*budget.Lease).UpdateNotWritten)
		b.fail(err, call)
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

// resolve tells the leases in an update how it went.
func (b *ledgerBook) resolve(accounts []*account, sent []*heldLease, outcome func(*budget.Lease)) {
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

// settleDown ends the urgency of accounts after a look at the ledger, and asks other domains for tokens still lacking.
func (b *ledgerBook) settleDown(accounts []*account, wrote bool) {
	now := b.m.cfg.Clock.Now()
	starving := false
	for _, a := range accounts {
		a.mu.Lock()
		a.short = false
		b.judge(a, now)
		starving = starving || len(a.waiters) > 0
		if len(a.waiters) > 0 {
			b.m.holder.keepAhead(a)
		}
		a.mu.Unlock()
	}
	if starving {
		b.askOthers()
	}
}

// askOthers has the other holders of the customer's leases look at the ledger.
func (b *ledgerBook) askOthers() {
	_, ledger, _ := b.snapshot()
	seen := map[string]bool{b.m.self: true}
	for _, entry := range ledger.GetBudgets() {
		for _, l := range entry.Leases {
			if !l.Closed && !seen[l.Holder] {
				seen[l.Holder] = true
				b.m.link(l.Holder).refresh.add(b.customer)
			}
		}
	}
}

// judge refuses waiting requests that nothing can help, or that waited long enough. The caller holds a.mu.
func (b *ledgerBook) judge(a *account, now time.Time) {
	for _, w := range append([]*waiter(nil), a.waiters...) {
		if r, refused := b.verdict(a, w, now); refused {
			a.refuse(w, r)
		}
	}
}

func (b *ledgerBook) verdict(a *account, w *waiter, now time.Time) (Reservation, bool) {
	b.mu.Lock()
	entry, readAt, read, failed := budget.Budget(b.ledger, a.id.Budget), b.readAt, b.read, b.failed
	b.mu.Unlock()
	recent := now.Sub(readAt) < b.m.cfg.flushInterval()
	unreachable := failed > read
	if recent && entry != nil && a.granted <= budget.Tokens(entry.Granted) && a.unspent(entry) < w.bound {
		return Reservation{Outcome: Exhausted}, true
	}
	if unreachable && (failed > w.event || b.m.gate.closed(now)) {
		if !a.mayFree(w.bound) {
			return Reservation{Outcome: OutOfReach, RetryAfter: platformRetryAfter}, true
		}
		w.short(now)
	}
	if read > w.event {
		w.short(now)
	}
	if !w.shortSince.IsZero() && now.Sub(w.shortSince) >= b.m.cfg.settleWait() {
		return b.final(unreachable), true
	}
	return Reservation{}, false
}

func (b *ledgerBook) final(unreachable bool) Reservation {
	if unreachable {
		return Reservation{Outcome: OutOfReach, RetryAfter: platformRetryAfter}
	}
	return Reservation{Outcome: Exhausted}
}

// giveUp refuses a request whose time to wait is over. The caller holds a.mu.
func (b *ledgerBook) giveUp(a *account, w *waiter) {
	b.mu.Lock()
	unreachable := b.failed > b.read || b.read < w.event
	b.mu.Unlock()
	a.refuse(w, b.final(unreachable))
}

// short notes since when too few tokens are known to be there.
func (w *waiter) short(since time.Time) {
	if w.shortSince.IsZero() {
		w.shortSince = since
	}
}

// unspent returns the most that could be reserved of the budget if every holder gave all back. The caller holds mu.
func (a *account) unspent(entry *api.BudgetLedger) budget.Tokens {
	left := budget.Unspent(entry)
	if a.lease == nil {
		return left
	}
	rec := budget.FindLease(entry, a.lease.ID())
	if rec == nil {
		return left
	}
	newer := a.lease.Settled() - min(a.lease.Settled(), budget.Tokens(rec.Settled))
	return left - min(left, newer)
}

// mayFree says whether settlements or acknowledgements could make room without the platform. The caller holds mu.
func (a *account) mayFree(bound budget.Tokens) bool {
	l := a.lease
	if l == nil || !l.Usable() || l.Settled()+bound > l.Acquired() {
		return false
	}
	return l.Settled()+bound <= l.Limit() || len(l.ActiveWitnesses()) > 0
}
