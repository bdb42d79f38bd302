package budget

// Witness holds an instance's state of the leases for which it acknowledges spending. The state is lost when the
// incarnation ends, so an incarnation acknowledges and seals only requests addressed to itself. It is not safe for
// concurrent use.
type Witness struct {
	incarnation string
	leases      map[string]*witnessedLease // by lease ID
}

type witnessedLease struct {
	watermark Tokens
	sealed    bool
}

// NewWitness returns a Witness without leases for an incarnation.
func NewWitness(incarnation string) *Witness {
	return &Witness{incarnation: incarnation, leases: make(map[string]*witnessedLease)}
}

// Acknowledge permits a lease to be spent up to total. It returns the highest acknowledged total, and false if the lease
// is sealed or the request is addressed to another incarnation.
func (w *Witness) Acknowledge(incarnation, lease string, total Tokens) (Tokens, bool) {
	if incarnation != w.incarnation {
		return 0, false
	}
	l := w.ensureLease(lease)
	if l.sealed {
		return l.watermark, false
	}
	l.watermark = max(l.watermark, total)
	return l.watermark, true
}

// Seal permanently ends acknowledgements of a lease and returns the highest acknowledged total. It returns false if the
// request is addressed to another incarnation, whose acknowledgements this one does not know.
func (w *Witness) Seal(incarnation, lease string) (Tokens, bool) {
	if incarnation != w.incarnation {
		return 0, false
	}
	l := w.ensureLease(lease)
	l.sealed = true
	return l.watermark, true
}

// LeaseCount returns the number of leases with recorded state.
func (w *Witness) LeaseCount() int { return len(w.leases) }

func (w *Witness) ensureLease(id string) *witnessedLease {
	l := w.leases[id]
	if l == nil {
		l = &witnessedLease{}
		w.leases[id] = l
	}
	return l
}
