package prepaid

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/ration"
	"pumiceshelf/telemetry"
)

const (
	// outageHorizon is how long tokens must last from the begin of an outage of the store: instances were cut off from it for up to
	// 9 s. minOutageHorizon applies to outages that last longer.
	outageHorizon    = 9 * time.Second
	minOutageHorizon = 2 * time.Second
	// topUpHorizon is for how long the rest of a budget must last for the urgent requests of its customer: the least time in which
	// operators who see that it runs short raise it. A kill of all instances may park most of it, and callers at a desk wait for
	// an answer, while large prompts of less urgent routes would use up the rest in a few seconds.
	topUpHorizon = time.Minute
	// rationLogInterval is the minimum time between two log lines about rationed requests.
	rationLogInterval = time.Second
)

var (
	descRationed    = telemetry.Describe("prepaid.reserve.rationed", "requests", "Reservations refused because the tokens are kept for more urgent requests of the customer.")
	descRationFloor = telemetry.Describe("prepaid.ration.floor", "requests", "Reservations of a rank that was served too little, granted although more urgent requests need the tokens.")
)

// rations reports whether tokens are rationed by rank.
func (m *Manager) rations() bool { return m.config.Rations != nil && m.config.Rations() }

// mayTake decides whether a request may take tokens from the lease of this instance or enlarge it. It is false if they are kept for
// more urgent requests of the customer.
func (m *Manager) mayTake(customer string, a *account, rank int, tokens int64) bool {
	if !m.rations() {
		return true
	}
	now := m.config.Clock.Now()
	outage, lasts := m.storeUnavailable(now), m.untilSupply(now)
	d, supply := a.decideRation(rank, tokens, outage, lasts, now)
	if d.Floor {
		m.rationFloor.Inc(1)
	}
	if !d.Granted && m.mayLogRation(now) {
		m.config.Log.WithFields(log.Fields{
			"customer": customer, "rank": rank, "needed": tokens, "available": supply.Tokens, "kept": d.Kept, "lasts_ms": lasts.Milliseconds(), "outage": outage,
		}).Info("prepaid: tokens kept for more urgent requests")
	}
	return d.Granted
}

// UntilSupply returns the time after which a request that is refused for want of tokens may be served, or zero if tokens are not
// rationed.
func (m *Manager) UntilSupply() time.Duration {
	if !m.rations() {
		return 0
	}
	return m.untilSupply(m.config.Clock.Now())
}

// untilSupply returns for how long the available tokens must last.
func (m *Manager) untilSupply(now time.Time) time.Duration {
	if m.storeUnavailable(now) {
		return m.outageRemaining(now)
	}
	return topUpHorizon
}

// IsRationed reports whether a request of a rank would be refused now because the tokens are kept for more urgent ones, without a change
// of state. It is false where the token holder of the failure domain decides.
func (m *Manager) IsRationed(customer string, rank int, tokens int64) bool {
	m.mu.Lock()
	a := m.accounts[customer]
	m.mu.Unlock()
	if a == nil || !m.rations() || !m.actsAsTokenHolder() {
		return false
	}
	now := m.config.Clock.Now()
	outage, lasts := m.storeUnavailable(now), m.untilSupply(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	supply, known := a.rationSupply(outage, lasts)
	return known && !a.demandByRank.Peek(rank, tokens, supply, now).Granted
}

// outageRemaining returns for how long the outage of the store is expected to last.
func (m *Manager) outageRemaining(now time.Time) time.Duration {
	lasted := time.Duration(0)
	if began := m.outageBeganAt.Load(); began != 0 {
		lasted = time.Duration(now.UnixNano() - began)
	}
	return max(outageHorizon-lasted, minOutageHorizon)
}

// keptForUrgent returns how many tokens this instance does not lend to others because its own urgent requests need them in an
// outage of the store.
func (m *Manager) keptForUrgent(a *account) int64 {
	now := m.config.Clock.Now()
	if !m.rations() || !m.storeUnavailable(now) {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.demandByRank.Kept(m.outageRemaining(now), now)
}

// decideRation decides on a request.
func (a *account) decideRation(rank int, tokens int64, outage bool, lasts time.Duration, now time.Time) (ration.Decision, ration.Supply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	supply, known := a.rationSupply(outage, lasts)
	if !known {
		return ration.Decision{Granted: true}, supply
	}
	return a.demandByRank.Decide(rank, tokens, supply, now), supply
}

// rationSupply returns what can be given to requests. While the store is available, this instance's part of the remaining budget counts
// as available besides its lease. known is false if the ledger has not been read yet. a.mu must be held.
func (a *account) rationSupply(outage bool, lasts time.Duration) (supply ration.Supply, known bool) {
	supply = ration.Supply{Tokens: a.limit - a.used, Lasts: lasts}
	if outage {
		return supply, true
	}
	supply.Tokens += int64(a.share * float64(a.remaining))
	return supply, !a.readAt.IsZero()
}

// setShare records this instance's fraction of the customer's traffic.
func (a *account) setShare(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share = min(share, 1)
}

// mayLogRation reports whether a line about a rationed request may be logged now.
func (m *Manager) mayLogRation(now time.Time) bool {
	last := m.rationedLoggedAt.Load()
	return now.UnixNano()-last >= int64(rationLogInterval) && m.rationedLoggedAt.CompareAndSwap(last, now.UnixNano())
}
