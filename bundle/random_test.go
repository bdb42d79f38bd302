package bundle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestRandomFaults rolls bundles while links are disconnected, calls to the object store stall and instances restart. It
// then removes all faults and requires the last bundle to become active everywhere. An invariant in Holder checks that
// bundle numbers never decrease.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, clockwork.NewRealClock())
			defer f.stopAll()
			random := rand.New(rand.NewPCG(seed, 7))
			for i := range 9 {
				f.add(fmt.Sprintf("d%d", i%3), fmt.Sprintf("i%d", i))
			}
			bundle := testBundle(1, 40, 2)
			mustRoll(t, f.objects, bundle)
			for step := range 30 {
				randomStep(f, random, step)
				mustRoll(t, f.objects, topUp(bundle))
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
			f.setLinkFault(linkFault{})
			waitForBundle(t, f.list(), bundle.Number)
		})
	}
}

// randomStep adds or removes link faults or restarts an instance.
func randomStep(f *testFleet, random *rand.Rand, step int) {
	names := []string{"platform"}
	for _, n := range f.list() {
		names = append(names, n.self.Name)
	}
	switch random.IntN(4) {
	case 0:
		f.setLinkFault(linkFault{})
	case 1:
		f.setLinkFault(linkFault{from: names[1+random.IntN(len(names)-1)], to: "platform", stalled: true})
	case 2:
		side := make(map[string]bool)
		for _, name := range names {
			side[name] = random.IntN(2) == 0
		}
		side["operator"] = side["platform"]
		f.setPartition(func(a, b string) bool { return side[a] != side[b] })
	case 3:
		old := f.list()[random.IntN(len(f.list()))]
		old.stop()
		f.add(old.self.Domain, fmt.Sprintf("r%d", step))
	}
}
