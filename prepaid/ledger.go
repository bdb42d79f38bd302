// Package prepaid keeps customers within their prepaid budgets. An instance holds a quota lease for each customer, taken
// from a shared ledger in the object store by conditional updates, and reserves requests against it in memory. In a large
// failure domain one instance holds the leases, and the others draw tokens from it. An instance that is cut off from the
// store borrows from others.
//
// Invariant: in every version of the ledger, what is closed and what all leases may spend stays within the prepaid total
// whenever an update raises it; and an instance never has more reserved and spent than the ledger that it last read or
// wrote allows it. Tokens given to another instance count as spent by the one that gives them. No clock takes part in
// it, so a paused holder may wake at any time. What a crashed instance had not spent of its leases stays parked: no one
// can know how much that was.
package prepaid

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/invariant"
)

const part = "prepaid"

// LedgerKey is the object that holds the ledger of all customers.
const LedgerKey = "pumiceshelf-prepaid/ledger"

// ledger is the shared account of all customers, as of one version of its object.
type ledger struct{ message *api.PrepaidLedger }

func newLedger() ledger { return ledger{message: &api.PrepaidLedger{}} }

func decodeLedger(value []byte) (ledger, error) {
	l := newLedger()
	if err := protojson.Unmarshal(value, l.message); err != nil {
		return ledger{}, fmt.Errorf("prepaid: ledger: %w", err)
	}
	return l, nil
}

func (l ledger) encode() ([]byte, error) {
	value, err := protojson.Marshal(l.message)
	if err != nil {
		return nil, fmt.Errorf("prepaid: encode ledger: %w", err)
	}
	return value, nil
}

func (l ledger) clone() ledger {
	return ledger{message: proto.Clone(l.message).(*api.PrepaidLedger)}
}

// handedOut returns the tokens that are closed or may be spent by a lease.
func (l ledger) handedOut(customer string) int64 {
	a := l.message.Accounts[customer]
	sum := a.GetClosed()
	for _, limit := range a.GetLeases() {
		sum += limit
	}
	return sum
}

// lease returns what an incarnation may spend in total.
func (l ledger) lease(customer string, holder instance.Incarnation) int64 {
	return l.message.Accounts[customer].GetLeases()[string(holder)]
}

// holds says whether an incarnation has a lease.
func (l ledger) holds(customer string, holder instance.Incarnation) bool {
	_, ok := l.message.Accounts[customer].GetLeases()[string(holder)]
	return ok
}

// setLease changes what an incarnation may spend in total. Raising it must stay within the prepaid total.
func (l ledger) setLease(customer string, holder instance.Incarnation, limit, prepaid int64) {
	before := l.lease(customer, holder)
	a := l.account(customer)
	a.Leases[string(holder)] = limit
	sum := l.handedOut(customer)
	invariant.Check(limit <= before || sum <= prepaid, part, "customer %s: %d tokens handed out of %d prepaid", customer, sum, prepaid)
}

// close ends the lease of a holder that spends nothing more; spent of it is kept as closed.
func (l ledger) close(customer string, holder instance.Incarnation, spent int64) {
	a := l.account(customer)
	delete(a.Leases, string(holder))
	a.Closed += spent
}

// closePredecessors ends the leases of earlier incarnations of an instance at all that they may have spent. It returns
// the tokens of each customer that were closed so.
func (l ledger) closePredecessors(holder instance.Incarnation) map[string]int64 {
	closed := make(map[string]int64)
	for customer, a := range l.message.Accounts {
		for other, limit := range a.Leases {
			earlier := instance.Incarnation(other)
			if earlier != holder && earlier.Name() == holder.Name() {
				l.close(customer, earlier, limit)
				closed[customer] += limit
			}
		}
	}
	return closed
}

func (l ledger) account(customer string) *api.PrepaidAccount {
	if l.message.Accounts == nil {
		l.message.Accounts = make(map[string]*api.PrepaidAccount)
	}
	a := l.message.Accounts[customer]
	if a == nil {
		a = &api.PrepaidAccount{}
		l.message.Accounts[customer] = a
	}
	if a.Leases == nil {
		a.Leases = make(map[string]int64)
	}
	return a
}
