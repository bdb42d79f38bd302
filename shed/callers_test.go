package shed

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Deployment of 69 instances before 140 engines, and before 4 endpoints of a plain service that reject what exceeds their slots and
// queue. Their reports have no work time.
var (
	deployedEngines = load{instances: 69, endpoints: 140, slots: 12, maxAge: 3, calm: 0.7, alike: true, kinds: longKinds}
	deployedPlain   = load{instances: 69, endpoints: 4, slots: 6, maxQueue: 24, plain: true, maxAge: 3, calm: 0.7, alike: true}
)

// TestDeployment guards against shedding that leaves capacity unused, refuses while there is capacity, or serves callers that wait
// equally long out of order. docs/design/shedding.md has the figures.
func TestDeployment(t *testing.T) {
	if testing.Short() {
		t.Skip("plays several minutes of load")
	}
	for name, base := range map[string]load{"engines": deployedEngines, "plain": deployedPlain} {
		for _, burst := range []float64{1.5, 3} {
			Convey(fmt.Sprintf("%s at %v times the capacity", name, burst), t, func() {
				with, without := base, base
				with.burst, without.burst, without.noShedding = burst, burst, true
				a, b := with.playSeeds(2), without.playSeeds(2)
				t.Logf("%s, %v, with: %s", name, burst, a)
				t.Logf("%s, %v, without: %s", name, burst, b)
				So(a.calmRefused, ShouldEqual, 0)
				So(a.admitted/a.room, ShouldBeBetweenOrEqual, minAdmitted, maxAdmitted)
				So(float64(a.falseRefuse), ShouldBeLessThan, 0.01*float64(a.refused))
				// Callers of the ranks of a route wait equally long, so they come back equally often.
				for rank := range 2 * ranksPerCustomerRank {
					urgent, other := fmt.Sprintf("rank %d", rank), fmt.Sprintf("rank %d", rank+ranksPerCustomerRank)
					SoMsg(urgent, a.share(urgent), ShouldBeGreaterThanOrEqualTo, a.share(other)-maxInversion)
				}
				share, customer := a.leastShare("customer")
				SoMsg(customer, share, ShouldBeGreaterThanOrEqualTo, minShare*a.share("all"))
				if base.plain {
					inversion, ranks := a.inversion()
					SoMsg(ranks, inversion, ShouldBeLessThanOrEqualTo, maxInversion)
					So(a.share("rank 0"), ShouldBeGreaterThan, b.share("rank 0")+0.2)
					So(a.share("all"), ShouldBeGreaterThanOrEqualTo, b.share("all")-0.02)
				} else {
					So(a.share("rank 0"), ShouldBeGreaterThan, 0.95)
				}
			})
		}
		Convey(name+" below the capacity", t, func() {
			l := base
			l.burst, l.seed = 0.7, 3
			So(l.play().refused, ShouldEqual, 0)
		})
	}
}

// TestRejectionsCount guards against instances that go on sending to endpoints that reject their requests.
func TestRejectionsCount(t *testing.T) {
	if testing.Short() {
		t.Skip("plays several minutes of load")
	}
	Convey("fewer requests are rejected by endpoints if rejections count as reports", t, func() {
		for _, instances := range []int{8, 69} {
			l := deployedPlain
			l.instances, l.burst = instances, 3
			ignoring := l
			ignoring.ignoreRejections = true
			a, b := l.playSeeds(4), ignoring.playSeeds(4)
			t.Logf("%d instances: %d of %d requests rejected, %d if rejections are ignored", instances, a.rejected, len(a.queries), b.rejected)
			So(a.rejected, ShouldBeLessThan, b.rejected)
		}
	})
}
