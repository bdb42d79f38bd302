package budget

// Witness is what an instance remembers of leases that it acknowledges spending for. Its memory ends with its
// incarnation, so an incarnation acknowledges and seals only in its own name. It is not safe for concurrent use.
type Witness struct {
	incarnation string
	leases      map[string]*witnessed
}

type witnessed struct {
	watermark Tokens
	sealed    bool
}

// NewWitness returns the empty memory of an incarnation.
func NewWitness(incarnation string) *Witness {
	return &Witness{incarnation: incarnation, leases: make(map[string]*witnessed)}
}

// Acknowledge lets a lease be spent up to total. It returns the highest total acknowledged, and false if the lease is
// sealed or another incarnation was asked.
func (w *Witness) Acknowledge(incarnation, lease string, total Tokens) (Tokens, bool) {
	if incarnation != w.incarnation {
		return 0, false
	}
	l := w.lease(lease)
	if l.sealed {
		return l.watermark, false
	}
	l.watermark = max(l.watermark, total)
	return l.watermark, true
}

// Seal ends acknowledgements of a lease for good and returns the highest total acknowledged. It returns false if
// another incarnation was asked: this one does not know what that one acknowledged.
func (w *Witness) Seal(incarnation, lease string) (Tokens, bool) {
	if incarnation != w.incarnation {
		return 0, false
	}
	l := w.lease(lease)
	l.sealed = true
	return l.watermark, true
}

// Leases returns the number of leases remembered.
func (w *Witness) Leases() int { return len(w.leases) }

func (w *Witness) lease(id string) *witnessed {
	l := w.leases[id]
	if l == nil {
		l = &witnessed{}
		w.leases[id] = l
	}
	return l
}
