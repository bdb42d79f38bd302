package prepaid

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

// TestAheadIsRequestedOnce guards against an instance whose waiting requests each ask the token holder for the tokens of those that
// follow. When the responses came too late, up to 30% of a budget was allocated and used by nobody.
func TestAheadIsRequestedOnce(t *testing.T) {
	Convey("Given an instance that uses many tokens of a customer and requests them from the token holder", t, func() {
		const requests, needed = 30, int64(1000)
		clock, prepaid := clockwork.NewFakeClock(), int64(10_000_000)
		m := newTestManager(&ledgerStore{}, "muscat-1", clock, &prepaid, 1)
		m.config.Rations = func() bool { return true }
		m.config.IsTokenHolder = func() bool { return false }
		m.account("alwusta").ownRatePerSecond = 100_000
		oneAhead := int64(100_000 * allocateAhead.Seconds())
		var mu sync.Mutex
		ahead, arrived, response := int64(0), sync.WaitGroup{}, make(chan struct{})
		m.config.RequestAllocation = func(_ context.Context, _ string, _ int, needed, wanted int64) Allocation {
			mu.Lock()
			ahead += wanted - needed
			mu.Unlock()
			arrived.Done()
			<-response
			return Allocation{StoreUnavailable: true}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reserve := func(count int) {
			var done sync.WaitGroup
			arrived.Add(count)
			for range count {
				done.Go(func() { m.Reserve(ctx, "alwusta", 0, needed) })
			}
			arrived.Wait()
			close(response)
			cancel()
			done.Wait()
		}
		reserve(requests)
		So(ahead, ShouldEqual, oneAhead)
		Convey("and for a second after no response came, none asks for them", func() {
			response = make(chan struct{})
			reserve(1)
			So(ahead, ShouldEqual, oneAhead)
			clock.Advance(aheadRetryDelay + time.Millisecond)
			response = make(chan struct{})
			reserve(1)
			So(ahead, ShouldEqual, 2*oneAhead)
		})
	})
}

// TestLoansShrinkWhileResponsesAreLost guards against loans for the next seconds whose lenders count the tokens as spent while their
// responses are lost.
func TestLoansShrinkWhileResponsesAreLost(t *testing.T) {
	Convey("Given an instance that borrows tokens while the store is unavailable", t, func() {
		clock, prepaid, ctx := clockwork.NewFakeClock(), int64(10_000_000), context.Background()
		m := newTestManager(&ledgerStore{}, "muscat-1", clock, &prepaid, 1)
		m.config.Rations = func() bool { return true }
		m.account("alwusta").ratePerSecond = 100_000
		var asked []int64
		answered := false
		m.config.Borrow = func(_ context.Context, _ string, tokens int64) int64 {
			asked = append(asked, tokens)
			if answered {
				return tokens
			}
			return 0
		}
		borrow := func() {
			m.borrowForAll(ctx)
			clock.Advance(2 * loanRetryDelay)
		}
		for range 4 {
			borrow()
		}
		So(asked, ShouldResemble, []int64{500_000, 250_000, 125_000, 62_500})
		Convey("but not below what waiting requests need, and until one is answered", func() {
			m.account("alwusta").addWaiter(90_000)
			answered = true
			borrow()
			So(asked[4], ShouldEqual, 90_000)
			m.account("alwusta").used = m.account("alwusta").limit
			borrow()
			So(asked[5], ShouldBeGreaterThanOrEqualTo, 500_000)
		})
	})
}
