package prepaid

import (
	"context"
	"time"

	"github.com/apex/log"
)

const (
	// lendWait is how long an instance tries to take tokens from the ledger for another one, whose caller waits: some
	// answers of the store, and less than the other waits for this instance.
	lendWait = 100 * time.Millisecond
	// lendPart bounds such a loan to one in lendPart of what is left, so that two instances that ask at once both get some.
	lendPart = 2
)

// Lend gives tokens to an instance that is cut off from the store: of this instance's lease what it can spare, and the
// rest from the ledger if it reaches the store. They count as spent here, so that the other may spend them.
func (k *Keeper) Lend(ctx context.Context, customer string, tokens int64) int64 {
	a := k.account(customer)
	spared := a.lend(tokens)
	taken := int64(0)
	if spared < tokens && !k.storeAway(k.config.Clock.Now()) {
		taken = k.takeFor(ctx, a, tokens-spared)
	}
	if given := spared + taken; given > 0 {
		k.lent.Inc(given)
		k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": given, "of_ledger": taken, "asked": tokens}).Info("prepaid: tokens lent")
	}
	return spared + taken
}

// Provision is the answer of an instance that holds its domain's tokens.
type Provision struct {
	// Tokens that the asking instance may spend.
	Tokens int64
	// Exhausted says that the budget does not cover what was needed.
	Exhausted bool
	// Away says that the instance does not reach the ledger, so that others may do better.
	Away bool
}

// Provide gives tokens to another instance of the failure domain: what is wanted if the lease has it, else what a request
// needs, for which the lease grows.
func (k *Keeper) Provide(ctx context.Context, customer string, needed, wanted int64) Provision {
	k.providedAt.Store(k.config.Clock.Now().UnixNano())
	p := k.provide(ctx, k.account(customer), needed, wanted)
	if p.Tokens == 0 {
		k.config.Log.WithFields(log.Fields{"customer": customer, "needed": needed, "exhausted": p.Exhausted, "away": p.Away}).
			Info("prepaid: nothing for another instance")
	}
	k.lent.Inc(p.Tokens)
	return p
}

func (k *Keeper) provide(ctx context.Context, a *account, needed, wanted int64) Provision {
	switch {
	case a.reserve(wanted):
		return Provision{Tokens: wanted}
	case a.reserve(needed):
		return Provision{Tokens: needed}
	case k.storeAway(k.config.Clock.Now()):
		wake(k.borrow)
		return Provision{Away: true}
	}
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	switch k.reserveHere(ctx, a, needed) {
	case Granted:
		return Provision{Tokens: needed}
	case Exhausted:
		return Provision{Exhausted: true}
	default:
		return Provision{Away: k.storeAway(k.config.Clock.Now())}
	}
}

// takeFor takes tokens from the ledger for another instance. It returns what it got within lendWait.
func (k *Keeper) takeFor(ctx context.Context, a *account, tokens int64) int64 {
	left, _ := a.known(time.Time{})
	tokens = min(tokens, left/lendPart)
	if tokens <= 0 {
		return 0
	}
	w, e := a.wait(tokens)
	wake(k.kick)
	outcome := Unavailable
	select {
	case outcome = <-w.done:
	case <-k.config.Clock.After(lendWait):
		if !a.leave(e) {
			outcome = <-w.done
		}
	case <-ctx.Done():
		if !a.leave(e) {
			outcome = <-w.done
		}
	}
	if outcome != Granted {
		return 0
	}
	a.discount(tokens)
	return tokens
}

// RunLoans borrows from other instances while the store is away, until the context ends.
func (k *Keeper) RunLoans(ctx context.Context) error {
	ticker := k.config.Clock.NewTicker(tickInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-k.borrow:
		}
		if k.storeAway(k.config.Clock.Now()) {
			k.borrowAll(ctx)
		}
	}
}

// borrowAll fills up leases that run dry. Waiters that no loan can serve are refused.
func (k *Keeper) borrowAll(ctx context.Context) {
	for customer, a := range k.snapshot() {
		want := shortfall(a.demand())
		if want <= 0 || a.refusedLoan(k.config.Clock.Now()) {
			continue
		}
		got := k.config.Borrow(ctx, customer, want)
		if got > 0 {
			k.borrowed.Inc(got)
			k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": got, "asked": want}).Info("prepaid: tokens borrowed")
			a.borrow(got)
		}
		if got < want {
			a.noteLoan(k.config.Clock.Now())
			a.refuse(false)
		}
	}
}
