package bench

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/quota"
)

// maxParallelFleets bounds the experiments that run in parallel.
const maxParallelFleets = 4

// TestExperiments runs every experiment with a fixed seed under every policy that the fleet ships with. It checks only
// guarantees, none of which depends on timing. The rejected budget policies (small, write-off) are skipped: they have no
// witnesses and lose charges when an instance crashes. Compare measures them.
func TestExperiments(t *testing.T) {
	if testing.Short() {
		t.Skip("starts fleets")
	}
	slots := make(chan struct{}, maxParallelFleets)
	for _, e := range All() {
		for _, policy := range e.Policies {
			if policy == string(quota.PolicySmall) || policy == string(quota.PolicyWriteOff) {
				continue
			}
			t.Run(e.Name+"/"+policy, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				Convey("every guarantee holds in "+e.Name+" "+policy, t, func() {
					result, err := Execute(context.Background(), e, 1, policy)
					So(err, ShouldBeNil)
					So(result.Err(), ShouldBeNil)
				})
			})
		}
	}
}
