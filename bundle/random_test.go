package bundle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestRandomFaults rolls bundles while links are cut, calls to the platform go silent and instances restart, then heals
// all and requires the last bundle everywhere. That none goes back is an invariant of the holder.
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
			f.setDown(link{})
			allHave(t, f.list(), bundle.Number)
		})
	}
}

// randomStep cuts or heals links or restarts an instance.
func randomStep(f *testFleet, random *rand.Rand, step int) {
	names := []string{"platform"}
	for _, n := range f.list() {
		names = append(names, n.self.Name)
	}
	switch random.IntN(4) {
	case 0:
		f.setDown(link{})
	case 1:
		f.setDown(link{a: names[1+random.IntN(len(names)-1)], b: "platform", silent: true})
	case 2:
		side := make(map[string]bool)
		for _, name := range names {
			side[name] = random.IntN(2) == 0
		}
		side["operator"] = side["platform"]
		f.setCut(func(a, b string) bool { return side[a] != side[b] })
	case 3:
		old := f.list()[random.IntN(len(f.list()))]
		old.stop()
		f.add(old.self.Domain, fmt.Sprintf("r%d", step))
	}
}
