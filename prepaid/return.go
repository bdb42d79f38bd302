package prepaid

import (
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/instance"
	"pumiceshelf/telemetry"
)

const (
	// idlePeriod is how long allocated tokens must have been available before they are returned. It is longer than an
	// allocation should last.
	idlePeriod = 5 * time.Second
	// minReturn is the number of tokens of a customer below which none are returned.
	minReturn = minLease / 3
)

var descReturned = telemetry.Describe("prepaid.loan.returned", "tokens", "Tokens passed back by instances that did not need them.")

// Return is a number of tokens by customer that an instance passes back to another one. Both are named by incarnation. A
// return that is repeated keeps its sequence, and the next one to the same receiver has a higher one.
type Return struct {
	Returner, Receiver instance.Incarnation
	Sequence           uint64
	Tokens             map[string]int64
}

// returnLog holds the highest sequence that was accepted from each returner. It is safe for concurrent use.
//
// Invariant: the tokens of a return are added to the accounts at most once, however late a repetition arrives.
type returnLog struct {
	mu      sync.Mutex
	highest map[instance.Incarnation]uint64
}

// accept records a return. It reports whether it is new.
func (l *returnLog) accept(r Return) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sequence <= l.highest[r.Returner] {
		return false
	}
	if l.highest == nil {
		l.highest = make(map[instance.Incarnation]uint64)
	}
	l.highest[r.Returner] = r.Sequence
	return true
}

// AcceptReturn adds the tokens that another instance passes back, unless an earlier call did. It returns false if they are for
// another incarnation, which may already have them.
func (m *Manager) AcceptReturn(r Return) bool {
	if r.Receiver != m.config.Incarnation {
		return false
	}
	if !m.returns.accept(r) {
		return true
	}
	for customer, tokens := range r.Tokens {
		if !isPossible(tokens) {
			m.config.Log.WithFields(log.Fields{"customer": customer, "returner": string(r.Returner), "tokens": tokens}).Warn("prepaid: impossible return of tokens ignored")
			continue
		}
		m.account(customer).addBorrowed(tokens)
		m.returned.Inc(tokens)
	}
	return true
}

// TakeBack makes tokens available again that Config.Return did not pass on.
func (m *Manager) TakeBack(tokens map[string]int64) {
	for customer, n := range tokens {
		m.account(customer).takeBack(n)
	}
}

// returnIdle passes the tokens on that were allocated to this instance and that it has not needed for idlePeriod. Leased
// tokens return with the next update of the ledger.
func (m *Manager) returnIdle() {
	now := m.config.Clock.Now()
	if m.config.Return == nil || m.storeUnavailable(now) || now.Sub(m.returnedAt) < idlePeriod {
		return
	}
	m.returnedAt = now
	idle := make(map[string]int64)
	for customer, a := range m.snapshotAccounts() {
		if tokens := a.takeIdle(minReturn); tokens > 0 {
			idle[customer] = tokens
		}
	}
	if len(idle) == 0 {
		return
	}
	if !m.config.Return(idle) {
		m.TakeBack(idle)
		return
	}
	m.config.Log.WithFields(log.Fields{"customers": len(idle), "tokens": sumOf(idle)}).Info("prepaid: idle tokens returned")
}

func sumOf(tokens map[string]int64) (sum int64) {
	for _, n := range tokens {
		sum += n
	}
	return sum
}
