package budget

import "pumiceshelf/api"

// Reclaim is one attempt to close the lease of a holder that is presumed dead. Every witness listed in the version that was
// read must seal the lease first; then an update conditional on that version closes it. A conflict ends the attempt.
type Reclaim struct {
	lease    string
	version  Version
	acquired Tokens
	// bound is the maximum that the holder can have spent, according to the ledger and the seals so far.
	bound    Tokens
	unsealed map[string]bool
}

// StartReclaim starts an attempt to reclaim the lease rec, as listed in version v of the ledger.
func StartReclaim(v Version, rec *api.QuotaLease) *Reclaim {
	r := &Reclaim{lease: rec.Id, version: v, acquired: Tokens(rec.Taken), bound: Tokens(rec.Ceiling),
		unsealed: make(map[string]bool)}
	for _, w := range rec.Witnesses {
		r.unsealed[w] = true
	}
	return r
}

// Lease returns the ID of the lease.
func (r *Reclaim) Lease() string { return r.lease }

// Unsealed returns the witnesses that have not sealed the lease yet.
func (r *Reclaim) Unsealed() []string {
	out := make([]string, 0, len(r.unsealed))
	for w := range r.unsealed {
		out = append(out, w)
	}
	return out
}

// RecordSeal records the watermark at which a witness sealed the lease.
func (r *Reclaim) RecordSeal(witness string, watermark Tokens) {
	if r.unsealed[witness] {
		delete(r.unsealed, witness)
		r.bound = max(r.bound, watermark)
	}
}

// RecordLostWitness records that a witness is permanently lost: it can neither seal the lease nor report what it
// acknowledged, so the holder may have spent all acquired tokens.
func (r *Reclaim) RecordLostWitness(witness string) {
	if r.unsealed[witness] {
		delete(r.unsealed, witness)
		r.bound = r.acquired
	}
}

// ClosingUpdate returns the version that the closing update is conditional on and the maximum that the holder can have
// spent. It returns false while a witness has not sealed the lease.
func (r *Reclaim) ClosingUpdate() (Version, Tokens, bool) {
	if len(r.unsealed) > 0 {
		return 0, 0, false
	}
	return r.version, min(r.bound, r.acquired), true
}
