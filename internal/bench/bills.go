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

// usagePrefix starts the keys of usage segments.
const usagePrefix = "usage/"

// bills is what the platform's objects say of budgets, read without the fleet's own code for reports.
type bills struct {
	// records by request id.
	records  map[string][]*api.UsageRecord
	unbilled int
	doubled  int
	over     uint64
	parked   uint64
}

// assessBills compares the records and ledgers with the engines' logs, once the records had time to become durable.
func (r *Run) assessBills(ctx context.Context, runs map[string][]standin.Run) {
	var b bills
	await := func(limit time.Duration, done func() bool) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		fleet.Until(ctx, func() bool {
			b = r.readBills(ctx, runs)
			return done()
		})
	}
	await(billTime, func() bool { return b.unbilled == 0 && b.doubled == 0 })
	await(parkTime, func() bool { return b.parked == 0 })
	r.Result.Unbilled = b.unbilled
	r.Result.DoubleBills = b.doubled
	r.Result.OverspendTokens = b.over
	r.Result.ParkedTokens = b.parked
}

func (r *Run) readBills(ctx context.Context, runs map[string][]standin.Run) bills {
	b := bills{records: r.readRecords()}
	due := b.due()
	for _, c := range customers {
		l := r.readLedger(ctx, c)
		if l == nil {
			continue
		}
		spent := l.ClosedSpend - l.Refunded
		for _, lease := range l.Leases {
			spent += lease.Settled
		}
		b.parked += r.parked(l)
		if spent > l.Granted {
			b.over += spent - l.Granted
		}
		if spent > due[c] {
			b.doubled += b.repeated(c)
		}
	}
	for _, list := range runs {
		for _, run := range list {
			if len(b.records[run.RequestID]) == 0 {
				b.unbilled++
			}
		}
	}
	return b
}

// requestOf returns the id that all runs of a request share.
func requestOf(runID string) string {
	id, _, _ := strings.Cut(runID, ".")
	return id
}

// due returns what each customer owes when every request is billed once: the largest usage on record of its runs, or the
// largest bound when no usage is on record.
func (b *bills) due() map[string]uint64 {
	type charge struct {
		customer     string
		usage, bound uint64
	}
	charges := make(map[string]charge)
	for id, list := range b.records {
		c := charges[requestOf(id)]
		for _, record := range list {
			c.customer = record.Customer
			if tokens := record.PromptTokens + record.GeneratedTokens; record.AtBound {
				c.bound = max(c.bound, tokens)
			} else {
				c.usage = max(c.usage, tokens)
			}
		}
		charges[requestOf(id)] = c
	}
	due := make(map[string]uint64)
	for _, c := range charges {
		if c.usage == 0 {
			c.usage = c.bound
		}
		due[c.customer] += c.usage
	}
	return due
}

// repeated counts the customer's requests with more than one record; one of them at least is billed twice when the ledger
// holds more than is due.
func (b *bills) repeated(customer string) int {
	records := make(map[string]int)
	for id, list := range b.records {
		for _, record := range list {
			if record.Customer == customer {
				records[requestOf(id)]++
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

// parked returns the tokens of a budget that no live instance can spend.
func (r *Run) parked(l *api.BudgetLedger) uint64 {
	live := make(map[string]bool)
	for _, m := range r.Fleet.Members() {
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

// watchRecords keeps every usage record that reaches the platform, also those that the fleet folds into totals later.
func (r *Run) watchRecords() {
	r.records = make(map[string][]*api.UsageRecord)
	r.Fleet.Objects.OnPut(func(obj objectstore.Object) {
		if !strings.HasPrefix(obj.Key, usagePrefix) {
			return
		}
		s := &api.UsageSegment{}
		if proto.Unmarshal(obj.Value, s) != nil {
			r.broke("a usage segment does not decode: " + obj.Key)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, record := range s.Records {
			r.records[record.RequestId] = append(r.records[record.RequestId], record)
		}
	})
}

func (r *Run) readRecords() map[string][]*api.UsageRecord {
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
		r.broke("the ledger does not decode: " + customer)
		return nil
	}
	return l.Budgets[0]
}
