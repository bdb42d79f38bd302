package members

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// lateStore is an entryStore that accepts no entry before a time.
type lateStore struct {
	*entryStore
	from time.Time
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if time.Now().Before(s.from) {
		return 0, objectstore.ErrUnavailable
	}
	return s.entryStore.Put(ctx, key, value, expected)
}

// startMembers returns an instance that has not listed the others, and a store that accepts its entry after a time.
func startMembers(after time.Duration) *Members {
	store := &lateStore{entryStore: &entryStore{entries: make(map[string]objectstore.Object)}, from: time.Now().Add(after)}
	return New(Config{
		Store: store, Collections: store, Incarnation: "a1", Clock: clockwork.NewRealClock(), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Self: &api.FleetMember{Incarnation: "a1", PeerAddress: "10.0.0.1:80", Domain: "a"},
	})
}

// Guards against instances that start together and each lease tokens in advance as the only one of their domain: what 100 of them
// leased was all that a kill had left of a budget.
func TestInstanceLeasesAsFirstHolderOnlyOnceListed(t *testing.T) {
	Convey("an instance is the first token holder of its domain only once it has listed the others", t, func() {
		m := startMembers(0)
		So(m.IsTokenHolder(), ShouldBeTrue)
		So(m.IsFirstHolder(), ShouldBeFalse)
		So(m.refresh(t.Context()), ShouldBeNil)
		So(m.IsFirstHolder(), ShouldBeTrue)
	})
}

// Guards against instances that start while the store is unavailable and do not know each other for up to 7.5 s after it is back.
func TestFailedFirstListingIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var started []*Members
		for range 20 {
			m := startMembers(1500 * time.Millisecond)
			started = append(started, m)
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(3 * time.Second)
		for i, m := range started {
			if !m.roster.Load().listed {
				t.Errorf("instance %d has not listed the others 3 s after its start, 1.5 s after the store was back", i)
			}
		}
		cancel()
	})
}
