package peer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcconn"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// TestMain fixes the seed of the randomised tests, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func tableInstance(n int) *api.Instance {
	return &api.Instance{
		Name: fmt.Sprint("i", n), Incarnation: fmt.Sprintf("i%d~1", n), Domain: fmt.Sprint("d", n%2), PeerAddress: fmt.Sprint("address ", n),
	}
}

// TestTable checks what must hold of the table whatever is heard, missed, told and listed.
func TestTable(t *testing.T) {
	const timeout = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		table := newTable(tableInstance(0), timeout)
		heard := make(map[instance.Incarnation]time.Time)
		missed := make(map[instance.Incarnation]bool)
		left := make(map[instance.Incarnation]bool)
		any := func(t *rapid.T) *api.Instance { return tableInstance(rapid.IntRange(0, 9).Draw(t, "instance")) }
		id := func(i *api.Instance) instance.Incarnation { return instance.Incarnation(i.GetIncarnation()) }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { table.expire(now) },
			"hear": func(t *rapid.T) {
				i := any(t)
				table.heard(now, i, Report{})
				heard[id(i)], missed[id(i)] = now, false
			},
			"miss": func(t *rapid.T) {
				i := any(t)
				table.missedHeartbeat(now, id(i))
				missed[id(i)] = true
			},
			"told": func(t *rapid.T) {
				u := &api.MemberUpdate{Suspected: any(t).GetIncarnation(), SilentMs: rapid.Uint32Range(0, 5000).Draw(t, "silent")}
				table.update(now, u)
			},
			"leave": func(t *rapid.T) {
				i := any(t)
				i.Leaving = true
				table.update(now, &api.MemberUpdate{Instance: i})
				left[id(i)] = true
			},
			"list": func(t *rapid.T) { table.list(&api.InstanceList{Instances: []*api.Instance{any(t), any(t)}}) },
			"": func(t *rapid.T) {
				for id, m := range table.members {
					if m.gone && (now.Sub(heard[id]) < timeout || !missed[id]) {
						t.Fatalf("%s is gone, heard %v ago, own heartbeat missed: %v", id, now.Sub(heard[id]), missed[id])
					}
					if left[id] && !m.instance.GetLeaving() {
						t.Fatalf("%s stopped leaving", id)
					}
				}
				checkTargets(t, table)
			},
		})
	})
}

func checkTargets(t *rapid.T, table *table) {
	limit := rapid.IntRange(1, 4).Draw(t, "limit")
	rnd := rand.New(rand.NewPCG(1, 1))
	seen := make(map[*member]bool)
	list := table.targets(rnd, 2, limit)
	for _, m := range list {
		if seen[m] || m.instance.GetIncarnation() == table.self.GetIncarnation() {
			t.Fatalf("%s chosen twice or is the instance itself", m.instance.GetIncarnation())
		}
		seen[m] = true
	}
	if len(list) > limit {
		t.Fatalf("%d targets, limit %d", len(list), limit)
	}
}

func TestSuspicionAfterTheLastHeartbeat(t *testing.T) {
	Convey("An instance that heard one later than the others looks for itself, and passes the suspicion on no further", t, func() {
		now := time.Unix(1_000_000, 0)
		table := newTable(tableInstance(0), time.Second)
		table.heard(now, tableInstance(1), Report{})
		table.news.items = nil
		u := &api.MemberUpdate{Suspected: tableInstance(1).GetIncarnation(), SilentMs: 900}
		So(table.update(now.Add(400*time.Millisecond), u), ShouldBeFalse)
		So(table.open(), ShouldHaveLength, 1)
		So(table.news.empty(), ShouldBeTrue)
	})
}

func TestPool(t *testing.T) {
	Convey("A call on a connection on which nothing comes back ends when the connection is discarded", t, func() {
		here, there := net.Pipe()
		defer there.Close()
		go func() { _, _ = there.Read(make([]byte, 1024)) }()
		p := newPool(clockwork.NewRealClock(), func(context.Context) (*drpcconn.Conn, error) { return drpcconn.New(here), nil })
		ended := make(chan error, 1)
		go func() {
			_, err := api.NewDRPCMembershipPeerClient(p).Heartbeat(context.Background(), &api.HeartbeatRequest{})
			ended <- err
		}()
		for p.discard() == 0 {
			time.Sleep(time.Millisecond)
		}
		So(<-ended, ShouldNotBeNil)
	})
	Convey("Calls beyond the bound wait, and a heartbeat passes them", t, func() {
		p := newPool(clockwork.NewRealClock(), func(context.Context) (*drpcconn.Conn, error) { return nil, context.Canceled })
		for range connsPerPeer {
			So(p.enter(context.Background()), ShouldBeNil)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := api.NewDRPCMembershipPeerClient(p).Heartbeat(ctx, &api.HeartbeatRequest{})
		So(err.Error(), ShouldContainSubstring, "no free connection")
		_, err = api.NewDRPCMembershipPeerClient(unbounded{p}).Heartbeat(context.Background(), &api.HeartbeatRequest{})
		So(err, ShouldEqual, context.Canceled)
	})
}
