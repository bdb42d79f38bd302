package prepaid

import "time"

// View is what this instance knows of a customer's budget.
type View struct {
	// Available is the number of tokens that the next request can reserve without asking others. It is zero while earlier requests
	// wait, because they go first.
	Available int64
	// Waiting is the number of requests that wait for tokens.
	Waiting int
	// Remaining is the part of the budget that the ledger had not committed when it was last read, Age the time since. Age is
	// negative if it was not read yet.
	Remaining int64
	Age       time.Duration
	// Reservable is the most that a request of this instance can reserve: what it has and what the ledger had not committed.
	Reservable int64
	// Leases is set if this instance leases tokens from the ledger. If not, it requests them from the token holder of its domain.
	Leases bool
}

// Exhausted reports whether a request for the tokens would be refused without asking others.
func (v View) Exhausted(tokens int64) bool {
	return v.Leases && v.Age >= 0 && v.Age <= maxExhaustedAge && tokens > v.Reservable
}

// View returns what this instance knows of a customer's budget, without a change of state.
func (m *Manager) View(customer string) View {
	out := View{Age: -1, Leases: m.actsAsTokenHolder()}
	m.mu.Lock()
	a := m.accounts[customer]
	m.mu.Unlock()
	if a == nil {
		return out
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out.Waiting, out.Remaining, out.Reservable = a.waiters.Len(), a.remaining, a.limit-a.used+a.remaining
	if out.Waiting == 0 {
		out.Available = max(a.limit-a.used, 0)
	}
	if !a.readAt.IsZero() {
		out.Age = m.config.Clock.Since(a.readAt)
	}
	return out
}
