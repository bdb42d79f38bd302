package prepaid

import (
	"context"
	"time"

	"github.com/apex/log"
)

const (
	// lendTimeout bounds the time to acquire tokens from the ledger for another instance, whose client waits. It covers
	// some round trips to the store, and is shorter than the other instance's timeout for this call.
	lendTimeout = 200 * time.Millisecond
	// lendDivisor bounds a loan from the ledger to 1/lendDivisor of the remaining tokens, so that two instances that request
	// tokens at the same time both get some.
	lendDivisor = 2
	// maxTokens is the highest valid number of tokens in a request of a caller or another instance. It exceeds every prepaid total, and
	// the sum of some thousand such numbers does not overflow.
	maxTokens = 1 << 50
)

// isPossible reports whether a request may need so many tokens.
func isPossible(tokens int64) bool { return tokens >= 0 && tokens <= maxTokens }

// Lend passes tokens on to an instance that is disconnected from the store, and returns their number. They come from the
// unneeded part of this instance's lease and, if the store is available, from the ledger. They count as spent here, so
// that the borrower may spend them.
func (m *Manager) Lend(ctx context.Context, id TransferID, customer string, tokens int64) int64 {
	if !isPossible(tokens) {
		m.config.Log.WithFields(log.Fields{"customer": customer, "borrower": string(id.Borrower), "asked": tokens}).Warn("prepaid: impossible request for a loan")
		return 0
	}
	a := m.account(customer)
	if !m.transfers.begin(id, a, m.config.Clock.Now()) {
		return 0
	}
	fromLease := m.lendFromLease(ctx, a, tokens, m.keptForUrgent(a))
	fromLedger := int64(0)
	if fromLease < tokens && !m.storeUnavailable(m.config.Clock.Now()) {
		fromLedger = m.acquireForLoan(ctx, a, tokens-fromLease)
	}
	lent := m.transfers.complete(id, fromLease+fromLedger)
	if lent > 0 {
		m.lent.Inc(lent)
		m.config.Log.WithFields(log.Fields{"customer": customer, "tokens": lent, "of_ledger": fromLedger, "asked": tokens}).Info("prepaid: tokens lent")
	}
	return lent
}

// Allocation is the response of a token holder to an instance of its failure domain.
type Allocation struct {
	// Tokens is the number of tokens that the requesting instance may spend.
	Tokens int64
	// Exhausted reports that the budget does not cover the needed tokens.
	Exhausted bool
	// StoreUnavailable reports that the token holder cannot reach the ledger, so that another instance may succeed.
	StoreUnavailable bool
	// Rationed reports that the tokens are kept for more urgent requests.
	Rationed bool
	// Unreachable reports that no token holder responded. StoreUnavailable is then set as well.
	Unreachable bool
}

// Allocate passes tokens on to another instance of the failure domain for a request of a rank: the needed number, for which it may
// enlarge the lease, and up to the wanted number if the lease is large.
func (m *Manager) Allocate(ctx context.Context, id TransferID, customer string, rank int, needed, wanted int64) Allocation {
	if !isPossible(needed) {
		m.config.Log.WithFields(log.Fields{"customer": customer, "borrower": string(id.Borrower), "needed": needed}).Warn("prepaid: impossible request for an allocation")
		return Allocation{Exhausted: true}
	}
	wanted = min(wanted, maxTokens)
	now := m.config.Clock.Now()
	m.allocatedAt.Store(now.UnixNano())
	a := m.account(customer)
	if !m.transfers.begin(id, a, now) {
		return Allocation{}
	}
	allocation := m.allocate(ctx, customer, a, rank, needed, wanted)
	allocation.Tokens = m.transfers.complete(id, allocation.Tokens)
	if allocation.Tokens == 0 {
		m.config.Log.WithFields(log.Fields{"customer": customer, "needed": needed, "exhausted": allocation.Exhausted, "away": allocation.StoreUnavailable}).
			Info("prepaid: no tokens allocated to another instance")
	}
	m.lent.Inc(allocation.Tokens)
	return allocation
}

// allocate is Allocate without logging and metrics.
func (m *Manager) allocate(ctx context.Context, customer string, a *account, rank int, needed, wanted int64) Allocation {
	if !m.mayTake(customer, a, rank, needed) && !m.borrowRationed(ctx, customer, a, rank, needed) {
		return Allocation{Rationed: true}
	}
	if tokens, ok := a.reserveToPassOn(needed, wanted); ok {
		return Allocation{Tokens: tokens}
	}
	if now := m.config.Clock.Now(); m.storeUnavailable(now) && !a.covers(needed) && (m.config.Borrow == nil || a.loanFailedRecently(now)) {
		return Allocation{StoreUnavailable: true}
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	switch m.reserveFromLease(ctx, a, needed) {
	case Granted:
		a.recordPassedOn(needed)
		return Allocation{Tokens: needed}
	case Exhausted:
		return Allocation{Exhausted: true}
	default:
		return Allocation{StoreUnavailable: m.storeUnavailable(m.config.Clock.Now())}
	}
}

// acquireForLoan acquires tokens from the ledger for another instance, and returns how many it got within lendTimeout.
func (m *Manager) acquireForLoan(ctx context.Context, a *account, tokens int64) int64 {
	available, _ := a.reservable(time.Time{})
	tokens = min(tokens, available/lendDivisor)
	if tokens <= 0 {
		return 0
	}
	return m.awaitLoan(ctx, a, tokens, m.updateSignal)
}

// lendFromLease lends tokens of this instance's lease. If no witness has acknowledged their use yet, it waits for that up to lendTimeout.
func (m *Manager) lendFromLease(ctx context.Context, a *account, tokens, kept int64) int64 {
	if lendable := a.lendable(tokens, kept); lendable > a.acknowledged() {
		if lent := m.awaitLoan(ctx, a, lendable, m.markSignal); lent > 0 {
			return lent
		}
	}
	return a.lend(tokens, kept)
}

// awaitLoan waits up to lendTimeout until the lease covers tokens for another instance, and returns how many it got: all or none. It sends
// the signal to the goroutine that can bring them.
func (m *Manager) awaitLoan(ctx context.Context, a *account, tokens int64, signal chan struct{}) int64 {
	w, e := a.addWaiter(tokens)
	notify(m.markSignal)
	notify(signal)
	outcome := Unavailable
	select {
	case outcome = <-w.done:
	case <-m.config.Clock.After(lendTimeout):
		if !a.removeWaiter(e) {
			outcome = <-w.done
		}
	case <-ctx.Done():
		if !a.removeWaiter(e) {
			outcome = <-w.done
		}
	}
	if outcome != Granted {
		return 0
	}
	a.excludeFromRates(tokens)
	return tokens
}

// RunBorrowing borrows tokens from other instances while the store is unavailable, until the context ends.
func (m *Manager) RunBorrowing(ctx context.Context) error {
	ticker := m.config.Clock.NewTicker(tickInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-m.borrowSignal:
		}
		if m.storeUnavailable(m.config.Clock.Now()) {
			m.borrowForAll(ctx)
		}
	}
}

// borrowForAll borrows for the accounts that run out of tokens. If a loan is insufficient, it refuses the waiters.
func (m *Manager) borrowForAll(ctx context.Context) {
	for customer, a := range m.snapshotAccounts() {
		wanted := m.wantedLoan(a.demand())
		if m.rations() {
			wanted = a.boundLoan(wanted)
		}
		if wanted <= 0 || a.loanFailedRecently(m.config.Clock.Now()) {
			continue
		}
		if !m.borrow(ctx, customer, a, wanted) {
			a.refuseWaiters(false)
		}
	}
}
