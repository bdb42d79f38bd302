package node_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/fleet"
	"pumiceshelf/node"
)

// waitLimit bounds each wait; no verdict depends on how long a step took.
const waitLimit = time.Minute

func TestRetiredInstanceStops(t *testing.T) {
	Convey("Given a fleet of two instances a domain", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		Reset(cancel)
		c := fleet.Deployment(fleet.AlWusta)
		c.Customers = []fleet.Customer{{ID: "farm", Tokens: 1_000_000}}
		f, err := fleet.Start(ctx, c)
		So(err, ShouldBeNil)
		Reset(f.Close)
		m := f.Members()[0]

		Convey("an instance that a bundle retires drains itself and says why", func() {
			b := f.Bundle(2)
			b.RetiredIncarnations = []string{m.Node.Self().Incarnation}
			So(f.Roll(ctx, b), ShouldBeNil)
			select {
			case err = <-m.Ended():
			case <-ctx.Done():
				err = ctx.Err()
			}
			So(errors.Is(err, node.ErrRetired), ShouldBeTrue)
			f.Forget(m)

			Convey("and the others go on", func() {
				r := f.NewCaller().Send(ctx, f.Members()[0].Node.CallerAddress(), fleet.Ask{Customer: "farm", Model: fleet.DoseModel, Prompt: "Plot 1"})
				So(r.Outcome, ShouldEqual, fleet.Answered)
			})
		})
	})
}
