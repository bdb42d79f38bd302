package bench

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/quota"
)

// fleetsAtOnce bounds the experiments that run side by side.
const fleetsAtOnce = 4

// TestExperiments runs every experiment with a fixed seed and every policy that the fleet is shipped with. It asserts
// promises only, none of which is about time. The policies of budgets that were weighed and left out lose bills when an
// instance dies, since they name no witnesses; compare measures them.
func TestExperiments(t *testing.T) {
	if testing.Short() {
		t.Skip("starts fleets")
	}
	turn := make(chan struct{}, fleetsAtOnce)
	for _, e := range All() {
		for _, policy := range e.Policies {
			if policy == string(quota.PolicySmall) || policy == string(quota.PolicyWriteOff) {
				continue
			}
			t.Run(e.Name+"/"+policy, func(t *testing.T) {
				t.Parallel()
				turn <- struct{}{}
				defer func() { <-turn }()
				Convey("All promises hold in "+e.Name+" "+policy, t, func() {
					r, err := Do(context.Background(), e, 1, policy)
					So(err, ShouldBeNil)
					So(r.Err(), ShouldBeNil)
				})
			})
		}
	}
}
