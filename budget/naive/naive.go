// Package naive is a reference model of budgets: one process with one mutex and one set of counters per budget. It has
// complete information, so it determines what the fleet could have served: the fleet must never bill more, and a refusal
// by the fleet is a false refusal if this model grants the request.
package naive

import (
	"sync"

	"pumiceshelf/budget"
)

// Model holds budgets. It is safe for concurrent use.
type Model struct {
	mu      sync.Mutex
	budgets map[budget.ID]*account
}

type account struct {
	granted  budget.Tokens
	settled  budget.Tokens
	reserved budget.Tokens
	open     map[string]budget.Tokens
	billed   map[string]budget.Tokens
}

// New returns a model without budgets.
func New() *Model { return &Model{budgets: make(map[budget.ID]*account)} }

// Grant raises the granted total of a budget.
func (m *Model) Grant(id budget.ID, total budget.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.budgets[id]
	if a == nil {
		a = &account{open: make(map[string]budget.Tokens), billed: make(map[string]budget.Tokens)}
		m.budgets[id] = a
	}
	a.granted = max(a.granted, total)
}

// Reserve reserves bound tokens for a request, or returns false if too few are available. A request that is already
// reserved or billed is granted without a further reservation.
func (m *Model) Reserve(id budget.ID, requestID string, bound budget.Tokens) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.budgets[id]
	if a == nil {
		return false
	}
	_, open := a.open[requestID]
	_, billed := a.billed[requestID]
	if open || billed {
		return true
	}
	if a.settled+a.reserved+bound > a.granted {
		return false
	}
	a.open[requestID] = bound
	a.reserved += bound
	return true
}

// Settle bills a request once, at most at its bound. A request that did not run is settled with zero usage.
func (m *Model) Settle(id budget.ID, requestID string, usage budget.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.budgets[id]
	if a == nil {
		return
	}
	bound, open := a.open[requestID]
	if !open {
		return
	}
	delete(a.open, requestID)
	a.reserved -= bound
	a.settled += min(usage, bound)
	a.billed[requestID] = min(usage, bound)
}

// Release removes the reservation of a request that did not run. The request may be reserved again.
func (m *Model) Release(id budget.ID, requestID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.budgets[id]
	if a == nil {
		return
	}
	a.reserved -= a.open[requestID]
	delete(a.open, requestID)
}

// Available returns the tokens that are neither billed nor reserved.
func (m *Model) Available(id budget.ID) budget.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.budgets[id]
	if a == nil {
		return 0
	}
	return a.granted - a.settled - a.reserved
}

// Billed returns the billed tokens of a budget.
func (m *Model) Billed(id budget.ID) budget.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.budgets[id]; a != nil {
		return a.settled
	}
	return 0
}
