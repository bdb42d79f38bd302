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

// script answers each call with its next step. After the last one it ends the test.
type script struct {
	steps []func() (objectstore.Listing, objectstore.Changes, error)
	calls []string
	done  context.CancelFunc
}

func (s *script) next() (objectstore.Listing, objectstore.Changes, error) {
	if len(s.steps) == 0 {
		s.done()
		return objectstore.Listing{}, objectstore.Changes{}, errors.New("script ended")
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *script) ListAll(context.Context, string) (objectstore.Listing, error) {
	s.calls = append(s.calls, "list")
	l, _, err := s.next()
	return l, err
}

func (s *script) ListRecent(ctx context.Context, collection string) (objectstore.Listing, error) {
	return s.ListAll(ctx, collection)
}

func (s *script) WatchAll(_ context.Context, _ string, after objectstore.Revision, _ time.Duration) (objectstore.Changes, error) {
	s.calls = append(s.calls, "watch")
	_, c, err := s.next()
	return c, err
}

// recorder is a listener that notes what it learns.
type recorder struct{ events []string }

func (r *recorder) Replace(l objectstore.Listing) {
	r.events = append(r.events, "replace")
	for _, o := range l.Objects {
		r.events = append(r.events, o.Key)
	}
}
func (r *recorder) Change(c objectstore.Changes) {
	for _, e := range c.Events {
		r.events = append(r.events, "change "+e.Object.Key)
	}
}
func (r *recorder) Away(error) { r.events = append(r.events, "away") }
func (r *recorder) Back()      {}
func (r *recorder) Tick()      {}

func listing(revision objectstore.Revision, keys ...string) objectstore.Listing {
	l := objectstore.Listing{Revision: revision}
	for _, k := range keys {
		l.Objects = append(l.Objects, objectstore.Object{Key: k, Version: objectstore.Version(revision)})
	}
	return l
}

func lists(l objectstore.Listing) func() (objectstore.Listing, objectstore.Changes, error) {
	return func() (objectstore.Listing, objectstore.Changes, error) { return l, objectstore.Changes{}, nil }
}

func watches(revision objectstore.Revision, deleted bool, keys ...string) func() (objectstore.Listing, objectstore.Changes, error) {
	c := objectstore.Changes{Revision: revision}
	for _, k := range keys {
		c.Events = append(c.Events, objectstore.Event{Object: objectstore.Object{Key: k, Version: objectstore.Version(revision)}, Deleted: deleted})
	}
	return func() (objectstore.Listing, objectstore.Changes, error) { return objectstore.Listing{}, c, nil }
}

func fails(err error) func() (objectstore.Listing, objectstore.Changes, error) {
	return func() (objectstore.Listing, objectstore.Changes, error) {
		return objectstore.Listing{}, objectstore.Changes{}, err
	}
}

// play runs a follower through a script on a clock that never holds it up.
func play(newest func(context.Context, objectstore.Revision) (objectstore.Listing, bool), steps ...func() (objectstore.Listing, objectstore.Changes, error)) (*follow.Follower, *script, *recorder) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, r := &script{steps: steps, done: cancel}, &recorder{}
	clock := clockwork.NewFakeClock()
	go func() {
		for ctx.Err() == nil {
			if clock.BlockUntilContext(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}
	}()
	f := follow.New(follow.Config{
		Collection: "config", Store: s, Newest: newest, Listener: r, Clock: clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	_ = f.Run(ctx)
	return f, s, r
}

func TestFollower(t *testing.T) {
	Convey("it lists once and then watches", t, func() {
		f, s, r := play(nil, lists(listing(5, "config/a")), watches(6, false, "config/b"), watches(9, true, "config/a"), watches(12, false))
		So(s.calls, ShouldResemble, []string{"list", "watch", "watch", "watch", "watch"})
		So(r.events[:4], ShouldResemble, []string{"replace", "config/a", "change config/b", "change config/a"})
		So(f.Copy().Revision, ShouldEqual, objectstore.Revision(12))
		So(f.Copy().Objects, ShouldHaveLength, 1)
	})
	Convey("it waits a moment after a change, so that the next watch brings all that came meanwhile", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		clock := clockwork.NewFakeClock()
		s := &script{done: cancel, steps: []func() (objectstore.Listing, objectstore.Changes, error){
			lists(listing(5)), watches(6, false, "servers/a"), watches(6, false), watches(7, false, "servers/b"),
		}}
		f := follow.New(follow.Config{Collection: "servers", Store: s, Listener: &recorder{}, Clock: clock,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		So(f.Copy().Revision, ShouldEqual, objectstore.Revision(6))
		clock.Advance(200 * time.Millisecond)
		So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		So(f.Copy().Revision, ShouldEqual, objectstore.Revision(7))
		cancel()
		So(<-ended, ShouldBeNil)
	})
	Convey("it lists again when the history is gone", t, func() {
		_, s, _ := play(nil, lists(listing(5)), fails(objectstore.ErrHistoryGone), lists(listing(9, "config/a")))
		So(s.calls[:3], ShouldResemble, []string{"list", "watch", "list"})
	})
	Convey("it goes on with the watch after a failure, and never back", t, func() {
		f, s, r := play(nil, lists(listing(9, "config/a")), fails(objectstore.ErrUnavailable), watches(7, false), fails(objectstore.ErrHistoryGone), lists(listing(4)))
		So(s.calls[:5], ShouldResemble, []string{"list", "watch", "watch", "watch", "list"})
		So(r.events, ShouldContain, "away")
		So(f.Copy().Revision, ShouldEqual, objectstore.Revision(9))
		So(f.Copy().Objects, ShouldHaveLength, 1)
	})
	Convey("while the store refuses it, it takes a newer copy of another instance, and no older one", t, func() {
		asked := 0
		newest := func(_ context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
			asked++
			if asked == 1 {
				return listing(3, "config/old"), true
			}
			return listing(after+10, "config/new"), true
		}
		f, _, r := play(newest, lists(listing(5, "config/a")), fails(objectstore.ErrUnavailable), fails(objectstore.ErrUnavailable))
		So(r.events, ShouldContain, "config/new")
		So(r.events, ShouldNotContain, "config/old")
		So(f.Copy().Revision, ShouldBeGreaterThanOrEqualTo, objectstore.Revision(15))
	})
	Convey("started while the store is away, it begins with another instance's copy", t, func() {
		newest := func(context.Context, objectstore.Revision) (objectstore.Listing, bool) {
			return listing(8, "config/a"), true
		}
		_, s, r := play(newest, fails(objectstore.ErrUnavailable), watches(9, false, "config/b"))
		So(s.calls[:2], ShouldResemble, []string{"list", "watch"})
		So(r.events, ShouldContain, "change config/b")
	})
}
