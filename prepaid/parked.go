package prepaid

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/instance"
	"pumiceshelf/telemetry"
)

const (
	// parkedReportDelay is the time from closing the leases of earlier incarnations to the report of why their tokens are parked.
	// Instances that were killed together have started again and closed theirs by then.
	parkedReportDelay = 15 * time.Second
	// restartRetention is how long the ledger names a restart: longer than the reports of all instances take.
	restartRetention = time.Minute
)

var (
	descParkedOne  = telemetry.Describe("prepaid.parked.kill_one", "tokens", "Tokens parked at most by a kill of this instance alone; only with the setting reportParkedTokens.")
	descParkedAll  = telemetry.Describe("prepaid.parked.kill_all", "tokens", "Tokens of this instance parked at most by a kill of most token holders; only with the setting reportParkedTokens.")
	descParkedLost = telemetry.Describe("prepaid.parked.lost_response", "tokens", "Tokens parked at most because a response between instances was lost and its tokens were not taken back in time.")
)

// parkedReport is what this instance found when it closed the leases of its earlier incarnations, until it is reported.
type parkedReport struct {
	pending  bool
	closedAt time.Time
	// closed is the sum of the leases, and unspent how much of it was unspent at most.
	closed, unspent int64
}

// predecessorsUnspent returns how many tokens of the leases of earlier incarnations were unspent at most, as far as they reported it.
func (l ledger) predecessorsUnspent(holder instance.Incarnation) (sum int64) {
	for other, tokens := range l.message.Unspent {
		if earlier := instance.Incarnation(other); earlier != holder && earlier.Name() == holder.Name() {
			sum += tokens
		}
	}
	return sum
}

// restartedShare returns how much of the unspent tokens of all leases is held by instances that closed leases of earlier
// incarnations within parkedReportDelay of a time. It is one if no tokens are known to be unspent.
func (l ledger) restartedShare(at time.Time) float64 {
	var all, restarted int64
	for holder, tokens := range l.message.Unspent {
		all += tokens
		restartedAt, ok := l.message.Restarts[instance.Incarnation(holder).Name()]
		if ok && at.Sub(time.UnixMilli(restartedAt)).Abs() <= parkedReportDelay {
			restarted += tokens
		}
	}
	if all == 0 {
		return 1
	}
	return float64(restarted) / float64(all)
}

// writeUnspent writes into the next ledger how much of this instance's leases is unspent, and that it restarted if it closes leases.
func (m *Manager) writeUnspent(next ledger) {
	unspent, leased := int64(0), false
	for customer, a := range m.snapshotAccounts() {
		if next.hasLease(customer, m.config.Incarnation) {
			d := a.demand()
			leased = true
			unspent += max(next.lease(customer, m.config.Incarnation)+d.borrowed-d.used, 0)
		}
	}
	if leased {
		// Without a lease nothing would remove the entry after a kill.
		if next.message.Unspent == nil {
			next.message.Unspent = make(map[string]int64)
		}
		next.message.Unspent[string(m.config.Incarnation)] = unspent
	}
	now := m.config.Clock.Now()
	for name, at := range next.message.Restarts {
		if now.Sub(time.UnixMilli(at)).Abs() > restartRetention {
			delete(next.message.Restarts, name)
		}
	}
	if len(m.closing) > 0 {
		if next.message.Restarts == nil {
			next.message.Restarts = make(map[string]int64)
		}
		next.message.Restarts[m.config.Incarnation.Name()] = now.UnixMilli()
	}
}

// reportParked reports the tokens of this instance's earlier incarnations that are parked, and whether most other token holders
// were killed as well, once the ledger was read parkedReportDelay after their leases were closed.
func (m *Manager) reportParked() {
	r := m.parkedReport
	if !r.pending || !m.ledgerKnown || m.readAt.Sub(r.closedAt) < parkedReportDelay {
		return
	}
	m.parkedReport = parkedReport{}
	share := m.ledger.restartedShare(r.closedAt)
	cause, counter := "kill of one instance", m.parkedOne
	if share >= 0.5 {
		cause, counter = "kill of all instances", m.parkedAll
	}
	counter.Inc(r.unspent)
	m.config.Log.WithFields(log.Fields{
		"cause": cause, "tokens": r.unspent, "closed": r.closed, "restarted_share": share, "closed_at": r.closedAt.UTC().Format(time.RFC3339Nano),
		"ledger_version": uint64(m.version),
	}).Info("prepaid: tokens parked")
}

// RecordParkedByLostResponse records tokens that are parked because a response between instances was lost.
func (m *Manager) RecordParkedByLostResponse(tokens int64) {
	m.parkedLost.Inc(tokens)
	m.config.Log.WithFields(log.Fields{"cause": "lost response", "tokens": tokens}).Info("prepaid: tokens parked")
}
