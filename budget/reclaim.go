package budget

import "pumiceshelf/api"

// Reclaim is one try to close the lease of a holder that is thought gone. All witnesses named in the version read are
// sealed first; only then is the lease closed, by an update conditional on that version. A conflict ends the try.
type Reclaim struct {
	lease   string
	version Version
	taken   Tokens
	bound   Tokens
	waiting map[string]bool
}

// StartReclaim begins with the version of the ledger that lists the lease.
func StartReclaim(v Version, rec *api.QuotaLease) *Reclaim {
	r := &Reclaim{lease: rec.Id, version: v, taken: Tokens(rec.Taken), bound: Tokens(rec.Ceiling), waiting: make(map[string]bool)}
	for _, w := range rec.Witnesses {
		r.waiting[w] = true
	}
	return r
}

// Lease returns the id of the lease.
func (r *Reclaim) Lease() string { return r.lease }

// Unsealed returns the witnesses that have to seal yet.
func (r *Reclaim) Unsealed() []string {
	out := make([]string, 0, len(r.waiting))
	for w := range r.waiting {
		out = append(out, w)
	}
	return out
}

// Sealed notes the watermark that a witness sealed at.
func (r *Reclaim) Sealed(witness string, watermark Tokens) {
	if r.waiting[witness] {
		delete(r.waiting, witness)
		r.bound = max(r.bound, watermark)
	}
}

// Lost notes that a witness is gone for good and can neither seal nor tell what it acknowledged, so the holder may have
// spent all that it took.
func (r *Reclaim) Lost(witness string) {
	if r.waiting[witness] {
		delete(r.waiting, witness)
		r.bound = r.taken
	}
}

// Close returns the version that the closing update is conditional on and the most that the holder can have spent.
// It returns false while a witness has not sealed.
func (r *Reclaim) Close() (Version, Tokens, bool) {
	if len(r.waiting) > 0 {
		return 0, 0, false
	}
	return r.version, min(r.bound, r.taken), true
}
