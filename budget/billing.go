package budget

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

const (
	// billedLimit bounds the requests remembered per customer, so that the object stays under a megabyte.
	billedLimit = 16384
	// cursorLimit bounds the incarnations remembered per customer.
	cursorLimit = 512
	// leaseTotalLimit bounds the leases remembered per budget.
	leaseTotalLimit = 512
)

// Billing folds usage segments into a customer's totals, each request once. It is not safe for concurrent use.
type Billing struct {
	msg *api.CustomerBilling
	// charges says what each request is charged, by origin; pairs holds each run and lease.
	charges map[uint64]charge
	pairs   map[billedKey]*api.BilledRequest
	// Refunds counts the records of this value that billed a request again.
	Refunds int
}

// charge of a request: the largest usage on record of any of its runs under any lease, or the largest bound if no usage
// is on record.
type charge struct {
	usage, bound uint64
}

func (c charge) with(r *api.BilledRequest) charge {
	c.usage = max(c.usage, r.Usage)
	c.bound = max(c.bound, r.Tokens)
	return c
}

func (c charge) tokens() uint64 {
	if c.usage > 0 {
		return c.usage
	}
	return c.bound
}

// runSeparator stands in the ids of runs behind the id of their request.
const runSeparator = "."

type requestKey [16]byte

type billedKey struct {
	request requestKey
	lease   uint64
}

// OpenBilling starts from a customer's totals, nil for none yet. The message given is not changed.
func OpenBilling(customer string, msg *api.CustomerBilling) *Billing {
	b := &Billing{msg: &api.CustomerBilling{Customer: customer}, charges: make(map[uint64]charge), pairs: make(map[billedKey]*api.BilledRequest)}
	if msg != nil {
		b.msg = proto.Clone(msg).(*api.CustomerBilling)
	}
	for _, r := range b.msg.Billed {
		k := billedKey{lease: r.Lease}
		copy(k.request[:], r.Request)
		b.remember(k, r)
	}
	return b
}

func (b *Billing) remember(k billedKey, r *api.BilledRequest) {
	b.pairs[k] = r
	b.charges[r.Origin] = b.charges[r.Origin].with(r)
}

// Message returns the totals. The caller must not change them.
func (b *Billing) Message() *api.CustomerBilling { return b.msg }

// Fold adds the customer's records in a segment to the totals and returns whether anything changed. A segment folded in
// before changes nothing. The segments of an incarnation are folded in order.
func (b *Billing) Fold(s *api.UsageSegment) bool {
	c := b.cursor(s.Incarnation)
	if s.Sequence < c.Next {
		return false
	}
	c.Next = s.Sequence + 1
	for _, r := range s.Records {
		if r.Customer == b.msg.Customer {
			b.bill(r, strings.HasPrefix(r.Lease, s.Incarnation+"/"))
		}
	}
	b.forget()
	return true
}

func (b *Billing) cursor(incarnation string) *api.SegmentCursor {
	for _, c := range b.msg.Cursors {
		if c.Incarnation == incarnation {
			return c
		}
	}
	c := &api.SegmentCursor{Incarnation: incarnation}
	b.msg.Cursors = append(b.msg.Cursors, c)
	return c
}

// Count adds a record that is not in a segment yet.
func (b *Billing) Count(r *api.UsageRecord) { b.bill(r, false) }

// Recorded returns the tokens that records bill under a lease.
func (b *Billing) Recorded(budget, lease string) Tokens {
	for _, l := range BudgetBilling(b.msg, budget).GetLeases() {
		if l.Lease == lease {
			return Tokens(l.Total)
		}
	}
	return 0
}

// Has says whether a request was billed under a lease lately.
func (b *Billing) Has(requestID, lease string) bool { return b.pairs[keyOf(requestID, lease)] != nil }

func keyOf(requestID, lease string) billedKey {
	k := billedKey{lease: hashLease(lease)}
	sum := sha256.Sum256([]byte(requestID))
	copy(k.request[:], sum[:])
	return k
}

// originOf names the request that a run belongs to. The runs of a request have ids that begin with the request's.
func originOf(runID string) uint64 {
	request, _, _ := strings.Cut(runID, runSeparator)
	sum := sha256.Sum256([]byte(request))
	return binary.BigEndian.Uint64(sum[:])
}

// bill counts a record. A run counts once per lease, at the larger figure if the holder billed its bound and its entry
// instance knew better. Of all runs and leases of a request one figure is charged, the rest is refunded: a caller that
// asks again after a crash pays for its answer alone. Refunds only grow, so a usage that becomes known after a smaller one
// was charged for another run's bound is not charged in full.
//
// own says that the lease's holder wrote the record: what it billed is in its ledger, so its bound counts in full.
func (b *Billing) bill(r *api.UsageRecord, own bool) {
	k := keyOf(r.RequestId, r.Lease)
	entry := b.entry(r.Budget)
	known := b.pairs[k]
	if known != nil && r.AtBound && !own {
		return // A bound says no more than the figure on record.
	}
	if known == nil {
		known = &api.BilledRequest{Request: k.request[:], Lease: k.lease, UnixMs: r.UnixMs, Origin: originOf(r.RequestId)}
		b.msg.Billed = append(b.msg.Billed, known)
		b.remember(k, known)
		entry.Records++
		if r.AtBound {
			entry.AtBound++
		}
	}
	tokens := r.PromptTokens + r.GeneratedTokens
	more := tokens - min(tokens, known.Tokens)
	known.Tokens += more
	if !r.AtBound {
		known.Usage = max(known.Usage, tokens)
	}
	entry.Tokens += more
	b.addLease(entry, r.Lease, more)
	old := b.charges[known.Origin]
	now := old.with(known)
	b.charges[known.Origin] = now
	if counted, due := more+old.tokens(), now.tokens(); counted > due {
		entry.Refunded += counted - due
		b.Refunds++
	}
}

func hashLease(lease string) uint64 {
	sum := sha256.Sum256([]byte(lease))
	return binary.BigEndian.Uint64(sum[:])
}

func (b *Billing) entry(budget string) *api.BudgetBilling {
	if e := BudgetBilling(b.msg, budget); e != nil {
		return e
	}
	e := &api.BudgetBilling{Budget: budget}
	b.msg.Budgets = append(b.msg.Budgets, e)
	return e
}

// BudgetBilling returns the totals of a budget, or nil.
func BudgetBilling(m *api.CustomerBilling, budget string) *api.BudgetBilling {
	for _, e := range m.GetBudgets() {
		if e.Budget == budget {
			return e
		}
	}
	return nil
}

func (b *Billing) addLease(e *api.BudgetBilling, lease string, tokens uint64) {
	for _, l := range e.Leases {
		if l.Lease == lease {
			l.Total += tokens
			return
		}
	}
	e.Leases = append(e.Leases, &api.LeaseTotal{Lease: lease, Total: tokens})
}

// forget drops the oldest entries of what is bounded.
func (b *Billing) forget() {
	b.msg.Billed = newest(b.msg.Billed, billedLimit)
	b.msg.Cursors = newest(b.msg.Cursors, cursorLimit)
	for _, e := range b.msg.Budgets {
		e.Leases = newest(e.Leases, leaseTotalLimit)
	}
}

func newest[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return list[len(list)-limit:]
}

// Apply brings refunds and what records account for of closed leases into the customer's ledger.
func (b *Billing) Apply(e *Edit) {
	for _, entry := range b.msg.Budgets {
		if e.Entry(entry.Budget) == nil {
			continue
		}
		e.Refund(entry.Budget, Tokens(entry.Refunded))
		for _, l := range entry.Leases {
			e.Resolve(entry.Budget, l.Lease, Tokens(l.Total))
		}
	}
}
