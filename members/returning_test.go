package members

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/instance"
	"pumiceshelf/prepaid"
)

func TestTokensArePassedBackOnce(t *testing.T) {
	Convey("Given an instance that passes tokens back to its token holder", t, func() {
		peers, clock := newFleet(t, "a1", "a2", "a3", "a4", "a5", "a6")
		a := sortByHolderRank(peers, "a")
		holder, returner := a[0], a[1]
		var received []prepaid.Return
		holder.config.AcceptReturn = func(r prepaid.Return) bool {
			received = append(received, r)
			return r.Receiver == holder.config.Incarnation
		}
		takenBack := map[string]int64{}
		returner.config.TakeBack = func(tokens map[string]int64) {
			for customer, n := range tokens {
				takenBack[customer] += n
			}
		}
		var lossy atomic.Bool
		dial := returner.config.Dial
		returner.config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if lossy.Load() && err == nil {
				return lossyConn{conn}, nil
			}
			return conn, err
		}
		tokens := map[string]int64{"alwusta": 700, "dhofar": 40}
		send := func() { returner.sendReturn(t.Context(), <-returner.returnQueue) }

		Convey("they reach it, in the order of their numbers", func() {
			for range 3 {
				So(returner.ReturnTokens(tokens), ShouldBeTrue)
				send()
			}
			for i, r := range received {
				want := prepaid.Return{Returner: returner.config.Incarnation, Receiver: holder.config.Incarnation, Sequence: uint64(i + 1), Tokens: tokens}
				So(r, ShouldResemble, want)
			}
			So(received, ShouldHaveLength, 3)
		})
		Convey("a return whose response is lost is repeated with its number, and its tokens are not taken back", func() {
			lossy.Store(true)
			So(returner.ReturnTokens(tokens), ShouldBeTrue)
			sent := make(chan struct{})
			go func() {
				send()
				close(sent)
			}()
			So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
			lossy.Store(false)
			// The instance restarts meanwhile, so that the first attempt may have been accepted by its earlier incarnation.
			holder.config.Incarnation = instance.NewIncarnation(holder.config.Incarnation.Name())
			clock.Advance(returnRetryInterval)
			<-sent
			So(received, ShouldHaveLength, 2)
			So(received[0], ShouldResemble, received[1])
			So(takenBack, ShouldBeEmpty)
		})
		Convey("tokens for an incarnation that is gone are taken back", func() {
			holder.config.Incarnation = instance.NewIncarnation(holder.config.Incarnation.Name())
			So(returner.ReturnTokens(tokens), ShouldBeTrue)
			send()
			So(takenBack, ShouldResemble, tokens)
		})
		Convey("no tokens are accepted for sending while earlier ones wait, by the token holder, or if it is unresponsive as all others", func() {
			So(returner.ReturnTokens(tokens), ShouldBeTrue)
			So(returner.ReturnTokens(tokens), ShouldBeFalse)
			So(holder.ReturnTokens(tokens), ShouldBeFalse)
			for _, address := range a[2].roster.Load().holdersBefore {
				a[2].unresponsive.add(address, clock.Now().Add(unresponsiveTTL))
			}
			So(a[2].ReturnTokens(tokens), ShouldBeFalse)
		})
	})
}
