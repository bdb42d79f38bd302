package quota

import (
	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// ackCall asks a witness for one lease. The account's asking flag is set until it is answered.
type ackCall struct {
	account *account
	lease   *heldLease
	total   budget.Tokens
	// next is the witness to ask if this one does not acknowledge.
	next int
}

// askWitness asks the lease's witnesses one after another, from the index on. The caller holds a.mu.
func (m *Manager) askWitness(a *account, l *heldLease, total budget.Tokens, index int) {
	witnesses := l.ActiveWitnesses()
	if index >= len(witnesses) {
		a.asking = false
		a.short = true
		m.holder.kick()
		return
	}
	m.link(witnesses[index]).acks.add(&ackCall{account: a, lease: l, total: total, next: index + 1})
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
		l.m.acknowledged(c, l.incarnation, r)
	}
}

func (l *link) callAcknowledge(req *api.AcknowledgeRequest) *api.AcknowledgeResponse {
	l.m.counters.acks.Inc(1)
	client, ctx, cancel, err := l.client(callTimeout)
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

// acknowledged takes a witness's answer, nil if there was none.
func (m *Manager) acknowledged(c *ackCall, witness string, r *api.AcknowledgeResult) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r != nil && r.Sealed {
		m.counters.sealedLease.Inc(1)
		c.lease.RecordSeal(witness)
		m.holder.book(a.id.Customer).refresh()
		c.next--
	}
	if r == nil || r.Sealed || !c.lease.RecordAcknowledgement(witness, budget.Tokens(r.Total)) {
		m.askWitness(a, c.lease, c.total, c.next)
		return
	}
	a.asking = false
	a.grantWaiters(m.cfg.Clock.Now(), m.self)
	m.holder.keepAhead(a)
}
