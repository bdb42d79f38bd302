// Package prepaid keeps customers within their prepaid budgets. An instance holds a lease for each customer, which it
// acquires from a shared ledger in the object store by conditional updates, and reserves the tokens of requests from it
// in memory. In a large failure domain one instance, the token holder, leases tokens from the ledger and allocates them
// to the others, which pass back what they do not need. An instance that is disconnected from the store borrows tokens
// from other instances.
//
// When a lease ends, the ledger counts its spent tokens as closed and the rest is available again. It counts the lease of an
// earlier incarnation as closed up to what a witness says that it used at most, or the whole one if none does.
//
// Invariants: an update of the ledger raises a lease only if the closed tokens and all leases together stay within the
// prepaid total. The tokens that an instance has reserved and spent never exceed its lease in the ledger
// version that it last read or wrote, plus borrowed tokens. Tokens passed to another instance count as spent by the one
// that passes them on. No invariant depends on a clock, so a paused instance may resume at any time. Tokens that a
// crashed instance had leased and not spent stay parked as far as no witness knows their number.
package prepaid

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/invariant"
)

const component = "prepaid"

// LedgerKey is the key of the object that holds the ledger of all customers.
const LedgerKey = "pumiceshelf-prepaid/ledger"

// ledger is one version of the stored ledger: the closed tokens and the leases of all customers.
type ledger struct{ message *api.PrepaidLedger }

func newLedger() ledger { return ledger{message: &api.PrepaidLedger{}} }

func decodeLedger(value []byte) (ledger, error) {
	l := newLedger()
	if err := protojson.Unmarshal(value, l.message); err != nil {
		return ledger{}, fmt.Errorf("prepaid: decode ledger: %w", err)
	}
	return l, l.checkNumbers()
}

// checkNumbers returns an error that names a number of tokens that no ledger has. Sums of such numbers could overflow, and look as if
// tokens were available. Leases, and what was closed of them, are negative where their holders passed on borrowed tokens.
func (l ledger) checkNumbers() error {
	for customer, a := range l.message.Accounts {
		if a.GetClosed() < -maxTokens || a.GetClosed() > maxTokens {
			return fmt.Errorf("prepaid: ledger: customer %q has %d closed tokens, want at most %d", customer, a.GetClosed(), int64(maxTokens))
		}
		for holder, limit := range a.GetLeases() {
			if limit < -maxTokens || limit > maxTokens {
				return fmt.Errorf("prepaid: ledger: customer %q has a lease of %d tokens for %q, want at most %d", customer, limit, holder, int64(maxTokens))
			}
		}
	}
	return nil
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

// committed returns the tokens of a customer that are closed or leased.
func (l ledger) committed(customer string) int64 {
	a := l.message.Accounts[customer]
	sum := a.GetClosed()
	for _, limit := range a.GetLeases() {
		sum += limit
	}
	return sum
}

// lease returns the total number of tokens that an incarnation may spend, without those it borrowed.
func (l ledger) lease(customer string, holder instance.Incarnation) int64 {
	return l.message.Accounts[customer].GetLeases()[string(holder)]
}

// hasLease reports whether an incarnation has a lease.
func (l ledger) hasLease(customer string, holder instance.Incarnation) bool {
	_, ok := l.message.Accounts[customer].GetLeases()[string(holder)]
	return ok
}

// setLease sets the lease of an incarnation. Raising it must keep the committed tokens within the prepaid total.
func (l ledger) setLease(customer string, holder instance.Incarnation, limit, prepaid int64) {
	previous := l.lease(customer, holder)
	a := l.ensureAccount(customer)
	a.Leases[string(holder)] = limit
	sum := l.committed(customer)
	invariant.Check(limit <= previous || sum <= prepaid, component, "customer %s: %d tokens committed of %d prepaid", customer, sum, prepaid)
}

// closeLease ends the lease of an incarnation that will spend no more tokens, and counts the spent ones as closed.
func (l ledger) closeLease(customer string, holder instance.Incarnation, spent int64) {
	a := l.ensureAccount(customer)
	delete(a.Leases, string(holder))
	delete(l.message.Unspent, string(holder))
	a.Closed += spent
	if !l.listsHolder(string(holder)) {
		l.setWitnesses(holder, nil)
	}
}

// closePredecessors closes the leases of earlier incarnations of an instance: at what they can have used at most, by holder and customer, and
// as if fully spent those of which this is not known. It returns the number of tokens closed by customer, and of those that were not spent.
func (l ledger) closePredecessors(holder instance.Incarnation, used map[instance.Incarnation]map[string]int64) (closed map[string]int64, saved int64) {
	closed = make(map[string]int64)
	for customer, a := range l.message.Accounts {
		for other, limit := range a.Leases {
			earlier := instance.Incarnation(other)
			if earlier != holder && earlier.Name() == holder.Name() {
				spent := limit
				if marks, known := used[earlier]; known {
					spent = min(limit, marks[customer])
				}
				l.closeLease(customer, earlier, spent)
				closed[customer] += spent
				saved += limit - spent
			}
		}
	}
	return closed, saved
}

// ensureAccount returns the account of a customer and creates it if needed.
func (l ledger) ensureAccount(customer string) *api.PrepaidAccount {
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
