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

// peer is an instance that answers others on a loopback address.
type peer struct {
	*Members
	asked           int
	gives           int64
	exhausted, away bool
}

// newFleet starts instances, named by domain and number, that all see the same list. The clock stands still.
func newFleet(t *testing.T, names ...string) (map[string]*peer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	peers := make(map[string]*peer)
	var list []*api.FleetMember
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &peer{}
		self := &api.FleetMember{
			Incarnation: string(instance.NewIncarnation(name)), PeerAddress: l.Addr().String(), Domain: name[:1],
		}
		p.Members = New(Config{
			Incarnation: instance.Incarnation(self.Incarnation), Self: self, Clock: clock,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			},
			Lend: func(_ context.Context, _ string, tokens int64) int64 {
				p.asked++
				return min(tokens, p.gives)
			},
			Provide: func(_ context.Context, _ string, needed, wanted int64) prepaid.Provision {
				p.asked++
				if p.gives < needed {
					return prepaid.Provision{Exhausted: p.exhausted, Away: p.away}
				}
				return prepaid.Provision{Tokens: min(wanted, p.gives)}
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
		p.see(list)
	}
	return peers, clock
}

// order returns the peers of a domain in the order in which they hold its tokens.
func order(peers map[string]*peer, domain string) []*peer {
	var out []*peer
	for _, p := range peers {
		if p.config.Self.Domain == domain {
			out = append(out, p)
		}
	}
	for i := range out {
		for j := i + 1; j < len(out); j++ {
			if len(out[j].roster.Load().before) < len(out[i].roster.Load().before) {
				out[i], out[j] = out[j], out[i]
			}
		}
	}
	return out
}

func TestRoster(t *testing.T) {
	Convey("an instance that sees no other one asks the seeds, and holds its own tokens", t, func() {
		self := &api.FleetMember{Incarnation: string(instance.NewIncarnation("a1")), PeerAddress: "10.0.0.1:1", Domain: "a"}
		m := New(Config{Self: self, Clock: clockwork.NewFakeClock(), Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}})
		for _, list := range [][]*api.FleetMember{nil, {self}} {
			m.see(list)
			So(m.roster.Load().lenders(), ShouldResemble, []string{"10.0.0.2:1"})
			So(m.Holds(), ShouldBeTrue)
			So(m.Count(), ShouldEqual, 2)
		}
	})
}

func TestDraw(t *testing.T) {
	Convey("Given a domain of six instances and another of two", t, func() {
		peers, clock := newFleet(t, "a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2")
		a, b := order(peers, "a"), order(peers, "b")
		ctx := t.Context()

		Convey("the large domain has one holder, and in the small one each instance holds its own", func() {
			var holding []string
			for _, p := range append(a, b...) {
				holding = append(holding, fmt.Sprint(p.Holds()))
			}
			So(holding, ShouldResemble, []string{"true", "false", "false", "false", "false", "false", "true", "true"})
			So(a[0].Holders(), ShouldEqual, 3)
		})
		Convey("the others draw from it", func() {
			a[0].gives = 1_000
			So(a[2].Draw(ctx, "alwusta", 300, 5_000), ShouldResemble, prepaid.Provision{Tokens: 1_000})
			So([]int{a[0].asked, a[1].asked, b[0].asked}, ShouldResemble, []int{1, 0, 0})
		})
		Convey("a holder that does not reach the ledger is passed by, and the next one asked", func() {
			a[0].gives, a[0].away, a[1].gives = 100, true, 400
			So(a[2].Draw(ctx, "alwusta", 300, 300), ShouldResemble, prepaid.Provision{Tokens: 300})
			So([]int{a[0].asked, a[1].asked}, ShouldResemble, []int{1, 1})
		})
		Convey("a holder that knows the budget exhausted ends the search", func() {
			a[0].exhausted = true
			So(a[2].Draw(ctx, "alwusta", 300, 300), ShouldResemble, prepaid.Provision{Exhausted: true})
			So(a[1].asked, ShouldEqual, 0)
		})
		Convey("a holder that does not answer is left alone for a while, and the next one holds the tokens", func() {
			a[1].gives = 1_000
			gone := a[0].config.Self.PeerAddress
			dial := a[2].config.Dial
			a[2].config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				if address == gone {
					return nil, context.DeadlineExceeded
				}
				return dial(ctx, address)
			}
			So(a[2].Draw(ctx, "alwusta", 300, 300), ShouldResemble, prepaid.Provision{Tokens: 300})
			So(a[2].silent.is(gone, clock.Now()), ShouldBeTrue)
			So(a[2].Holds(), ShouldBeFalse)
			clock.Advance(silentFor + time.Millisecond)
			So(a[2].silent.is(gone, clock.Now()), ShouldBeFalse)
		})
		Convey("a request whose caller leaves says nothing about the holder", func() {
			left, leave := context.WithCancel(ctx)
			defer leave()
			a[2].config.Dial = func(context.Context, string) (net.Conn, error) {
				leave()
				return nil, context.Canceled
			}
			So(a[2].Draw(left, "alwusta", 300, 300), ShouldResemble, prepaid.Provision{Away: true})
			So(a[2].silent.is(a[0].config.Self.PeerAddress, clock.Now()), ShouldBeFalse)
		})
		Convey("a holder that is cut off from the store borrows from the other domain's", func() {
			b[0].gives, b[1].gives = 700, 700
			So(a[0].Borrow(ctx, "alwusta", 500), ShouldEqual, 500)
			So([]int{b[0].asked + b[1].asked, a[1].asked, a[2].asked}, ShouldResemble, []int{1, 0, 0})
		})
	})
}
