package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
)

// waitingStore has no changes. It records how long each watch was to wait, and ends the follower's context after the last one.
type waitingStore struct {
	scriptedStore
	waits []time.Duration
	last  int
}

func (s *waitingStore) WatchAll(_ context.Context, _ string, after objectstore.Revision, wait time.Duration) (objectstore.Changes, error) {
	if s.waits = append(s.waits, wait); len(s.waits) == s.last {
		s.cancel()
	}
	return objectstore.Changes{Revision: after}, nil
}

// A listener that must know soon that the store responds must not wait for the end of a whole watch.
func TestWatchEndsWhenListenerNeedsResponse(t *testing.T) {
	Convey("a watch waits no longer than until the listener needs a response, but not so briefly that calls become many", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		within := []time.Duration{5 * time.Second, 700 * time.Millisecond, 0, -time.Second, 5 * time.Second}
		s := &waitingStore{last: len(within)}
		s.cancel, s.responses = cancel, []func() (objectstore.Listing, objectstore.Changes, error){listResponse(listing(5))}
		f := follow.New(follow.Config{
			Collection: "servers", Store: s, Listener: &recorder{}, Clock: clockwork.NewFakeClock(),
			ConfirmWithin: func() time.Duration { return within[len(s.waits)] },
			Log:           &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		})
		So(f.Run(ctx), ShouldBeNil)
		So(s.waits, ShouldResemble, []time.Duration{1800 * time.Millisecond, 700 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, 1800 * time.Millisecond})
	})
}
