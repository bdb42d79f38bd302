package bench

import (
	"context"
	"maps"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
	"pumiceshelf/objectstore"
	"pumiceshelf/quota"
)

// usagePrefix is the key prefix of usage segments.
const usagePrefix = "usage/"

// chargeTotals sums up usage records and ledgers, which are decoded from the stored objects without the fleet's own
// reporting code.
type chargeTotals struct {
	// records holds usage records by run ID.
	records         map[string][]*api.UsageRecord
	uncharged       int
	doubleCharged   int
	overspendTokens uint64
	parkedTokens    uint64
}

// evaluateCharges compares usage records and ledgers with the engines' logs. It waits for the records to become durable.
func (r *Run) evaluateCharges(ctx context.Context, runsByTag map[string][]standin.Run) {
	var t chargeTotals
	pollUntil := func(timeout time.Duration, done func() bool) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		fleet.WaitUntil(ctx, func() bool {
			t = r.readCharges(ctx, runsByTag)
			return done()
		})
	}
	pollUntil(usageRecordsTimeout, func() bool { return t.uncharged == 0 && t.doubleCharged == 0 })
	pollUntil(parkedTokensTimeout, func() bool { return t.parkedTokens == 0 })
	r.Result.Uncharged = t.uncharged
	r.Result.DoubleCharges = t.doubleCharged
	r.Result.OverspendTokens = t.overspendTokens
	r.Result.ParkedTokens = t.parkedTokens
}

func (r *Run) readCharges(ctx context.Context, runsByTag map[string][]standin.Run) chargeTotals {
	t := chargeTotals{records: r.copyRecords()}
	owed := t.owedByCustomer()
	for _, c := range customers {
		l := r.readLedger(ctx, c)
		if l == nil {
			continue
		}
		spent := l.ClosedSpend - l.Refunded
		for _, lease := range l.Leases {
			spent += lease.Settled
		}
		t.parkedTokens += r.parkedTokens(l)
		if spent > l.Granted {
			t.overspendTokens += spent - l.Granted
		}
		if spent > owed[c] {
			t.doubleCharged += t.countRequestsRecordedTwice(c)
		}
	}
	for _, list := range runsByTag {
		for _, run := range list {
			if len(t.records[run.RequestID]) == 0 {
				t.uncharged++
			}
		}
	}
	return t
}

// requestIDOfRun returns the request ID that all runs of a request share.
func requestIDOfRun(runID string) string {
	id, _, _ := strings.Cut(runID, ".")
	return id
}

// owedByCustomer returns what each customer owes if every request is charged once: the largest recorded usage of its runs,
// or their largest recorded bound if no usage is recorded.
func (t *chargeTotals) owedByCustomer() map[string]uint64 {
	type charge struct {
		customer     string
		usage, bound uint64
	}
	charges := make(map[string]charge)
	for id, list := range t.records {
		c := charges[requestIDOfRun(id)]
		for _, record := range list {
			c.customer = record.Customer
			if tokens := record.PromptTokens + record.GeneratedTokens; record.AtBound {
				c.bound = max(c.bound, tokens)
			} else {
				c.usage = max(c.usage, tokens)
			}
		}
		charges[requestIDOfRun(id)] = c
	}
	owed := make(map[string]uint64)
	for _, c := range charges {
		if c.usage == 0 {
			c.usage = c.bound
		}
		owed[c.customer] += c.usage
	}
	return owed
}

// countRequestsRecordedTwice counts the customer's requests with more than one usage record. It returns at least 1, because
// it is called when the ledger exceeds what the customer owes, which means that some request was charged twice.
func (t *chargeTotals) countRequestsRecordedTwice(customer string) int {
	records := make(map[string]int)
	for id, list := range t.records {
		for _, record := range list {
			if record.Customer == customer {
				records[requestIDOfRun(id)]++
			}
		}
	}
	count := 0
	for _, n := range records {
		if n > 1 {
			count++
		}
	}
	return max(count, 1)
}

// parkedTokens returns the tokens of a budget that no live instance can spend.
func (r *Run) parkedTokens(l *api.BudgetLedger) uint64 {
	live := make(map[string]bool)
	for _, m := range r.Fleet.Instances() {
		live[m.Node.Self().Incarnation] = true
	}
	sum := l.Unresolved
	for _, lease := range l.Leases {
		switch {
		case lease.Closed:
			sum += lease.Bound - lease.Settled
		case !live[lease.Holder]:
			sum += lease.Taken - lease.Settled
		}
	}
	return sum
}

// collectRecords collects every usage record that is written to the platform, including those that the fleet later folds
// into totals.
func (r *Run) collectRecords() {
	r.records = make(map[string][]*api.UsageRecord)
	r.Fleet.Objects.OnPut(func(obj objectstore.Object) {
		if !strings.HasPrefix(obj.Key, usagePrefix) {
			return
		}
		s := &api.UsageSegment{}
		if proto.Unmarshal(obj.Value, s) != nil {
			r.recordViolation("a usage segment cannot be decoded: " + obj.Key)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, record := range s.Records {
			r.records[record.RequestId] = append(r.records[record.RequestId], record)
		}
	})
}

func (r *Run) copyRecords() map[string][]*api.UsageRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.records)
}

func (r *Run) readLedger(ctx context.Context, customer string) *api.BudgetLedger {
	obj, err := r.Fleet.Store().Get(ctx, quota.LedgerPrefix+customer)
	if err != nil {
		return nil
	}
	l := &api.CustomerLedger{}
	if proto.Unmarshal(obj.Value, l) != nil || len(l.Budgets) != 1 {
		r.recordViolation("the ledger cannot be decoded or does not hold exactly one budget: " + customer)
		return nil
	}
	return l.Budgets[0]
}
