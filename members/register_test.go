package members

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// entryStore holds the entries of instances.
type entryStore struct {
	objectstore.Store
	objectstore.Collections
	entries map[string]objectstore.Object
}

func (s *entryStore) Put(_ context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if current := s.entries[key]; current.Version != expected {
		return 0, &objectstore.ConflictError{Current: current}
	}
	s.entries[key] = objectstore.Object{Key: key, Value: value, Version: expected + 1}
	return expected + 1, nil
}

func (s *entryStore) ListAll(context.Context, string) (objectstore.Listing, error) {
	var l objectstore.Listing
	for _, o := range s.entries {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (s *entryStore) ListAllowStale(ctx context.Context, collection string) (objectstore.Listing, error) {
	return s.ListAll(ctx, collection)
}

func TestLostEntryIsWrittenAgain(t *testing.T) {
	Convey("an instance whose entry is no longer in the store registers again", t, func() {
		store := &entryStore{entries: make(map[string]objectstore.Object)}
		m := New(Config{
			Store: store, Collections: store, Incarnation: "a1", Clock: clockwork.NewFakeClock(),
			Self: &api.FleetMember{Incarnation: "a1", PeerAddress: "10.0.0.1:80", Domain: "a"},
		})
		So(m.refresh(t.Context()), ShouldBeNil)
		So(store.entries, ShouldHaveLength, 1)
		clear(store.entries)
		So(m.refresh(t.Context()), ShouldBeNil)
		So(m.refresh(t.Context()), ShouldBeNil)
		So(store.entries, ShouldHaveLength, 1)
		So(m.refresh(t.Context()), ShouldBeNil)
		So(store.entries[Collection+"/a1"].Version, ShouldEqual, 1)
	})
}
