package budget

import (
	"slices"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

// Attempt names one try of an entry instance to run a request. An incarnation never uses a number twice.
type Attempt struct {
	Incarnation string
	Number      uint64
}

// Reservation holds tokens for one request. Several attempts of the same request share it.
type Reservation struct {
	Bound    Tokens
	Model    string
	SinceMs  int64
	Attempts []Attempt
	// first backs Attempts while there is one, the ordinary case.
	first [1]Attempt
}

// Lease is what a holder knows of one of its quota leases. It is not safe for concurrent use.
type Lease struct {
	id string
	// version is the newest version of the ledger that was seen.
	version   Version
	listed    bool
	closed    bool
	taken     Tokens
	ceiling   Tokens
	watermark Tokens
	settled   Tokens
	reserved  Tokens
	open      map[string]*Reservation
	witnesses []string
	refused   map[string]bool
	pending   *promise
}

// promise is what the holder has bound itself to since it sent an update whose outcome it does not know.
type promise struct {
	// base is the version that the update is conditional on.
	base Version
	// cap is the most that the holder may use.
	cap Tokens
	// detached says that the update names other witnesses.
	detached bool
	// closing says that the update closes the lease.
	closing bool
	// unknown says that the outcome of an update sent may never be told, so only a newer version ends the promise.
	unknown bool
}

// NewLease returns a lease that is not yet listed in the ledger.
func NewLease(id string) *Lease {
	return &Lease{id: id, open: make(map[string]*Reservation), refused: make(map[string]bool)}
}

// ID returns the lease's id.
func (l *Lease) ID() string { return l.id }

// Taken returns the tokens that the newest version seen entitles the holder to.
func (l *Lease) Taken() Tokens { return l.taken }

// Ceiling returns the total that may be spent without acknowledgement.
func (l *Lease) Ceiling() Tokens { return l.ceiling }

// Watermark returns the highest total that a witness acknowledged.
func (l *Lease) Watermark() Tokens { return l.watermark }

// Settled returns the tokens billed under the lease.
func (l *Lease) Settled() Tokens { return l.settled }

// Reserved returns the tokens held for open requests.
func (l *Lease) Reserved() Tokens { return l.reserved }

// Used returns the tokens billed and held.
func (l *Lease) Used() Tokens { return l.settled + l.reserved }

// Unused returns the tokens taken and not used.
func (l *Lease) Unused() Tokens { return l.cap() - min(l.cap(), l.Used()) }

// Listed says whether a version of the ledger was seen that lists the lease.
func (l *Lease) Listed() bool { return l.listed }

// Closed says whether the lease was closed.
func (l *Lease) Closed() bool { return l.closed }

// Witnesses returns the incarnations that may acknowledge. The caller must not change the slice.
func (l *Lease) Witnesses() []string { return l.witnesses }

// Refused says whether a witness has sealed the lease.
func (l *Lease) Refused(witness string) bool { return l.refused[witness] }

// OpenRequests returns the number of open reservations.
func (l *Lease) OpenRequests() int { return len(l.open) }

// Usable says whether the lease takes reservations.
func (l *Lease) Usable() bool {
	return l.listed && !l.closed && (l.pending == nil || !l.pending.closing)
}

// cap is the most that the lease could ever let be used as things stand.
func (l *Lease) cap() Tokens {
	if l.pending != nil {
		return min(l.taken, l.pending.cap)
	}
	return l.taken
}

// Authority returns the total that the holder may use now. The ceiling and the watermark are totals that only grow.
func (l *Lease) Authority() Tokens { return min(max(l.ceiling, l.watermark), l.cap()) }

// Acknowledgeable returns the total to ask witnesses for so that ahead tokens are free, or zero if asking is no use.
func (l *Lease) Acknowledgeable(ahead Tokens) Tokens {
	if !l.Usable() || len(l.Asked()) == 0 {
		return 0
	}
	total := min(l.Used()+ahead, l.cap())
	if total <= l.Authority() {
		return 0
	}
	return total
}

// Asked returns the witnesses whose acknowledgement counts now.
func (l *Lease) Asked() []string {
	if l.pending != nil && l.pending.detached {
		return nil
	}
	var out []string
	for _, w := range l.witnesses {
		if !l.refused[w] {
			out = append(out, w)
		}
	}
	return out
}

// Acknowledged takes an acknowledgement of a total. From the moment that a change of witnesses was sent until its
// outcome is known none is taken, and afterwards only those of the new witnesses.
func (l *Lease) Acknowledged(witness string, total Tokens) bool {
	if l.pending != nil && l.pending.detached {
		return false
	}
	if !slices.Contains(l.witnesses, witness) {
		return false
	}
	l.watermark = max(l.watermark, total)
	return true
}

// SealedBy notes that a witness acknowledges nothing more.
func (l *Lease) SealedBy(witness string) { l.refused[witness] = true }

// Change is what a holder writes into the ledger for one lease.
type Change struct {
	// Keep lowers taken when it is below it.
	Keep Tokens
	// Witnesses replace the old ones when ChangeWitnesses is set.
	Witnesses       []string
	ChangeWitnesses bool
	Close           bool
}

// Sending binds the holder to a change that it is about to send, conditional on version base. Promises of earlier
// updates whose outcome is not known stay in force.
func (l *Lease) Sending(base Version, c Change) {
	p := &promise{base: base, cap: min(l.cap(), c.Keep), detached: c.ChangeWitnesses, closing: c.Close}
	if l.pending != nil {
		p.detached = p.detached || l.pending.detached
		p.closing = p.closing || l.pending.closing
		p.unknown = l.pending.unknown
	}
	invariant.Check(!c.Close || l.reserved == 0, part, "lease %s closes with %d reserved", l.id, l.reserved)
	invariant.Check(l.Used() <= p.cap, part, "lease %s keeps %d of %d in use", l.id, p.cap, l.Used())
	l.pending = p
}

// NotWritten ends the promise of an update that is known not to have been written, unless an earlier one may still be.
func (l *Lease) NotWritten() {
	if l.pending != nil && !l.pending.unknown {
		l.pending = nil
	}
}

// AnswerLost keeps the promise of an update that may or may not have been written, or may be written yet.
func (l *Lease) AnswerLost() {
	if l.pending != nil {
		l.pending.unknown = true
	}
}

// Pending says whether an update was sent whose outcome is not known.
func (l *Lease) Pending() bool { return l.pending != nil }

// Observe takes what a version of the ledger says of the lease, nil if it is not listed. Versions that are not newer
// than the newest seen change nothing: a late answer must not bring back older witnesses or an older total taken.
func (l *Lease) Observe(v Version, rec *api.QuotaLease) {
	if v <= l.version || l.closed {
		return
	}
	l.version = v
	uncertain := l.pending != nil && l.pending.unknown
	if l.pending != nil && l.pending.base < v {
		l.pending = nil
	}
	if rec == nil {
		// After a lost answer the lease may have been listed and closed again: its id must not be used once more.
		l.closed = l.listed || uncertain
		return
	}
	l.listed = true
	if rec.Closed {
		l.closed = true
		return
	}
	l.taken = Tokens(rec.Taken)
	l.ceiling = max(l.ceiling, Tokens(rec.Ceiling))
	l.witnesses = append([]string(nil), rec.Witnesses...)
	l.check()
}

func (l *Lease) check() {
	if l.closed || l.Used() <= l.taken {
		return // Spares the path of a request the allocation of the message's arguments.
	}
	invariant.Check(false, part, "lease %s uses %d of %d taken", l.id, l.Used(), l.taken)
}

// Reserve holds bound tokens for a request if the authority allows it. A request that has a reservation keeps it.
func (l *Lease) Reserve(requestID string, a Attempt, bound Tokens, model string, nowMs int64) bool {
	if r := l.open[requestID]; r != nil {
		if !slices.Contains(r.Attempts, a) {
			r.Attempts = append(r.Attempts, a)
		}
		return true
	}
	if !l.Usable() || bound > l.Authority() || l.Used() > l.Authority()-bound {
		return false
	}
	l.reserved += bound
	r := &Reservation{Bound: bound, Model: model, SinceMs: nowMs, first: [1]Attempt{a}}
	r.Attempts = r.first[:]
	l.open[requestID] = r
	return true
}

// Has says whether a request has an open reservation.
func (l *Lease) Has(requestID string) bool { return l.open[requestID] != nil }

// Settle bills the usage of a request, at most its bound, and returns what it billed. It returns false, and bills nothing,
// for an attempt that has no open reservation: a holder never forgets an open one, so this one was settled before.
func (l *Lease) Settle(requestID string, a Attempt, usage Tokens) (Tokens, bool) {
	r := l.open[requestID]
	if r == nil || !slices.Contains(r.Attempts, a) {
		return 0, false
	}
	return l.bill(requestID, r, usage), true
}

// SettleOrphan bills a request whose attempts are all gone.
func (l *Lease) SettleOrphan(requestID string, usage Tokens) (Tokens, bool) {
	r := l.open[requestID]
	if r == nil {
		return 0, false
	}
	return l.bill(requestID, r, usage), true
}

func (l *Lease) bill(requestID string, r *Reservation, usage Tokens) Tokens {
	charge := min(usage, r.Bound)
	delete(l.open, requestID)
	l.reserved -= r.Bound
	l.settled += charge
	l.check()
	return charge
}

// Release ends an attempt that did not run. The tokens are free when no attempt is left.
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

// Reservations calls f for each open reservation, in no order. f must not change the lease.
func (l *Lease) Reservations(f func(requestID string, r *Reservation)) {
	for id, r := range l.open {
		f(id, r)
	}
}
