package members

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
)

// collectionStore is a store whose collection a test sets. Watches wait until it changes.
type collectionStore struct {
	objectstore.Store
	listing objectstore.Listing
	changes chan objectstore.Changes
}

func (s *collectionStore) ListAll(context.Context, string) (objectstore.Listing, error) {
	return s.listing, nil
}

func (s *collectionStore) ListAllowStale(context.Context, string) (objectstore.Listing, error) {
	return s.listing, nil
}

func (s *collectionStore) WatchAll(ctx context.Context, _ string, _ objectstore.Revision, _ time.Duration) (objectstore.Changes, error) {
	select {
	case c := <-s.changes:
		return c, nil
	case <-ctx.Done():
		return objectstore.Changes{}, ctx.Err()
	}
}

type nullListener struct{}

func (nullListener) Replace(objectstore.Listing)      {}
func (nullListener) ApplyChanges(objectstore.Changes) {}
func (nullListener) StoreUnavailable(error)           {}
func (nullListener) StoreAvailable(time.Duration)     {}
func (nullListener) Tick()                            {}

// followStore lets an instance follow a collection of the store. The returned function waits for a revision.
func followStore(t *testing.T, p *testPeer, s *collectionStore) (f *follow.Follower, await func(objectstore.Revision)) {
	f = follow.New(follow.Config{
		Collection: "config", Store: s, Listener: nullListener{}, Clock: clockwork.NewRealClock(),
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	p.config.Follower = func(collection string) *follow.Follower {
		if collection != "config" {
			return nil
		}
		return f
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, func(r objectstore.Revision) {
		for f.Snapshot() == nil || f.Snapshot().Revision < r {
			time.Sleep(time.Millisecond)
		}
	}
}

func configObject(version objectstore.Version, value string) objectstore.Object {
	return objectstore.Object{Key: "config/main", Version: version, Value: []byte(value)}
}

func TestWatchRelay(t *testing.T) {
	Convey("Given a relay and another instance of its domain", t, func() {
		peers, _ := newFleet(t, "a1", "a2")
		relay, other := peers["a1"], peers["a2"]
		address := relay.config.Self.PeerAddress
		long := strings.Repeat("a configuration with many routes, ", 100)
		s := &collectionStore{listing: objectstore.Listing{Revision: 5, Objects: []objectstore.Object{configObject(4, long)}}, changes: make(chan objectstore.Changes)}
		f, await := followStore(t, relay, s)
		await(5)
		other.config.Follower = func(string) *follow.Follower { return nil }

		Convey("the other one gets the whole collection, and then nothing until something changes", func() {
			n, err := other.WatchRelay(t.Context(), address, "config", 0, 0)
			So(err, ShouldBeNil)
			So(n.Current, ShouldBeTrue)
			So(string(n.Listing.Objects[0].Value), ShouldEqual, long)
			n, err = other.WatchRelay(t.Context(), address, "config", 5, 0)
			So(err, ShouldBeNil)
			So(n.Current, ShouldBeTrue)
			So(n.Listing, ShouldBeNil)
			So(n.Changes, ShouldBeEmpty)
		})
		Convey("a change reaches it as a difference that it can decode", func() {
			otherStore := &collectionStore{listing: s.listing, changes: make(chan objectstore.Changes)}
			_, awaitOther := followStore(t, other, otherStore)
			awaitOther(5)
			s.changes <- objectstore.Changes{Revision: 8, Events: []objectstore.Event{{Object: configObject(8, long+"and one more")}}}
			await(8)
			reply, err := other.callWatch(t.Context(), address, "config", 5, time.Second)
			So(err, ShouldBeNil)
			So(reply.Events[0].Object.GetDifference(), ShouldNotBeEmpty)
			n, err := other.WatchRelay(t.Context(), address, "config", 5, time.Second)
			So(err, ShouldBeNil)
			So(n.Changes[0].Object, ShouldResemble, configObject(8, long+"and one more"))
		})
		Convey("without the version that a difference is to, it gets the whole collection", func() {
			s.changes <- objectstore.Changes{Revision: 8, Events: []objectstore.Event{{Object: configObject(8, long+"and one more")}}}
			await(8)
			n, err := other.WatchRelay(t.Context(), address, "config", 5, time.Second)
			So(err, ShouldBeNil)
			So(n.Listing.Objects[0], ShouldResemble, configObject(8, long+"and one more"))
		})
		Convey("a relay that stops says so to those that wait", func() {
			replies := make(chan follow.News, 1)
			go func() {
				n, _ := other.WatchRelay(context.Background(), address, "config", 5, 5*time.Second)
				replies <- n
			}()
			f.StopRelaying()
			So((<-replies).Current, ShouldBeFalse)
		})
		Convey("a collection that is not followed is an error", func() {
			_, err := other.WatchRelay(t.Context(), address, "orders", 5, 0)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, `collection "orders" is not followed`)
		})
	})
}

// earlierRelease describes the Fleet service without a method that an earlier release lacks.
type earlierRelease struct {
	api.DRPCFleetDescription
	lacks string
}

func (d earlierRelease) NumMethods() int { return d.DRPCFleetDescription.NumMethods() - 1 }

func (d earlierRelease) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	for i := range d.DRPCFleetDescription.NumMethods() {
		rpc, encoding, receiver, method, ok := d.DRPCFleetDescription.Method(i)
		if strings.HasSuffix(rpc, "/"+d.lacks) {
			continue
		}
		if n == 0 {
			return rpc, encoding, receiver, method, ok
		}
		n--
	}
	return "", nil, nil, nil, false
}

func TestWatchRelayOfEarlierRelease(t *testing.T) {
	Convey("an instance of a release that knows no relays is no relay, and other calls to it go on", t, func() {
		peers, _ := newFleet(t, "a1", "a2")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		mux := drpcmux.New()
		So(mux.Register(peers["a1"], earlierRelease{lacks: "Watch"}), ShouldBeNil)
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- drpcserver.New(mux).Serve(ctx, l) }()
		_, err = peers["a2"].WatchRelay(t.Context(), l.Addr().String(), "config", 0, 0)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeFalse)
		_, err = peers["a2"].callLend(t.Context(), l.Addr().String(), &api.LendRequest{Customer: "alwusta", Tokens: 1})
		So(err, ShouldBeNil)
		stop()
		<-served
	})
}

func TestRelaysOfADomain(t *testing.T) {
	Convey("in a large domain two instances watch the store for the others, of which each has both as candidates", t, func() {
		peers, _ := newFleet(t, "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "b1", "b2", "b3")
		relays, preferred := map[string]bool{}, map[string]int{}
		for name, p := range peers {
			if p.IsRelay() {
				relays[p.config.Self.PeerAddress] = true
				So(name, ShouldStartWith, "a")
				So(p.Candidates(), ShouldBeEmpty)
			}
		}
		So(relays, ShouldHaveLength, relayCount)
		for name, p := range peers {
			if strings.HasPrefix(name, "b") {
				So(p.Candidates(), ShouldBeEmpty)
			} else if !p.IsRelay() {
				preferred[p.Candidates()[0]]++
				So(relays[p.Candidates()[0]] && relays[p.Candidates()[1]], ShouldBeTrue)
				So(len(p.Candidates()), ShouldBeBetweenOrEqual, relayCount, maxRelayCandidates)
			}
		}
	})
}
