package members

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/instance"
	"pumiceshelf/prepaid"
)

// lossyConn closes the connection when a response arrives, without passing it on.
type lossyConn struct{ net.Conn }

func (c lossyConn) Read(p []byte) (int, error) {
	if _, err := c.Conn.Read(p); err != nil {
		return 0, err
	}
	return 0, io.ErrUnexpectedEOF
}

func TestTokensOfLostResponsesAreTakenBack(t *testing.T) {
	Convey("Given an instance whose responses from the token holder are lost", t, func() {
		peers, clock := newFleet(t, "a1", "a2", "a3", "a4", "a5", "a6")
		a := sortByHolderRank(peers, "a")
		holder, borrower := a[0], a[1]
		var mu sync.Mutex
		lent, taken := map[uint64]bool{}, map[uint64]instance.Incarnation{}
		holder.config.Allocate = func(_ context.Context, id prepaid.TransferID, _ string, _ int, needed, _ int64) prepaid.Allocation {
			mu.Lock()
			defer mu.Unlock()
			lent[id.Sequence] = true
			return prepaid.Allocation{Tokens: needed}
		}
		reachable := true
		holder.config.Abandon = func(from instance.Incarnation, sequences []uint64) {
			mu.Lock()
			defer mu.Unlock()
			for _, s := range sequences {
				taken[s] = from
			}
		}
		dial, lossy := borrower.config.Dial, true
		borrower.config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if !reachable {
				return nil, context.DeadlineExceeded
			}
			conn, err := dial(ctx, address)
			if lossy && err == nil {
				return lossyConn{conn}, nil
			}
			return conn, err
		}
		So(borrower.RequestAllocation(t.Context(), "alwusta", 0, 300, 300), ShouldResemble, prepaid.Allocation{StoreUnavailable: true, Unreachable: true})
		So(lent, ShouldHaveLength, 1)

		Convey("abandoning it may take longer than a request that a caller waits for", func() {
			var left time.Duration
			borrower.config.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
				deadline, _ := ctx.Deadline()
				left = time.Until(deadline)
				return nil, context.DeadlineExceeded
			}
			borrower.abandonUnanswered(t.Context())
			So(left, ShouldBeGreaterThan, 2*callTimeout)
		})
		Convey("the token holder takes the tokens back", func() {
			lossy = false
			borrower.abandonUnanswered(t.Context())
			for sequence := range lent {
				So(taken[sequence], ShouldEqual, borrower.config.Incarnation)
			}
			waiting, _ := borrower.unanswered.take(clock.Now())
			So(waiting, ShouldBeEmpty)
		})
		Convey("the request is abandoned once the token holder can be reached again", func() {
			reachable = false
			borrower.abandonUnanswered(t.Context())
			So(taken, ShouldBeEmpty)
			lossy, reachable = false, true
			borrower.abandonUnanswered(t.Context())
			So(taken, ShouldHaveLength, 1)
		})
		Convey("it is forgotten after abandonTimeout, and its tokens are reported as parked once", func() {
			parked := int64(0)
			borrower.config.ParkedByLostResponse = func(tokens int64) { parked += tokens }
			reachable = false
			borrower.abandonUnanswered(t.Context())
			So(parked, ShouldEqual, 0)
			clock.Advance(abandonTimeout)
			borrower.abandonUnanswered(t.Context())
			borrower.abandonUnanswered(t.Context())
			So(parked, ShouldEqual, 300)
			waiting, _ := borrower.unanswered.take(clock.Now())
			So(waiting, ShouldBeEmpty)
			So(taken, ShouldBeEmpty)
		})
	})
}
