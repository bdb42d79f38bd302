package budget

import (
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

// part names the package in invariant violations.
const part = "budget"

// Version is a version of a ledger in the platform. Zero means that the ledger does not exist yet.
type Version uint64

// Edit builds the next version of a customer's ledger. The ledger it started from is not changed.
type Edit struct {
	next    *api.CustomerLedger
	changed bool
}

// Begin starts an edit of a ledger. A nil ledger is one that does not exist yet.
func Begin(customer string, ledger *api.CustomerLedger) *Edit {
	if ledger == nil {
		return &Edit{next: &api.CustomerLedger{Customer: customer}}
	}
	return &Edit{next: proto.Clone(ledger).(*api.CustomerLedger)}
}

// Finish checks the ledger's invariant and returns the next version and whether it differs from the one begun with.
func (e *Edit) Finish() (*api.CustomerLedger, bool) {
	CheckLedger(e.next)
	return e.next, e.changed
}

// CheckLedger stops the process when a ledger promises more tokens than were granted.
func CheckLedger(l *api.CustomerLedger) {
	for _, b := range l.Budgets {
		invariant.Check(committed(b) <= b.Granted+b.Refunded, part,
			"ledger of %s/%s commits %d of %d granted and %d refunded", l.Customer, b.Budget, committed(b), b.Granted, b.Refunded)
		for _, lease := range b.Leases {
			checkLease(lease)
		}
	}
}

func checkLease(l *api.QuotaLease) {
	if l.Closed {
		invariant.Check(l.Settled <= l.Bound, part, "closed lease %s settled %d over its bound %d", l.Id, l.Settled, l.Bound)
		return
	}
	invariant.Check(l.Settled <= l.Taken, part, "lease %s settled %d of %d taken", l.Id, l.Settled, l.Taken)
}

// committed is what a budget has spent, may have spent and has promised to leases.
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

// Free returns the tokens of a budget that no lease holds and nothing has spent.
func Free(b *api.BudgetLedger) Tokens {
	if b == nil {
		return 0
	}
	return Tokens(b.Granted + b.Refunded - committed(b))
}

// Unspent returns the most that could still be reserved from a budget if every open lease gave all back.
func Unspent(b *api.BudgetLedger) Tokens {
	if b == nil {
		return 0
	}
	left := b.Granted + b.Refunded - b.ClosedSpend - b.Unresolved
	for _, l := range b.Leases {
		if l.Closed {
			left -= l.Bound
		} else {
			left -= l.Settled
		}
	}
	return Tokens(left)
}

func (e *Edit) budget(name string) *api.BudgetLedger {
	if b := Budget(e.next, name); b != nil {
		return b
	}
	b := &api.BudgetLedger{Budget: name}
	e.next.Budgets = append(e.next.Budgets, b)
	return b
}

// Touch makes the edit a change even if nothing differs, so that updates sent earlier can no longer be written.
func (e *Edit) Touch() { e.changed = true }

// raise sets a total that only grows.
func (e *Edit) raise(field *uint64, total Tokens) {
	if uint64(total) > *field {
		*field = uint64(total)
		e.changed = true
	}
}

// Grant raises the granted total of a budget. A lower total, of an older bundle, changes nothing.
func (e *Edit) Grant(budget string, total Tokens) {
	b := e.budget(budget)
	e.raise(&b.Granted, total)
}

// Refund raises the refunded total of a budget.
func (e *Edit) Refund(budget string, total Tokens) {
	b := e.budget(budget)
	e.raise(&b.Refunded, total)
}

// Changed says whether the edit differs so far from the ledger begun with.
func (e *Edit) Changed() bool { return e.changed }

// Entry returns the entry of a budget as edited so far, or nil. The caller must not change it.
func (e *Edit) Entry(budget string) *api.BudgetLedger { return Budget(e.next, budget) }

// Free returns the tokens of a budget that can be taken.
func (e *Edit) Free(budget string) Tokens { return Free(Budget(e.next, budget)) }

// Owner names what a new lease belongs to.
type Owner struct {
	LeaseID     string
	Domain      string
	Incarnation string
}

// Take adds up to want tokens to a lease, which it opens if need be, and returns how many it added.
// Less than least adds nothing.
func (e *Edit) Take(budget string, o Owner, want, least Tokens, nowUnixMs int64) Tokens {
	b := e.budget(budget)
	added := min(want, Free(b))
	if added < least || added == 0 {
		return 0
	}
	l := FindLease(b, o.LeaseID)
	if l == nil {
		l = &api.QuotaLease{Id: o.LeaseID, Domain: o.Domain, Holder: o.Incarnation, TakenUnixMs: nowUnixMs}
		b.Leases = append(b.Leases, l)
	}
	if l.Closed {
		return 0
	}
	l.Taken += uint64(added)
	e.changed = true
	return added
}

// Settle raises the settled total of a lease, open or closed, and its count of segments.
func (e *Edit) Settle(budget, lease string, settled Tokens, segments uint64) {
	if l := FindLease(Budget(e.next, budget), lease); l != nil {
		e.raise(&l.Settled, settled)
		e.raise(&l.Segments, Tokens(segments))
	}
}

// RaiseCeiling raises what a holder may spend without acknowledgement.
func (e *Edit) RaiseCeiling(budget, lease string, total Tokens) {
	if l := FindLease(Budget(e.next, budget), lease); l != nil && !l.Closed {
		e.raise(&l.Ceiling, min(total, Tokens(l.Taken)))
	}
}

// SetDemand publishes the holder's average demand.
func (e *Edit) SetDemand(budget, lease string, perMinute uint64) {
	l := FindLease(Budget(e.next, budget), lease)
	if l != nil && l.DemandPerMinute != perMinute {
		l.DemandPerMinute = perMinute
	}
}

// ChangeWitnesses names other witnesses of a lease. The ceiling is raised in the same version to what the old ones
// had acknowledged, because a reclaimer will not ask them any more.
func (e *Edit) ChangeWitnesses(budget, lease string, witnesses []string, acknowledged Tokens) {
	l := FindLease(Budget(e.next, budget), lease)
	if l == nil || l.Closed {
		return
	}
	// The ceiling may pass what is taken: after a return and a later take the holder's watermark still counts.
	e.raise(&l.Ceiling, acknowledged)
	l.Witnesses = append([]string(nil), witnesses...)
	e.changed = true
}

// Return lowers what a lease has taken to keep.
func (e *Edit) Return(budget, lease string, keep Tokens) {
	l := FindLease(Budget(e.next, budget), lease)
	if l == nil || l.Closed || uint64(keep) >= l.Taken {
		return
	}
	l.Taken = max(uint64(keep), l.Settled)
	e.changed = true
}

// Close ends a lease by its holder, which has no open reservations under it.
func (e *Edit) Close(budget, lease string, settled Tokens) {
	b := Budget(e.next, budget)
	l := FindLease(b, lease)
	if l == nil || l.Closed {
		return
	}
	invariant.Check(uint64(settled) <= l.Taken && uint64(settled) >= l.Settled, part,
		"lease %s closed with %d settled, %d before, %d taken", lease, settled, l.Settled, l.Taken)
	b.ClosedSpend += uint64(settled)
	e.drop(b, lease)
}

// Reclaim ends a lease of another holder that can have spent at most bound. It stays listed until records account for it.
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
	e.resolve(b, l)
}

// Resolve raises what records account for of a closed lease. A lease accounted for in full leaves the list.
func (e *Edit) Resolve(budget, lease string, recorded Tokens) {
	b := Budget(e.next, budget)
	l := FindLease(b, lease)
	if l == nil || !l.Closed {
		return
	}
	e.raise(&l.Settled, min(recorded, Tokens(l.Bound)))
	e.resolve(b, l)
}

func (e *Edit) resolve(b *api.BudgetLedger, l *api.QuotaLease) {
	if l.Settled == l.Bound {
		b.ClosedSpend += l.Settled
		e.drop(b, l.Id)
	}
}

// Forget folds the oldest closed leases over the limit into the budget's totals, so that the ledger stays bounded.
func (e *Edit) Forget(budget string, limit int) {
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
		e.drop(b, l.Id)
		closed--
	}
}

func (e *Edit) drop(b *api.BudgetLedger, lease string) {
	kept := b.Leases[:0]
	for _, l := range b.Leases {
		if l.Id != lease {
			kept = append(kept, l)
		}
	}
	b.Leases = kept
	e.changed = true
}

// Want marks that a domain lacks tokens; zero tokens takes the mark away.
func (e *Edit) Want(budget, domain string, tokens Tokens, nowUnixMs int64) {
	b := e.budget(budget)
	kept := b.Wants[:0]
	var mine *api.Want
	for _, w := range b.Wants {
		if w.Domain == domain {
			mine = w
		} else {
			kept = append(kept, w)
		}
	}
	b.Wants = kept
	if tokens == 0 {
		e.changed = e.changed || mine != nil
		return
	}
	if mine == nil {
		mine = &api.Want{Domain: domain, SinceUnixMs: nowUnixMs}
	}
	e.changed = e.changed || mine.Tokens != uint64(tokens)
	mine.Tokens = uint64(tokens)
	b.Wants = append(b.Wants, mine)
}

// Spare returns the free tokens that no other domain wants.
func Spare(b *api.BudgetLedger, domain string) Tokens {
	var wants Tokens
	for _, w := range b.GetWants() {
		if w.Domain != domain {
			wants += Tokens(w.Tokens)
		}
	}
	free := Free(b)
	return free - min(free, wants)
}

// Wanted returns the tokens that other domains lack beyond what is free.
func Wanted(b *api.BudgetLedger, domain string) Tokens {
	var sum Tokens
	for _, w := range b.GetWants() {
		if w.Domain != domain {
			sum += Tokens(w.Tokens)
		}
	}
	return sum - min(sum, Free(b))
}
