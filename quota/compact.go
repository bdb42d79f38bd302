package quota

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/objectstore"
)

const (
	// billingPrefix starts the keys of customers' billing totals.
	billingPrefix = "billing/"
	// compactLimit bounds the segments folded in one round.
	compactLimit = 5000
)

// storedSegment is a segment with its version, to delete it by.
type storedSegment struct {
	*api.UsageSegment
	key     string
	version objectstore.Version
}

var errEnough = errors.New("quota: enough segments for a round")

// compact folds usage segments into the customers' billing totals, brings refunds and late records into their ledgers,
// and deletes the segments. One instance of the fleet does it; two at once do no harm.
func (m *Manager) compact(ctx context.Context) {
	m.syncReclaimed(ctx)
	if !m.compacts() {
		return
	}
	segments := m.listSegments(ctx)
	done := make(map[string]bool)
	for _, customer := range customersOf(segments) {
		done[customer] = m.compactCustomer(ctx, customer, segments)
	}
	for _, s := range segments {
		if allDone(s, done) {
			m.deleteSegment(ctx, s)
		}
	}
}

// compacts says whether this instance is the first live one of the fleet.
func (m *Manager) compacts() bool {
	for _, p := range m.cfg.View.Members() {
		if p.Live {
			return p.Instance.Incarnation == m.self
		}
	}
	return true
}

func (m *Manager) listSegments(ctx context.Context) []storedSegment {
	var out []storedSegment
	err := eachSegment(ctx, m.cfg.Store, func(s storedSegment) error {
		out = append(out, s)
		if len(out) >= compactLimit {
			return errEnough
		}
		return nil
	})
	if err != nil && !errors.Is(err, errEnough) {
		m.counters.unavailable.Inc(1)
	}
	return out
}

// eachSegment calls f for each usage segment, in order of incarnation and sequence, until f returns an error.
func eachSegment(ctx context.Context, store objectstore.Store, f func(storedSegment) error) error {
	return eachObject(ctx, store, usagePrefix, func(obj objectstore.Object) error {
		s := &api.UsageSegment{}
		if err := proto.Unmarshal(obj.Value, s); err != nil {
			return errors.Join(objectstore.ErrMalformed, err)
		}
		return f(storedSegment{UsageSegment: s, key: obj.Key, version: obj.Version})
	})
}

// syncReclaimed brings the records on file into the ledgers of leases that this instance closed lately.
func (m *Manager) syncReclaimed(ctx context.Context) {
	for _, customer := range m.reclaimedLately() {
		m.compactCustomer(ctx, customer, nil)
	}
}

// customersOf returns the customers with records in segments.
func customersOf(segments []storedSegment) []string {
	seen := make(map[string]bool)
	for _, s := range segments {
		for _, r := range s.Records {
			seen[r.Customer] = true
		}
	}
	out := make([]string, 0, len(seen))
	for customer := range seen {
		out = append(out, customer)
	}
	return out
}

func allDone(s storedSegment, done map[string]bool) bool {
	for _, r := range s.Records {
		if !done[r.Customer] {
			return false
		}
	}
	return true
}

// compactCustomer folds segments into one customer's totals and the totals into the ledger. It returns whether both are
// durable; if not, the next round does it again, which changes nothing that was done.
func (m *Manager) compactCustomer(ctx context.Context, customer string, segments []storedSegment) bool {
	msg, version, err := readBilling(ctx, m.cfg.Store, customer)
	if err != nil {
		m.counters.unavailable.Inc(1)
		return false
	}
	b := budget.OpenBilling(customer, msg)
	changed := false
	for _, s := range segments {
		if concerns(s, customer) && b.Fold(s.UsageSegment) {
			changed = true
			m.counters.folded.Inc(1)
		}
	}
	if changed && !m.writeBilling(ctx, b.Message(), version) {
		return false
	}
	m.counters.refunded.Inc(int64(b.Refunds))
	return m.applyBilling(ctx, b, customer)
}

func concerns(s storedSegment, customer string) bool {
	for _, r := range s.Records {
		if r.Customer == customer {
			return true
		}
	}
	return false
}

func readBilling(ctx context.Context, store objectstore.Store, customer string) (*api.CustomerBilling, objectstore.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := store.Get(ctx, billingPrefix+customer)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	msg := &api.CustomerBilling{}
	if err := proto.Unmarshal(obj.Value, msg); err != nil {
		return nil, 0, errors.Join(objectstore.ErrMalformed, err)
	}
	return msg, obj.Version, nil
}

func (m *Manager) writeBilling(ctx context.Context, msg *api.CustomerBilling, version objectstore.Version) bool {
	value, err := proto.Marshal(msg)
	if err != nil {
		m.cfg.Log.Errorf("quota: billing of %s does not encode: %v", msg.Customer, err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := m.cfg.Store.Put(ctx, billingPrefix+msg.Customer, value, version); err != nil {
		m.counters.unavailable.Inc(1)
		return false
	}
	return true
}

// applyBilling brings the totals into the ledger.
func (m *Manager) applyBilling(ctx context.Context, b *budget.Billing, customer string) bool {
	for try := range conflictLimit {
		ledger, version, err := readLedger(ctx, m.cfg.Store, customer)
		if err != nil || ledger == nil {
			return false
		}
		edit := budget.Begin(customer, ledger)
		b.ApplyTo(edit)
		next, changed := edit.Finish()
		if !changed {
			return true
		}
		m.counters.writes.Inc(1)
		if _, err = writeLedger(ctx, m.cfg.Store, next, version); err == nil {
			m.refreshBook(customer)
			return true
		}
		m.counters.conflict.Inc(1)
		pause(ctx, conflictPause<<try)
	}
	return false
}

func (m *Manager) deleteSegment(ctx context.Context, s storedSegment) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.cfg.Store.Delete(ctx, s.key, s.version); err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		m.cfg.Log.Debugf("quota: segment %s not deleted yet: %v", s.key, err)
	}
}
