package quota

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
)

const (
	// reclaimInterval is the time between two scans of all ledgers for leases of lost holders.
	reclaimInterval = 5 * time.Second
	// reclaimAfter is how long a holder must be missing before its leases are reclaimed. It only avoids unnecessary
	// reclaims: reclaiming a lease of a live holder is safe.
	reclaimAfter = 5 * time.Second
	// absenceRetention is how long missing incarnations are tracked.
	absenceRetention = 2 * settlementRetention
	// listPageSize is the number of objects listed in one call.
	listPageSize = 100
	// reclaimTopic is the topic whose owner in a domain reclaims leases.
	reclaimTopic = "reclaim"
)

// seal ends this instance's acknowledgements of the given leases and returns their watermarks.
func (m *Manager) seal(req *api.SealRequest) *api.SealResponse {
	m.witnessMu.Lock()
	defer m.witnessMu.Unlock()
	res := &api.SealResponse{Sealed: true}
	for _, lease := range req.Leases {
		total, ok := m.witness.Seal(req.Witness, lease)
		res.Sealed = res.Sealed && ok
		res.Watermarks = append(res.Watermarks, &api.LeaseTotal{Lease: lease, Total: uint64(total)})
	}
	return res
}

// reclaim closes the leases of lost holders of this domain, and of retired holders of any domain.
func (m *Manager) reclaim(ctx context.Context) {
	if o := m.cfg.View.Owner(reclaimTopic); o == nil || o.Incarnation != m.self {
		return
	}
	live := m.liveIncarnations()
	m.absences.removeOlderThan(m.cfg.Clock.Now(), absenceRetention)
	err := eachObject(ctx, m.cfg.Store, LedgerPrefix, func(obj objectstore.Object) error {
		ledger := &api.CustomerLedger{}
		if err := proto.Unmarshal(obj.Value, ledger); err != nil {
			m.cfg.Log.Errorf("quota: ledger %s is malformed: %v", obj.Key, err)
			return nil
		}
		m.reclaimLedger(ctx, ledger, budget.Version(obj.Version), live)
		return nil
	})
	if err != nil {
		m.counters.storeUnavailable.Inc(1)
	}
}

// eachObject calls f for each object with a key prefix, in key order, until f returns an error.
func eachObject(ctx context.Context, store objectstore.Store, prefix string, f func(objectstore.Object) error) error {
	after := ""
	for {
		page, err := listObjects(ctx, store, prefix, after)
		if err != nil {
			return err
		}
		for _, obj := range page {
			if err := f(obj); err != nil {
				return err
			}
		}
		if len(page) < listPageSize {
			return nil
		}
		after = page[len(page)-1].Key
	}
}

func listObjects(ctx context.Context, store objectstore.Store, prefix, after string) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.List(ctx, prefix, after, listPageSize)
}

// reclaimLedger closes the leases of lost holders in one ledger. Its single update is conditional on the version that was
// read before any witness sealed.
func (m *Manager) reclaimLedger(ctx context.Context, ledger *api.CustomerLedger, version budget.Version, live map[string]bool) {
	edit := budget.Begin(ledger.Customer, ledger)
	var repairs []string
	for _, b := range ledger.Budgets {
		for _, l := range b.Leases {
			if l.Closed || !m.isLost(l, live) {
				continue
			}
			r := budget.StartReclaim(version, l)
			m.sealWitnesses(r, live)
			_, bound, ok := r.ClosingUpdate()
			if !ok {
				m.counters.reclaimPostponed.Inc(1)
				continue
			}
			edit.Reclaim(b.Budget, l.Id, m.self, bound)
			repairs = append(repairs, fmt.Sprintf("lease %s of %s/%s closed: %d of %d tokens back, %d without a record",
				l.Id, ledger.Customer, b.Budget, l.Taken-min(l.Taken, uint64(bound)), l.Taken, uint64(bound)-min(l.Settled, uint64(bound))))
		}
	}
	if next, changed := edit.Finish(); changed {
		m.writeReclaimed(ctx, next, version, repairs)
	}
}

func (m *Manager) writeReclaimed(ctx context.Context, next *api.CustomerLedger, version budget.Version, repairs []string) {
	m.counters.ledgerWrites.Inc(1)
	_, err := writeLedger(ctx, m.cfg.Store, next, version)
	if err != nil {
		m.counters.reclaimPostponed.Inc(int64(len(repairs)))
		if !errors.Is(err, objectstore.ErrConflict) {
			m.cfg.Log.Debugf("quota: reclaim in ledger %s postponed: %v", next.Customer, err)
		}
		return
	}
	m.counters.leaseReclaimed.Inc(int64(len(repairs)))
	for _, text := range repairs {
		m.recordRepair(text)
	}
	m.recordReclaimed(next.Customer)
	m.refreshLedger(next.Customer)
}

// refreshLedger has this instance read a customer's ledger again if it has an account of the customer.
func (m *Manager) refreshLedger(customer string) {
	if c := m.holder.existingLedger(customer); c != nil {
		c.markStale()
		m.holder.signalWrite()
	}
}

// recordReclaimed records a customer to whose ledger syncReclaimed applies usage records during reclaimSyncPeriod.
func (m *Manager) recordReclaimed(customer string) {
	m.reclaimedMu.Lock()
	defer m.reclaimedMu.Unlock()
	m.reclaimedAt[customer] = m.cfg.Clock.Now()
}

// recentlyReclaimed returns the customers whose leases this instance closed recently.
func (m *Manager) recentlyReclaimed() []string {
	m.reclaimedMu.Lock()
	defer m.reclaimedMu.Unlock()
	var out []string
	for customer, at := range m.reclaimedAt {
		out = append(out, customer)
		if m.cfg.Clock.Since(at) > reclaimSyncPeriod {
			delete(m.reclaimedAt, customer)
		}
	}
	return out
}

func (m *Manager) recordRepair(text string) {
	if m.cfg.Repairs != nil {
		m.cfg.Repairs.Add(component, text)
	}
}

// isLost reports whether a lease's holder is retired, or belongs to this domain and has been missing for reclaimAfter.
func (m *Manager) isLost(l *api.QuotaLease, live map[string]bool) bool {
	if m.isRetired(l.Holder) {
		return true
	}
	return l.Domain == m.domain && m.absences.duration(l.Holder, live, m.cfg.Clock.Now()) >= reclaimAfter
}

func (m *Manager) isRetired(incarnation string) bool {
	s := m.cfg.Bundles.Current()
	return s != nil && s.IsRetired(instance.Incarnation(incarnation))
}

// sealWitnesses has every reachable witness seal the lease. Retired witnesses that cannot seal are counted as lost.
func (m *Manager) sealWitnesses(r *budget.Reclaim, live map[string]bool) {
	for _, w := range r.Unsealed() {
		req := &api.SealRequest{Reclaimer: m.self, Witness: w, Leases: []string{r.Lease()}}
		if res := m.sealAt(w, req, live); res != nil && res.Sealed && len(res.Watermarks) == 1 {
			r.RecordSeal(w, budget.Tokens(res.Watermarks[0].Total))
		} else if m.isRetired(w) {
			r.RecordLostWitness(w)
		}
	}
}

func (m *Manager) sealAt(witness string, req *api.SealRequest, live map[string]bool) *api.SealResponse {
	if witness == m.self {
		return m.seal(req)
	}
	if !live[witness] {
		return nil
	}
	client, ctx, cancel, err := m.link(witness).client(peerCallTimeout)
	if err != nil {
		return nil
	}
	defer cancel()
	res, err := client.Seal(ctx, req)
	if err != nil {
		return nil
	}
	return res
}
