package budget_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

func segment(incarnation string, sequence uint64, records ...*api.UsageRecord) *api.UsageSegment {
	return &api.UsageSegment{Incarnation: incarnation, Sequence: sequence, Records: records}
}

func record(id, lease string, tokens uint64) *api.UsageRecord {
	return &api.UsageRecord{RequestId: id, Customer: "c", Budget: "b", Lease: lease, GeneratedTokens: tokens}
}

func TestFold(t *testing.T) {
	Convey("Given a customer's totals", t, func() {
		b := budget.OpenBilling("c", nil)
		total := func() *api.BudgetBilling { return budget.BudgetBilling(b.Message(), "b") }

		Convey("a segment that is folded twice counts once", func() {
			So(b.Fold(segment("i", 0, record("r", "l", 5))), ShouldBeTrue)
			So(b.Fold(segment("i", 0, record("r", "l", 5))), ShouldBeFalse)
			So(total().Tokens, ShouldEqual, 5)
		})
		Convey("a run recorded by several instances under one lease counts once, with the largest amount", func() {
			b.Fold(segment("i", 0, record("r", "l", 5)))
			b.Fold(segment("j", 0, record("r", "l", 9)))
			b.Fold(segment("k", 0, record("r", "l", 5)))
			So(total().Tokens, ShouldEqual, 9)
			So(total().Records, ShouldEqual, 1)
			So(total().Refunded, ShouldEqual, 0)
		})
		Convey("a request billed under two leases is refunded once, also if the billing is reopened", func() {
			b.Fold(segment("i", 0, record("r", "l1", 5)))
			b = budget.OpenBilling("c", b.Message())
			b.Fold(segment("j", 0, record("r", "l2", 7)))
			b.Fold(segment("j", 1, record("r", "l2", 7)))
			So(total().Tokens, ShouldEqual, 12)
			So(total().Refunded, ShouldEqual, 5)
		})
		Convey("several runs of a request under one or two leases are charged once, also if the billing is reopened", func() {
			b.Fold(segment("i", 0, record("r.x", "l1", 20)))
			b = budget.OpenBilling("c", b.Message())
			b.Fold(segment("i", 1, record("r.y", "l1", 47)))
			b.Fold(segment("j", 0, record("r.z.2", "l2", 30), record("s", "l2", 1)))
			So(total().Tokens, ShouldEqual, 98)
			So(total().Tokens-total().Refunded, ShouldEqual, 47+1)
		})
		Convey("a run billed at its bound is charged its usage when the partitioned holder reports it later", func() {
			bound := record("r.x", "i/1", 100)
			bound.AtBound = true
			b.Fold(segment("witness", 0, bound))
			b = budget.OpenBilling("c", b.Message())
			b.Fold(segment("i", 0, record("r.x", "i/1", 47)))
			So(b.RecordedTokens("b", "i/1"), ShouldEqual, 100)
			So(total().Tokens-total().Refunded, ShouldEqual, 47)
		})
		Convey("a run billed at its bound is refunded when the usage of another run is recorded, in either order", func() {
			bound := record("r.x", "l1", 100)
			bound.AtBound = true
			b.Fold(segment("i", 0, bound))
			So(total().Refunded, ShouldEqual, 0)
			b = budget.OpenBilling("c", b.Message())
			b.Fold(segment("j", 0, record("r.y", "l2", 47)))
			So(total().Tokens-total().Refunded, ShouldEqual, 47)
			late := record("r.z", "l3", 90)
			late.AtBound = true
			b.Fold(segment("k", 0, late))
			So(total().Tokens-total().Refunded, ShouldEqual, 47)
		})
		Convey("a bound billed by the lease holder raises a smaller recorded amount, because its ledger counts it", func() {
			own, other := record("r", "i/1", 9), record("r", "i/1", 20)
			own.AtBound, other.AtBound = true, true
			b.Fold(segment("j", 0, record("r", "i/1", 3)))
			b.Fold(segment("k", 0, other))
			So(total().Tokens, ShouldEqual, 3)
			b.Fold(segment("i", 0, own))
			So(total().Tokens, ShouldEqual, 9)
			So(b.RecordedTokens("b", "i/1"), ShouldEqual, 9)
		})
		Convey("records of other customers are ignored", func() {
			other := record("r", "l", 5)
			other.Customer = "d"
			b.Fold(segment("i", 0, other))
			So(total(), ShouldBeNil)
		})
		Convey("refunds and late records are applied to the ledger once", func() {
			b.Fold(segment("i", 0, record("r", "l", 40), record("r", "m", 30)))
			e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "l", Taken: 100, Settled: 10, Closed: true, Bound: 60}))
			b.ApplyTo(e)
			b.ApplyTo(e)
			So(e.Entry("b").Leases[0].Settled, ShouldEqual, 40)
			So(e.Entry("b").Refunded, ShouldEqual, 30)
		})
	})
}

// TestRequestsChargedOnce checks that each request is charged once for any order of incarnations, with segments folded
// repeatedly and with the billing reopened in between.
func TestRequestsChargedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segments := make(map[string][]*api.UsageSegment)
		usage := make(map[string]uint64)
		for range rapid.IntRange(1, 12).Draw(t, "segments") {
			holder := fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "holder"))
			id := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "request"))
			usage[id] = uint64(len(id) + int(id[1]))
			lease := fmt.Sprint("l", rapid.IntRange(0, 2).Draw(t, "lease"))
			segments[holder] = append(segments[holder], segment(holder, uint64(len(segments[holder])), record(id, lease, usage[id])))
		}
		b := budget.OpenBilling("c", nil)
		for len(segments) > 0 {
			holder := fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "next"))
			if len(segments[holder]) == 0 {
				delete(segments, holder)
				continue
			}
			b.Fold(segments[holder][0])
			if rapid.Bool().Draw(t, "restart") {
				b = budget.OpenBilling("c", proto.Clone(b.Message()).(*api.CustomerBilling))
			}
			if rapid.Bool().Draw(t, "next segment") {
				segments[holder] = segments[holder][1:]
			}
		}
		var want uint64
		for _, tokens := range usage {
			want += tokens
		}
		got := budget.BudgetBilling(b.Message(), "b")
		if got.Tokens-got.Refunded != want {
			t.Fatalf("charged %d billed - %d refunded tokens, want %d", got.Tokens, got.Refunded, want)
		}
	})
}
