package quota

import (
	"fmt"
	"slices"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// plan edits the account's entry in the ledger and binds its lease to what the edit promises. It returns the lease that
// the edit changes, or nil. The caller holds a.mu.
func (b *ledgerBook) plan(e *budget.Edit, a *account, version budget.Version, now time.Time) *heldLease {
	a.demand.Update(now)
	name := a.id.Budget
	if a.granted > 0 {
		e.Grant(name, b.m.holder.refreshGranted(a))
	}
	e.CompactClosed(name, closedLeaseLimit)
	if l := a.lease; l != nil && l.Listed() && b.leaving(a, now) {
		e.SetWant(name, b.m.domain, 0, 0)
		return b.giveUpLease(e, a, version)
	}
	if l := a.lease; l != nil && !l.Listed() && !l.UpdatePending() && len(a.waiters) == 0 {
		a.lease = nil
	}
	if a.lease == nil && len(a.waiters) == 0 {
		e.SetWant(name, b.m.domain, 0, 0)
		return nil
	}
	if a.lease == nil {
		id := fmt.Sprintf("%s/%d", b.m.self, b.m.holder.leases.Add(1))
		a.lease = &heldLease{Lease: budget.NewLease(id)}
	}
	return b.planLease(e, a, version, now)
}

// leaving says whether the account's lease should go back whole.
func (b *ledgerBook) leaving(a *account, now time.Time) bool {
	unused := now.Sub(a.lastUsed)
	switch {
	case b.m.holder.draining.Load():
		return true
	case len(a.waiters) > 0:
		return false
	case unused >= idleAfter:
		return true
	default:
		return unused >= strangerKeep && !b.m.owns(a.id)
	}
}

// giveUpLease closes the lease, or gives back what is not in use while requests are open or not on record.
func (b *ledgerBook) giveUpLease(e *budget.Edit, a *account, version budget.Version) *heldLease {
	l := a.lease
	change := budget.Change{Keep: l.Used()}
	e.Settle(a.id.Budget, l.ID(), l.durable, l.segments)
	if l.OpenRequests() == 0 && l.queued == 0 {
		change.Close = true
		l.returned = true
		e.Close(a.id.Budget, l.ID(), l.Settled())
		b.m.counters.givenBack.Inc(1)
	} else {
		e.RaiseCeiling(a.id.Budget, l.ID(), l.Used())
		e.Return(a.id.Budget, l.ID(), change.Keep)
	}
	if l.UpdatePending() {
		e.Touch()
	}
	l.BeginUpdate(version, change)
	return l
}

// planLease sizes the lease, raises its ceiling and names its witnesses.
func (b *ledgerBook) planLease(e *budget.Edit, a *account, version budget.Version, now time.Time) *heldLease {
	l, name := a.lease, a.id.Budget
	entry := e.Entry(name)
	change := budget.Change{Keep: l.Acquired()}
	if l.UpdatePending() {
		e.Touch()
	}
	e.Settle(name, l.ID(), l.durable, l.segments)
	ahead := a.ahead(b.m.cfg.ceilingAhead())
	target := b.target(a, entry)
	owner := budget.Owner{LeaseID: l.ID(), Domain: b.m.domain, Incarnation: b.m.self}
	wanted := len(a.waiters) == 0 && budget.UnmetWants(entry, b.m.domain) > 0
	if !wanted && l.Acquired() < l.Used()+max(target, ahead) {
		want := l.Used() + max(target+target/refillPart, ahead) - l.Acquired()
		if len(a.waiters) == 0 {
			want = min(want, budget.AvailableTo(entry, b.m.domain))
		}
		e.Acquire(name, owner, want, 1, now.UnixMilli())
	} else if keep := b.keep(a, entry, target, ahead); keep < l.Acquired() {
		change.Keep = keep
		e.Return(name, l.ID(), keep)
	}
	e.SetDemand(name, l.ID(), uint64(a.demand.Over(time.Minute)))
	b.markWant(e, a, now)
	b.raise(e, a, ahead)
	b.nameWitnesses(e, a, &change)
	l.BeginUpdate(version, change)
	return l
}

// target returns the unused tokens that the lease should have at all times.
func (b *ledgerBook) target(a *account, entry *api.BudgetLedger) budget.Tokens {
	mine := a.demand.PerSecond()
	want := a.demand.Over(b.m.cfg.leaseTime())
	if floor := a.firstLease(); want < floor && b.m.cfg.Policy != PolicySmall {
		want = floor
	}
	all := mine
	for _, l := range entry.GetLeases() {
		if !l.Closed && l.Holder != b.m.self {
			all += float64(l.DemandPerMinute) / time.Minute.Seconds()
		}
	}
	if mine == 0 && all > 0 || all == 0 {
		return min(want, max(budget.Unspent(entry)/4, a.waiting()))
	}
	return min(want, max(budget.Share(budget.Unspent(entry), mine, all), a.waiting()))
}

// firstLease sizes a lease while little demand was seen.
func (a *account) firstLease() budget.Tokens {
	largest := a.demand.LargestBound()
	for _, w := range a.waiters {
		largest = max(largest, w.bound)
	}
	return largest * firstLeaseRequests
}

// keep returns the total to keep, less than taken when other domains want tokens or the lease is far over its target.
// A want is met with half of what is unused if that is more, so that it need not be marked again for each request.
func (b *ledgerBook) keep(a *account, entry *api.BudgetLedger, target, ahead budget.Tokens) budget.Tokens {
	l := a.lease
	if len(a.waiters) > 0 {
		return l.Acquired()
	}
	if wanted := budget.UnmetWants(entry, b.m.domain); wanted > 0 {
		return l.Acquired() - min(l.Unused(), max(wanted, l.Unused()/2))
	}
	if surplus := 2 * max(target, ahead); l.Unused() > surplus {
		return l.Used() + max(target, ahead)
	}
	return l.Acquired()
}

// markWant marks or unmarks that this domain lacks tokens for requests that wait.
func (b *ledgerBook) markWant(e *budget.Edit, a *account, now time.Time) {
	l, name := a.lease, a.id.Budget
	var taken budget.Tokens
	if rec := budget.FindLease(e.Entry(name), l.ID()); rec != nil {
		taken = budget.Tokens(rec.Taken)
	}
	need := l.Used() + a.waiting()
	if len(a.waiters) == 0 || need <= taken {
		e.SetWant(name, b.m.domain, 0, 0)
		return
	}
	e.SetWant(name, b.m.domain, need-taken, now.UnixMilli())
}

// raise raises the ceiling ahead of use, or to all that is taken where no witness is used.
func (b *ledgerBook) raise(e *budget.Edit, a *account, ahead budget.Tokens) {
	l, name := a.lease, a.id.Budget
	rec := budget.FindLease(e.Entry(name), l.ID())
	switch {
	case rec == nil:
	case !b.m.cfg.acknowledges():
		e.RaiseCeiling(name, l.ID(), budget.Tokens(rec.Taken))
	case e.Changed() || a.short || len(a.waiters) > 0:
		e.RaiseCeiling(name, l.ID(), l.Used()+ahead)
	}
}

// nameWitnesses replaces witnesses that are gone or have sealed, and fills up their number.
func (b *ledgerBook) nameWitnesses(e *budget.Edit, a *account, change *budget.Change) {
	l, name := a.lease, a.id.Budget
	rec := budget.FindLease(e.Entry(name), l.ID())
	if rec == nil || !b.m.cfg.acknowledges() {
		return
	}
	chosen := b.m.chooseWitnesses(l)
	if slices.Equal(chosen, rec.Witnesses) {
		return
	}
	change.Witnesses, change.ChangeWitnesses = chosen, true
	e.ChangeWitnesses(name, l.ID(), chosen, l.Watermark())
}

// chooseWitnesses keeps the witnesses that still serve and adds live instances of the domain.
func (m *Manager) chooseWitnesses(l *heldLease) []string {
	ranked := m.cfg.View.Ranked("witness/" + l.ID())
	live := make(map[string]bool, len(ranked))
	for _, i := range ranked {
		live[i.Incarnation] = i.Incarnation != m.self && !l.IsSealedBy(i.Incarnation)
	}
	var out []string
	for _, w := range l.Witnesses() {
		if live[w] {
			out = append(out, w)
		}
	}
	for _, i := range ranked {
		if len(out) < witnessCount && live[i.Incarnation] && !slices.Contains(out, i.Incarnation) {
			out = append(out, i.Incarnation)
		}
	}
	return out
}
