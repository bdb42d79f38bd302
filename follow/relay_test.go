package follow_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/delta"
	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
)

// relayScript is what a relay responds, call by call. After the last response it does not respond any more.
type relayScript []func(ctx context.Context, after objectstore.Revision) (follow.News, error)

// scriptedRelays are relays by address. The follower's context is canceled when calls of the follower have used up their responses.
type scriptedRelays struct {
	mu        sync.Mutex
	addresses []string
	scripts   map[string]relayScript
	asked     map[string][]objectstore.Revision
	cancel    context.CancelFunc
}

func (s *scriptedRelays) Candidates() []string { return s.addresses }
func (s *scriptedRelays) IsRelay() bool        { return false }
func (s *scriptedRelays) WatchRelay(ctx context.Context, address, _ string, after objectstore.Revision, _ time.Duration) (follow.News, error) {
	s.mu.Lock()
	s.asked[address] = append(s.asked[address], after)
	respond := silent
	if script := s.scripts[address]; len(script) > 0 {
		respond, s.scripts[address] = script[0], script[1:]
	} else if address == "a" {
		s.cancel()
	}
	s.mu.Unlock()
	return respond(ctx, after)
}

// currentNews is the response of a relay that watches the store, with puts of the keys.
func currentNews(revision objectstore.Revision, keys ...string) func(context.Context, objectstore.Revision) (follow.News, error) {
	n := follow.News{Current: true, Revision: revision}
	for _, k := range keys {
		n.Changes = append(n.Changes, follow.Change{Event: objectstore.Event{Object: objectstore.Object{Key: k, Version: objectstore.Version(revision)}}})
	}
	return func(context.Context, objectstore.Revision) (follow.News, error) { return n, nil }
}

// news returns a response as it is.
func news(n follow.News) func(context.Context, objectstore.Revision) (follow.News, error) {
	return func(context.Context, objectstore.Revision) (follow.News, error) { return n, nil }
}

// silent responds only when the caller gives up.
func silent(ctx context.Context, _ objectstore.Revision) (follow.News, error) {
	<-ctx.Done()
	return follow.News{}, ctx.Err()
}

// runRelayed runs a follower with the relays a and b until a has no responses left, or the store none.
func runRelayed(store []func() (objectstore.Listing, objectstore.Changes, error), scripts map[string]relayScript) (*follow.Follower, *scriptedStore, *scriptedRelays, *recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, r := &scriptedStore{responses: store, cancel: cancel}, &recorder{}
	relayed := &scriptedRelays{addresses: []string{"a", "b"}, scripts: scripts, asked: make(map[string][]objectstore.Revision), cancel: cancel}
	clock := clockwork.NewFakeClock()
	go func() {
		for ctx.Err() == nil {
			if clock.BlockUntilContext(ctx, 1) == nil {
				clock.Advance(100 * time.Millisecond)
			}
		}
	}()
	f := follow.New(follow.Config{
		Collection: "servers", Store: s, Relays: relayed, Listener: r, Clock: clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	_ = f.Run(ctx)
	return f, s, relayed, r
}

func TestFollowerWithRelays(t *testing.T) {
	l := listing(5, "servers/x")
	begin := news(follow.News{Current: true, Revision: 5, Listing: &l})
	Convey("an instance takes the collection and its changes from a relay, and does not call the store", t, func() {
		f, s, relays, r := runRelayed(nil, map[string]relayScript{"a": {begin, currentNews(7, "servers/y"), currentNews(9)}})
		So(s.calls, ShouldBeEmpty)
		So(relays.asked["a"], ShouldResemble, []objectstore.Revision{0, 5, 7, 9})
		So(r.events, ShouldResemble, []string{"replace", "servers/x", "change servers/y"})
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(9))
	})
	Convey("a relay that is silent delays it by a bounded time: it asks the other one, and then the store", t, func() {
		_, s, relays, r := runRelayed(
			[]func() (objectstore.Listing, objectstore.Changes, error){watchResponse(8, false, "servers/z")},
			map[string]relayScript{"a": {begin, silent}, "b": {silent, silent}})
		So(relays.asked["a"][:2], ShouldResemble, []objectstore.Revision{0, 5})
		So(relays.asked["b"][:2], ShouldResemble, []objectstore.Revision{0, 5})
		So(s.calls[0], ShouldEqual, "watch")
		So(r.events, ShouldContain, "change servers/z")
	})
	Convey("it goes on with the other relay if that is current, without the store", t, func() {
		f, s, _, r := runRelayed(nil, map[string]relayScript{
			"a": {begin, silent}, "b": {silent, currentNews(8, "servers/z"), func(context.Context, objectstore.Revision) (follow.News, error) {
				return follow.News{}, errors.New("ended")
			}},
		})
		So(s.calls, ShouldBeEmpty)
		So(r.events, ShouldContain, "change servers/z")
		So(f.Snapshot().Objects, ShouldHaveLength, 2)
	})
	Convey("news of a relay without the store are applied, but it is not relied on", t, func() {
		f, s, _, _ := runRelayed(
			[]func() (objectstore.Listing, objectstore.Changes, error){watchResponse(9, false)},
			map[string]relayScript{"a": {news(follow.News{Revision: 5, Listing: &l})}, "b": {news(follow.News{Revision: 4})}})
		So(s.calls[0], ShouldEqual, "list")
		So(f.Snapshot().Objects, ShouldHaveLength, 1)
	})
	// Guards against an instance that takes its endpoints for confirmed for as long as a message with an impossible age says (ORDER).
	Convey("news that were confirmed in the future count as confirmed now", t, func() {
		_, _, _, r := runRelayed(nil, map[string]relayScript{"a": {begin, news(follow.News{Current: true, Revision: 6, ConfirmedAge: -time.Hour})}})
		So(r.ages, ShouldResemble, []time.Duration{0, 0})
	})
	Convey("news that are older than the snapshot change nothing", t, func() {
		later, older := listing(9, "servers/x"), listing(4)
		f, _, _, r := runRelayed(nil, map[string]relayScript{"a": {
			news(follow.News{Current: true, Revision: 9, Listing: &later}), currentNews(4, "servers/old"), news(follow.News{Current: true, Revision: 4, Listing: &older}),
		}})
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(9))
		So(r.events, ShouldResemble, []string{"replace", "servers/x"})
	})
}

// runRelay returns a follower that has applied the responses of the store.
func runRelay(responses ...func() (objectstore.Listing, objectstore.Changes, error)) *follow.Follower {
	f, _, _ := runFollower(nil, responses...)
	return f
}

func TestAwait(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	value := func(version, size int) []byte { return bytes.Repeat([]byte(fmt.Sprintf("%08d", version)), size/8) }
	put := func(revision objectstore.Revision, key string, v []byte) func() (objectstore.Listing, objectstore.Changes, error) {
		return func() (objectstore.Listing, objectstore.Changes, error) {
			return objectstore.Listing{}, objectstore.Changes{Revision: revision, Events: []objectstore.Event{
				{Object: objectstore.Object{Key: key, Version: objectstore.Version(revision), Value: v}},
			}}, nil
		}
	}
	Convey("a relay passes on the changes after a revision, each once", t, func() {
		f := runRelay(listResponse(listing(5, "servers/x")), watchResponse(7, false, "servers/y"), watchResponse(9, true, "servers/x"))
		for after, want := range map[objectstore.Revision]int{5: 2, 7: 1, 8: 1, 9: 0} {
			n := f.Await(ended, after)
			So(n.Changes, ShouldHaveLength, want)
			So(n.Revision, ShouldEqual, objectstore.Revision(9))
			So(n.Listing, ShouldBeNil)
		}
	})
	Convey("it passes on the whole collection to an instance that lacks more than it remembers", t, func() {
		f := runRelay(listResponse(listing(5, "servers/x")), watchResponse(7, false, "servers/y"))
		So(f.Await(ended, 4).Listing.Objects, ShouldHaveLength, 2)
		responses := []func() (objectstore.Listing, objectstore.Changes, error){listResponse(listing(5, "servers/x"))}
		for i := range 10 {
			responses = append(responses, put(objectstore.Revision(10+i), "servers/x", value(i, 100<<10)))
		}
		f = runRelay(responses...)
		So(f.Await(ended, 5).Listing, ShouldNotBeNil)
		So(f.Await(ended, 18).Changes, ShouldHaveLength, 1)
	})
	Convey("a large value is passed on as the difference to the one before", t, func() {
		before, after := value(1, 4096), append(value(1, 4096), "more"...)
		f := runRelay(listResponse(listing(5)), put(6, "servers/x", before), put(7, "servers/x", after))
		n := f.Await(ended, 6)
		So(n.Changes, ShouldHaveLength, 1)
		So(n.Changes[0].Base, ShouldEqual, objectstore.Version(6))
		So(len(n.Changes[0].Difference()), ShouldBeLessThan, 200)
		decoded, err := delta.Decode(before, n.Changes[0].Difference())
		So(err, ShouldBeNil)
		So(bytes.Equal(decoded, after), ShouldBeTrue)
		So(f.Await(ended, 5).Changes[0].Difference, ShouldBeNil)
	})
	Convey("a relay that lost the store, or stops, says so at once", t, func() {
		f := runRelay(listResponse(listing(5)), errorResponse(objectstore.ErrUnavailable))
		So(f.Await(context.Background(), 5).Current, ShouldBeFalse)
		f = follow.New(follow.Config{Clock: clockwork.NewFakeClock()})
		f.StopRelaying()
		So(f.Await(context.Background(), 0).Current, ShouldBeFalse)
	})
}

// idleStore is a store without changes whose watches last until they are canceled.
type idleStore struct{ objectstore.Collections }

func (idleStore) ListAll(context.Context, string) (objectstore.Listing, error) {
	return listing(5), nil
}

func (idleStore) WatchAll(ctx context.Context, _ string, _ objectstore.Revision, _ time.Duration) (objectstore.Changes, error) {
	<-ctx.Done()
	return objectstore.Changes{}, ctx.Err()
}

// Guards against news that name the age of the confirmation when the call began: what an instance does only with confirmed endpoints, it
// would do for longer (ORDER).
func TestAwaitNamesTheAgeAtItsEnd(t *testing.T) {
	Convey("a call that waited adds that time to the age of the confirmation", t, func() {
		clock := clockwork.NewFakeClock()
		f := follow.New(follow.Config{Store: idleStore{}, Listener: &recorder{}, Clock: clock, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = f.Run(ctx) }()
		ended, end := context.WithCancel(ctx)
		end()
		for !f.Await(ended, 5).Current {
			time.Sleep(time.Millisecond)
		}
		waiting, respond := context.WithCancel(ctx)
		news := make(chan follow.News)
		go func() { news <- f.Await(waiting, 5) }()
		time.Sleep(20 * time.Millisecond)
		clock.Advance(700 * time.Millisecond)
		respond()
		So((<-news).ConfirmedAge, ShouldEqual, 700*time.Millisecond)
	})
}
