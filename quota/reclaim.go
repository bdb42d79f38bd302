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
	// reclaimInterval is the time between two looks at all ledgers for leases of lost holders.
	reclaimInterval = 5 * time.Second
	// reclaimAfter is how long a holder must be missing. It saves work only: a holder that is alive after all is safe.
	reclaimAfter = 5 * time.Second
	// absenceKeep is how long missing incarnations are remembered.
	absenceKeep = 2 * recordKeep
	// listPage is the number of objects listed in one call.
	listPage = 100
	// reclaimTopic decides which instance of a domain looks for lost holders.
	reclaimTopic = "reclaim"
)

// seal ends this instance's acknowledgements of leases.
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

// reclaim closes the leases of lost holders of this domain, and of retired ones of any.
func (m *Manager) reclaim(ctx context.Context) {
	if o := m.cfg.View.Owner(reclaimTopic); o == nil || o.Incarnation != m.self {
		return
	}
	live := m.liveIncarnations()
	m.absences.forget(m.cfg.Clock.Now(), absenceKeep)
	err := eachObject(ctx, m.cfg.Store, LedgerPrefix, func(obj objectstore.Object) error {
		ledger := &api.CustomerLedger{}
		if err := proto.Unmarshal(obj.Value, ledger); err != nil {
			m.cfg.Log.Errorf("quota: ledger %s cannot be read: %v", obj.Key, err)
			return nil
		}
		m.reclaimLedger(ctx, ledger, budget.Version(obj.Version), live)
		return nil
	})
	if err != nil {
		m.counters.unavailable.Inc(1)
	}
}

// eachObject calls f for each object with a prefix, in order of keys, until f returns an error.
func eachObject(ctx context.Context, store objectstore.Store, prefix string, f func(objectstore.Object) error) error {
	after := ""
	for {
		page, err := listPageOf(ctx, store, prefix, after)
		if err != nil {
			return err
		}
		for _, obj := range page {
			if err := f(obj); err != nil {
				return err
			}
		}
		if len(page) < listPage {
			return nil
		}
		after = page[len(page)-1].Key
	}
}

func listPageOf(ctx context.Context, store objectstore.Store, prefix, after string) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.List(ctx, prefix, after, listPage)
}

// reclaimLedger closes the leases of lost holders in one ledger by one update conditional on the version read before
// any witness was sealed.
func (m *Manager) reclaimLedger(ctx context.Context, ledger *api.CustomerLedger, version budget.Version, live map[string]bool) {
	edit := budget.Begin(ledger.Customer, ledger)
	var closed []string
	for _, b := range ledger.Budgets {
		for _, l := range b.Leases {
			if l.Closed || !m.lost(l, live) {
				continue
			}
			r := budget.StartReclaim(version, l)
			m.sealWitnesses(r, live)
			_, bound, ok := r.ClosingUpdate()
			if !ok {
				m.counters.reclaimWait.Inc(1)
				continue
			}
			edit.Reclaim(b.Budget, l.Id, m.self, bound)
			closed = append(closed, fmt.Sprintf("lease %s of %s/%s closed: %d of %d tokens back, %d without a record",
				l.Id, ledger.Customer, b.Budget, l.Taken-min(l.Taken, uint64(bound)), l.Taken, uint64(bound)-min(l.Settled, uint64(bound))))
		}
	}
	if next, changed := edit.Finish(); changed {
		m.writeReclaimed(ctx, next, version, closed)
	}
}

func (m *Manager) writeReclaimed(ctx context.Context, next *api.CustomerLedger, version budget.Version, closed []string) {
	m.counters.writes.Inc(1)
	_, err := writeLedger(ctx, m.cfg.Store, next, version)
	if err != nil {
		m.counters.reclaimWait.Inc(int64(len(closed)))
		if !errors.Is(err, objectstore.ErrConflict) {
			m.cfg.Log.Debugf("quota: reclaim in ledger %s: %v", next.Customer, err)
		}
		return
	}
	m.counters.reclaimed.Inc(int64(len(closed)))
	for _, text := range closed {
		m.repaired(text)
	}
	m.noteReclaimed(next.Customer)
	m.refreshBook(next.Customer)
}

// refreshBook has this instance's own leases of a customer look at the ledger.
func (m *Manager) refreshBook(customer string) {
	if b := m.holder.knownBook(customer); b != nil {
		b.refresh()
		m.holder.kick()
	}
}

// noteReclaimed remembers a customer whose closed leases are to be compared with records for a while.
func (m *Manager) noteReclaimed(customer string) {
	m.reclaimedMu.Lock()
	defer m.reclaimedMu.Unlock()
	m.reclaimed[customer] = m.cfg.Clock.Now()
}

// reclaimedLately returns the customers whose leases this instance closed lately.
func (m *Manager) reclaimedLately() []string {
	m.reclaimedMu.Lock()
	defer m.reclaimedMu.Unlock()
	var out []string
	for customer, at := range m.reclaimed {
		out = append(out, customer)
		if m.cfg.Clock.Since(at) > syncFor {
			delete(m.reclaimed, customer)
		}
	}
	return out
}

func (m *Manager) repaired(text string) {
	if m.cfg.Repairs != nil {
		m.cfg.Repairs.Add(part, text)
	}
}

// lost says whether a lease's holder is retired, or of this domain and missing for long enough.
func (m *Manager) lost(l *api.QuotaLease, live map[string]bool) bool {
	if m.retired(l.Holder) {
		return true
	}
	return l.Domain == m.domain && m.absences.of(l.Holder, live, m.cfg.Clock.Now()) >= reclaimAfter
}

func (m *Manager) retired(incarnation string) bool {
	s := m.cfg.Bundles.Current()
	return s != nil && s.Retired(instance.Incarnation(incarnation))
}

// sealWitnesses has each witness seal the lease, as far as they can be reached.
func (m *Manager) sealWitnesses(r *budget.Reclaim, live map[string]bool) {
	for _, w := range r.Unsealed() {
		req := &api.SealRequest{Reclaimer: m.self, Witness: w, Leases: []string{r.Lease()}}
		if res := m.sealAt(w, req, live); res != nil && res.Sealed && len(res.Watermarks) == 1 {
			r.RecordSeal(w, budget.Tokens(res.Watermarks[0].Total))
		} else if m.retired(w) {
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
	client, ctx, cancel, err := m.link(witness).client(callTimeout)
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
