package quota

import (
	"fmt"
	"slices"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// planAccount edits the account's entry in the ledger and, before the edit is sent, restricts the lease to what the edit
// leaves it. It returns the lease that the edit changes, or nil. The caller holds a.mu.
func (c *ledgerCache) planAccount(e *budget.Edit, a *account, version budget.Version, now time.Time) *heldLease {
	a.demand.Update(now)
	name := a.id.Budget
	if a.granted > 0 {
		e.Grant(name, c.m.holder.raiseGranted(a))
	}
	e.CompactClosed(name, maxClosedLeases)
	if l := a.lease; l != nil && l.Listed() && c.shouldReturnLease(a, now) {
		e.SetWant(name, c.m.domain, 0, 0)
		return c.planReturn(e, a, version)
	}
	if l := a.lease; l != nil && !l.Listed() && !l.UpdatePending() && len(a.waiters) == 0 {
		a.lease = nil
	}
	if a.lease == nil && len(a.waiters) == 0 {
		e.SetWant(name, c.m.domain, 0, 0)
		return nil
	}
	if a.lease == nil {
		id := fmt.Sprintf("%s/%d", c.m.self, c.m.holder.leaseNumber.Add(1))
		a.lease = &heldLease{Lease: budget.NewLease(id)}
	}
	return c.planLease(e, a, version, now)
}

// shouldReturnLease reports whether the account's whole lease should be returned.
func (c *ledgerCache) shouldReturnLease(a *account, now time.Time) bool {
	idleTime := now.Sub(a.lastUsed)
	switch {
	case c.m.holder.draining.Load():
		return true
	case len(a.waiters) > 0:
		return false
	case idleTime >= idleLeaseTimeout:
		return true
	default:
		return idleTime >= nonOwnerLeaseTimeout && !c.m.owns(a.id)
	}
}

// planReturn closes the lease. While it has open requests or queued records, it returns the unused tokens instead.
func (c *ledgerCache) planReturn(e *budget.Edit, a *account, version budget.Version) *heldLease {
	l := a.lease
	change := budget.Change{Keep: l.Used()}
	e.Settle(a.id.Budget, l.ID(), l.durableTokens, l.durableSegments)
	if l.OpenRequests() == 0 && l.queuedTokens == 0 {
		change.Close = true
		l.closedByHolder = true
		e.Close(a.id.Budget, l.ID(), l.Settled())
		c.m.counters.leaseReturned.Inc(1)
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

// planLease sizes the lease, raises its ceiling and updates its witnesses.
func (c *ledgerCache) planLease(e *budget.Edit, a *account, version budget.Version, now time.Time) *heldLease {
	l, name := a.lease, a.id.Budget
	entry := e.Entry(name)
	change := budget.Change{Keep: l.Acquired()}
	if l.UpdatePending() {
		e.Touch()
	}
	e.Settle(name, l.ID(), l.durableTokens, l.durableSegments)
	headroom := a.headroom(c.m.cfg.ceilingAhead())
	target := c.targetUnused(a, entry)
	identity := budget.LeaseIdentity{LeaseID: l.ID(), Domain: c.m.domain, Holder: c.m.self}
	wantedByOthers := len(a.waiters) == 0 && budget.UnmetWants(entry, c.m.domain) > 0
	if !wantedByOthers && l.Acquired() < l.Used()+max(target, headroom) {
		want := l.Used() + max(target+target/refillDivisor, headroom) - l.Acquired()
		if len(a.waiters) == 0 {
			want = min(want, budget.AvailableTo(entry, c.m.domain))
		}
		e.Acquire(name, identity, want, 1, now.UnixMilli())
	} else if keep := c.tokensToKeep(a, entry, target, headroom); keep < l.Acquired() {
		change.Keep = keep
		e.Return(name, l.ID(), keep)
	}
	e.SetDemand(name, l.ID(), uint64(a.demand.Over(time.Minute)))
	c.markWant(e, a, now)
	c.raiseCeiling(e, a, headroom)
	c.updateWitnesses(e, a, &change)
	l.BeginUpdate(version, change)
	return l
}

// targetUnused returns the number of unused tokens that the lease should have at all times.
func (c *ledgerCache) targetUnused(a *account, entry *api.BudgetLedger) budget.Tokens {
	ownDemand := a.demand.PerSecond()
	want := a.demand.Over(c.m.cfg.leaseCoverage())
	if floor := a.minLeaseTokens(); want < floor && c.m.cfg.Policy != PolicySmall {
		want = floor
	}
	totalDemand := ownDemand
	for _, l := range entry.GetLeases() {
		if !l.Closed && l.Holder != c.m.self {
			totalDemand += float64(l.DemandPerMinute) / time.Minute.Seconds()
		}
	}
	if ownDemand == 0 && totalDemand > 0 || totalDemand == 0 {
		return min(want, max(budget.Unspent(entry)/4, a.waitingTokens()))
	}
	return min(want, max(budget.Share(budget.Unspent(entry), ownDemand, totalDemand), a.waitingTokens()))
}

// minLeaseTokens returns the minimum target for the unused tokens of the lease, for use while demand is unknown or low.
func (a *account) minLeaseTokens() budget.Tokens {
	largest := a.demand.LargestBound()
	for _, w := range a.waiters {
		largest = max(largest, w.bound)
	}
	return largest * minLeaseRequests
}

// tokensToKeep returns the lease's total after returning tokens. It is below the tokens acquired if other domains want
// tokens or the lease is far above its target. For a want, at least half of the unused tokens are returned, so that the
// other domain does not have to mark another want for each request.
func (c *ledgerCache) tokensToKeep(a *account, entry *api.BudgetLedger, target, headroom budget.Tokens) budget.Tokens {
	l := a.lease
	if len(a.waiters) > 0 {
		return l.Acquired()
	}
	if wanted := budget.UnmetWants(entry, c.m.domain); wanted > 0 {
		return l.Acquired() - min(l.Unused(), max(wanted, l.Unused()/2))
	}
	if maxUnused := 2 * max(target, headroom); l.Unused() > maxUnused {
		return l.Used() + max(target, headroom)
	}
	return l.Acquired()
}

// markWant sets or clears the want of this domain: the tokens that waiting requests need beyond the lease.
func (c *ledgerCache) markWant(e *budget.Edit, a *account, now time.Time) {
	l, name := a.lease, a.id.Budget
	var acquired budget.Tokens
	if rec := budget.FindLease(e.Entry(name), l.ID()); rec != nil {
		acquired = budget.Tokens(rec.Taken)
	}
	need := l.Used() + a.waitingTokens()
	if len(a.waiters) == 0 || need <= acquired {
		e.SetWant(name, c.m.domain, 0, 0)
		return
	}
	e.SetWant(name, c.m.domain, need-acquired, now.UnixMilli())
}

// raiseCeiling raises the ceiling to provide headroom, or to all acquired tokens if the policy uses no witnesses.
func (c *ledgerCache) raiseCeiling(e *budget.Edit, a *account, headroom budget.Tokens) {
	l, name := a.lease, a.id.Budget
	rec := budget.FindLease(e.Entry(name), l.ID())
	switch {
	case rec == nil:
	case !c.m.cfg.usesWitnesses():
		e.RaiseCeiling(name, l.ID(), budget.Tokens(rec.Taken))
	case e.Changed() || a.needsWrite || len(a.waiters) > 0:
		e.RaiseCeiling(name, l.ID(), l.Used()+headroom)
	}
}

// updateWitnesses replaces witnesses that are missing or have sealed the lease, and adds witnesses up to witnessesPerLease.
func (c *ledgerCache) updateWitnesses(e *budget.Edit, a *account, change *budget.Change) {
	l, name := a.lease, a.id.Budget
	rec := budget.FindLease(e.Entry(name), l.ID())
	if rec == nil || !c.m.cfg.usesWitnesses() {
		return
	}
	chosen := c.m.chooseWitnesses(l)
	if slices.Equal(chosen, rec.Witnesses) {
		return
	}
	change.Witnesses, change.ChangeWitnesses = chosen, true
	e.ChangeWitnesses(name, l.ID(), chosen, l.Watermark())
}

// chooseWitnesses returns the lease's witnesses that are live and have not sealed it, followed by other live instances of
// the domain.
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
		if len(out) < witnessesPerLease && live[i.Incarnation] && !slices.Contains(out, i.Incarnation) {
			out = append(out, i.Incarnation)
		}
	}
	return out
}
