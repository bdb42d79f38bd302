package bundle

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/api"
	"pumiceshelf/internal/standin"
	"pumiceshelf/objectstore"
)

// interruptedStore calls before ahead of each Get, Put and Delete.
type interruptedStore struct {
	objectstore.Store
	before func()
}

func (s *interruptedStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.before()
	return s.Store.Get(ctx, key)
}

func (s *interruptedStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.before()
	return s.Store.Put(ctx, key, value, expected)
}

func (s *interruptedStore) Delete(ctx context.Context, key string, expected objectstore.Version) error {
	s.before()
	return s.Store.Delete(ctx, key, expected)
}

// drawRecurringBundle returns one of a few bundles, so that parts are used, unused and used again.
func drawRecurringBundle(t *rapid.T, number uint64) *api.Bundle {
	b := testBundle(number, 2, 1)
	kind := rapid.IntRange(0, 2).Draw(t, "kind")
	b.Customers[0].Weight = uint32(kind)
	b.Endpoints[0].Concurrency = uint32(kind)
	return b
}

// TestSweepKeepsCurrentBundle interleaves the calls of operators who roll and sweep and checks that the bundle that the
// pointer names can always be read.
func TestSweepKeepsCurrentBundle(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 2, 1))
		number := uint64(1)
		rollOne := func(store objectstore.Store) {
			number++
			signed, parts := signedNext(objects.Client("operator"), drawRecurringBundle(rt, number), ana, badr)
			m, err := decodeManifest(signed)
			if err != nil {
				rt.Fatal(err)
			}
			// Calls are serial, so that the drawn interruptions occur in the same order in every run.
			r := rollout{store: store, signed: signed, manifest: m, parts: indexByHash(parts), parallel: 1}
			if err := r.run(ctx); err != nil && !errors.Is(err, ErrSuperseded) {
				rt.Fatal(err)
			}
		}
		depth := 0
		var interrupt func()
		interrupt = func() {
			if depth == 2 || rapid.IntRange(0, 4).Draw(rt, "interrupt") > 0 {
				return
			}
			depth++
			defer func() { depth-- }()
			store := &interruptedStore{Store: objects.Client("other"), before: interrupt}
			if rapid.Bool().Draw(rt, "sweep") {
				_, _ = Sweep(ctx, store, 1)
			} else {
				rollOne(store)
			}
		}
		for range rapid.IntRange(2, 10).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "sweep first") {
				_, _ = Sweep(ctx, &interruptedStore{Store: objects.Client("sweeper"), before: interrupt}, 1)
			}
			rollOne(&interruptedStore{Store: objects.Client("roller"), before: interrupt})
			p, err := ReadPointer(ctx, objects.Client("reader"))
			if err != nil {
				rt.Fatal(err)
			}
			if _, err := ReadBundle(ctx, objects.Client("reader"), p.Manifest); err != nil {
				rt.Fatalf("current bundle %d cannot be read: %v", p.Number(), err)
			}
		}
	})
}

func TestSweepRemovesOldParts(t *testing.T) {
	ctx := context.Background()
	Convey("Given 30 rolled bundles, of which the third changed the operators", t, func() {
		objects := standin.NewObjects()
		store := objects.Client("ana")
		for number := uint64(1); number <= 30; number++ {
			b := testBundle(number, 2, 1)
			b.Customers[0].Weight = uint32(number)
			signers := []operator{ana, badr}
			if number >= 3 {
				b.Operators = publicKeys(badr, carla)
			}
			if number > 3 {
				signers = []operator{badr, carla}
			}
			signed, parts := signedNext(store, b, signers...)
			So(Roll(ctx, store, signed, parts), ShouldBeNil)
		}
		Convey("a sweep marks old objects, the next one after a roll removes them, and a new instance still accepts the newest bundle", func() {
			first, err := Sweep(ctx, store, 10)
			So(err, ShouldBeNil)
			So(first.Removed, ShouldEqual, 0)
			again, err := Sweep(ctx, store, 10)
			So(err, ShouldBeNil)
			So(again.Removed, ShouldEqual, 0)
			signed, parts := signedNext(store, withOperators(testBundle(31, 2, 1), badr, carla), badr, carla)
			So(Roll(ctx, store, signed, parts), ShouldBeNil)
			last, err := Sweep(ctx, store, 10)
			So(err, ShouldBeNil)
			// Bundle 31 has the same customers as bundle 1, so one of the marked parts is in use again.
			So(last.Removed, ShouldEqual, again.Marked-1)
			manifests, err := store.List(ctx, manifestPrefix, "", 100)
			So(err, ShouldBeNil)
			So(len(manifests), ShouldEqual, 13)
			f := newFleet(t, nil)
			f.objects = objects
			n := f.prepare("d1", "a1")
			So(n.holder.refresh(ctx), ShouldBeNil)
			So(n.holder.Number(), ShouldEqual, 31)
		})
	})
}

func withOperators(b *api.Bundle, list ...operator) *api.Bundle {
	b.Operators = publicKeys(list...)
	return b
}
