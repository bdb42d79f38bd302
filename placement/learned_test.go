package placement_test

import (
	"fmt"
	"testing"
	"time"
)

// skipModel skips a play of the model in short runs. One goroutine plays it, so that the race detector finds nothing there, and it
// takes ten times as long with it.
func skipModel(t *testing.T) {
	if testing.Short() {
		t.Skip("the model takes minutes with the race detector")
	}
}

// TestLearnedSpeedsHelpCallers guards against learned speeds that do not help callers where engines report no work time, and against
// slow engines that get as much as the others.
func TestLearnedSpeedsHelpCallers(t *testing.T) {
	skipModel(t)
	for _, instances := range []int{8, 90, 195} {
		t.Run(fmt.Sprintf("%d_instances", instances), func(t *testing.T) {
			play := func(shared, oracle bool) *streamFleet {
				f := newStreamFleet(secondDeployment, 1, instances, shared)
				f.oracle = oracle
				f.run(25 * time.Second)
				t.Logf("shared %v, oracle %v: late %.4f; mean first event %v; %d of %d requests on slow engines", shared, oracle, f.lateShare(),
					f.meanFirst().Round(time.Millisecond), f.toSlow, f.sent)
				return f
			}
			before, after, best := play(false, false), play(true, false), play(false, true)
			if after.lateShare() > before.lateShare() || after.meanFirst() > before.meanFirst() {
				t.Errorf("%.4f of the streams are late and the mean time to the first event is %v; without learned speeds %.4f and %v",
					after.lateShare(), after.meanFirst(), before.lateShare(), before.meanFirst())
			}
			if most := best.meanFirst() * maxFirstEventRatio / 100; after.meanFirst() > most {
				t.Errorf("the mean time to the first event is %v, %v may be", after.meanFirst(), most)
			}
			if 3*after.toSlow >= after.sent {
				t.Errorf("slow engines, a third of all, got %d of %d requests", after.toSlow, after.sent)
			}
		})
	}
}

// TestThreeTimesSlowerEngines guards against engines three times slower than the best that get a fifth of their even share or more
// while others have room.
func TestThreeTimesSlowerEngines(t *testing.T) {
	d := secondDeployment
	d.workTimes[2] = 3
	skipModel(t)
	for _, instances := range []int{8, 90, 195} {
		f := newStreamFleet(d, 1, instances, true)
		f.run(20 * time.Second)
		t.Logf("%d instances: slow engines got %d of %d requests", instances, f.toSlow, f.sent)
		if most := f.sent / 3 / 5; f.toSlow >= most {
			t.Errorf("%d instances: slow engines got %d of %d requests, less than %d may go there", instances, f.toSlow, f.sent, most)
		}
	}
}
