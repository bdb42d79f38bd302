package follow_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
)

// scriptedStore returns one scripted response per call. After the last one it cancels the follower's context.
type scriptedStore struct {
	responses []func() (objectstore.Listing, objectstore.Changes, error)
	calls     []string
	cancel    context.CancelFunc
}

func (s *scriptedStore) nextResponse() (objectstore.Listing, objectstore.Changes, error) {
	if len(s.responses) == 0 {
		s.cancel()
		return objectstore.Listing{}, objectstore.Changes{}, errors.New("no responses left")
	}
	respond := s.responses[0]
	s.responses = s.responses[1:]
	return respond()
}

func (s *scriptedStore) ListAll(context.Context, string) (objectstore.Listing, error) {
	s.calls = append(s.calls, "list")
	l, _, err := s.nextResponse()
	return l, err
}

func (s *scriptedStore) ListAllowStale(ctx context.Context, collection string) (objectstore.Listing, error) {
	return s.ListAll(ctx, collection)
}

func (s *scriptedStore) WatchAll(_ context.Context, _ string, after objectstore.Revision, _ time.Duration) (objectstore.Changes, error) {
	s.calls = append(s.calls, "watch")
	_, c, err := s.nextResponse()
	return c, err
}

// recorder is a listener that records its calls.
type recorder struct {
	events []string
	// ages holds the ages of the confirmations.
	ages []time.Duration
}

func (r *recorder) Replace(l objectstore.Listing) {
	r.events = append(r.events, "replace")
	for _, o := range l.Objects {
		r.events = append(r.events, o.Key)
	}
}
func (r *recorder) ApplyChanges(c objectstore.Changes) {
	for _, e := range c.Events {
		r.events = append(r.events, "change "+e.Object.Key)
	}
}
func (r *recorder) StoreUnavailable(error)           { r.events = append(r.events, "unavailable") }
func (r *recorder) StoreAvailable(age time.Duration) { r.ages = append(r.ages, age) }
func (r *recorder) Tick()                            {}

func listing(revision objectstore.Revision, keys ...string) objectstore.Listing {
	l := objectstore.Listing{Revision: revision}
	for _, k := range keys {
		l.Objects = append(l.Objects, objectstore.Object{Key: k, Version: objectstore.Version(revision)})
	}
	return l
}

func listResponse(l objectstore.Listing) func() (objectstore.Listing, objectstore.Changes, error) {
	return func() (objectstore.Listing, objectstore.Changes, error) { return l, objectstore.Changes{}, nil }
}

func watchResponse(revision objectstore.Revision, deleted bool, keys ...string) func() (objectstore.Listing, objectstore.Changes, error) {
	c := objectstore.Changes{Revision: revision}
	for _, k := range keys {
		c.Events = append(c.Events, objectstore.Event{Object: objectstore.Object{Key: k, Version: objectstore.Version(revision)}, Deleted: deleted})
	}
	return func() (objectstore.Listing, objectstore.Changes, error) { return objectstore.Listing{}, c, nil }
}

func errorResponse(err error) func() (objectstore.Listing, objectstore.Changes, error) {
	return func() (objectstore.Listing, objectstore.Changes, error) {
		return objectstore.Listing{}, objectstore.Changes{}, err
	}
}

// runFollower runs a follower until the scripted responses are used up. The fake clock advances whenever the follower waits.
func runFollower(queryPeers func(context.Context, objectstore.Revision) (objectstore.Listing, bool), responses ...func() (objectstore.Listing, objectstore.Changes, error)) (*follow.Follower, *scriptedStore, *recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, r := &scriptedStore{responses: responses, cancel: cancel}, &recorder{}
	clock := clockwork.NewFakeClock()
	go func() {
		for ctx.Err() == nil {
			if clock.BlockUntilContext(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}
	}()
	f := follow.New(follow.Config{
		Collection: "config", Store: s, QueryPeers: queryPeers, Listener: r, Clock: clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	_ = f.Run(ctx)
	return f, s, r
}

func TestFollower(t *testing.T) {
	Convey("it lists the collection once and then watches it", t, func() {
		f, s, r := runFollower(nil, listResponse(listing(5, "config/a")), watchResponse(6, false, "config/b"), watchResponse(9, true, "config/a"), watchResponse(12, false))
		So(s.calls, ShouldResemble, []string{"list", "watch", "watch", "watch", "watch"})
		So(r.events[:4], ShouldResemble, []string{"replace", "config/a", "change config/b", "change config/a"})
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(12))
		So(f.Snapshot().Objects, ShouldHaveLength, 1)
	})
	Convey("it waits for the batch interval after a change, so that the next watch returns all changes made meanwhile", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		clock := clockwork.NewFakeClock()
		s := &scriptedStore{cancel: cancel, responses: []func() (objectstore.Listing, objectstore.Changes, error){
			listResponse(listing(5)), watchResponse(6, false, "servers/a"), watchResponse(6, false), watchResponse(7, false, "servers/b"),
		}}
		f := follow.New(follow.Config{Collection: "servers", Store: s, Listener: &recorder{}, Clock: clock,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(6))
		clock.Advance(200 * time.Millisecond)
		So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(7))
		cancel()
		So(<-ended, ShouldBeNil)
	})
	Convey("it lists the collection again when the revision of the watch is no longer available", t, func() {
		_, s, _ := runFollower(nil, listResponse(listing(5)), errorResponse(objectstore.ErrRevisionExpired), listResponse(listing(9, "config/a")))
		So(s.calls[:3], ShouldResemble, []string{"list", "watch", "list"})
	})
	Convey("it waits before it asks again a store that has an older listing only", t, func() {
		f, s, r := runFollower(nil, listResponse(listing(9)), errorResponse(objectstore.ErrRevisionExpired), listResponse(listing(4)), listResponse(listing(10, "config/b")))
		So(s.calls[:5], ShouldResemble, []string{"list", "watch", "list", "list", "watch"})
		So(r.events[:3], ShouldResemble, []string{"replace", "unavailable", "replace"})
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(10))
	})
	Convey("it resumes the watch after a failure, and the snapshot's revision never decreases", t, func() {
		f, s, r := runFollower(nil, listResponse(listing(9, "config/a")), errorResponse(objectstore.ErrUnavailable), watchResponse(7, false), errorResponse(objectstore.ErrRevisionExpired), listResponse(listing(4)))
		So(s.calls[:5], ShouldResemble, []string{"list", "watch", "watch", "watch", "list"})
		So(r.events, ShouldContain, "unavailable")
		So(f.Snapshot().Revision, ShouldEqual, objectstore.Revision(9))
		So(f.Snapshot().Objects, ShouldHaveLength, 1)
	})
	Convey("while the store is unavailable, it applies a newer snapshot of another instance and ignores an older one", t, func() {
		queries := 0
		queryPeers := func(_ context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
			queries++
			if queries == 1 {
				return listing(3, "config/old"), true
			}
			return listing(after+10, "config/new"), true
		}
		f, _, r := runFollower(queryPeers, listResponse(listing(5, "config/a")), errorResponse(objectstore.ErrUnavailable), errorResponse(objectstore.ErrUnavailable))
		So(r.events, ShouldContain, "config/new")
		So(r.events, ShouldNotContain, "config/old")
		So(f.Snapshot().Revision, ShouldBeGreaterThanOrEqualTo, objectstore.Revision(15))
	})
	Convey("when started while the store is unavailable, it watches from the revision of another instance's snapshot", t, func() {
		queryPeers := func(context.Context, objectstore.Revision) (objectstore.Listing, bool) {
			return listing(8, "config/a"), true
		}
		_, s, r := runFollower(queryPeers, errorResponse(objectstore.ErrUnavailable), watchResponse(9, false, "config/b"))
		So(s.calls[:2], ShouldResemble, []string{"list", "watch"})
		So(r.events, ShouldContain, "change config/b")
	})
}

// silentStore does not respond until a time. Calls that begin before it fail when their time limit ends.
type silentStore struct {
	clock        *clockwork.FakeClock
	respondsFrom time.Time
	revision     objectstore.Revision
}

// silentCallGrace is what the client of the store adds to the wait time of a watch.
const silentCallGrace = 700 * time.Millisecond

func (s *silentStore) ListAll(context.Context, string) (objectstore.Listing, error) {
	return listing(s.revision, "config/main"), nil
}

func (s *silentStore) ListAllowStale(ctx context.Context, collection string) (objectstore.Listing, error) {
	return s.ListAll(ctx, collection)
}

// sleep waits for a span of time or until the context ends.
func (s *silentStore) sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(span):
	}
}

func (s *silentStore) WatchAll(ctx context.Context, _ string, after objectstore.Revision, wait time.Duration) (objectstore.Changes, error) {
	begun := s.clock.Now()
	if !begun.Before(s.respondsFrom) && after < s.revision {
		_, c, err := watchResponse(s.revision, false, "config/main")()
		return c, err
	}
	s.sleep(ctx, wait)
	if begun.Before(s.respondsFrom) {
		s.sleep(ctx, silentCallGrace)
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
	return objectstore.Changes{Revision: after}, nil
}

func TestChangeAppliedSoonAfterStoreResponds(t *testing.T) {
	Convey("a change made while the store is silent is applied within 2 s of its next response, whenever that is", t, func() {
		const step = 50 * time.Millisecond
		for silence := 2 * time.Second; silence < 7*time.Second; silence += 5 * step {
			ctx, cancel := context.WithCancel(t.Context())
			clock := clockwork.NewFakeClock()
			s := &silentStore{clock: clock, revision: 5}
			f := follow.New(follow.Config{Collection: "config", Store: s, Listener: &recorder{}, Clock: clock,
				Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
			ended := make(chan error, 1)
			go func() { ended <- f.Run(ctx) }()
			So(clock.BlockUntilContext(ctx, 1), ShouldBeNil)
			s.revision, s.respondsFrom = 6, clock.Now().Add(silence)
			for f.Snapshot().Revision < 6 {
				So(clock.Since(s.respondsFrom), ShouldBeLessThan, 2*time.Second)
				clock.Advance(step)
				So(clock.BlockUntilContext(ctx, 1), ShouldBeNil)
			}
			cancel()
			So(<-ended, ShouldBeNil)
		}
	})
}
