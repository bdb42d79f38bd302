package budget

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

const (
	// maxBilledRequests bounds the billed runs recorded per customer, so that the stored object stays under one megabyte.
	maxBilledRequests = 16384
	// maxCursors bounds the incarnations recorded per customer.
	maxCursors = 512
	// maxLeaseTotals bounds the leases recorded per budget.
	maxLeaseTotals = 512
)

// Billing folds usage segments into a customer's totals and charges each request once. It is not safe for concurrent use.
type Billing struct {
	msg *api.CustomerBilling
	// charges maps the origin of a request, the hash of its ID, to its charge.
	charges map[uint64]charge
	// billed maps a run and the lease it was billed under to its billed tokens.
	billed map[billedKey]*api.BilledRequest
	// Refunds counts the records added to this Billing that caused a refund because their request was already charged.
	Refunds int
}

// charge is what a request costs: the largest usage recorded for any of its runs under any lease, or the largest bound
// if no usage is recorded.
type charge struct {
	usage, bound uint64
}

func (c charge) including(r *api.BilledRequest) charge {
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

// runSeparator follows the request ID in the ID of a run.
const runSeparator = "."

type runHash [16]byte

type billedKey struct {
	run   runHash
	lease uint64
}

// OpenBilling returns a Billing that continues from a customer's stored totals, or from zero if msg is nil. It does not
// modify msg.
func OpenBilling(customer string, msg *api.CustomerBilling) *Billing {
	b := &Billing{msg: &api.CustomerBilling{Customer: customer},
		charges: make(map[uint64]charge), billed: make(map[billedKey]*api.BilledRequest)}
	if msg != nil {
		b.msg = proto.Clone(msg).(*api.CustomerBilling)
	}
	for _, r := range b.msg.Billed {
		k := billedKey{lease: r.Lease}
		copy(k.run[:], r.Request)
		b.index(k, r)
	}
	return b
}

func (b *Billing) index(k billedKey, r *api.BilledRequest) {
	b.billed[k] = r
	b.charges[r.Origin] = b.charges[r.Origin].including(r)
}

// Message returns the totals. The caller must not modify them.
func (b *Billing) Message() *api.CustomerBilling { return b.msg }

// Fold adds the customer's records in a segment to the totals and reports whether the segment was new. A segment that
// was already folded changes nothing. The segments of an incarnation must be folded in sequence order.
func (b *Billing) Fold(s *api.UsageSegment) bool {
	c := b.cursor(s.Incarnation)
	if s.Sequence < c.Next {
		return false
	}
	c.Next = s.Sequence + 1
	for _, r := range s.Records {
		if r.Customer == b.msg.Customer {
			b.addRecord(r, strings.HasPrefix(r.Lease, s.Incarnation+"/"))
		}
	}
	b.trim()
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

// Add adds a record that is not in a segment yet.
func (b *Billing) Add(r *api.UsageRecord) { b.addRecord(r, false) }

// RecordedTokens returns the tokens billed by usage records under a lease.
func (b *Billing) RecordedTokens(budget, lease string) Tokens {
	for _, l := range BudgetBilling(b.msg, budget).GetLeases() {
		if l.Lease == lease {
			return Tokens(l.Total)
		}
	}
	return 0
}

// IsBilled reports whether a run of a request was recently billed under a lease. Only the newest maxBilledRequests runs
// are kept.
func (b *Billing) IsBilled(runID, lease string) bool { return b.billed[keyOf(runID, lease)] != nil }

func keyOf(runID, lease string) billedKey {
	k := billedKey{lease: hashLease(lease)}
	sum := sha256.Sum256([]byte(runID))
	copy(k.run[:], sum[:])
	return k
}

// originOf returns the hash of the request that a run belongs to. The ID of a run starts with the ID of its request.
func originOf(runID string) uint64 {
	request, _, _ := strings.Cut(runID, runSeparator)
	sum := sha256.Sum256([]byte(request))
	return binary.BigEndian.Uint64(sum[:])
}

// addRecord adds a usage record to the totals. A run is billed once per lease; if the lease holder billed the bound and
// the entry instance knew the usage, the larger amount is billed. A request is charged once across all of its runs and
// leases and the rest is refunded, so a caller that retries after a crash pays only for the response it gets. Refunds
// never decrease: if a smaller usage has replaced the bound of another run, a larger usage that arrives later is not
// charged in full.
//
// fromHolder is true if the lease holder wrote the record. Its ledger contains the amount it billed, so a bound that it
// billed counts in full.
func (b *Billing) addRecord(r *api.UsageRecord, fromHolder bool) {
	k := keyOf(r.RequestId, r.Lease)
	entry := b.entry(r.Budget)
	billed := b.billed[k]
	if billed != nil && r.AtBound && !fromHolder {
		return // A bound reported by another instance adds nothing to an amount that is already recorded.
	}
	if billed == nil {
		billed = &api.BilledRequest{Request: k.run[:], Lease: k.lease, UnixMs: r.UnixMs, Origin: originOf(r.RequestId)}
		b.msg.Billed = append(b.msg.Billed, billed)
		b.index(k, billed)
		entry.Records++
		if r.AtBound {
			entry.AtBound++
		}
	}
	tokens := r.PromptTokens + r.GeneratedTokens
	added := tokens - min(tokens, billed.Tokens)
	billed.Tokens += added
	if !r.AtBound {
		billed.Usage = max(billed.Usage, tokens)
	}
	entry.Tokens += added
	b.addLease(entry, r.Lease, added)
	before := b.charges[billed.Origin]
	after := before.including(billed)
	b.charges[billed.Origin] = after
	if counted, charged := added+before.tokens(), after.tokens(); counted > charged {
		entry.Refunded += counted - charged
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

// trim removes the oldest entries of every list that has a maximum length.
func (b *Billing) trim() {
	b.msg.Billed = lastN(b.msg.Billed, maxBilledRequests)
	b.msg.Cursors = lastN(b.msg.Cursors, maxCursors)
	for _, e := range b.msg.Budgets {
		e.Leases = lastN(e.Leases, maxLeaseTotals)
	}
}

func lastN[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return list[len(list)-limit:]
}

// ApplyTo copies the refunds, and the recorded tokens of closed leases, into an edit of the customer's ledger.
func (b *Billing) ApplyTo(e *Edit) {
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
