package prepaid

import (
	"context"

	"github.com/apex/log"
)

// Lend gives tokens of this instance's lease to another one. They count as spent here, so that the other may spend them.
func (k *Keeper) Lend(customer string, tokens int64) int64 {
	given := k.account(customer).lend(tokens)
	if given > 0 {
		k.lent.Inc(given)
		k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": given, "asked": tokens}).Info("prepaid: tokens lent")
	}
	return given
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
