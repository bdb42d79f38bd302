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
	// billingPrefix is the key prefix of customers' billing totals.
	billingPrefix = "billing/"
	// maxSegmentsPerFold bounds the segments folded in one run.
	maxSegmentsPerFold = 5000
)

// storedSegment is a segment with its key and version, which deletion requires.
type storedSegment struct {
	*api.UsageSegment
	key     string
	version objectstore.Version
}

var errSegmentLimit = errors.New("quota: segment limit of a fold reached")

// compact folds usage segments into the customers' billing totals, applies refunds and late records to their ledgers, and
// deletes the segments. One instance of the fleet does this; two at the same time do no harm.
func (m *Manager) compact(ctx context.Context) {
	m.syncReclaimed(ctx)
	if !m.isCompactor() {
		return
	}
	segments := m.listSegments(ctx)
	folded := make(map[string]bool)
	for _, customer := range customersOf(segments) {
		folded[customer] = m.compactCustomer(ctx, customer, segments)
	}
	for _, s := range segments {
		if allFolded(s, folded) {
			m.deleteSegment(ctx, s)
		}
	}
}

// isCompactor reports whether this instance is the first live one of the fleet.
func (m *Manager) isCompactor() bool {
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
		if len(out) >= maxSegmentsPerFold {
			return errSegmentLimit
		}
		return nil
	})
	if err != nil && !errors.Is(err, errSegmentLimit) {
		m.counters.storeUnavailable.Inc(1)
	}
	return out
}

// eachSegment calls f for each usage segment, ordered by incarnation and sequence, until f returns an error.
func eachSegment(ctx context.Context, store objectstore.Store, f func(storedSegment) error) error {
	return eachObject(ctx, store, usagePrefix, func(obj objectstore.Object) error {
		s := &api.UsageSegment{}
		if err := proto.Unmarshal(obj.Value, s); err != nil {
			return errors.Join(objectstore.ErrMalformed, err)
		}
		return f(storedSegment{UsageSegment: s, key: obj.Key, version: obj.Version})
	})
}

// syncReclaimed applies stored billing totals to the ledgers of customers whose leases this instance closed recently.
func (m *Manager) syncReclaimed(ctx context.Context) {
	for _, customer := range m.recentlyReclaimed() {
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

func allFolded(s storedSegment, folded map[string]bool) bool {
	for _, r := range s.Records {
		if !folded[r.Customer] {
			return false
		}
	}
	return true
}

// compactCustomer folds segments into one customer's totals and applies the totals to the ledger. It reports whether both
// are durable; if not, the next run repeats the work, which is idempotent.
func (m *Manager) compactCustomer(ctx context.Context, customer string, segments []storedSegment) bool {
	msg, version, err := readBilling(ctx, m.cfg.Store, customer)
	if err != nil {
		m.counters.storeUnavailable.Inc(1)
		return false
	}
	b := budget.OpenBilling(customer, msg)
	changed := false
	for _, s := range segments {
		if hasRecordsOf(s, customer) && b.Fold(s.UsageSegment) {
			changed = true
			m.counters.segmentFolded.Inc(1)
		}
	}
	if changed && !m.writeBilling(ctx, b.Message(), version) {
		return false
	}
	m.counters.recordRefunded.Inc(int64(b.Refunds))
	return m.applyBilling(ctx, b, customer)
}

func hasRecordsOf(s storedSegment, customer string) bool {
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
		m.cfg.Log.Errorf("quota: billing totals of %s cannot be encoded: %v", msg.Customer, err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := m.cfg.Store.Put(ctx, billingPrefix+msg.Customer, value, version); err != nil {
		m.counters.storeUnavailable.Inc(1)
		return false
	}
	return true
}

// applyBilling applies the totals to the ledger and reports whether the ledger is up to date with them.
func (m *Manager) applyBilling(ctx context.Context, b *budget.Billing, customer string) bool {
	for attempt := range maxUpdateAttempts {
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
		m.counters.ledgerWrites.Inc(1)
		if _, err = writeLedger(ctx, m.cfg.Store, next, version); err == nil {
			m.refreshLedger(customer)
			return true
		}
		m.counters.ledgerConflict.Inc(1)
		sleepRandom(ctx, initialConflictPause<<attempt)
	}
	return false
}

func (m *Manager) deleteSegment(ctx context.Context, s storedSegment) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.cfg.Store.Delete(ctx, s.key, s.version); err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		m.cfg.Log.Debugf("quota: segment %s could not be deleted: %v", s.key, err)
	}
}
