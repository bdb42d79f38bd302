package bundle

import (
	"context"
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/standin"
	"pumiceshelf/objectstore"
)

func TestConcurrentOperators(t *testing.T) {
	ctx := context.Background()
	Convey("Given current bundle 1 and two operators who each prepared a bundle 2", t, func() {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 2, 1))
		first, second := testBundle(2, 2, 1), testBundle(2, 2, 1)
		first.Customers[0].Budgets[0].Grants = append(first.Customers[0].Budgets[0].Grants, &api.Grant{Id: "march", Tokens: 70})
		second.Models[0].Version = "v9"
		one, oneParts := signedNext(objects.Client("ana"), first, ana, badr)
		two, twoParts := signedNext(objects.Client("badr"), second, badr, ana)
		So(Roll(ctx, objects.Client("ana"), one, oneParts), ShouldBeNil)
		Convey("the second to roll gets an error that names the signers of the first bundle and its changes", func() {
			err := Roll(ctx, objects.Client("badr"), two, twoParts)
			So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
			var superseded *SupersededError
			So(errors.As(err, &superseded), ShouldBeTrue)
			So(superseded.Current, ShouldEqual, 2)
			So(superseded.SignedBy, ShouldResemble, []string{"ana", "badr"})
			So(err.Error(), ShouldContainSubstring, `+ customers[customer-0000].budgets[budget-0].grants[march] = {"id":"march","tokens":"70"}`)
			So(strings.Count(err.Error(), "\n"), ShouldEqual, 2)
		})
		Convey("the first operator can roll again without an error", func() {
			So(Roll(ctx, objects.Client("ana"), one, oneParts), ShouldBeNil)
		})
		Convey("the first operator can roll again without an error after a successor was rolled", func() {
			mustRoll(t, objects, testBundle(3, 2, 1))
			So(Roll(ctx, objects.Client("ana"), one, oneParts), ShouldBeNil)
		})
	})
}

// racingStore runs race before the first write of the pointer, so that another operator can move the pointer between this
// one's read and write.
type racingStore struct {
	objectstore.Store
	race func()
}

func (s *racingStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if key == PointerKey && s.race != nil {
		s.race()
		s.race = nil
	}
	return s.Store.Put(ctx, key, value, expected)
}

func TestPointerMovesBetweenReadAndWrite(t *testing.T) {
	Convey("Given another operator who moves the pointer just before this one writes it", t, func() {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 1, 1))
		signed, parts := signedNext(objects.Client("badr"), testBundle(2, 2, 1), ana, badr)
		other := testBundle(2, 3, 1)
		store := &racingStore{Store: objects.Client("badr"), race: func() { mustRoll(t, objects, other) }}
		Convey("the roll is superseded and the pointer still names the other operator's bundle", func() {
			err := Roll(context.Background(), store, signed, parts)
			So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
			p, err := ReadPointer(context.Background(), objects.Client("badr"))
			So(err, ShouldBeNil)
			m, _ := Split(other)
			So(p.Manifest.CustomerPageHashes, ShouldResemble, m.CustomerPageHashes)
		})
	})
}

func TestLostWriteResponses(t *testing.T) {
	ctx := context.Background()
	Convey("Given an object store that loses the first response to each write", t, func() {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 2, 1))
		lost := make(map[string]bool)
		objects.SetFaults(standin.Faults{LoseResponse: func(key string) bool {
			again := lost[key]
			lost[key] = true
			return !again
		}})
		signed, parts := signedNext(objects.Client("ana"), testBundle(2, 3, 1), ana, badr)
		Convey("a roll whose pointer update has an unknown outcome reads the pointer back and succeeds", func() {
			So(Roll(ctx, objects.Client("ana"), signed, parts), ShouldBeNil)
			So(lost[PointerKey], ShouldBeTrue)
			p, err := ReadPointer(ctx, objects.Client("ana"))
			So(err, ShouldBeNil)
			So(p.Hash(), ShouldEqual, HashOf(signed.Manifest))
		})
		Convey("it also succeeds when another operator rolled a successor before the pointer is read back", func() {
			store := &lostResponseStore{Store: objects.Client("ana"), after: func() {
				objects.SetFaults(standin.Faults{})
				mustRoll(t, objects, testBundle(3, 3, 1))
			}}
			So(Roll(ctx, store, signed, parts), ShouldBeNil)
		})
	})
}

// lostResponseStore loses the response to the pointer update and calls after before it returns.
type lostResponseStore struct {
	objectstore.Store
	after func()
}

func (s *lostResponseStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if key == PointerKey {
		s.after()
		return 0, objectstore.ErrAmbiguous
	}
	return version, err
}

func TestOutageBeforePointerMoves(t *testing.T) {
	Convey("A roll that cannot reach the object store returns ErrUnavailable and can be retried", t, func() {
		objects := standin.NewObjects()
		signed, parts := signedNext(objects.Client("ana"), testBundle(1, 2, 1), ana, badr)
		objects.SetFaults(standin.Faults{Unavailable: true})
		So(errors.Is(Roll(context.Background(), objects.Client("ana"), signed, parts), objectstore.ErrUnavailable), ShouldBeTrue)
		objects.SetFaults(standin.Faults{})
		So(Roll(context.Background(), objects.Client("ana"), signed, parts), ShouldBeNil)
	})
}

func TestRollWritesOnlyWhatChanged(t *testing.T) {
	Convey("Given a current bundle with 300 customers", t, func() {
		objects := standin.NewObjects()
		b := testBundle(1, 300, 1)
		mustRoll(t, objects, b)
		before := objects.Calls().Writes
		b.Number = 2
		b.Customers[7].Weight = 9
		mustRoll(t, objects, b)
		Convey("a change of one customer writes one pack, the manifest and the pointer", func() {
			So(objects.Calls().Writes-before, ShouldEqual, 3)
		})
	})
}
