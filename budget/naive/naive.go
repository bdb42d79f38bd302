// Package naive keeps budgets in one process with one mutex and one counter each. It has a perfect view, so it is the
// judge of what the fleet could have served: the fleet must never bill more, and a refusal of the fleet is false where
// this package grants.
package naive

import (
	"sync"

	"pumiceshelf/budget"
)

// Keeper holds budgets. It is safe for concurrent use.
type Keeper struct {
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

// New returns a keeper without budgets.
func New() *Keeper { return &Keeper{budgets: make(map[budget.ID]*account)} }

// Grant raises the granted total of a budget.
func (k *Keeper) Grant(id budget.ID, total budget.Tokens) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.budgets[id]
	if a == nil {
		a = &account{open: make(map[string]budget.Tokens), billed: make(map[string]budget.Tokens)}
		k.budgets[id] = a
	}
	a.granted = max(a.granted, total)
}

// Reserve holds bound tokens for a request, or returns false.
func (k *Keeper) Reserve(id budget.ID, requestID string, bound budget.Tokens) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.budgets[id]
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

// Settle bills a request once, at most its bound. A request that did not run is billed zero tokens.
func (k *Keeper) Settle(id budget.ID, requestID string, usage budget.Tokens) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.budgets[id]
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

// Release ends a reservation of a request that did not run. The request may be reserved again.
func (k *Keeper) Release(id budget.ID, requestID string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.budgets[id]
	if a == nil {
		return
	}
	a.reserved -= a.open[requestID]
	delete(a.open, requestID)
}

// Left returns the tokens that are neither billed nor reserved.
func (k *Keeper) Left(id budget.ID) budget.Tokens {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.budgets[id]
	if a == nil {
		return 0
	}
	return a.granted - a.settled - a.reserved
}

// Billed returns the tokens billed.
func (k *Keeper) Billed(id budget.ID) budget.Tokens {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.budgets[id]; a != nil {
		return a.settled
	}
	return 0
}
