package quota

import (
	"context"
	"fmt"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/objectstore"
)

// BudgetReport is the state of a budget in the object store, in tokens.
type BudgetReport struct {
	Budget  string
	Granted budget.Tokens
	// Refunded is the part of Recorded that charged a request again under another lease.
	Refunded budget.Tokens
	// Settled is the sum of settled tokens in the ledger, over open and closed leases.
	Settled budget.Tokens
	// Free is the number of tokens in no lease.
	Free budget.Tokens
	// Open are the open leases, Closed the closed ones that usage records do not fully account for.
	Open, Closed []*api.QuotaLease
	// Parked is the number of tokens that may have been spent under closed leases and are in no usage record.
	Parked budget.Tokens
	// Records and Recorded are the number of stored usage records and their tokens.
	Records  uint64
	Recorded budget.Tokens
	// AtBound is the number of usage records that charge the bound because the usage is unknown.
	AtBound uint64
	Wants   []*api.Want
	// Agrees is false if the records and the ledger contradict each other; Why then describes the contradiction.
	Agrees bool
	Why    string
}

// Report returns a report on each budget of a customer.
func Report(ctx context.Context, store objectstore.Store, customer string) ([]BudgetReport, error) {
	// The ledger is read first: records only grow, and are stored before the ledger counts them.
	ledger, _, err := readLedger(ctx, store, customer)
	if err != nil {
		return nil, fmt.Errorf("quota: ledger of %s: %w", customer, err)
	}
	billing, err := foldAll(ctx, store, customer)
	if err != nil {
		return nil, fmt.Errorf("quota: usage records of %s: %w", customer, err)
	}
	var out []BudgetReport
	for _, b := range ledger.GetBudgets() {
		out = append(out, reportBudget(b, budget.BudgetBilling(billing, b.Budget)))
	}
	return out, nil
}

// foldAll returns a customer's billing totals including the segments that are not yet folded.
func foldAll(ctx context.Context, store objectstore.Store, customer string) (*api.CustomerBilling, error) {
	var segments []storedSegment
	err := eachSegment(ctx, store, func(s storedSegment) error {
		if hasRecordsOf(s, customer) {
			segments = append(segments, s)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	// The totals are read after the segments, so that they include a segment that is folded and deleted in between.
	msg, _, err := readBilling(ctx, store, customer)
	if err != nil {
		return nil, err
	}
	b := budget.OpenBilling(customer, msg)
	for _, s := range segments {
		b.Fold(s.UsageSegment)
	}
	return b.Message(), nil
}

func reportBudget(b *api.BudgetLedger, billing *api.BudgetBilling) BudgetReport {
	r := BudgetReport{
		Budget:   b.Budget,
		Granted:  budget.Tokens(b.Granted),
		Refunded: budget.Tokens(max(b.Refunded, billing.GetRefunded())),
		Settled:  budget.Tokens(b.ClosedSpend),
		Free:     budget.Free(b),
		Parked:   budget.Tokens(b.Unresolved),
		Records:  billing.GetRecords(),
		Recorded: budget.Tokens(billing.GetTokens()),
		AtBound:  billing.GetAtBound(),
		Wants:    b.Wants,
	}
	var unsettled budget.Tokens
	for _, l := range b.Leases {
		r.Settled += budget.Tokens(l.Settled)
		if l.Closed {
			r.Closed = append(r.Closed, l)
			r.Parked += budget.Tokens(l.Bound - l.Settled)
		} else {
			r.Open = append(r.Open, l)
			unsettled += budget.Tokens(l.Taken - l.Settled)
		}
	}
	r.checkConsistency(unsettled)
	return r
}

// checkConsistency compares records and ledger. Records may exceed the ledger by what open leases have not yet written to
// it.
func (r *BudgetReport) checkConsistency(unsettled budget.Tokens) {
	switch {
	case r.Recorded < r.Settled:
		r.Why = fmt.Sprintf("the ledger has settled %d tokens but records account for %d", r.Settled, r.Recorded)
	case r.Recorded > r.Settled+unsettled+r.Parked:
		r.Why = fmt.Sprintf("records bill %d tokens but the ledger allows for %d", r.Recorded, r.Settled+unsettled+r.Parked)
	default:
		r.Agrees = true
	}
}
