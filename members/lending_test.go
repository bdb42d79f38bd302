package members

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/prepaid"
)

// testPeer is an instance that serves requests of others on a loopback address.
type testPeer struct {
	*Members
	requests                    int
	lendable                    int64
	exhausted, storeUnavailable bool
}

// newFleet starts instances, named by domain and number, that all have the same listing. The clock advances only when
// the test advances it.
func newFleet(t *testing.T, names ...string) (map[string]*testPeer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	peers := make(map[string]*testPeer)
	var list []*api.FleetMember
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &testPeer{}
		self := &api.FleetMember{
			Incarnation: string(instance.NewIncarnation(name)), PeerAddress: l.Addr().String(), Domain: name[:1],
		}
		p.Members = New(Config{
			Incarnation: instance.Incarnation(self.Incarnation), Self: self, Clock: clock,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			},
			Lend: func(_ context.Context, _ prepaid.TransferID, _ string, tokens int64) int64 {
				p.requests++
				return min(tokens, p.lendable)
			},
			Allocate: func(_ context.Context, _ prepaid.TransferID, _ string, _ int, needed, wanted int64) prepaid.Allocation {
				p.requests++
				if p.lendable < needed {
					return prepaid.Allocation{Exhausted: p.exhausted, StoreUnavailable: p.storeUnavailable}
				}
				return prepaid.Allocation{Tokens: min(wanted, p.lendable)}
			},
		})
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- p.Serve(ctx, l) }()
		t.Cleanup(func() {
			stop()
			<-served
		})
		peers[name] = p
		list = append(list, self)
	}
	for _, p := range peers {
		p.applyListing(list)
	}
	return peers, clock
}

// sortByHolderRank returns the peers of a domain in the order in which they become its token holder.
func sortByHolderRank(peers map[string]*testPeer, domain string) []*testPeer {
	var out []*testPeer
	for _, p := range peers {
		if p.config.Self.Domain == domain {
			out = append(out, p)
		}
	}
	for i := range out {
		for j := i + 1; j < len(out); j++ {
			if len(out[j].roster.Load().holdersBefore) < len(out[i].roster.Load().holdersBefore) {
				out[i], out[j] = out[j], out[i]
			}
		}
	}
	return out
}

func TestRoster(t *testing.T) {
	Convey("an instance that is alone in the listing borrows from the seeds, and leases its own tokens", t, func() {
		self := &api.FleetMember{Incarnation: string(instance.NewIncarnation("a1")), PeerAddress: "10.0.0.1:1", Domain: "a"}
		m := New(Config{Self: self, Clock: clockwork.NewFakeClock(), Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}})
		for _, list := range [][]*api.FleetMember{nil, {self}} {
			m.applyListing(list)
			So(m.roster.Load().lenders(), ShouldResemble, []string{"10.0.0.2:1"})
			So(m.IsTokenHolder(), ShouldBeTrue)
			So(m.Count(), ShouldEqual, 2)
		}
	})
}

func TestRequestAllocation(t *testing.T) {
	Convey("Given a domain of six instances and another of two", t, func() {
		peers, clock := newFleet(t, "a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2")
		a, b := sortByHolderRank(peers, "a"), sortByHolderRank(peers, "b")
		ctx := t.Context()

		Convey("the large domain has one token holder, and in the small one each instance leases its own tokens", func() {
			var holders []string
			for _, p := range append(a, b...) {
				holders = append(holders, fmt.Sprint(p.IsTokenHolder()))
			}
			So(holders, ShouldResemble, []string{"true", "false", "false", "false", "false", "false", "true", "true"})
			So(a[0].TokenHolderCount(), ShouldEqual, 3)
		})
		Convey("the others request allocations from the token holder", func() {
			a[0].lendable = 1_000
			So(a[2].RequestAllocation(ctx, "alwusta", 0, 300, 5_000), ShouldResemble, prepaid.Allocation{Tokens: 1_000})
			So([]int{a[0].requests, a[1].requests, b[0].requests}, ShouldResemble, []int{1, 0, 0})
		})
		Convey("if a token holder cannot reach the ledger, the next instance is queried", func() {
			a[0].lendable, a[0].storeUnavailable, a[1].lendable = 100, true, 400
			So(a[2].RequestAllocation(ctx, "alwusta", 0, 300, 300), ShouldResemble, prepaid.Allocation{Tokens: 300})
			So([]int{a[0].requests, a[1].requests}, ShouldResemble, []int{1, 1})
		})
		Convey("if a token holder reports the budget exhausted, no other instance is queried", func() {
			a[0].exhausted = true
			So(a[2].RequestAllocation(ctx, "alwusta", 0, 300, 300), ShouldResemble, prepaid.Allocation{Exhausted: true})
			So(a[1].requests, ShouldEqual, 0)
		})
		Convey("the token holder learns the rank of the request, and no other instance is queried if it keeps its tokens for others", func() {
			var rank int
			a[0].config.Allocate = func(_ context.Context, _ prepaid.TransferID, _ string, r int, _, _ int64) prepaid.Allocation {
				rank = r
				return prepaid.Allocation{Rationed: true}
			}
			So(a[2].RequestAllocation(ctx, "alwusta", 5, 300, 300), ShouldResemble, prepaid.Allocation{Rationed: true})
			So(rank, ShouldEqual, 5)
			So(a[1].requests, ShouldEqual, 0)
		})
		Convey("an unresponsive token holder is skipped for unresponsiveTTL, and the next instance is queried", func() {
			a[1].lendable = 1_000
			holderAddress := a[0].config.Self.PeerAddress
			dial := a[2].config.Dial
			a[2].config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				if address == holderAddress {
					return nil, context.DeadlineExceeded
				}
				return dial(ctx, address)
			}
			So(a[2].RequestAllocation(ctx, "alwusta", 0, 300, 300), ShouldResemble, prepaid.Allocation{Tokens: 300})
			So(a[2].unresponsive.contains(holderAddress, clock.Now()), ShouldBeTrue)
			So(a[2].IsTokenHolder(), ShouldBeFalse)
			clock.Advance(unresponsiveTTL + time.Millisecond)
			So(a[2].unresponsive.contains(holderAddress, clock.Now()), ShouldBeFalse)
		})
		Convey("a token holder is not recorded as unresponsive if the caller cancels the request", func() {
			requestCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			a[2].config.Dial = func(context.Context, string) (net.Conn, error) {
				cancel()
				return nil, context.Canceled
			}
			So(a[2].RequestAllocation(requestCtx, "alwusta", 0, 300, 300), ShouldResemble, prepaid.Allocation{StoreUnavailable: true})
			So(a[2].unresponsive.contains(a[0].config.Self.PeerAddress, clock.Now()), ShouldBeFalse)
		})
		Convey("a token holder that is disconnected from the store borrows from the other domain", func() {
			b[0].lendable, b[1].lendable = 700, 700
			So(a[0].Borrow(ctx, "alwusta", 500), ShouldEqual, 500)
			So([]int{b[0].requests + b[1].requests, a[1].requests, a[2].requests}, ShouldResemble, []int{1, 0, 0})
		})
	})
}

func TestIsolatedInstanceAsksFirstHoldersOnly(t *testing.T) {
	Convey("an instance that gets no response from any other one asks only the first ones of its domain for allocations", t, func() {
		peers, _ := newFleet(t, "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8")
		a := sortByHolderRank(peers, "a")
		isolated, asked := a[len(a)-1], map[string]bool{}
		isolated.config.Dial = func(_ context.Context, address string) (net.Conn, error) {
			asked[address] = true
			return nil, context.DeadlineExceeded
		}
		for range len(a) {
			So(isolated.RequestAllocation(t.Context(), "alwusta", 0, 300, 300), ShouldResemble, prepaid.Allocation{StoreUnavailable: true, Unreachable: true})
		}
		So(asked, ShouldHaveLength, maxHolderCandidates)
		So(isolated.IsTokenHolder(), ShouldBeTrue)
		So(isolated.IsFirstHolder(), ShouldBeFalse)
		So(a[0].IsFirstHolder(), ShouldBeTrue)
	})
}
