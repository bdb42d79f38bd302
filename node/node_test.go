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

// waitTimeout bounds each wait. No assertion depends on how long a step takes.
const waitTimeout = time.Minute

func TestRetiredInstanceStops(t *testing.T) {
	Convey("Given a fleet with two instances per failure domain", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		Reset(cancel)
		c := fleet.DeploymentConfig(fleet.AlWusta)
		c.Customers = []fleet.Customer{{ID: "farm", Tokens: 1_000_000}}
		f, err := fleet.Start(ctx, c)
		So(err, ShouldBeNil)
		Reset(f.Close)
		m := f.Instances()[0]

		Convey("an instance that is retired by a bundle drains itself and returns ErrRetired", func() {
			b := f.Bundle(2)
			b.RetiredIncarnations = []string{m.Node.Self().Incarnation}
			So(f.Roll(ctx, b), ShouldBeNil)
			select {
			case err = <-m.RunResult():
			case <-ctx.Done():
				err = ctx.Err()
			}
			So(errors.Is(err, node.ErrRetired), ShouldBeTrue)
			f.Unlist(m)

			Convey("and the other instances keep serving requests", func() {
				r := f.NewCaller().Send(ctx, f.Instances()[0].Node.CallerAddress(), fleet.Request{Customer: "farm", Model: fleet.DoseModel, Prompt: "Plot 1"})
				So(r.Outcome, ShouldEqual, fleet.Answered)
			})
		})
	})
}
