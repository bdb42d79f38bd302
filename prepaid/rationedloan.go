package prepaid

import (
	"context"
	"time"

	"github.com/apex/log"
)

// borrowRationed borrows what a request lacks whose tokens are kept for more urgent requests, while the store is unavailable, and reports
// whether the request may take its tokens then. Without it, nine in ten refusals in an outage came while other instances had
// enough tokens (docs/design/rationing.md). One loan of a customer is requested at a time.
func (m *Manager) borrowRationed(ctx context.Context, customer string, a *account, rank int, tokens int64) bool {
	now := m.config.Clock.Now()
	if m.config.Borrow == nil || !m.storeUnavailable(now) || a.loanFailedRecently(now) || !a.borrowsRationed.CompareAndSwap(false, true) {
		return false
	}
	defer a.borrowsRationed.Store(false)
	missing := a.missingRationed(rank, tokens, m.outageRemaining(now), now)
	// The instance that asks for an allocation waits no longer.
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	m.borrow(ctx, customer, a, missing)
	now = m.config.Clock.Now()
	if a.missingRationed(rank, tokens, m.outageRemaining(now), now) > 0 {
		return false
	}
	a.grantRationed(rank)
	return true
}

// borrow borrows tokens from other instances. It returns false if they gave less than wanted.
func (m *Manager) borrow(ctx context.Context, customer string, a *account, wanted int64) bool {
	borrowed := m.config.Borrow(ctx, customer, wanted)
	if borrowed > 0 {
		m.borrowed.Inc(borrowed)
		m.config.Log.WithFields(log.Fields{"customer": customer, "tokens": borrowed, "asked": wanted}).Info("prepaid: tokens borrowed")
		a.addBorrowed(borrowed)
	}
	a.recordLoan(borrowed < wanted)
	if borrowed < wanted {
		a.recordLoanFailure(m.config.Clock.Now())
	}
	return borrowed >= wanted
}

// wantedLoan returns how many tokens this instance should borrow while the store is unavailable, or zero. Where tokens are rationed, an
// instance that has a token holder borrows only for requests that wait: what each of many instances borrows ahead is out of reach for
// the others, and of urgent requests as well.
func (m *Manager) wantedLoan(d demand) int64 {
	if m.rations() && !m.actsAsTokenHolder() {
		return max(d.waiting-(d.limit-d.used), 0)
	}
	return shortfall(d)
}

// missingRationed returns how many tokens this instance lacks for a request of a rank in an outage of the store.
func (a *account) missingRationed(rank int, tokens int64, lasts time.Duration, now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	supply, _ := a.rationSupply(true, lasts)
	return a.demandByRank.Missing(rank, tokens, supply, now)
}

// grantRationed records that a request of a rank that was to be refused may take its tokens.
func (a *account) grantRationed(rank int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demandByRank.Grant(rank)
}
