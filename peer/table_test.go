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

// TestMain fixes the seed of the randomized tests, so that every run has the same result.
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

// TestTable checks the table's invariants under random sequences of heartbeats, missed heartbeats, updates and lists.
func TestTable(t *testing.T) {
	const timeout = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		table := newTable(tableInstance(0), timeout)
		lastHeartbeat := make(map[instance.Incarnation]time.Time)
		ownMissed := make(map[instance.Incarnation]bool)
		draining := make(map[instance.Incarnation]bool)
		drawInstance := func(t *rapid.T) *api.Instance { return tableInstance(rapid.IntRange(0, 9).Draw(t, "instance")) }
		id := func(i *api.Instance) instance.Incarnation { return instance.Incarnation(i.GetIncarnation()) }
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { table.expire(now) },
			"heartbeat": func(t *rapid.T) {
				i := drawInstance(t)
				table.recordHeartbeat(now, i, Report{})
				lastHeartbeat[id(i)], ownMissed[id(i)] = now, false
			},
			"missed heartbeat": func(t *rapid.T) {
				i := drawInstance(t)
				table.recordMissedHeartbeat(now, id(i))
				ownMissed[id(i)] = true
			},
			"suspicion": func(t *rapid.T) {
				u := &api.MemberUpdate{Suspected: drawInstance(t).GetIncarnation(), SilentMs: rapid.Uint32Range(0, 5000).Draw(t, "unresponsive ms")}
				table.applyUpdate(now, u)
			},
			"instance drains": func(t *rapid.T) {
				i := drawInstance(t)
				i.Leaving = true
				table.applyUpdate(now, &api.MemberUpdate{Instance: i})
				draining[id(i)] = true
			},
			"instance list": func(t *rapid.T) {
				table.applyInstanceList(&api.InstanceList{Instances: []*api.Instance{drawInstance(t), drawInstance(t)}})
			},
			"": func(t *rapid.T) {
				for id, m := range table.members {
					if m.failed && (now.Sub(lastHeartbeat[id]) < timeout || !ownMissed[id]) {
						t.Fatalf("%s is failed, last heartbeat %v ago, own heartbeat missed: %v", id, now.Sub(lastHeartbeat[id]), ownMissed[id])
					}
					if draining[id] && !m.instance.GetLeaving() {
						t.Fatalf("%s stopped draining", id)
					}
				}
				checkIntervalTargets(t, table)
			},
		})
	})
}

func checkIntervalTargets(t *rapid.T, table *table) {
	limit := rapid.IntRange(1, 4).Draw(t, "limit")
	rnd := rand.New(rand.NewPCG(1, 1))
	chosen := make(map[*member]bool)
	list := table.intervalTargets(rnd, 2, limit)
	for _, m := range list {
		if chosen[m] || m.instance.GetIncarnation() == table.self.GetIncarnation() {
			t.Fatalf("%s was chosen twice or is the instance itself", m.instance.GetIncarnation())
		}
		chosen[m] = true
	}
	if len(list) > limit {
		t.Fatalf("%d targets, limit %d", len(list), limit)
	}
}

func TestSuspicionOlderThanLastHeartbeat(t *testing.T) {
	Convey("An instance with a later heartbeat than the reporter probes the member and does not gossip the suspicion", t, func() {
		now := time.Unix(1_000_000, 0)
		table := newTable(tableInstance(0), time.Second)
		table.recordHeartbeat(now, tableInstance(1), Report{})
		table.updates.items = nil
		u := &api.MemberUpdate{Suspected: tableInstance(1).GetIncarnation(), SilentMs: 900}
		So(table.applyUpdate(now.Add(400*time.Millisecond), u), ShouldBeFalse)
		So(table.membersToProbe(), ShouldHaveLength, 1)
		So(table.updates.empty(), ShouldBeTrue)
	})
}

func TestPool(t *testing.T) {
	Convey("A call on a connection without progress fails when the connection is discarded", t, func() {
		local, remote := net.Pipe()
		defer remote.Close()
		go func() { _, _ = remote.Read(make([]byte, 1024)) }()
		p := newPool(clockwork.NewRealClock(), func(context.Context) (*drpcconn.Conn, error) { return drpcconn.New(local), nil })
		result := make(chan error, 1)
		go func() {
			_, err := api.NewDRPCMembershipPeerClient(p).Heartbeat(context.Background(), &api.HeartbeatRequest{})
			result <- err
		}()
		for p.discard() == 0 {
			time.Sleep(time.Millisecond)
		}
		So(<-result, ShouldNotBeNil)
	})
	Convey("Calls beyond the limit wait, and a heartbeat bypasses the limit", t, func() {
		p := newPool(clockwork.NewRealClock(), func(context.Context) (*drpcconn.Conn, error) { return nil, context.Canceled })
		for range maxConnsPerPeer {
			So(p.acquireSlot(context.Background()), ShouldBeNil)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := api.NewDRPCMembershipPeerClient(p).Heartbeat(ctx, &api.HeartbeatRequest{})
		So(err.Error(), ShouldContainSubstring, "no free connection")
		_, err = api.NewDRPCMembershipPeerClient(unlimitedPool{p}).Heartbeat(context.Background(), &api.HeartbeatRequest{})
		So(err, ShouldEqual, context.Canceled)
	})
}
