package budget

import (
	"slices"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

// Attempt identifies one attempt of an entry instance to run a request. An incarnation never reuses a number.
type Attempt struct {
	Incarnation string
	Number      uint64
}

// Reservation holds tokens for one request. All attempts of the request share it.
type Reservation struct {
	// Bound is the maximum charge of the request.
	Bound       Tokens
	Model       string
	SinceUnixMs int64
	Attempts    []Attempt
	// inline is the storage of Attempts while there is only one, which is the common case.
	inline [1]Attempt
}

// Lease is a holder's state of one of its quota leases. It is not safe for concurrent use.
type Lease struct {
	id string
	// version is the newest ledger version that was observed.
	version   Version
	listed    bool
	closed    bool
	acquired  Tokens
	ceiling   Tokens
	watermark Tokens
	settled   Tokens
	reserved  Tokens
	open      map[string]*Reservation // by request ID
	witnesses []string
	sealed    map[string]bool
	pending   *pendingUpdate
}

// pendingUpdate holds the restrictions that apply to the holder from sending an update until its outcome is known. It
// combines the restrictions of all updates whose outcome is unknown.
type pendingUpdate struct {
	// base is the version that the update is conditional on.
	base Version
	// limit is the maximum that the holder may use.
	limit Tokens
	// changesWitnesses is true if the update replaces the witnesses.
	changesWitnesses bool
	// closes is true if the update closes the lease.
	closes bool
	// outcomeUnknown is true if the holder may never learn the outcome of an update it sent, so that only a newer ledger
	// version ends the restrictions.
	outcomeUnknown bool
}

// NewLease returns a lease that is not yet listed in the ledger.
func NewLease(id string) *Lease {
	return &Lease{id: id, open: make(map[string]*Reservation), sealed: make(map[string]bool)}
}

// ID returns the ID of the lease.
func (l *Lease) ID() string { return l.id }

// Acquired returns the tokens that the lease has in the newest observed version of the ledger.
func (l *Lease) Acquired() Tokens { return l.acquired }

// Ceiling returns the total that may be spent without acknowledgement.
func (l *Lease) Ceiling() Tokens { return l.ceiling }

// Watermark returns the highest total that a witness acknowledged.
func (l *Lease) Watermark() Tokens { return l.watermark }

// Settled returns the tokens billed under the lease.
func (l *Lease) Settled() Tokens { return l.settled }

// Reserved returns the tokens reserved for open requests.
func (l *Lease) Reserved() Tokens { return l.reserved }

// Used returns the sum of billed and reserved tokens.
func (l *Lease) Used() Tokens { return l.settled + l.reserved }

// Unused returns the acquired tokens that are not used, without those that a pending update may return to the ledger.
func (l *Lease) Unused() Tokens { return l.maxLimit() - min(l.maxLimit(), l.Used()) }

// Listed reports whether an observed version of the ledger listed the lease.
func (l *Lease) Listed() bool { return l.listed }

// Closed reports whether the lease was closed.
func (l *Lease) Closed() bool { return l.closed }

// Witnesses returns the incarnations that may acknowledge spending. The caller must not modify the slice.
func (l *Lease) Witnesses() []string { return l.witnesses }

// IsSealedBy reports whether a witness has sealed the lease.
func (l *Lease) IsSealedBy(witness string) bool { return l.sealed[witness] }

// OpenRequests returns the number of open reservations.
func (l *Lease) OpenRequests() int { return len(l.open) }

// Usable reports whether the lease accepts reservations.
func (l *Lease) Usable() bool {
	return l.listed && !l.closed && (l.pending == nil || !l.pending.closes)
}

// maxLimit returns the upper bound of Limit: the acquired tokens, or fewer while a pending update may have returned some.
func (l *Lease) maxLimit() Tokens {
	if l.pending != nil {
		return min(l.acquired, l.pending.limit)
	}
	return l.acquired
}

// Limit returns the total that the holder may use now. It is the larger of ceiling and watermark and not their sum,
// because both are totals; neither ever decreases.
func (l *Lease) Limit() Tokens { return min(max(l.ceiling, l.watermark), l.maxLimit()) }

// AcknowledgementTarget returns the total to request from witnesses so that headroom tokens are available beyond those
// used, or zero if a request would not raise Limit.
func (l *Lease) AcknowledgementTarget(headroom Tokens) Tokens {
	if !l.Usable() || len(l.ActiveWitnesses()) == 0 {
		return 0
	}
	total := min(l.Used()+headroom, l.maxLimit())
	if total <= l.Limit() {
		return 0
	}
	return total
}

// ActiveWitnesses returns the witnesses whose acknowledgements are accepted now.
func (l *Lease) ActiveWitnesses() []string {
	if l.pending != nil && l.pending.changesWitnesses {
		return nil
	}
	var out []string
	for _, w := range l.witnesses {
		if !l.sealed[w] {
			out = append(out, w)
		}
	}
	return out
}

// RecordAcknowledgement records that a witness acknowledged a total, and reports whether the acknowledgement was accepted.
// None is accepted while an update that replaces the witnesses is pending, and afterwards only those of the new witnesses.
func (l *Lease) RecordAcknowledgement(witness string, total Tokens) bool {
	if l.pending != nil && l.pending.changesWitnesses {
		return false
	}
	if !slices.Contains(l.witnesses, witness) {
		return false
	}
	l.watermark = max(l.watermark, total)
	return true
}

// RecordSeal records that a witness has sealed the lease and acknowledges nothing more.
func (l *Lease) RecordSeal(witness string) { l.sealed[witness] = true }

// Change describes an update of one lease in the ledger that its holder sends.
type Change struct {
	// Keep is the number of acquired tokens that the lease keeps. It has no effect unless it is below the acquired tokens.
	Keep Tokens
	// Witnesses replace the current witnesses if ChangeWitnesses is true.
	Witnesses       []string
	ChangeWitnesses bool
	Close           bool
}

// BeginUpdate restricts the holder to what c allows. It must be called before the update, which is conditional on version
// base, is sent. Restrictions of earlier updates whose outcome is unknown remain.
func (l *Lease) BeginUpdate(base Version, c Change) {
	p := &pendingUpdate{base: base, limit: min(l.maxLimit(), c.Keep), changesWitnesses: c.ChangeWitnesses, closes: c.Close}
	if l.pending != nil {
		p.changesWitnesses = p.changesWitnesses || l.pending.changesWitnesses
		p.closes = p.closes || l.pending.closes
		p.outcomeUnknown = l.pending.outcomeUnknown
	}
	invariant.Check(!c.Close || l.reserved == 0, component, "closing lease %s with %d tokens reserved", l.id, l.reserved)
	invariant.Check(l.Used() <= p.limit, component, "lease %s would keep %d tokens, %d in use", l.id, p.limit, l.Used())
	l.pending = p
}

// UpdateNotWritten lifts the restrictions of an update that is known not to have been written, unless the outcome of an
// earlier update is unknown.
func (l *Lease) UpdateNotWritten() {
	if l.pending != nil && !l.pending.outcomeUnknown {
		l.pending = nil
	}
}

// UpdateOutcomeUnknown keeps the restrictions of an update that may have been written or may still be written, until a
// newer ledger version is observed.
func (l *Lease) UpdateOutcomeUnknown() {
	if l.pending != nil {
		l.pending.outcomeUnknown = true
	}
}

// UpdatePending reports whether an update was sent whose outcome is not known.
func (l *Lease) UpdatePending() bool { return l.pending != nil }

// Observe applies the entry of the lease in version v of the ledger; rec is nil if v does not list the lease. A version
// that is not newer than the newest observed one is ignored, because a delayed response must not restore earlier witnesses
// or an earlier total of acquired tokens.
func (l *Lease) Observe(v Version, rec *api.QuotaLease) {
	if v <= l.version || l.closed {
		return
	}
	l.version = v
	outcomeUnknown := l.pending != nil && l.pending.outcomeUnknown
	if l.pending != nil && l.pending.base < v {
		l.pending = nil
	}
	if rec == nil {
		// An update with an unknown outcome may have listed the lease, and it may have been closed since, so its ID must
		// not be reused.
		l.closed = l.listed || outcomeUnknown
		return
	}
	l.listed = true
	if rec.Closed {
		l.closed = true
		return
	}
	l.acquired = Tokens(rec.Taken)
	l.ceiling = max(l.ceiling, Tokens(rec.Ceiling))
	l.witnesses = append([]string(nil), rec.Witnesses...)
	l.checkUsed()
}

func (l *Lease) checkUsed() {
	if l.closed || l.Used() <= l.acquired {
		return // Avoids allocating the message's arguments for every request.
	}
	invariant.Check(false, component, "lease %s uses %d tokens of %d acquired", l.id, l.Used(), l.acquired)
}

// Reserve reserves bound tokens for a request, and reports false if the limit does not allow it. If the request already
// has a reservation, the attempt is added to it.
func (l *Lease) Reserve(requestID string, a Attempt, bound Tokens, model string, nowUnixMs int64) bool {
	if r := l.open[requestID]; r != nil {
		if !slices.Contains(r.Attempts, a) {
			r.Attempts = append(r.Attempts, a)
		}
		return true
	}
	if !l.Usable() || bound > l.Limit() || l.Used() > l.Limit()-bound {
		return false
	}
	l.reserved += bound
	r := &Reservation{Bound: bound, Model: model, SinceUnixMs: nowUnixMs, inline: [1]Attempt{a}}
	r.Attempts = r.inline[:]
	l.open[requestID] = r
	return true
}

// HasReservation reports whether a request has an open reservation.
func (l *Lease) HasReservation(requestID string) bool { return l.open[requestID] != nil }

// Settle bills the usage of a request, at most its bound, and returns the billed tokens. For an attempt without an open
// reservation it bills nothing and returns false: open reservations are never dropped, so it was settled before.
func (l *Lease) Settle(requestID string, a Attempt, usage Tokens) (Tokens, bool) {
	r := l.open[requestID]
	if r == nil || !slices.Contains(r.Attempts, a) {
		return 0, false
	}
	return l.settleReservation(requestID, r, usage), true
}

// SettleOrphan bills the usage of a request none of whose attempts can settle it any more.
func (l *Lease) SettleOrphan(requestID string, usage Tokens) (Tokens, bool) {
	r := l.open[requestID]
	if r == nil {
		return 0, false
	}
	return l.settleReservation(requestID, r, usage), true
}

func (l *Lease) settleReservation(requestID string, r *Reservation, usage Tokens) Tokens {
	charge := min(usage, r.Bound)
	delete(l.open, requestID)
	l.reserved -= r.Bound
	l.settled += charge
	l.checkUsed()
	return charge
}

// Release removes an attempt that did not run. The tokens become available when the request has no other attempt.
func (l *Lease) Release(requestID string, a Attempt) bool {
	r := l.open[requestID]
	if r == nil {
		return false
	}
	i := slices.Index(r.Attempts, a)
	if i < 0 {
		return false
	}
	r.Attempts = slices.Delete(r.Attempts, i, i+1)
	if len(r.Attempts) == 0 {
		delete(l.open, requestID)
		l.reserved -= r.Bound
	}
	return true
}

// Reservations calls visit for each open reservation in no particular order. visit must not modify the lease.
func (l *Lease) Reservations(visit func(requestID string, r *Reservation)) {
	for id, r := range l.open {
		visit(id, r)
	}
}
