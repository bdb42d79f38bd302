package prepaid

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/telemetry"
)

// statusInterval is the time between two log lines of the tokens that this instance holds.
const statusInterval = 5 * time.Second

var (
	descUnspent    = telemetry.Describe("prepaid.lease.unspent", "tokens", "Tokens of this instance's leases and loans that are neither spent nor reserved.")
	descUnanswered = telemetry.Describe("prepaid.loan.unanswered", "tokens", "Tokens requested from other instances without a response in time.")
)

// RecordUnanswered records a loan or allocation request of this instance that got no response. The other instance may
// have counted the tokens as spent.
func (m *Manager) RecordUnanswered(customer string, tokens int64) {
	m.unanswered.Inc(tokens)
	m.config.Log.WithFields(log.Fields{"customer": customer, "tokens": tokens}).Info("prepaid: no response to a request for tokens")
}

// reportStatus updates the gauge of unspent tokens, and logs the tokens that this instance holds every statusInterval and
// when it begins or stops to lease in advance.
func (m *Manager) reportStatus() {
	now := m.config.Clock.Now()
	unspent := int64(0)
	for _, a := range m.snapshotAccounts() {
		d := a.demand()
		unspent += d.limit - d.used
	}
	m.unspent.Update(unspent)
	inAdvance := m.actsAsTokenHolder()
	if inAdvance == m.leasesInAdvance && now.Sub(m.statusAt) < statusInterval {
		return
	}
	m.leasesInAdvance, m.statusAt = inAdvance, now
	fields := log.Fields{
		"in_advance": inAdvance, "first": m.config.IsFirstHolder == nil || m.config.IsFirstHolder(), "unspent": unspent,
		"borrowed": m.borrowed.Count(), "lent": m.lent.Count(), "returned": m.returned.Count(), "unanswered": m.unanswered.Count(), "taken_back": m.takenBack.Count(),
		"updates": m.updates.Count(), "conflicts": m.conflicts.Count(), "ledger_version": uint64(m.version),
	}
	if m.config.TokenHolderCount != nil {
		fields["holders"] = m.config.TokenHolderCount()
	}
	m.config.Log.WithFields(fields).Info("prepaid: tokens held")
}
