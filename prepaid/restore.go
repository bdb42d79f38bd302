package prepaid

import (
	"time"

	"pumiceshelf/objectstore"
)

// restorePause is how long no lease grows after the store came back from a copy. The ledger then lacks leases that other
// instances hold, until each of them has read it and written them again, which takes up to maxLedgerAge.
const restorePause = 4 * time.Second

// restored reports whether a read ledger is from a copy that lacks changes which this instance knows. A version of zero means
// that the copy has no ledger.
func (m *Manager) restored(version objectstore.Version) bool {
	return m.version != 0 && (version == 0 || objectstore.Era(version) > objectstore.Era(m.version))
}

// withKnown returns the ledger with all that another version of it counts as closed or leased. A lease that was closed after
// the copy may be counted twice, which parks tokens but never spends them twice.
func (l ledger) withKnown(known ledger) ledger {
	out := l.clone()
	for customer, k := range known.message.Accounts {
		a := out.ensureAccount(customer)
		a.Closed = max(a.Closed, k.Closed)
		for holder, limit := range k.Leases {
			a.Leases[holder] = max(a.Leases[holder], limit)
		}
	}
	out.message.Updates = max(out.message.Updates, known.message.Updates)
	return out
}

// restorePaused reports whether no lease may grow because the store came back from a copy.
func (m *Manager) restorePaused() bool {
	return !m.restoredAt.IsZero() && m.config.Clock.Since(m.restoredAt) < restorePause
}
