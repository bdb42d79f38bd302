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

func TestOperatorsRacing(t *testing.T) {
	ctx := context.Background()
	Convey("Given bundle 1 in force and two operators who each prepared a bundle 2", t, func() {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 2, 1))
		first, second := testBundle(2, 2, 1), testBundle(2, 2, 1)
		first.Customers[0].Budgets[0].Grants = append(first.Customers[0].Budgets[0].Grants, &api.Grant{Id: "march", Tokens: 70})
		second.Models[0].Version = "v9"
		one, oneParts := signedNext(objects.Link("ana"), first, ana, badr)
		two, twoParts := signedNext(objects.Link("badr"), second, badr, ana)
		So(Roll(ctx, objects.Link("ana"), one, oneParts), ShouldBeNil)
		Convey("the second to roll gets a conflict that names the winner and what changed", func() {
			err := Roll(ctx, objects.Link("badr"), two, twoParts)
			So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
			var superseded *Superseded
			So(errors.As(err, &superseded), ShouldBeTrue)
			So(superseded.Current, ShouldEqual, 2)
			So(superseded.SignedBy, ShouldResemble, []string{"ana", "badr"})
			So(err.Error(), ShouldContainSubstring, `+ customers[customer-0000].budgets[budget-0].grants[march] = {"id":"march","tokens":"70"}`)
			So(strings.Count(err.Error(), "\n"), ShouldEqual, 2)
		})
		Convey("the winner who rolls again is told that it is done", func() {
			So(Roll(ctx, objects.Link("ana"), one, oneParts), ShouldBeNil)
		})
		Convey("the winner who asks again after a successor is told that it was done", func() {
			mustRoll(t, objects, testBundle(3, 2, 1))
			So(Roll(ctx, objects.Link("ana"), one, oneParts), ShouldBeNil)
		})
	})
}

// racingStore lets another operator move the pointer between this one's read and write.
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
	Convey("Given an operator whose rival moves the pointer at the last moment", t, func() {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 1, 1))
		signed, parts := signedNext(objects.Link("badr"), testBundle(2, 2, 1), ana, badr)
		rival := testBundle(2, 3, 1)
		store := &racingStore{Store: objects.Link("badr"), race: func() { mustRoll(t, objects, rival) }}
		Convey("the roll conflicts and the rival's bundle stays", func() {
			err := Roll(context.Background(), store, signed, parts)
			So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
			p, err := ReadPointer(context.Background(), objects.Link("badr"))
			So(err, ShouldBeNil)
			m, _ := Split(rival)
			So(p.Manifest.CustomerPageHashes, ShouldResemble, m.CustomerPageHashes)
		})
	})
}

func TestLostAnswers(t *testing.T) {
	ctx := context.Background()
	Convey("Given a platform that loses the answers to writes", t, func() {
		objects := standin.NewObjects()
		mustRoll(t, objects, testBundle(1, 2, 1))
		lost := make(map[string]bool)
		objects.SetFaults(standin.Faults{LoseAnswer: func(key string) bool {
			again := lost[key]
			lost[key] = true
			return !again
		}})
		signed, parts := signedNext(objects.Link("ana"), testBundle(2, 3, 1), ana, badr)
		Convey("a roll whose pointer update lost its answer reads back that it won", func() {
			So(Roll(ctx, objects.Link("ana"), signed, parts), ShouldBeNil)
			So(lost[PointerKey], ShouldBeTrue)
			p, err := ReadPointer(ctx, objects.Link("ana"))
			So(err, ShouldBeNil)
			So(p.Hash(), ShouldEqual, HashOf(signed.Manifest))
		})
		Convey("also when another operator rolled a successor before the read back", func() {
			store := &lostThenSucceeded{Store: objects.Link("ana"), after: func() {
				objects.SetFaults(standin.Faults{})
				mustRoll(t, objects, testBundle(3, 3, 1))
			}}
			So(Roll(ctx, store, signed, parts), ShouldBeNil)
		})
	})
}

// lostThenSucceeded loses the answer to the pointer update and runs after before it returns.
type lostThenSucceeded struct {
	objectstore.Store
	after func()
}

func (s *lostThenSucceeded) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if key == PointerKey {
		s.after()
		return 0, objectstore.ErrAmbiguous
	}
	return version, err
}

func TestPlatformDownBeforePointerMoves(t *testing.T) {
	Convey("A roll that could not reach the platform says so and can be repeated", t, func() {
		objects := standin.NewObjects()
		signed, parts := signedNext(objects.Link("ana"), testBundle(1, 2, 1), ana, badr)
		objects.SetFaults(standin.Faults{Down: true})
		So(errors.Is(Roll(context.Background(), objects.Link("ana"), signed, parts), objectstore.ErrUnavailable), ShouldBeTrue)
		objects.SetFaults(standin.Faults{})
		So(Roll(context.Background(), objects.Link("ana"), signed, parts), ShouldBeNil)
	})
}

func TestRollWritesOnlyWhatChanged(t *testing.T) {
	Convey("Given a bundle of 300 customers in force", t, func() {
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
