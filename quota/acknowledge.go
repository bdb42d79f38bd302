package quota

import (
	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// ackCall requests a witness's acknowledgement for one lease. The account's acknowledging flag is set until it completes.
type ackCall struct {
	account *account
	lease   *heldLease
	total   budget.Tokens
	// nextWitness is the index of the witness to try if this one does not acknowledge.
	nextWitness int
}

// requestAcknowledgement sends a request to the lease's witness at index; if it does not acknowledge, the next one follows.
// After the last one the account needs a ledger write. The caller holds a.mu.
func (m *Manager) requestAcknowledgement(a *account, l *heldLease, total budget.Tokens, index int) {
	witnesses := l.ActiveWitnesses()
	if index >= len(witnesses) {
		a.acknowledging = false
		a.needsWrite = true
		m.holder.signalWrite()
		return
	}
	m.link(witnesses[index]).acks.add(&ackCall{account: a, lease: l, total: total, nextWitness: index + 1})
}

func (l *link) sendAcks(calls []*ackCall) {
	req := &api.AcknowledgeRequest{Holder: l.m.self, Witness: l.incarnation}
	for _, c := range calls {
		req.Leases = append(req.Leases, &api.LeaseTotal{Lease: c.lease.ID(), Total: uint64(c.total)})
	}
	res := l.callAcknowledge(req)
	for i, c := range calls {
		var r *api.AcknowledgeResult
		if res != nil {
			r = res.Results[i]
		}
		l.m.handleAcknowledgement(c, l.incarnation, r)
	}
}

func (l *link) callAcknowledge(req *api.AcknowledgeRequest) *api.AcknowledgeResponse {
	l.m.counters.ackCalls.Inc(1)
	client, ctx, cancel, err := l.client(peerCallTimeout)
	if err == nil {
		defer cancel()
		var res *api.AcknowledgeResponse
		res, err = client.Acknowledge(ctx, req)
		if err == nil && len(res.Results) == len(req.Leases) {
			return res
		}
	}
	l.m.counters.ackFailed.Inc(1)
	return nil
}

// handleAcknowledgement applies a witness's response, nil if there was none, and tries the next witness if it did not
// acknowledge.
func (m *Manager) handleAcknowledgement(c *ackCall, witness string, r *api.AcknowledgeResult) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r != nil && r.Sealed {
		m.counters.leaseSealed.Inc(1)
		c.lease.RecordSeal(witness)
		m.holder.ledger(a.id.Customer).markStale()
		c.nextWitness-- // ActiveWitnesses no longer contains the sealed witness, so the next one moves to its index.
	}
	if r == nil || r.Sealed || !c.lease.RecordAcknowledgement(witness, budget.Tokens(r.Total)) {
		m.requestAcknowledgement(a, c.lease, c.total, c.nextWitness)
		return
	}
	a.acknowledging = false
	a.grantWaiters(m.cfg.Clock.Now(), m.self)
	m.holder.ensureHeadroom(a)
}
