package budget

import (
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

// component names the package in invariant violations.
const component = "budget"

// Version is the version of a ledger in the object store. Zero means that the ledger does not exist yet.
type Version uint64

// Edit builds the next version of a customer's ledger. It does not modify the ledger that it started from.
type Edit struct {
	next    *api.CustomerLedger
	changed bool
}

// Begin starts an edit of a ledger. A nil ledger does not exist yet.
func Begin(customer string, ledger *api.CustomerLedger) *Edit {
	if ledger == nil {
		return &Edit{next: &api.CustomerLedger{Customer: customer}}
	}
	return &Edit{next: proto.Clone(ledger).(*api.CustomerLedger)}
}

// Finish checks the ledger's invariants, returns the next version and reports whether it must be written.
func (e *Edit) Finish() (*api.CustomerLedger, bool) {
	CheckLedger(e.next)
	return e.next, e.changed
}

// CheckLedger stops the process if a ledger commits more tokens than were granted and refunded, or if a lease has
// settled more than it acquired or, once closed, more than its bound.
func CheckLedger(l *api.CustomerLedger) {
	for _, b := range l.Budgets {
		invariant.Check(committed(b) <= b.Granted+b.Refunded, component,
			"ledger of %s/%s commits %d tokens, %d granted and %d refunded", l.Customer, b.Budget, committed(b), b.Granted, b.Refunded)
		for _, lease := range b.Leases {
			checkLease(lease)
		}
	}
}

func checkLease(l *api.QuotaLease) {
	if l.Closed {
		invariant.Check(l.Settled <= l.Bound, component, "closed lease %s settled %d tokens, bound is %d", l.Id, l.Settled, l.Bound)
		return
	}
	invariant.Check(l.Settled <= l.Taken, component, "lease %s settled %d tokens of %d acquired", l.Id, l.Settled, l.Taken)
}

// committed returns the tokens of a budget that are spent, may have been spent or belong to open leases.
func committed(b *api.BudgetLedger) uint64 {
	sum := b.ClosedSpend + b.Unresolved
	for _, l := range b.Leases {
		if l.Closed {
			sum += l.Bound
		} else {
			sum += l.Taken
		}
	}
	return sum
}

// Budget returns the entry of a budget, or nil.
func Budget(l *api.CustomerLedger, budget string) *api.BudgetLedger {
	for _, b := range l.GetBudgets() {
		if b.Budget == budget {
			return b
		}
	}
	return nil
}

// FindLease returns the entry of a lease, or nil.
func FindLease(b *api.BudgetLedger, id string) *api.QuotaLease {
	for _, l := range b.GetLeases() {
		if l.Id == id {
			return l
		}
	}
	return nil
}

// Free returns the tokens of a budget that leases can acquire: those neither spent nor committed to a lease.
func Free(b *api.BudgetLedger) Tokens {
	if b == nil {
		return 0
	}
	return Tokens(b.Granted + b.Refunded - committed(b))
}

// Unspent returns the maximum that could still be reserved from a budget if every open lease returned its unused tokens.
func Unspent(b *api.BudgetLedger) Tokens {
	if b == nil {
		return 0
	}
	unspent := b.Granted + b.Refunded - b.ClosedSpend - b.Unresolved
	for _, l := range b.Leases {
		if l.Closed {
			unspent -= l.Bound
		} else {
			unspent -= l.Settled
		}
	}
	return Tokens(unspent)
}

func (e *Edit) ensureBudget(name string) *api.BudgetLedger {
	if b := Budget(e.next, name); b != nil {
		return b
	}
	b := &api.BudgetLedger{Budget: name}
	e.next.Budgets = append(e.next.Budgets, b)
	return b
}

// Touch makes Finish report a change even if nothing differs. Writing the edit then creates a new version, so that updates
// sent earlier for the same version can no longer be written.
func (e *Edit) Touch() { e.changed = true }

// raiseTotal raises a total that never decreases.
func (e *Edit) raiseTotal(field *uint64, total Tokens) {
	if uint64(total) > *field {
		*field = uint64(total)
		e.changed = true
	}
}

// Grant raises the granted total of a budget. A lower total comes from an older bundle and is ignored.
func (e *Edit) Grant(budget string, total Tokens) {
	b := e.ensureBudget(budget)
	e.raiseTotal(&b.Granted, total)
}

// Refund raises the refunded total of a budget.
func (e *Edit) Refund(budget string, total Tokens) {
	b := e.ensureBudget(budget)
	e.raiseTotal(&b.Refunded, total)
}

// Changed reports whether the edit contains a change so far.
func (e *Edit) Changed() bool { return e.changed }

// Entry returns the entry of a budget as edited so far, or nil. The caller must not modify it.
func (e *Edit) Entry(budget string) *api.BudgetLedger { return Budget(e.next, budget) }

// Free returns the tokens of a budget that leases can acquire.
func (e *Edit) Free(budget string) Tokens { return Free(Budget(e.next, budget)) }

// LeaseIdentity identifies a new lease, and its holder with the holder's failure domain.
type LeaseIdentity struct {
	LeaseID string
	Domain  string
	Holder  string
}

// Acquire adds up to want tokens to a lease, opens the lease if it is not listed, and returns how many tokens it added.
// It adds none if fewer than minimum are free.
func (e *Edit) Acquire(budget string, id LeaseIdentity, want, minimum Tokens, nowUnixMs int64) Tokens {
	b := e.ensureBudget(budget)
	added := min(want, Free(b))
	if added < minimum || added == 0 {
		return 0
	}
	l := FindLease(b, id.LeaseID)
	if l == nil {
		l = &api.QuotaLease{Id: id.LeaseID, Domain: id.Domain, Holder: id.Holder, TakenUnixMs: nowUnixMs}
		b.Leases = append(b.Leases, l)
	}
	if l.Closed {
		return 0
	}
	l.Taken += uint64(added)
	e.changed = true
	return added
}

// Settle raises the settled total and the segment count of a lease, open or closed.
func (e *Edit) Settle(budget, lease string, settled Tokens, segments uint64) {
	if l := FindLease(Budget(e.next, budget), lease); l != nil {
		e.raiseTotal(&l.Settled, settled)
		e.raiseTotal(&l.Segments, Tokens(segments))
	}
}

// RaiseCeiling raises the total that the holder may spend without acknowledgement, at most to the acquired tokens.
func (e *Edit) RaiseCeiling(budget, lease string, total Tokens) {
	if l := FindLease(Budget(e.next, budget), lease); l != nil && !l.Closed {
		e.raiseTotal(&l.Ceiling, min(total, Tokens(l.Taken)))
	}
}

// SetDemand publishes the holder's average demand. It does not by itself make Finish report a change.
func (e *Edit) SetDemand(budget, lease string, perMinute uint64) {
	l := FindLease(Budget(e.next, budget), lease)
	if l != nil && l.DemandPerMinute != perMinute {
		l.DemandPerMinute = perMinute
	}
}

// ChangeWitnesses replaces the witnesses of a lease. The same version raises the ceiling to the total that the previous
// witnesses acknowledged, because a reclaimer no longer queries them.
func (e *Edit) ChangeWitnesses(budget, lease string, witnesses []string, acknowledged Tokens) {
	l := FindLease(Budget(e.next, budget), lease)
	if l == nil || l.Closed {
		return
	}
	// The ceiling may exceed the acquired tokens: the holder's watermark remains valid if it returns tokens and acquires
	// more later.
	e.raiseTotal(&l.Ceiling, acknowledged)
	l.Witnesses = append([]string(nil), witnesses...)
	e.changed = true
}

// Return lowers the acquired tokens of a lease to keep, but not below the settled total.
func (e *Edit) Return(budget, lease string, keep Tokens) {
	l := FindLease(Budget(e.next, budget), lease)
	if l == nil || l.Closed || uint64(keep) >= l.Taken {
		return
	}
	l.Taken = max(uint64(keep), l.Settled)
	e.changed = true
}

// Close closes a lease on behalf of its holder, which must have no open reservations under it.
func (e *Edit) Close(budget, lease string, settled Tokens) {
	b := Budget(e.next, budget)
	l := FindLease(b, lease)
	if l == nil || l.Closed {
		return
	}
	invariant.Check(uint64(settled) <= l.Taken && uint64(settled) >= l.Settled, component,
		"lease %s closed with %d tokens settled, %d settled before, %d acquired", lease, settled, l.Settled, l.Taken)
	b.ClosedSpend += uint64(settled)
	e.removeLease(b, lease)
}

// Reclaim closes a lease of another holder that has spent at most bound. The lease remains listed until usage records
// account for the whole bound.
func (e *Edit) Reclaim(budget, lease, reclaimer string, bound Tokens) {
	b := Budget(e.next, budget)
	l := FindLease(b, lease)
	if l == nil || l.Closed {
		return
	}
	l.Closed = true
	l.Bound = max(min(uint64(bound), l.Taken), l.Settled)
	l.Reclaimer = reclaimer
	e.changed = true
	e.removeIfResolved(b, l)
}

// Resolve raises the total that usage records account for under a closed lease. A lease whose whole bound is accounted for
// is removed from the list.
func (e *Edit) Resolve(budget, lease string, recorded Tokens) {
	b := Budget(e.next, budget)
	l := FindLease(b, lease)
	if l == nil || !l.Closed {
		return
	}
	e.raiseTotal(&l.Settled, min(recorded, Tokens(l.Bound)))
	e.removeIfResolved(b, l)
}

func (e *Edit) removeIfResolved(b *api.BudgetLedger, l *api.QuotaLease) {
	if l.Settled == l.Bound {
		b.ClosedSpend += l.Settled
		e.removeLease(b, l.Id)
	}
}

// CompactClosed folds the oldest closed leases beyond limit into the budget's totals, so that the ledger stays bounded.
func (e *Edit) CompactClosed(budget string, limit int) {
	b := Budget(e.next, budget)
	closed := 0
	for _, l := range b.GetLeases() {
		if l.Closed {
			closed++
		}
	}
	for i := 0; closed > limit; {
		l := b.Leases[i]
		if !l.Closed {
			i++
			continue
		}
		b.ClosedSpend += l.Settled
		b.Unresolved += l.Bound - l.Settled
		e.removeLease(b, l.Id)
		closed--
	}
}

func (e *Edit) removeLease(b *api.BudgetLedger, lease string) {
	kept := b.Leases[:0]
	for _, l := range b.Leases {
		if l.Id != lease {
			kept = append(kept, l)
		}
	}
	b.Leases = kept
	e.changed = true
}

// SetWant records how many tokens a domain lacks; zero removes the record.
func (e *Edit) SetWant(budget, domain string, tokens Tokens, nowUnixMs int64) {
	b := e.ensureBudget(budget)
	kept := b.Wants[:0]
	var own *api.Want
	for _, w := range b.Wants {
		if w.Domain == domain {
			own = w
		} else {
			kept = append(kept, w)
		}
	}
	b.Wants = kept
	if tokens == 0 {
		e.changed = e.changed || own != nil
		return
	}
	if own == nil {
		own = &api.Want{Domain: domain, SinceUnixMs: nowUnixMs}
	}
	e.changed = e.changed || own.Tokens != uint64(tokens)
	own.Tokens = uint64(tokens)
	b.Wants = append(b.Wants, own)
}

// AvailableTo returns the tokens that a domain may acquire: the free tokens less those that other domains lack.
func AvailableTo(b *api.BudgetLedger, domain string) Tokens {
	var wants Tokens
	for _, w := range b.GetWants() {
		if w.Domain != domain {
			wants += Tokens(w.Tokens)
		}
	}
	available := Free(b)
	return available - min(available, wants)
}

// UnmetWants returns how many tokens other domains lack that the free tokens do not cover.
func UnmetWants(b *api.BudgetLedger, domain string) Tokens {
	var wants Tokens
	for _, w := range b.GetWants() {
		if w.Domain != domain {
			wants += Tokens(w.Tokens)
		}
	}
	return wants - min(wants, Free(b))
}
