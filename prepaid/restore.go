package prepaid

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/telemetry"
)

// When the store comes back from a copy, the ledger lacks the changes since. Leases in it may be smaller than what their holders have
// spent, and what looks available may be leased.
//
// Rule: in each era of the store, a lease is what its holder itself has written in this era, and no lease grows within restorePause, in
// which all holders write theirs. One that has not counts as gone, and the greatest lease of it that another instance knows counts as
// spent; if it comes back later, it keeps of its lease no more than the ledger then lists, or what it has spent.
//
// The copy does not list the holders that began to lease later, so that no instance knows earlier that all have written.
//
// The store gives revisions out again, so an update from before may be executed afterwards, where its revision comes once more, and
// replace what was written since. Whoever knows more than the ledger then says begins another era from what it knows.
//
// What is left: a lease that grew after the copy was made, whose holder is gone or does not reach the store for restorePause, and that no
// other instance read before the store left. Instances read the ledger every maxLedgerAge, and with each update of their own.

// restorePause is how long the holders of leases have to confirm them after the store came back from a copy. It is longer than
// maxLedgerAge, within which each instance that reaches the store reads the ledger, and some conflicting writes.
const restorePause = 4 * time.Second

// unsettledAge is the age at which the ledger is read again while no lease may grow. maxUnsettledGap is the longest time between two reads
// in which the store counts as reached: while it is not, others may not confirm their leases either.
const (
	unsettledAge    = 400 * time.Millisecond
	maxUnsettledGap = 1200 * time.Millisecond
)

// maxErasKept bounds the eras of which an account keeps the closed tokens.
const maxErasKept = 64

var (
	descRestored    = telemetry.Describe("prepaid.ledger.restored", "eras", "Times that the store came back from a copy with an older ledger.")
	descUnconfirmed = telemetry.Describe("prepaid.ledger.unconfirmed", "tokens", "Tokens of leases whose holders did not confirm them in time after the store came back from a copy, counted by the instance that no longer waited.")
)

// errLedgerGone is returned while the store has no ledger and there is no sign that it came back from a copy.
var errLedgerGone = fmt.Errorf("%w: the ledger is gone", objectstore.ErrUnavailable)

// eraShift is how far the era of the store is shifted in that of the ledger. The bits below count the updates of earlier eras that were
// undone.
const eraShift = 20

// ledgerEra returns the era in which the ledger is when the store comes back.
func ledgerEra(store uint64) uint64 { return store << eraShift }

// era returns the era that the ledger belongs to.
func (l ledger) era() uint64 { return l.message.Era }

// progress orders the states of the stored ledger. It never decreases while the store does not come back from a copy, unless an update from
// before that is executed.
type progress struct{ era, updates uint64 }

func (p progress) before(o progress) bool {
	return p.era < o.era || p.era == o.era && p.updates < o.updates
}

func (l ledger) progress() progress { return progress{era: l.message.Era, updates: l.message.Updates} }

// settled reports whether leases may grow.
func (l ledger) settled() bool { return l.message.SettledEra >= l.message.Era }

// beginEra makes the ledger one of an era of the store, unless it is already.
func (l ledger) beginEra(era uint64) {
	if l.message.Era >= era {
		return
	}
	for _, a := range l.message.Accounts {
		if a.ClosedBefore == nil {
			a.ClosedBefore = make(map[uint64]int64)
		}
		a.ClosedBefore[era] = a.Closed
		for len(a.ClosedBefore) > maxErasKept {
			delete(a.ClosedBefore, slices.Min(slices.Collect(maps.Keys(a.ClosedBefore))))
		}
	}
	maps.DeleteFunc(l.message.ConfirmedEras, func(holder string, confirmed uint64) bool {
		return confirmed+1 < era && !l.listsHolder(holder)
	})
	l.message.Era = era
}

// listsHolder reports whether a holder has a lease.
func (l ledger) listsHolder(holder string) bool {
	for _, a := range l.message.Accounts {
		if _, ok := a.Leases[holder]; ok {
			return true
		}
	}
	return false
}

// confirm records that a holder has written its own leases in the era of the ledger.
func (l ledger) confirm(holder instance.Incarnation) {
	if l.message.Era == 0 {
		return
	}
	if l.message.ConfirmedEras == nil {
		l.message.ConfirmedEras = make(map[string]uint64)
	}
	l.message.ConfirmedEras[string(holder)] = l.message.Era
}

// confirmed reports whether a holder has written its own leases in the era of the ledger.
func (l ledger) confirmed(holder string) bool {
	return l.message.ConfirmedEras[holder] >= l.message.Era
}

// unconfirmed returns the tokens of the leases whose holders have not confirmed them, by holder.
func (l ledger) unconfirmed() map[string]int64 {
	out := make(map[string]int64)
	for _, a := range l.message.Accounts {
		for holder, limit := range a.Leases {
			if !l.confirmed(holder) {
				out[holder] += limit
			}
		}
	}
	return out
}

// merge adds what is known of the ledger from an earlier era: tokens that were closed since the copy, and the greater lease of each
// holder that has not written its own since, apart from this instance's. It reports whether that changes the ledger. What was closed
// under a lease that the copy still lists may be counted twice, which parks tokens but never spends them twice.
func (l ledger) merge(known ledger, self instance.Incarnation) (changed bool) {
	for customer, k := range known.message.Accounts {
		a := l.ensureAccount(customer)
		if missing := k.Closed - closedAfter(a.ClosedBefore, known.era()); missing > 0 {
			a.Closed += missing
			for era := range a.ClosedBefore {
				if era > known.era() {
					a.ClosedBefore[era] += missing
				}
			}
			if len(a.ClosedBefore) == 0 {
				a.ClosedBefore = map[uint64]int64{l.era(): missing}
			}
			changed = true
		}
		for holder, limit := range k.Leases {
			if listed, ok := a.Leases[holder]; holder != string(self) && l.message.ConfirmedEras[holder] <= known.era() && (!ok || limit > listed) {
				a.Leases[holder] = limit
				changed = true
			}
		}
	}
	l.message.Updates = max(l.message.Updates, known.message.Updates)
	return changed
}

// raise raises the closed tokens and the leases of other holders to those of another ledger of the same era.
func (l ledger) raise(other ledger, self instance.Incarnation) {
	for customer, o := range other.message.Accounts {
		a := l.ensureAccount(customer)
		a.Closed = max(a.Closed, o.Closed)
		for holder, limit := range o.Leases {
			if listed, ok := a.Leases[holder]; holder != string(self) && (!ok || limit > listed) {
				a.Leases[holder] = limit
			}
		}
	}
	l.message.Updates = max(l.message.Updates, other.message.Updates)
}

// closedAfter returns how much was closed at the end of an era, in the history of the ledger that the store has now. It returns zero,
// so that more counts as missing, if that is not known.
func closedAfter(closedBefore map[uint64]int64, era uint64) int64 {
	next, found := uint64(0), false
	for e := range closedBefore {
		if e > era && (!found || e < next) {
			next, found = e, true
		}
	}
	if len(closedBefore) >= maxErasKept && next > era+1 {
		return 0
	}
	return closedBefore[next]
}

// storeEra returns the era of the ledger for a read that found none.
func (m *Manager) storeEra() (uint64, error) {
	if m.config.StoreEra == nil {
		if m.version != 0 {
			return ledgerEra(m.ledger.era()>>eraShift + 1), nil
		}
		return 0, nil
	}
	era, known := m.config.StoreEra()
	if !known || m.version != 0 && ledgerEra(era) <= m.ledger.era() {
		return 0, errLedgerGone
	}
	return ledgerEra(era), nil
}

// newEra reports whether the store has come back from a copy since the ledger was last read.
func (m *Manager) newEra() bool {
	if m.config.StoreEra == nil || !m.ledgerRead {
		return false
	}
	era, known := m.config.StoreEra()
	return known && ledgerEra(era) > m.ledger.era()
}

// enterEra returns a ledger that was read or written in an era as it is to be used: with what this instance knows from earlier eras, and
// this instance's own leases as they are.
func (m *Manager) enterEra(l ledger, era uint64) ledger {
	stored := l.progress()
	era = max(era, stored.era)
	switch {
	case m.ledgerRead && era > m.ledger.era():
		m.keepKnown()
		m.restored.Inc(1)
		m.config.Log.WithFields(log.Fields{"era": era, "known": uint64(m.version), "settled": l.message.SettledEra >= era}).
			Warn("prepaid: store came back from a copy, no lease grows until their holders have confirmed them")
		m.stored = stored
		l.beginEra(era)
		m.addKnown(l)
	case m.ledgerRead && stored.before(m.stored):
		l = m.undo(l)
	default:
		m.stored = stored
		l.beginEra(era)
		m.addKnown(l)
	}
	m.restated = m.restateLeases(l)
	switch now := m.config.Clock.Now(); {
	case l.settled():
		m.unsettledSince = time.Time{}
	case m.unsettledSince.IsZero() || now.Sub(m.readAt) > maxUnsettledGap:
		m.unsettledSince = now
	}
	return l
}

// keepKnown keeps the present ledger until the one in the store has what it says.
func (m *Manager) keepKnown() {
	known := m.ledger
	m.known = &known
}

// addKnown adds what this instance knows from an earlier era.
func (m *Manager) addKnown(l ledger) {
	if m.known != nil && !l.merge(*m.known, m.config.Incarnation) {
		m.known = nil
	}
}

// undo returns a ledger of another era with what this instance knows, in place of one that lacks updates which it has seen.
func (m *Manager) undo(l ledger) ledger {
	m.config.Log.WithFields(log.Fields{"era": l.era(), "updates": l.message.Updates, "known_era": m.stored.era, "known_updates": m.stored.updates}).
		Warn("prepaid: an update of an earlier era replaced the ledger, no lease grows until their holders have confirmed them")
	next := m.ledger.clone()
	if l.era() < next.era() {
		next.merge(l, m.config.Incarnation)
	} else {
		next.raise(l, m.config.Incarnation)
	}
	next.beginEra(m.stored.era + 1)
	m.keepKnown()
	return next
}

// restateLeases sets this instance's leases in the ledger to what they are, unless it has written them in this era. Once others may have
// leased what it did not confirm in time, it keeps no more than the ledger lists, or what it has spent.
func (m *Manager) restateLeases(l ledger) (restated bool) {
	self := string(m.config.Incarnation)
	if l.era() == 0 || l.confirmed(self) {
		return false
	}
	for customer, a := range m.snapshotAccounts() {
		d := a.demand()
		listed, has := l.message.Accounts[customer].GetLeases()[self]
		if !has && d.limit == d.borrowed {
			continue
		}
		// A successor may have closed the lease at a mark, which the copy lacks. What is beyond may be leased by others since.
		own := a.giveUpUnacknowledged()
		if l.settled() && own > listed {
			own = a.lowerLimit(listed + d.borrowed)
		}
		l.ensureAccount(customer).Leases[self] = own
		restated = true
	}
	return restated
}

// settle lets leases grow again if all holders had the time to confirm theirs. It reports whether the ledger changed.
func (m *Manager) settle(next ledger) bool {
	if next.settled() {
		return false
	}
	if m.unsettledSince.IsZero() || m.config.Clock.Since(m.unsettledSince) < restorePause {
		return false
	}
	next.message.SettledEra = next.message.Era
	m.settling = next.unconfirmed()
	return true
}

// recordSettled logs that leases may grow again in the era of the ledger, after the update that says so was written.
func (m *Manager) recordSettled() {
	if m.settling == nil {
		return
	}
	m.unconfirmed.Inc(sumOf(m.settling))
	m.config.Log.WithFields(log.Fields{"era": m.ledger.era(), "unconfirmed_holders": len(m.settling), "unconfirmed_tokens": sumOf(m.settling)}).
		Info("prepaid: leases may grow again")
	m.settling = nil
}
